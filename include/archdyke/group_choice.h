/// Chooses the group of engine ranks that gets a request, before a rank of the group is chosen.
///
/// The ranks of a group advance in lock-step, so pass time, load and faults affect a request per
/// group, not per rank. Groups of one service fail and slow down independently.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "archdyke/random.h"

namespace archdyke
{
	/// Status of a group, best first.
	enum class GroupStatus
	{
		InTime,  ///< Open; its passes meet the objective for gaps between events.
		Late,    ///< Open; its passes miss that objective.
		Unknown, ///< No recent report.
		Down,    ///< Stalled, forming, or just failed a request.
		Count
	};

	/// @returns The name used in logs.
	std::string_view toString(GroupStatus _standing);

	/// A group to choose from.
	struct GroupCandidate
	{
		GroupStatus standing = GroupStatus::Unknown;
		bool hasCapacity = true;    ///< One more request stays within the limit of its ranks.
		double utilization = 0.0;   ///< Requests per rank, including the new one, divided by the limit per rank.
		double room = 1.0;          ///< Free capacity: further requests that its ranks may take together.
		double ownZoneShare = 0.0;  ///< Share of its ranks in the own zone, 0 to 1.
		bool failedRequest = false; ///< This request already failed there.

		bool operator==(const GroupCandidate&) const = default;
	};

	/// Chooses among the groups with free capacity: groups in time first, then groups of the own
	/// zone unless others are much less utilized, then at random weighted by free capacity. All
	/// gateways see the same loads, about 100 ms old, and would otherwise choose the same group.
	/// @returns Index of the chosen one; none when all groups are down or full.
	std::optional<std::size_t> chooseGroup(const std::vector<GroupCandidate>& _candidates, Random& _random);

	/// Baseline for comparison: chooses the least utilized group of any zone.
	std::optional<std::size_t> chooseLeastUtilizedGroup(const std::vector<GroupCandidate>& _candidates);
} // namespace archdyke
