#include "archdyke/retry.h"

#include <algorithm>

#include "base/config.h"

namespace archdyke
{
	void earnRetry(RetryBudget& _budget)
	{
		_budget.tokens = std::min(kMaxRetryBurst, _budget.tokens + kRetriesPerSuccess);
	}

	bool spendRetry(RetryBudget& _budget, Millis _now)
	{
		const double earned = double(std::max<Millis>(0, _now - _budget.updatedAt)) * kMinRetriesPerSecond / 1000.0;
		_budget.tokens = std::min(kMaxRetryBurst, _budget.tokens + earned);
		_budget.updatedAt = std::max(_budget.updatedAt, _now);
		if (_budget.tokens < 1.0)
		{
			return false;
		}
		_budget.tokens -= 1.0;
		return true;
	}

	NextStep finalAnswer(const FailedAttempt& _try)
	{
		switch (_try.proof)
		{
		case ExecutionProof::NotRun:
			return NextStep::AnswerNotRun;
		case ExecutionProof::Ran:
			return NextStep::AnswerBroken;
		default:
			return NextStep::AnswerUnknown;
		}
	}

	NextStep decideNext(const FailedAttempt& _try)
	{
		const bool mayRepeat = ExecutionProof::NotRun == _try.proof || _try.repeatable;
		if (!mayRepeat || _try.delivered || _try.timeLeftMs <= 0 || kMaxAttempts <= _try.attempt + 1)
		{
			return finalAnswer(_try);
		}
		if (RefusalReason::CrashesUpstreams == _try.refusal)
		{
			return finalAnswer(_try);
		}
		// Trying all other agents would not meet the deadline: each computes the same estimate again
		// while the caller waits.
		if (RefusalReason::Deadline == _try.refusal && 0 < _try.attempt)
		{
			return finalAnswer(_try);
		}
		const bool agentLeft = RefusalReason::Leaving == _try.refusal || RefusalReason::WrongIncarnation == _try.refusal;
		return agentLeft ? NextStep::Retry : NextStep::RetryOnBudget;
	}
} // namespace archdyke
