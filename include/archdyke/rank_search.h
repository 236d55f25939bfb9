/// Selects the daemons that a coordinator polls to find the ranks of its group.
///
/// The list of upstreams doesn't contain group membership; each daemon reports the group of its own engine. A
/// coordinator polls candidates, nearest first, until it has found as many ranks as the group reports to have,
/// and from then on only those. With 94 groups of 128 ranks, polling every daemon would take 12,000 requests
/// per round instead of 128.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "archdyke/types.h"

namespace archdyke
{
	/// An upstream of the service that isn't known to be a member of the group.
	struct SearchCandidate
	{
		bool ownZone = false;
		Millis askedAt = 0;      ///< Last poll; 0: never.
		Millis otherGroupAt = 0; ///< Last report of being in another group; 0: never.
		bool listed = true;      ///< It is still in the list of upstreams.

		bool operator==(const SearchCandidate&) const = default;
	};

	/// Progress of the search.
	struct SearchProgress
	{
		std::uint32_t found = 0; ///< Known ranks of the group.
		std::uint32_t ranks = 0; ///< Size of the group as reported by its ranks; 0: no report yet.

		bool operator==(const SearchProgress&) const = default;
	};

	/// @returns Indices of the candidates to poll now, own zone first; none once all ranks are found. Candidates that
	/// reported another group are polled less often.
	std::vector<std::size_t> selectCandidatesToPoll(const std::vector<SearchCandidate>& _candidates, const SearchProgress& _progress, Millis _now);
} // namespace archdyke
