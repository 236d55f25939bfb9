#include "archdyke/come_back.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		/// Callers honour a retry delay of up to this fraction (1/n) of their remaining time; a longer
		/// delay is ignored.
		constexpr Millis kHonouredDivisor = 3;
		constexpr Millis kMinDelayMs = 50;

		struct DelayRange
		{
			Millis from;
			Millis to;
		};

		/// @returns Range of the time after which a cause is usually over, ms.
		DelayRange usualDelay(RefusalCause _cause)
		{
			switch (_cause)
			{
			case RefusalCause::NoConfiguration:
				return {200, 600};         // the first read of the store takes about 10 ms, 300 ms when slow
			case RefusalCause::StaleProof: // the retry reaches another gateway
			case RefusalCause::NoUpstream:
				return {500, 1'500};
			case RefusalCause::ColdUpstreams:  // their limit is renewed every second
			case RefusalCause::UpstreamLimits: // the retry reaches another gateway, which has a share of its own
			case RefusalCause::Evacuated:      // the retry finds recovered upstreams in another zone
			case RefusalCause::Overloaded:
				return {700, 2'000}; // a stream of usual length ends within 1 to 3 s
			case RefusalCause::BackOff:
				return {500, 1'000}; // after the first back-off ends, that upstream accepts all requests
			case RefusalCause::GroupDown:
				return {2'000, 2'600}; // stall and forming take about 2 s, a crash or zone partition 4 to 6 s
			default:
				return {20, 100}; // another gateway accepts it at once
			}
		}
	} // namespace

	std::string_view toString(RefusalCause _cause)
	{
		switch (_cause)
		{
		case RefusalCause::NoConfiguration:
			return "no_configuration";
		case RefusalCause::StaleProof:
			return "stale_proof";
		case RefusalCause::NoUpstream:
			return "no_upstream";
		case RefusalCause::Overloaded:
			return "overloaded";
		case RefusalCause::ColdUpstreams:
			return "cold_upstreams";
		case RefusalCause::UpstreamLimits:
			return "upstream_limits";
		case RefusalCause::BackOff:
			return "back_off";
		case RefusalCause::Evacuated:
			return "evacuated";
		case RefusalCause::GroupDown:
			return "group_down";
		case RefusalCause::CrashesUpstreams:
			return "crashes_upstreams";
		default:
			return "leaving";
		}
	}

	Millis chooseRetryDelayMs(RefusalCause _cause, std::optional<Millis> _reopenMs, Millis _patienceMs, Random& _random)
	{
		if (RefusalCause::CrashesUpstreams == _cause && _reopenMs)
		{
			return std::max(kMinDelayMs, *_reopenMs); // not limited by the caller's remaining time: an earlier retry would be refused again
		}
		DelayRange range = usualDelay(_cause);
		if (_reopenMs)
		{
			// Cold upstreams accept some requests before they are warm; a group that is down accepts none.
			const Millis from = RefusalCause::ColdUpstreams == _cause ? std::min(range.from, *_reopenMs) : *_reopenMs;
			range = {from, from + (range.to - range.from)};
		}
		const Millis delay = range.from + Millis(randomBelow(_random, std::uint64_t(range.to - range.from + 1)));
		return std::max(kMinDelayMs, std::min(delay, _patienceMs / kHonouredDivisor));
	}
} // namespace archdyke
