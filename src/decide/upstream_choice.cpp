#include "archdyke/upstream_choice.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		/// Loads per slot that differ less than this are equal: a report is some 100 ms old.
		constexpr double kEqualLoad = 1e-6;
		/// Load per slot that a request may find in its own zone before it leaves it: about
		/// what 1.4 ms more each way is worth against steps of 5 ms and more.
		constexpr double kZoneAdvantage = 0.02;
		/// Load per slot that a failure rate of 1 weighs: such an upstream is tried only when
		/// all the others are full.
		constexpr double kFailureWeight = 2.0;
		/// Weight of the newest answer in the moving failure rate: looks back some ten answers.
		constexpr double kFailureGain = 0.1;
		/// Failures in a row that suspend an upstream: one is chance, three are not.
		constexpr std::uint32_t kFailuresToSuspend = 3;
		/// How long it is left alone then, ms; doubled for each further failure.
		constexpr Millis kSuspendMs = 500;
		constexpr Millis kMaxSuspendMs = 4'000;

		double costOf(const UpstreamCandidate& _candidate)
		{
			const double perSlot = _candidate.load / double(std::max<std::uint32_t>(1, _candidate.slots));
			return perSlot + kFailureWeight * _candidate.failureRate + (_candidate.ownZone ? 0.0 : kZoneAdvantage);
		}
	} // namespace

	std::optional<std::size_t> chooseUpstream(const std::vector<UpstreamCandidate>& _candidates, Random& _random)
	{
		const bool anySound = std::any_of(_candidates.begin(), _candidates.end(), [](const UpstreamCandidate& _candidate) {
			return !_candidate.excluded && !_candidate.suspended;
		});
		std::vector<std::size_t> best;
		double least = 0.0;
		for (std::size_t index = 0; index < _candidates.size(); ++index)
		{
			const UpstreamCandidate& candidate = _candidates[index];
			if (candidate.excluded || (candidate.suspended && anySound))
			{
				continue;
			}
			const double cost = costOf(candidate);
			if (best.empty() || cost < least - kEqualLoad)
			{
				best.assign(1, index);
				least = cost;
			}
			else if (cost <= least + kEqualLoad)
			{
				best.push_back(index);
			}
		}
		return best.empty() ? std::nullopt : std::optional(best[randomBelow(_random, best.size())]);
	}

	void noteTry(UpstreamHealth& _health, bool _failed, Millis _now)
	{
		_health.failureRate += kFailureGain * ((_failed ? 1.0 : 0.0) - _health.failureRate);
		if (!_failed)
		{
			_health.failuresInARow = 0;
			_health.suspendedUntil = 0;
			return;
		}
		_health.failuresInARow += 1;
		if (kFailuresToSuspend <= _health.failuresInARow)
		{
			const std::uint32_t doublings = std::min<std::uint32_t>(3, _health.failuresInARow - kFailuresToSuspend);
			_health.suspendedUntil = _now + std::min(kMaxSuspendMs, kSuspendMs << doublings);
		}
	}

	bool isSuspended(const UpstreamHealth& _health, Millis _now)
	{
		return _now < _health.suspendedUntil;
	}
} // namespace archdyke
