/// Which daemons relay what a coordinator asks, tells and orders to the ranks of its group.
///
/// Answers the load of large groups: a coordinator that speaks with each of 129 ranks and 149 gateways
/// itself needs 600 KB/s of the 750 KB/s of the smallest VMs' links for loads alone, its answers come
/// after their time limit, and what waits for them takes it for dead. With relays it speaks with two
/// daemons a zone, each of those with the ranks of half a zone, whatever the size of the group.
///
/// A relay repeats and adds up; it decides nothing and keeps nothing that others rely on. Each question
/// names the engines that it is for, so that a relay can be replaced between any two questions.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/types.h"

namespace archdyke
{
	/// Daemons that one process speaks with at most: at 60 us a daemon and look and 16 looks a second
	/// these take a fifth of the smallest VMs' processor (0.15 of a core).
	constexpr std::size_t kTreeFanOut = 30;
	/// Relays of a zone, so that one may die: the other takes over its ranks with the next look.
	constexpr std::size_t kRelaysPerZone = 2;

	/// A rank as a member of the tree.
	struct TreeMember
	{
		std::string engine; ///< IP:port; names it.
		std::string zone;
		Millis doubt = 0; ///< How little its daemon is to be a relay: 0 when it was heard lately and failed no question; the later it failed, the more.

		bool operator==(const TreeMember&) const = default;
	};

	/// Ranks that one process speaks with.
	struct TreeBranch
	{
		std::optional<std::size_t> relay; ///< Which member's daemon; none: the coordinator itself.
		std::vector<std::size_t> members; ///< Indices, the relay among them.

		bool operator==(const TreeBranch&) const = default;
	};

	/// Deals the ranks of a group to branches. A small group has one branch, the coordinator's own. In a
	/// large one the relays of a zone are those with the least doubt: a coordinator that spoke with the
	/// ranks itself when relays fail would be the hub again, just when its link or its VM is slow.
	/// @param[in] _members In an order that stays from one call to the next: relays stay then, too.
	std::vector<TreeBranch> makeTree(const std::vector<TreeMember>& _members);
} // namespace archdyke
