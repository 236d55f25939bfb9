/// Which daemons a coordinator asks to find the ranks of its group.
///
/// The list of upstreams doesn't say who is in which group: each daemon tells it of its own engine.
/// A coordinator asks until it has found as many ranks as the group says it has, nearest first, and
/// then only those: with 94 groups of 128 ranks, asking everybody at each look would be 12,000
/// questions a look where 128 do.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "archdyke/types.h"

namespace archdyke
{
	/// An upstream of the service that isn't known to be in the group.
	struct SearchCandidate
	{
		bool ownZone = false;
		Millis askedAt = 0;     ///< When it was last asked; 0: never.
		Millis elsewhereAt = 0; ///< When it said that it is in another group; 0: never.
		bool listed = true;     ///< The list of upstreams still names it.

		bool operator==(const SearchCandidate&) const = default;
	};

	/// How far the search is.
	struct SearchProgress
	{
		std::uint32_t found = 0; ///< Ranks of the group that are known.
		std::uint32_t ranks = 0; ///< Size of the group as its ranks tell it; 0: none was heard yet.

		bool operator==(const SearchProgress&) const = default;
	};

	/// @returns Indices of those to ask now: none once all ranks are found; else the ones of the own
	/// zone first, and those that said they are elsewhere only now and then.
	std::vector<std::size_t> searchRanks(const std::vector<SearchCandidate>& _candidates, const SearchProgress& _progress, Millis _now);
} // namespace archdyke
