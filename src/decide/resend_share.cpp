#include "archdyke/resend_share.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		/// Share of the allowance that is distributed. A zone that is partitioned for long together with a coordinator
		/// finally counts only its own gateways, and then spends as much as all the others together.
		constexpr double kDistributedShare = 0.33;
		/// Windows of which the maximum reported count is used: longer than most partitions last.
		constexpr Millis kMaxCountWindows = 6;
		/// Distributed share for gateways with reports for less than a window: the previous process may have spent its
		/// share in that window, and the others may not have counted this one yet.
		constexpr double kYoungDistributedShare = 0.25;
		/// Windows for which a rounding offset is kept.
		constexpr Millis kRoundingWindows = 60;
		/// Lifetime of a report: several polls of a gateway, and a change of coordinator.
		constexpr Millis kReportLifetimeMs = 2'500;
		/// How long the reported count must not have grown by more than kMaxGrowthFactor: gateways that start
		/// together are all counted within a few polls.
		constexpr Millis kMinSteadyMs = 600;
		constexpr double kMaxGrowthFactor = 1.1;

		/// @returns Maximum count reported since a point in time.
		std::uint32_t maxReported(const ResendShare& _share, Millis _since)
		{
			std::uint32_t most = 0;
			for (const GatewayCount& report : _share.told)
			{
				most = _since <= report.at ? std::max(most, report.count) : most;
			}
			return most;
		}
	} // namespace

	void recordGatewayCount(ResendShare& _share, std::uint32_t _count, Millis _windowMs, Millis _now)
	{
		const bool gap = _share.told.empty() || _now - _share.told.back().at > kReportLifetimeMs;
		const bool grown = double(_count) > kMaxGrowthFactor * double(maxReported(_share, _now - _windowMs));
		_share.firstReportAt = 0 == _share.firstReportAt ? _now : _share.firstReportAt;
		if (0 == _share.steadySince || gap || grown)
		{
			_share.steadySince = _now;
		}
		while (!_share.told.empty() && _now - _share.told.front().at > kMaxCountWindows * _windowMs)
		{
			_share.told.pop_front();
		}
		// While the count is unchanged, the last report's time is updated; the first one is kept, so at most
		// two entries with the same count are stored in a row.
		const bool same = 2 <= _share.told.size() && _share.told.back().count == _count && (_share.told.end() - 2)->count == _count;
		if (same)
		{
			_share.told.back().at = _now;
			return;
		}
		_share.told.push_back({_now, _count});
	}

	std::optional<std::uint32_t> reportedGatewayCount(const ResendShare& _share, Millis _windowMs, Millis _steadyMs, Millis _now)
	{
		const bool isReported = !_share.told.empty() && _now - _share.told.back().at <= std::min(kReportLifetimeMs, _windowMs);
		const bool steady = isReported && _now - _share.steadySince >= _steadyMs;
		return steady ? std::optional(std::max<std::uint32_t>(1, maxReported(_share, _now - _windowMs))) : std::nullopt;
	}

	std::optional<Millis> untilCountIsSteadyMs(const ResendShare& _share, Millis _windowMs, Millis _now)
	{
		const bool isReported = reportedGatewayCount(_share, _windowMs, 0, _now).has_value();
		const Millis remainingMs = _share.steadySince + kMinSteadyMs - _now;
		return isReported && 0 < remainingMs ? std::optional(remainingMs) : std::nullopt;
	}

	double allowanceShare(const ResendShare& _share, Millis _windowMs, Millis _now)
	{
		const bool steady = reportedGatewayCount(_share, _windowMs, kMinSteadyMs, _now).has_value();
		const double count = std::max<std::uint32_t>(1, maxReported(_share, _now - kMaxCountWindows * _windowMs));
		const bool young = _now - _share.firstReportAt < _windowMs;
		const double fallbackShare = kYoungDistributedShare / double(kMaxGateways);
		return steady ? std::max(fallbackShare, (young ? kYoungDistributedShare : kDistributedShare) / count) : fallbackShare;
	}

	void renewRounding(ResendShare& _share, Millis _windowMs, Random& _random, Millis _now)
	{
		if (_now < _share.roundingUntil)
		{
			return;
		}
		constexpr std::uint64_t kRandomSteps = 1'000'000;
		const bool first = 0 == _share.roundingUntil;
		const Millis keptMs = kRoundingWindows * _windowMs;
		_share.rounding = double(randomBelow(_random, kRandomSteps)) / double(kRandomSteps);
		_share.roundingUntil = _now + (first ? 1 + Millis(randomBelow(_random, std::uint64_t(keptMs))) : keptMs);
	}
} // namespace archdyke
