#include "archdyke/rank_search.h"

#include <algorithm>
#include <tuple>

namespace archdyke
{
	namespace
	{
		/// Questions of one look: a group of 24 in one zone, or of 12 over three, is found by the
		/// first, and the smallest VM is busy with them for some 2 ms.
		constexpr std::size_t kMostAsked = 32;
		/// One that said it is in another group is asked again after this, ms: groups seldom
		/// change their ranks, and a new process of an engine is asked at once.
		constexpr Millis kElsewhereMs = 5'000;
		/// The same for one that the list of upstreams names no longer and that didn't answer.
		constexpr Millis kUnlistedMs = 5'000;

		bool isDue(const SearchCandidate& _candidate, Millis _now)
		{
			if (0 != _candidate.elsewhereAt && _now - _candidate.elsewhereAt < kElsewhereMs)
			{
				return false;
			}
			const bool rests = !_candidate.listed && 0 != _candidate.askedAt && _now - _candidate.askedAt < kUnlistedMs;
			return !rests;
		}
	} // namespace

	std::vector<std::size_t> searchRanks(const std::vector<SearchCandidate>& _candidates, const SearchProgress& _progress, Millis _now)
	{
		std::vector<std::size_t> due;
		if (0 != _progress.ranks && _progress.ranks <= _progress.found)
		{
			return due;
		}
		for (std::size_t index = 0; index < _candidates.size(); ++index)
		{
			if (isDue(_candidates[index], _now))
			{
				due.push_back(index);
			}
		}
		// Those not heard of yet, nearest first; among equals the one that waits longest.
		const auto order = [&](std::size_t _index) {
			const SearchCandidate& candidate = _candidates[_index];
			return std::tuple(0 != candidate.elsewhereAt, !candidate.ownZone, candidate.askedAt);
		};
		std::stable_sort(due.begin(), due.end(), [&](std::size_t _a, std::size_t _b) {
			return order(_a) < order(_b);
		});
		due.resize(std::min(due.size(), kMostAsked));
		return due;
	}
} // namespace archdyke
