#include "archdyke/outage.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		/// An outage that lasts longer than this isn't one of the usual kind, ms: ranks stand still for
		/// 1.5 s and form within 0.6 s, killed processes are back and known within 2. A zone that is cut
		/// off takes longer, and nobody waits for it.
		constexpr Millis kUsualOutageMs = 2'600;
		/// When a group is open again as a rule, ms after it went down: see above.
		constexpr Millis kUsualOpeningMs = 2'000;
		constexpr Millis kLeastOpeningMs = 200;
		/// One part in so many of a caller's patience may be waited: the rest is for its answer.
		constexpr Millis kPatienceShare = 2;
		/// An outage that no request has seen for this long counts as another one, ms.
		constexpr Millis kUnseenMs = 1'000;
	} // namespace

	void noteOutage(Outage& _outage, bool _serves, Millis _now)
	{
		if (_serves)
		{
			_outage = {};
			return;
		}
		const bool another = 0 == _outage.since || kUnseenMs < _now - _outage.seenAt;
		_outage = {another ? _now : _outage.since, _now};
	}

	bool mayAwaitOpening(const Outage& _outage, const WaitingCaller& _caller, Millis _now)
	{
		const bool usual = _now - _outage.since < kUsualOutageMs;
		return _caller.cameBack && usual && _caller.waitedMs < _caller.patienceMs / kPatienceShare;
	}

	std::optional<Millis> expectedOpeningMs(const Outage& _outage, Millis _now)
	{
		const Millis age = _now - _outage.since;
		const bool known = 0 != _outage.since && _now - _outage.seenAt <= kUnseenMs;
		if (!known || kUsualOutageMs <= age)
		{
			return std::nullopt;
		}
		return std::max(kLeastOpeningMs, kUsualOpeningMs - age);
	}
} // namespace archdyke
