/// Course of a planned stop: until when work is taken, and when callers whose work hasn't ended are answered.
///
/// A process that is stopped is killed at the end of its grace period. A caller that is cut off then can't tell whether its
/// request ran, so nothing is begun that may not end before, and what is still at work shortly before the end is answered.
#pragma once

#include <optional>

#include "archdyke/types.h"

namespace archdyke
{
	/// Times of the local clock.
	struct StopPlan
	{
		Millis takeUntil = 0; ///< Requests are read and sent as usual.
		Millis answerBy = 0;  ///< Requests that are still at work are answered by the process itself.
		Millis endBy = 0;     ///< The process exits, before it would be killed.

		bool operator==(const StopPlan&) const = default;
	};

	/// @param[in] _graceMs Time from the stop signal to the kill signal.
	StopPlan planStop(Millis _stoppedAt, Millis _graceMs);

	/// @param[in] _plan None: the process isn't stopping.
	/// @returns Whether a process still reads requests.
	bool mayRead(const std::optional<StopPlan>& _plan, Millis _now);

	/// @returns Whether work that lasts until its deadline at the latest may be begun.
	bool mayBegin(const std::optional<StopPlan>& _plan, Millis _deadlineAt, Millis _now);
} // namespace archdyke
