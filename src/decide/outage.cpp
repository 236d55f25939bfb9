#include "archdyke/outage.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		/// Maximum duration of a usual outage: ranks stall for 1.5 s and form within 0.6 s; killed
		/// processes are restarted and discovered within 2 s. A zone partition takes longer, and callers
		/// don't wait for its end.
		constexpr Millis kMaxUsualOutageMs = 2'600;
		/// Usual time until a group is open again after it went down; see above.
		constexpr Millis kUsualRecoveryMs = 2'000;
		constexpr Millis kMinRecoveryMs = 200;
		/// A caller may wait this fraction (1/n) of its time; the rest is left for its response.
		constexpr Millis kPatienceDivisor = 2;
		/// An outage that no request has observed for this long counts as a new one.
		constexpr Millis kMaxUnseenMs = 1'000;
	} // namespace

	void recordOutage(Outage& _outage, bool _serves, Millis _now)
	{
		if (_serves)
		{
			_outage = {};
			return;
		}
		const bool isNew = 0 == _outage.since || kMaxUnseenMs < _now - _outage.seenAt;
		_outage = {isNew ? _now : _outage.since, _now};
	}

	bool mayWaitForRecovery(const Outage& _outage, const WaitingCaller& _caller, Millis _now)
	{
		const bool isUsual = _now - _outage.since < kMaxUsualOutageMs;
		return _caller.isReturningCaller && isUsual && _caller.waitedMs < _caller.patienceMs / kPatienceDivisor;
	}

	std::optional<Millis> expectedRecoveryMs(const Outage& _outage, Millis _now)
	{
		const Millis age = _now - _outage.since;
		const bool known = 0 != _outage.since && _now - _outage.seenAt <= kMaxUnseenMs;
		if (!known || kMaxUsualOutageMs <= age)
		{
			return std::nullopt;
		}
		return std::max(kMinRecoveryMs, kUsualRecoveryMs - age);
	}
} // namespace archdyke
