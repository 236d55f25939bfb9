/// Back-off requested by upstreams.
#include "archdyke/back_off.h"
#include "archdyke/come_back.h"

#include <criterion/criterion.h>

using namespace archdyke;

Test(backoff, an_upstream_gets_no_requests_for_the_requested_time)
{
	BackOff backOff;
	cr_assert(0 == remainingBackOffMs(backOff, 0));
	cr_assert(recordBackOff(backOff, 3'000, 100));
	cr_assert(3'000 == remainingBackOffMs(backOff, 100) && 1 == remainingBackOffMs(backOff, 3'099) && 0 == remainingBackOffMs(backOff, 3'100));
}

Test(backoff, a_later_shorter_request_does_not_shorten_a_back_off)
{
	BackOff backOff;
	recordBackOff(backOff, 3'000, 0);
	cr_assert(!recordBackOff(backOff, 500, 1'000), "a back-off was active");
	cr_assert(2'000 == remainingBackOffMs(backOff, 1'000));
	cr_assert(!recordBackOff(backOff, 3'000, 1'000));
	cr_assert(3'000 == remainingBackOffMs(backOff, 1'000), "a longer one counts");
	cr_assert(recordBackOff(backOff, 100, 9'000), "the first one is over");
}

Test(backoff, a_wrong_header_does_not_exclude_an_upstream_for_good)
{
	BackOff backOff;
	recordBackOff(backOff, 31'536'000'000, 0);
	cr_assert(600'000 == remainingBackOffMs(backOff, 0));
	BackOff before;
	recordBackOff(before, -5, 7);
	cr_assert(0 == remainingBackOffMs(before, 7));
}

/// Callers that were refused together retry when the first upstream accepts requests again.
Test(backoff, retry_delay_ends_when_the_first_upstream_accepts_requests)
{
	Random random(1);
	Millis first = 10'000;
	Millis last = 0;
	for (int caller = 0; caller < 200; ++caller)
	{
		const Millis delay = chooseRetryDelayMs(RefusalCause::BackOff, 2'000, 30'000, random);
		first = std::min(first, delay);
		last = std::max(last, delay);
	}
	cr_assert(2'000 <= first && last <= 2'500 && 300 < last - first, "%lld to %lld ms", (long long)first, (long long)last);
	cr_assert(500 == chooseRetryDelayMs(RefusalCause::BackOff, 2'000, 1'500, random), "callers honour at most a third of their remaining time");
}

Test(backoff, an_unreadable_delay_is_none)
{
	cr_assert(3'000 == parseRetryAfter("3") && 250 == parseRetryAfter("0.25") && 0 == parseRetryAfter("0"));
	cr_assert(!parseRetryAfter("soon") && !parseRetryAfter("-1") && !parseRetryAfter("nan") && !parseRetryAfter(""));
	cr_assert(!parseRetryAfter("Thu, 03 Dec 2026 05:00:00 GMT"));
	cr_assert(31'536'000'000 == parseRetryAfter("1e300") && 31'536'000'000 == parseRetryAfter("inf"));
}
