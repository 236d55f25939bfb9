#include "archdyke/cold_share.h"

#include <algorithm>
#include <cmath>

#include "archdyke/excess_probability.h"
#include "archdyke/route.h"

namespace archdyke
{
	namespace
	{
		/// Length of a window: the second in which an upstream's arrivals are counted, plus the maximum
		/// connect time, by which a send may arrive later than the next one.
		constexpr Millis kWindowMs = 1'400;

		/// How long the reported gateway count must not have grown before it is used: after a restart of all
		/// gateways, coordinators discover them one by one, and a gateway that uses half the count sends
		/// twice its share.
		constexpr Millis kMinSteadyMs = 1'500;
		/// Assumed gateways per upstream while no count is reported: higher than in any deployment, since one
		/// gateway serves several upstreams.
		constexpr std::uint32_t kGatewaysPerUpstream = 2;
		/// Minimum of the estimate: a few upstreams say little about the number of gateways.
		constexpr std::uint32_t kMinGateways = 128;
	} // namespace

	std::uint32_t estimateGatewayCount(const ResendShare& _told, std::size_t _upstreams, Millis _windowMs, Millis _now)
	{
		const std::optional<std::uint32_t> steady = reportedGatewayCount(_told, _windowMs, kMinSteadyMs, _now);
		if (steady)
		{
			return *steady;
		}
		const std::uint32_t estimated = std::clamp(kGatewaysPerUpstream * std::uint32_t(_upstreams), kMinGateways, kMaxGateways);
		return std::max(estimated, reportedGatewayCount(_told, _windowMs, 0, _now).value_or(0));
	}

	ColdShare computeColdShare(const ColdCapacity& _terms)
	{
		const double count = std::max<double>(1.0, _terms.gateways);
		const double peak = std::floor(_terms.peakPerS);
		const double wanted = std::min(peak, _terms.sustainedPerS * double(kWindowMs) / 1'000.0) / count;
		const double fixedSends = std::floor(wanted);
		return {std::uint32_t(fixedSends), limitSelectionProbability(count, wanted - fixedSends, peak - count * fixedSends)};
	}

	std::uint32_t coldSendsPerWindow(const ColdShare& _share, std::string_view _gateway, std::string_view _incarnation)
	{
		const std::uint64_t hash = stableHash(_incarnation, stableHash(_gateway));
		const double uniform = std::ldexp(double(hash), -64);
		return _share.sends + (uniform < _share.extraSendProbability ? 1 : 0);
	}

	void recordCold(ColdState& _state, Millis _forMs, Millis _now)
	{
		_state.until = std::max(_state.until, _now + _forMs);
	}

	Millis remainingColdMs(const ColdState& _state, Millis _now)
	{
		return std::max<Millis>(0, _state.until - _now);
	}

	bool maySendCold(const ColdState& _state, std::uint32_t _sends, Millis _now)
	{
		const auto recent = std::count_if(_state.sends.begin(), _state.sends.end(), [&](Millis _at) {
			return _now - _at < kWindowMs;
		});
		return recent < std::ptrdiff_t(_sends);
	}

	void recordColdSend(ColdState& _state, Millis _now)
	{
		while (!_state.sends.empty() && _now - _state.sends.front() >= kWindowMs)
		{
			_state.sends.pop_front();
		}
		_state.sends.push_back(_now);
	}
} // namespace archdyke
