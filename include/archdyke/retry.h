/// What follows a try that brought no whole answer.
#pragma once

#include <cstdint>

#include "archdyke/types.h"

namespace archdyke
{
	/// Retries that an entry may still spend: a share of its successes and a floor, see
	/// "Retry budgets" in the Finagle manual and Google's SRE book, chapter 21.
	struct RetryBudget
	{
		double tokens = 0.0;
		Millis updatedAt = 0;

		bool operator==(const RetryBudget&) const = default;
	};

	/// Adds what one success earns.
	void earnRetry(RetryBudget& _budget);

	/// Takes one retry out of the budget.
	/// @returns false when it is spent.
	bool spendRetry(RetryBudget& _budget, Millis _now);

	/// What is proved of the try that ended.
	enum class Proof
	{
		NotRun,  ///< The agent refused it or took it back, or its bytes never left.
		Ran,     ///< It started.
		Unknown, ///< Neither is proved.
		Count
	};

	/// A try that ended without a whole answer.
	struct FailedTry
	{
		Proof proof = Proof::Unknown;
		RefusalReason refusal = RefusalReason::None;
		std::uint32_t attempt = 0; ///< 0 for the first.
		bool repeatable = false;
		bool delivered = false; ///< Bytes of it went to the caller.
		Millis timeLeftMs = 0;  ///< Until the caller's deadline.

		bool operator==(const FailedTry&) const = default;
	};

	enum class NextStep
	{
		Retry,         ///< Free of budget: the agent went away, no work was done.
		RetryOnBudget, ///< Only if spendRetry allows it; else answer as if it were not allowed.
		AnswerNotRun,
		AnswerUnknown,
		AnswerBroken, ///< It ran; the answer can't be completed.
		Count
	};

	/// Decides what follows. Never a second try of a request that may have run and may
	/// not be repeated, nor after bytes went to the caller.
	NextStep decideNext(const FailedTry& _try);

	/// @returns The final answer for a try that gets no retry.
	NextStep finalAnswer(const FailedTry& _try);
} // namespace archdyke
