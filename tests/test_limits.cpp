/// Token buckets and retry budgets.
#include "archdyke/limits.h"
#include "archdyke/retry.h"
#include "base/config.h"
#include "check.h"

using namespace archdyke;

Test(limits, retry_after_is_the_time_until_the_next_token)
{
	TokenBucket bucket;
	const RateLimit limit{4.0, 2.0};
	cr_assert(!takeToken(bucket, limit, 0));
	cr_assert(!takeToken(bucket, limit, 0));
	const std::optional<Millis> wait = takeToken(bucket, limit, 0);
	cr_assert(250 == wait.value());
	cr_assert(takeToken(bucket, limit, 249).has_value());
	cr_assert(!takeToken(bucket, limit, 251));
}

Test(limits, never_more_than_rate_and_burst)
{
	tests::checkProperty("bucket against a count", [] {
		TokenBucket bucket;
		const RateLimit limit{double(*rc::gen::inRange(1, 100)), double(*rc::gen::inRange(1, 20))};
		Millis now = 0;
		double granted = 0.0;
		for (int index = 0; index < 200; ++index)
		{
			now += *rc::gen::inRange(0, 50);
			granted += takeToken(bucket, limit, now) ? 0.0 : 1.0;
			RC_ASSERT(granted <= limit.burst + limit.perSecond * double(now) / 1000.0 + 1e-6);
		}
	});
}

Test(limits, shares_of_all_entries_sum_to_the_limit)
{
	const RateLimit share = rateLimitPerEntry({100.0, 50.0}, 7);
	cr_assert(100.0 >= share.perSecond * 7.0 - 1e-9);
	cr_assert(1.0 == rateLimitPerEntry({100.0, 3.0}, 7).burst);
}

Test(retry, no_retry_after_it_may_have_run)
{
	tests::checkProperty("no second run of what may not be repeated", [] {
		FailedAttempt failed;
		failed.proof = ExecutionProof(*rc::gen::inRange(0, int(ExecutionProof::Count)));
		failed.refusal = RefusalReason(*rc::gen::inRange(0, int(RefusalReason::Count)));
		failed.attempt = std::uint32_t(*rc::gen::inRange(0, 6));
		failed.repeatable = *rc::gen::arbitrary<bool>();
		failed.delivered = *rc::gen::arbitrary<bool>();
		failed.timeLeftMs = *rc::gen::inRange(-10, 10);
		const NextStep step = decideNext(failed);
		const bool again = NextStep::Retry == step || NextStep::RetryOnBudget == step;
		RC_ASSERT(!again || ExecutionProof::NotRun == failed.proof || failed.repeatable);
		RC_ASSERT(!again || (!failed.delivered && 0 < failed.timeLeftMs && failed.attempt + 1 < kMaxAttempts));
		RC_ASSERT(NextStep::AnswerNotRun != step || ExecutionProof::NotRun == failed.proof);
	});
}

Test(retry, budget_is_a_share_of_successes)
{
	RetryBudget budget;
	int spent = 0;
	for (int index = 0; index < 1000; ++index)
	{
		earnRetry(budget);
		spent += spendRetry(budget, 0) ? 1 : 0;
	}
	cr_assert(95 <= spent && spent <= 101, "%d retries on 1000 successes", spent);
}
