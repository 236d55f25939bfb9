/// Chooses the daemons that relay a coordinator's polls, updates and orders to the ranks of its group.
///
/// Needed for large groups: a coordinator that communicates with each of 129 ranks and 149 gateways
/// directly uses 600 KB/s of the 750 KB/s of the smallest VMs' links for load reports alone; its responses
/// exceed their time limit, and the processes that wait for them take it for dead. With relays it
/// communicates with two daemons per zone, and each of those with the ranks of half a zone, for any size
/// of the group.
///
/// A relay forwards and aggregates; it makes no decisions and keeps no state that others rely on. Each
/// poll names the engines it is for, so that a relay can be replaced between any two polls.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/types.h"

namespace archdyke
{
	/// Maximum number of daemons that one process communicates with: at 60 us per daemon and poll and 16
	/// polls per second they take a fifth of the smallest VMs' CPU (0.15 of a core).
	constexpr std::size_t kTreeFanOut = 30;
	/// Relays per zone. If one fails, the other takes over its ranks with the next poll.
	constexpr std::size_t kRelaysPerZone = 2;

	/// A rank in the relay tree.
	struct TreeMember
	{
		std::string engine; ///< IP:port, used as ID.
		std::string zone;
		Millis doubt = 0; ///< Penalty for its daemon as a relay: 0 if it reported recently and no poll failed; higher the more recent the failure.

		bool operator==(const TreeMember&) const = default;
	};

	/// Ranks that one process communicates with.
	struct TreeBranch
	{
		std::optional<std::size_t> relay; ///< Index of the member whose daemon is the relay; none: the coordinator itself.
		std::vector<std::size_t> members; ///< Indices of the ranks, including the relay.

		bool operator==(const TreeBranch&) const = default;
	};

	/// Distributes the ranks of a group to branches. A small group has one branch, polled by the coordinator
	/// directly. In a large group, the members of a zone with the least doubt are its relays, even if all of
	/// them failed: polling the ranks directly would overload the coordinator just when its link or VM is slow.
	/// @param[in] _members In the same order for each call, so that relays don't change needlessly.
	std::vector<TreeBranch> makeTree(const std::vector<TreeMember>& _members);
} // namespace archdyke
