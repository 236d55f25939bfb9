#include "archdyke/come_back.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		/// Callers honour a time to come back of up to one part in so many of what they have left;
		/// beyond it they come when they like.
		constexpr Millis kHonouredShare = 3;
		/// Least time to come back, ms.
		constexpr Millis kLeastMs = 50;

		struct Span
		{
			Millis from;
			Millis to;
		};

		/// Usual time until a cause is over, ms.
		Span usualSpan(RefusalCause _cause)
		{
			switch (_cause)
			{
			case RefusalCause::NoConfiguration:
				return {200, 600};         // a first read of the store takes some 10 ms, 300 when slow
			case RefusalCause::StaleProof: // the caller's repeat reaches another gateway
			case RefusalCause::NoUpstream:
				return {500, 1'500};
			case RefusalCause::ColdUpstreams: // each second brings what they bear anew
			case RefusalCause::Evacuated:     // callers' repeats find upstreams of another zone that are back
			case RefusalCause::Overloaded:
				return {700, 2'000}; // a stream of usual length ends in 1 to 3 s
			case RefusalCause::BackOff:
				return {500, 1'000}; // from the end of the first one's time; then it takes all that come
			case RefusalCause::GroupDown:
				return {2'000, 2'600}; // stall and forming take some 2 s, a crash or a cut of a zone 4 to 6
			default:
				return {20, 100}; // another gateway takes it at once
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

	Millis comeBackAfter(RefusalCause _cause, std::optional<Millis> _reopenMs, Millis _patienceMs, Random& _random)
	{
		if (RefusalCause::CrashesUpstreams == _cause && _reopenMs)
		{
			return std::max(kLeastMs, *_reopenMs); // beyond its patience: to come back before is in vain
		}
		Span span = usualSpan(_cause);
		if (_reopenMs)
		{
			// Cold upstreams take some before they are warm; of a group that is down nothing.
			const Millis from = RefusalCause::ColdUpstreams == _cause ? std::min(span.from, *_reopenMs) : *_reopenMs;
			span = {from, from + (span.to - span.from)};
		}
		const Millis drawn = span.from + Millis(randomBelow(_random, std::uint64_t(span.to - span.from + 1)));
		return std::max(kLeastMs, std::min(drawn, _patienceMs / kHonouredShare));
	}
} // namespace archdyke
