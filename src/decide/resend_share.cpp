#include "archdyke/resend_share.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		/// Part of the allowance that is dealt out at all. A zone that is cut off for long with a coordinator of its own
		/// counts itself alone in the end, and then spends as much as all the others together.
		constexpr double kDealtShare = 0.33;
		/// Shares go by the most gateways that were told of in so many windows: longer than most cuts last.
		constexpr Millis kCountedWindows = 6;
		/// The same for gateways that have been told for less than a window: the process before may have spent its
		/// share in that window, and others may not have counted this one yet.
		constexpr double kYoungDealtShare = 0.25;
		/// A rounding is kept for this many windows.
		constexpr Millis kRoundingWindows = 60;
		/// What was told counts for this long, ms: some questions of a gateway, and a coordinator that
		/// is followed by another.
		constexpr Millis kLapseMs = 2'500;
		/// A number must have been told for this long without growing by more than a part, ms: gateways
		/// that start together are counted within some questions.
		constexpr Millis kSteadyMs = 600;
		constexpr double kGrowth = 1.1;

		/// @returns The most gateways that were told of since a moment.
		std::uint32_t mostTold(const ResendShare& _share, Millis _since)
		{
			std::uint32_t most = 0;
			for (const GatewayCount& told : _share.told)
			{
				most = _since <= told.at ? std::max(most, told.count) : most;
			}
			return most;
		}
	} // namespace

	void noteGateways(ResendShare& _share, std::uint32_t _count, Millis _windowMs, Millis _now)
	{
		const bool gap = _share.told.empty() || _now - _share.told.back().at > kLapseMs;
		const bool grown = double(_count) > kGrowth * double(mostTold(_share, _now - _windowMs));
		_share.firstToldAt = 0 == _share.firstToldAt ? _now : _share.firstToldAt;
		if (0 == _share.steadySince || gap || grown)
		{
			_share.steadySince = _now;
		}
		while (!_share.told.empty() && _now - _share.told.front().at > kCountedWindows * _windowMs)
		{
			_share.told.pop_front();
		}
		// The last one is moved on while the number stays, but for the first of its kind: the window is short.
		const bool same = 2 <= _share.told.size() && _share.told.back().count == _count && (_share.told.end() - 2)->count == _count;
		if (same)
		{
			_share.told.back().at = _now;
			return;
		}
		_share.told.push_back({_now, _count});
	}

	std::optional<std::uint32_t> gatewaysTold(const ResendShare& _share, Millis _windowMs, Millis _steadyMs, Millis _now)
	{
		const bool told = !_share.told.empty() && _now - _share.told.back().at <= std::min(kLapseMs, _windowMs);
		const bool steady = told && _now - _share.steadySince >= _steadyMs;
		return steady ? std::optional(std::max<std::uint32_t>(1, mostTold(_share, _now - _windowMs))) : std::nullopt;
	}

	double allowanceShare(const ResendShare& _share, Millis _windowMs, Millis _now)
	{
		const bool steady = gatewaysTold(_share, _windowMs, kSteadyMs, _now).has_value();
		const double count = std::max<std::uint32_t>(1, mostTold(_share, _now - kCountedWindows * _windowMs));
		const bool young = _now - _share.firstToldAt < _windowMs;
		const double untold = kYoungDealtShare / double(kMostGateways);
		return steady ? std::max(untold, (young ? kYoungDealtShare : kDealtShare) / count) : untold;
	}

	void drawRounding(ResendShare& _share, Millis _windowMs, Random& _random, Millis _now)
	{
		if (_now < _share.roundingUntil)
		{
			return;
		}
		constexpr std::uint64_t kSteps = 1'000'000;
		const bool first = 0 == _share.roundingUntil;
		const Millis keptMs = kRoundingWindows * _windowMs;
		_share.rounding = double(randomBelow(_random, kSteps)) / double(kSteps);
		_share.roundingUntil = _now + (first ? 1 + Millis(randomBelow(_random, std::uint64_t(keptMs))) : keptMs);
	}
} // namespace archdyke
