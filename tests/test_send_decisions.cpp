/// Whether a request may be sent: what its key permits, and what a stopping process may still begin.
#include <criterion/criterion.h>

#include "archdyke/key_permission.h"
#include "archdyke/stop_plan.h"

using namespace archdyke;

/// Guards against a stop that takes work or answers too late, for any grace period.
Test(senddecisions, a_stop_takes_then_answers_then_ends_within_its_grace)
{
	constexpr Millis kStoppedAt = 1'000'000;
	for (const Millis graceMs : {100, 500, 1'000, 4'000, 8'000, 30'000, 3'600'000})
	{
		const StopPlan plan = planStop(kStoppedAt, graceMs);
		cr_assert(kStoppedAt < plan.takeUntil && plan.takeUntil < plan.answerBy && plan.answerBy < plan.endBy && plan.endBy < kStoppedAt + graceMs);
		cr_assert(mayRead(plan, plan.takeUntil - 1) && !mayRead(plan, plan.takeUntil));
		cr_assert(mayBegin(plan, plan.endBy + graceMs, plan.takeUntil - 1), "at first all is taken");
		cr_assert(mayBegin(plan, plan.answerBy, plan.takeUntil) && !mayBegin(plan, plan.answerBy + 1, plan.takeUntil));
	}
	cr_assert(mayRead(std::nullopt, kStoppedAt) && mayBegin(std::nullopt, kStoppedAt, kStoppedAt));
}

/// Guards against keys that permit or name anything on an older proof than routes with keys need.
Test(senddecisions, a_key_is_as_good_as_the_proof_of_its_configuration)
{
	constexpr Millis kMaxAgeMs = 4'700;
	for (const bool isPublic : {false, true})
	{
		for (const bool isKnown : {false, true})
		{
			for (const bool proofRequired : {false, true})
			{
				for (const std::optional<Millis> age : {std::optional<Millis>(), std::optional<Millis>(kMaxAgeMs - 1), std::optional<Millis>(kMaxAgeMs)})
				{
					const bool isProved = age && *age < kMaxAgeMs;
					const KeyPermission permission = judgeKey({isPublic, isKnown, proofRequired, age, kMaxAgeMs});
					cr_assert((isKnown && (isProved || (!isPublic && !proofRequired))) == (KeyPermission::Named == permission));
					cr_assert(!isPublic || KeyPermission::Named == permission || KeyPermission::Anonymous == permission, "a public route is served");
					cr_assert(isPublic || !proofRequired || isProved || KeyPermission::StaleProof == permission);
				}
			}
		}
	}
}
