#include "archdyke/silence.h"

namespace archdyke
{
	namespace
	{
		/// From this on an upstream with requests counts as silent, ms: some passes of a slow group,
		/// and well within the 2 s after which callers leave a stream that says nothing.
		constexpr Millis kSilentMs = 600;
		/// Others answered meanwhile when one was heard this long after the upstream fell silent, ms:
		/// the ranks of a group that stands still fall silent within a pass of each other.
		constexpr Millis kOthersAnswerMs = 300;
		/// A request leaves a silent upstream after this, ms: the next one has time left to begin
		/// before callers leave.
		constexpr Millis kLeaveMs = 900;
	} // namespace

	bool isSilent(const Hearing& _hearing, Millis _now)
	{
		const bool quiet = 0 < _hearing.inFlight && _now - _hearing.quietSince > kSilentMs;
		return quiet && kOthersAnswerMs <= _hearing.othersHeardAt - _hearing.quietSince;
	}

	bool shouldLeaveSilent(const Hearing& _hearing, Millis _waitedMs, Millis _now)
	{
		return kLeaveMs <= _waitedMs && isSilent(_hearing, _now);
	}
} // namespace archdyke
