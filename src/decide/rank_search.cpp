#include "archdyke/rank_search.h"

#include <algorithm>
#include <tuple>

namespace archdyke
{
	namespace
	{
		/// Maximum polls per round. The first round finds a group of 24 ranks in one zone, or of 12 ranks over three
		/// zones, and takes about 2 ms on the smallest VM.
		constexpr std::size_t kMaxPolls = 32;
		/// Poll interval for a candidate that reported another group, ms: ranks seldom change groups, and a new engine
		/// process is polled immediately.
		constexpr Millis kOtherGroupIntervalMs = 5'000;
		/// Poll interval for a candidate that is no longer in the list of upstreams and didn't respond, ms.
		constexpr Millis kUnlistedIntervalMs = 5'000;

		bool isDue(const SearchCandidate& _candidate, Millis _now)
		{
			if (0 != _candidate.otherGroupAt && _now - _candidate.otherGroupAt < kOtherGroupIntervalMs)
			{
				return false;
			}
			const bool polledRecently = !_candidate.listed && 0 != _candidate.askedAt && _now - _candidate.askedAt < kUnlistedIntervalMs;
			return !polledRecently;
		}
	} // namespace

	std::vector<std::size_t> selectCandidatesToPoll(const std::vector<SearchCandidate>& _candidates, const SearchProgress& _progress, Millis _now)
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
		// Candidates without a report first, then by distance; among equals the least recently polled first.
		const auto order = [&](std::size_t _index) {
			const SearchCandidate& candidate = _candidates[_index];
			return std::tuple(0 != candidate.otherGroupAt, !candidate.ownZone, candidate.askedAt);
		};
		std::stable_sort(due.begin(), due.end(), [&](std::size_t _a, std::size_t _b) {
			return order(_a) < order(_b);
		});
		due.resize(std::min(due.size(), kMaxPolls));
		return due;
	}
} // namespace archdyke
