/// Decides what follows an attempt that ended without a complete response.
#pragma once

#include <cstdint>

#include "archdyke/types.h"

namespace archdyke
{
	/// Retry budget of an entry: a share of its successes plus a minimum rate, see "Retry
	/// budgets" in the Finagle manual and Google's SRE book, chapter 21.
	struct RetryBudget
	{
		double tokens = 0.0;
		Millis updatedAt = 0;

		bool operator==(const RetryBudget&) const = default;
	};

	/// Credits the budget for one success.
	void earnRetry(RetryBudget& _budget);

	/// Takes one retry out of the budget.
	/// @returns false when the budget is exhausted.
	bool spendRetry(RetryBudget& _budget, Millis _now);

	/// What is proved about the execution of an attempt that ended.
	enum class ExecutionProof
	{
		NotRun,  ///< The agent refused or revoked it, or its bytes were never sent.
		Ran,     ///< It started.
		Unknown, ///< Neither is proved.
		Count
	};

	/// An attempt that ended without a complete response.
	struct FailedAttempt
	{
		ExecutionProof proof = ExecutionProof::Unknown;
		RefusalReason refusal = RefusalReason::None;
		std::uint32_t attempt = 0; ///< 0 for the first attempt.
		bool repeatable = false;
		bool delivered = false; ///< Bytes of the response were already sent to the caller.
		Millis timeLeftMs = 0;  ///< Until the caller's deadline.

		bool operator==(const FailedAttempt&) const = default;
	};

	enum class NextStep
	{
		Retry,         ///< Outside the budget: the agent left and did no work.
		RetryOnBudget, ///< If spendRetry allows it; else see finalAnswer.
		AnswerNotRun,
		AnswerUnknown,
		AnswerBroken, ///< It ran; the response can't be completed.
		Count
	};

	/// Decides the next step. Never retries a request that may have run and is not repeatable,
	/// nor one of which response bytes were already sent to the caller.
	NextStep decideNext(const FailedAttempt& _try);

	/// @returns The final answer to the caller after an attempt that isn't retried.
	NextStep finalAnswer(const FailedAttempt& _try);
} // namespace archdyke
