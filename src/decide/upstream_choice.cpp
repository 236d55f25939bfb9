#include "archdyke/upstream_choice.h"

#include <algorithm>

#include "archdyke/slow_rank.h"

namespace archdyke
{
	namespace
	{
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
		/// Doublings that reach that time; more would overflow in the end.
		constexpr std::uint32_t kMaxDoublings = 3;

		double costOf(const UpstreamCandidate& _candidate)
		{
			// With the request itself, so that a slow one is passed over also while it is empty.
			const double perSlot = _candidate.pace * (_candidate.load + 1.0) / double(std::max<std::uint32_t>(1, _candidate.slots));
			return perSlot + kFailureWeight * _candidate.failureRate + (_candidate.ownZone ? 0.0 : kZoneAdvantage);
		}

		/// @returns Those that may get the request: the sound ones, else all that it wasn't at.
		std::vector<std::size_t> usableOf(const std::vector<UpstreamCandidate>& _candidates)
		{
			std::vector<std::size_t> sound;
			std::vector<std::size_t> others; // suspended or slow
			for (std::size_t index = 0; index < _candidates.size(); ++index)
			{
				if (!_candidates[index].excluded)
				{
					const bool avoided = _candidates[index].suspended || isSlow(_candidates[index].pace);
					(avoided ? others : sound).push_back(index);
				}
			}
			return sound.empty() ? others : sound;
		}
		/// @returns Slots that are free, less what the candidate costs beyond its load.
		double freeOf(const UpstreamCandidate& _candidate)
		{
			const double slots = double(std::max<std::uint32_t>(1, _candidate.slots));
			return std::max(0.0, slots + 1.0 - slots * costOf(_candidate));
		}

		/// Draws one by its free slots. All gateways see the same few free slots for some 100 ms: the one
		/// with most of them would get the requests of all.
		/// @returns none when all are full.
		std::optional<std::size_t> drawByFreeSlots(const std::vector<UpstreamCandidate>& _candidates, const std::vector<std::size_t>& _among, Random& _random)
		{
			constexpr std::uint64_t kDraws = 1'000'000;
			double total = 0.0;
			for (const std::size_t index : _among)
			{
				total += freeOf(_candidates[index]);
			}
			double left = total * double(randomBelow(_random, kDraws)) / double(kDraws);
			for (const std::size_t index : _among)
			{
				left -= freeOf(_candidates[index]);
				if (left < 0.0)
				{
					return index;
				}
			}
			return std::nullopt;
		}
	} // namespace

	std::optional<std::size_t> chooseUpstream(const std::vector<UpstreamCandidate>& _candidates, Random& _random)
	{
		const std::vector<std::size_t> usable = usableOf(_candidates);
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
		return drawByFreeSlots(_candidates, usable, _random).value_or(better);
	}

	std::optional<std::size_t> chooseLeastLoaded(const std::vector<UpstreamCandidate>& _candidates)
	{
		const std::vector<std::size_t> usable = usableOf(_candidates);
		const auto least = std::min_element(usable.begin(), usable.end(), [&](std::size_t _a, std::size_t _b) {
			return costOf(_candidates[_a]) < costOf(_candidates[_b]);
		});
		return usable.end() == least ? std::nullopt : std::optional(*least);
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
			const std::uint32_t doublings = std::min(kMaxDoublings, _health.failuresInARow - kFailuresToSuspend);
			_health.suspendedUntil = _now + std::min(kMaxSuspendMs, kSuspendMs << doublings);
		}
	}

	bool isSuspended(const UpstreamHealth& _health, Millis _now)
	{
		return _now < _health.suspendedUntil;
	}
} // namespace archdyke
