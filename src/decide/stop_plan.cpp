#include "archdyke/stop_plan.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		/// How long requests are taken after the stop signal, ms: the balancer in front of the gateways probes readiness every
		/// second and removes a gateway after two failed probes.
		constexpr Millis kTakeMs = 2'600;
		constexpr Millis kTakeDivisor = 3;
		/// The process exits this long before it would be killed, ms.
		constexpr Millis kExitMarginMs = 300;
		constexpr Millis kExitMarginDivisor = 4;
		/// Time for the process's own answers at the end, ms.
		constexpr Millis kAnswerMs = 200;
		constexpr Millis kAnswerDivisor = 8;
	} // namespace

	StopPlan planStop(Millis _stoppedAt, Millis _graceMs)
	{
		StopPlan plan;
		plan.takeUntil = _stoppedAt + std::min(kTakeMs, _graceMs / kTakeDivisor);
		plan.endBy = _stoppedAt + _graceMs - std::min(kExitMarginMs, _graceMs / kExitMarginDivisor);
		plan.answerBy = plan.endBy - std::min(kAnswerMs, _graceMs / kAnswerDivisor);
		return plan;
	}

	bool mayRead(const std::optional<StopPlan>& _plan, Millis _now)
	{
		return !_plan || _now < _plan->takeUntil;
	}

	bool mayBegin(const std::optional<StopPlan>& _plan, Millis _deadlineAt, Millis _now)
	{
		return mayRead(_plan, _now) || _deadlineAt <= _plan->answerBy;
	}
} // namespace archdyke
