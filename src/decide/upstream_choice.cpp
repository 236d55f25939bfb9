#include "archdyke/upstream_choice.h"

#include <algorithm>

#include "archdyke/slow_rank.h"

namespace archdyke
{
	namespace
	{
		/// Extra load per slot accepted to stay in the own zone: roughly the cost of 1.4 ms more
		/// latency each way relative to steps of 5 ms and more.
		constexpr double kZoneAdvantage = 0.02;
		/// Load per slot that a failure rate of 1 is equivalent to: such an upstream is used only
		/// when all the others are full.
		constexpr double kFailureWeight = 2.0;
		/// Weight of the newest response in the moving failure rate: averages about ten responses.
		constexpr double kFailureGain = 0.1;
		/// Consecutive failures that suspend an upstream: a single one may be chance.
		constexpr std::uint32_t kFailuresToSuspend = 3;
		/// Duration of the first suspension; doubles with each further failure.
		constexpr Millis kSuspendMs = 500;
		constexpr Millis kMaxSuspendMs = 4'000;
		/// Doublings that reach kMaxSuspendMs; the cap keeps the shift from overflowing.
		constexpr std::uint32_t kMaxDoublings = 3;

		double costOf(const UpstreamCandidate& _candidate)
		{
			// Counts the request itself, so that a slow upstream is avoided even when it is idle.
			const double loadPerSlot = _candidate.pace * (_candidate.load + 1.0) / double(std::max<std::uint32_t>(1, _candidate.slots));
			return loadPerSlot + kFailureWeight * _candidate.failureRate + (_candidate.ownZone ? 0.0 : kZoneAdvantage);
		}

		/// @returns Indices of the healthy candidates, else of all that the request wasn't sent to yet.
		std::vector<std::size_t> preferredCandidates(const std::vector<UpstreamCandidate>& _candidates)
		{
			std::vector<std::size_t> healthy;
			std::vector<std::size_t> degraded; // suspended or slow
			for (std::size_t index = 0; index < _candidates.size(); ++index)
			{
				if (!_candidates[index].excluded)
				{
					const bool avoided = _candidates[index].suspended || isSlow(_candidates[index].pace);
					(avoided ? degraded : healthy).push_back(index);
				}
			}
			return healthy.empty() ? degraded : healthy;
		}
	} // namespace

	std::optional<std::size_t> chooseUpstream(const std::vector<UpstreamCandidate>& _candidates, Random& _random)
	{
		const std::vector<std::size_t> usable = preferredCandidates(_candidates);
		if (usable.empty())
		{
			return std::nullopt;
		}
		const std::size_t first = usable[randomBelow(_random, usable.size())];
		const std::size_t second = usable[randomBelow(_random, usable.size())];
		const std::size_t better = costOf(_candidates[second]) < costOf(_candidates[first]) ? second : first;
		if (_candidates[better].load < double(_candidates[better].slots))
		{
			return better;
		}
		return *std::min_element(usable.begin(), usable.end(), [&](std::size_t _a, std::size_t _b) {
			return costOf(_candidates[_a]) < costOf(_candidates[_b]);
		});
	}

	std::optional<std::size_t> chooseLeastLoaded(const std::vector<UpstreamCandidate>& _candidates)
	{
		const std::vector<std::size_t> usable = preferredCandidates(_candidates);
		const auto least = std::min_element(usable.begin(), usable.end(), [&](std::size_t _a, std::size_t _b) {
			return costOf(_candidates[_a]) < costOf(_candidates[_b]);
		});
		return usable.end() == least ? std::nullopt : std::optional(*least);
	}

	void recordAttempt(UpstreamHealth& _health, bool _failed, Millis _now)
	{
		_health.failureRate += kFailureGain * ((_failed ? 1.0 : 0.0) - _health.failureRate);
		if (!_failed)
		{
			_health.consecutiveFailures = 0;
			_health.suspendedUntil = 0;
			return;
		}
		_health.consecutiveFailures += 1;
		if (kFailuresToSuspend <= _health.consecutiveFailures)
		{
			const std::uint32_t doublings = std::min(kMaxDoublings, _health.consecutiveFailures - kFailuresToSuspend);
			_health.suspendedUntil = _now + std::min(kMaxSuspendMs, kSuspendMs << doublings);
		}
	}

	bool isSuspended(const UpstreamHealth& _health, Millis _now)
	{
		return _now < _health.suspendedUntil;
	}
} // namespace archdyke
