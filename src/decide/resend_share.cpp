#include "archdyke/resend_share.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		/// Part of the allowance that is dealt out at all. Within a window as many gateways may join as
		/// there were, all may have been restarted and spent their shares before, and a zone that is cut
		/// off may go by an older number: that is four times as much at most.
		constexpr double kDealtShare = 0.25;
		/// What was told counts for this long, ms: some questions of a gateway, and a coordinator that
		/// is followed by another.
		constexpr Millis kLapseMs = 2'500;
		/// A number must have been told for this long without growing by more than a part, ms: gateways
		/// that start together are counted within some questions.
		constexpr Millis kSteadyMs = 600;
		constexpr double kGrowth = 1.1;

		std::uint32_t mostTold(const ResendShare& _share)
		{
			std::uint32_t most = 0;
			for (const GatewayCount& told : _share.told)
			{
				most = std::max(most, told.count);
			}
			return most;
		}
	} // namespace

	void noteGateways(ResendShare& _share, std::uint32_t _count, Millis _windowMs, Millis _now)
	{
		const bool gap = _share.told.empty() || _now - _share.told.back().at > kLapseMs;
		const bool grown = double(_count) > kGrowth * double(mostTold(_share));
		if (0 == _share.steadySince || gap || grown)
		{
			_share.steadySince = _now;
		}
		while (!_share.told.empty() && _now - _share.told.front().at > _windowMs)
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
		return steady ? std::optional(std::max<std::uint32_t>(1, mostTold(_share))) : std::nullopt;
	}

	double allowanceShare(const ResendShare& _share, Millis _windowMs, Millis _now)
	{
		const std::optional<std::uint32_t> count = gatewaysTold(_share, _windowMs, kSteadyMs, _now);
		const double untold = 1.0 / double(kMostGateways);
		return count ? std::max(untold, kDealtShare / double(*count)) : untold;
	}
} // namespace archdyke
