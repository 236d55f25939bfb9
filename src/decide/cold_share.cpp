#include "archdyke/cold_share.h"

#include <algorithm>
#include <cmath>

#include "archdyke/route.h"

namespace archdyke
{
	namespace
	{
		/// Length of a window: the second in which an upstream's arrivals are counted, plus the maximum
		/// connect time, by which a send may arrive later than the next one.
		constexpr Millis kWindowMs = 1'400;
		/// Logarithm of the accepted probability that more gateways get an extra send to an upstream than
		/// it survives: one in a million, which with a hundred restarts a day occurs once in decades.
		constexpr double kLogMaxExcessProbability = -13.8;
		/// Steps of the bisection for a probability: a precision of one in a million.
		constexpr int kBisectionSteps = 20;

		/// How long the reported gateway count must not have grown before it is used: after a restart of all
		/// gateways, coordinators discover them one by one, and a gateway that uses half the count sends
		/// twice its share.
		constexpr Millis kMinSteadyMs = 1'500;
		/// Assumed gateways per upstream while no count is reported: higher than in any deployment, since one
		/// gateway serves several upstreams.
		constexpr std::uint32_t kGatewaysPerUpstream = 2;
		/// Minimum of the estimate: a few upstreams say little about the number of gateways.
		constexpr std::uint32_t kMinGateways = 128;

		/// @returns Upper bound of the logarithm of the probability that more than _max of _count gateways
		/// are selected, each with probability _probability. H. Chernoff, Ann. Math. Statist. 23(4), 1952.
		double logExcessProbability(double _count, double _probability, double _max)
		{
			const double fraction = (_max + 1.0) / _count;
			if (1.0 < fraction || _probability <= 0.0)
			{
				return -HUGE_VAL;
			}
			if (fraction <= _probability)
			{
				return 0.0;
			}
			const double complement = 1.0 == fraction ? 0.0 : (1.0 - fraction) * std::log((1.0 - fraction) / (1.0 - _probability));
			return -_count * (fraction * std::log(fraction / _probability) + complement);
		}

		/// @returns The largest probability up to _wanted with which the excess stays within kLogMaxExcessProbability.
		double limitProbability(double _count, double _wanted, double _max)
		{
			if (logExcessProbability(_count, _wanted, _max) <= kLogMaxExcessProbability)
			{
				return _wanted;
			}
			double low = 0.0;
			double high = _wanted;
			for (int step = 0; step < kBisectionSteps; ++step)
			{
				const double middle = (low + high) / 2.0;
				(logExcessProbability(_count, middle, _max) <= kLogMaxExcessProbability ? low : high) = middle;
			}
			return low;
		}
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
		return {std::uint32_t(fixedSends), limitProbability(count, wanted - fixedSends, peak - count * fixedSends)};
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
