#include "archdyke/cold_share.h"

#include <algorithm>
#include <cmath>

#include "archdyke/route.h"

namespace archdyke
{
	namespace
	{
		/// Length of a window, ms: a second, in which an upstream's arrivals are counted, and the longest
		/// wait for a connection, by which a send may leave later than the one after it.
		constexpr Millis kWindowMs = 1'400;
		/// Logarithm of the chance that more gateways have a further send to an upstream than it survives:
		/// one in a million, so that a hundred restarts a day break it once in decades.
		constexpr double kLogOfChance = -13.8;
		/// Halvings in the search for a share: one in a million of a gateway.
		constexpr int kHalvings = 20;

		/// A number of gateways must have been told for this long without growth, ms: after a restart of all,
		/// coordinators hear of them one by one, and one that goes by half their number sends twice its share.
		constexpr Millis kSteadyMs = 1'500;
		/// Gateways that are assumed for each upstream while nobody tells: one serves several upstreams, so
		/// nobody pays for as many.
		constexpr std::uint32_t kGatewaysPerUpstream = 2;
		/// The least that are assumed: of few upstreams one can't tell.
		constexpr std::uint32_t kLeastGateways = 128;

		/// @returns Bound on the logarithm of the chance that more than _most of _count gateways are drawn
		/// when each is with _chance. H. Chernoff, Ann. Math. Statist. 23(4), 1952.
		double logOfExcess(double _count, double _chance, double _most)
		{
			const double part = (_most + 1.0) / _count;
			if (1.0 < part || _chance <= 0.0)
			{
				return -HUGE_VAL;
			}
			if (part <= _chance)
			{
				return 0.0;
			}
			const double others = 1.0 == part ? 0.0 : (1.0 - part) * std::log((1.0 - part) / (1.0 - _chance));
			return -_count * (part * std::log(part / _chance) + others);
		}

		/// @returns The largest chance up to the wanted one that keeps the excess as rare as it must be.
		double rareEnough(double _count, double _wanted, double _most)
		{
			if (logOfExcess(_count, _wanted, _most) <= kLogOfChance)
			{
				return _wanted;
			}
			double low = 0.0;
			double high = _wanted;
			for (int halving = 0; halving < kHalvings; ++halving)
			{
				const double middle = (low + high) / 2.0;
				(logOfExcess(_count, middle, _most) <= kLogOfChance ? low : high) = middle;
			}
			return low;
		}
	} // namespace

	std::uint32_t gatewaysAssumed(const ResendShare& _told, std::size_t _upstreams, Millis _windowMs, Millis _now)
	{
		const std::optional<std::uint32_t> steady = gatewaysTold(_told, _windowMs, kSteadyMs, _now);
		if (steady)
		{
			return *steady;
		}
		const std::uint32_t likely = std::clamp(kGatewaysPerUpstream * std::uint32_t(_upstreams), kLeastGateways, kMostGateways);
		return std::max(likely, gatewaysTold(_told, _windowMs, 0, _now).value_or(0));
	}

	ColdShare coldShareOf(const ColdTerms& _terms)
	{
		const double count = std::max<double>(1.0, _terms.gateways);
		const double most = std::floor(_terms.mostPerS);
		const double wanted = std::min(most, _terms.bornePerS * double(kWindowMs) / 1'000.0) / count;
		const double each = std::floor(wanted);
		return {std::uint32_t(each), rareEnough(count, wanted - each, most - count * each)};
	}

	std::uint32_t sendsInWindow(const ColdShare& _share, std::string_view _gateway, std::string_view _incarnation)
	{
		const std::uint64_t hash = stableHash(_incarnation, stableHash(_gateway));
		const double drawn = std::ldexp(double(hash), -64);
		return _share.sends + (drawn < _share.chanceOfMore ? 1 : 0);
	}

	void noteCold(ColdState& _state, Millis _forMs, Millis _now)
	{
		_state.until = std::max(_state.until, _now + _forMs);
	}

	Millis warmInMs(const ColdState& _state, Millis _now)
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

	void noteColdSend(ColdState& _state, Millis _now)
	{
		while (!_state.sends.empty() && _now - _state.sends.front() >= kWindowMs)
		{
			_state.sends.pop_front();
		}
		_state.sends.push_back(_now);
	}
} // namespace archdyke
