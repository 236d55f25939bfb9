/// Which group of engine ranks gets a request, before a rank of it is chosen.
///
/// The ranks of a group advance in lock-step, so a request meets the pass time, the load and the
/// faults of its group, not of its rank. Groups of one service fail and slow down independently.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "archdyke/random.h"

namespace archdyke
{
	/// How a group fares, the best first.
	enum class GroupStanding
	{
		InTime,  ///< Open, its passes keep the objective of pauses.
		Late,    ///< Open, its passes don't.
		Unknown, ///< Nothing was heard of it lately.
		Down,    ///< Stands still, forms, or failed a request just now.
		Count
	};

	/// @returns The name used in logs.
	std::string_view toString(GroupStanding _standing);

	/// A group that a request may go to.
	struct GroupCandidate
	{
		GroupStanding standing = GroupStanding::Unknown;
		bool hasRoom = true;        ///< One more request keeps what its ranks may have.
		double fullness = 0.0;      ///< Requests of a rank, with the new one, over what it may have.
		double room = 1.0;          ///< Requests that all its ranks may still get.
		double ownZoneShare = 0.0;  ///< Of its ranks, 0 to 1.
		bool failedRequest = false; ///< This request failed there already.

		bool operator==(const GroupCandidate&) const = default;
	};

	/// Chooses among the groups that have room: those in time first, those in the own zone unless
	/// others are much emptier, and among equals at random by their room, since all gateways know
	/// the same loads, some 100 ms old, and would all take the emptiest one.
	/// @returns Index of the chosen one; none when no group that isn't down has room.
	std::optional<std::size_t> chooseGroup(const std::vector<GroupCandidate>& _candidates, Random& _random);

	/// Naive version, for comparison: the emptiest one wherever it is.
	std::optional<std::size_t> chooseEmptiestGroup(const std::vector<GroupCandidate>& _candidates);
} // namespace archdyke
