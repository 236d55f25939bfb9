/// How long an upstream wants nothing, as it said itself.
#include "archdyke/back_off.h"
#include "archdyke/come_back.h"

#include <criterion/criterion.h>

using namespace archdyke;

Test(backoff, an_upstream_is_left_alone_for_as_long_as_it_asked)
{
	BackOff backOff;
	cr_assert(0 == backOffLeftMs(backOff, 0));
	cr_assert(noteBackOff(backOff, 3'000, 100));
	cr_assert(3'000 == backOffLeftMs(backOff, 100) && 1 == backOffLeftMs(backOff, 3'099) && 0 == backOffLeftMs(backOff, 3'100));
}

Test(backoff, a_shorter_time_that_is_asked_for_later_ends_nothing)
{
	BackOff backOff;
	noteBackOff(backOff, 3'000, 0);
	cr_assert(!noteBackOff(backOff, 500, 1'000), "one was under way");
	cr_assert(2'000 == backOffLeftMs(backOff, 1'000));
	cr_assert(!noteBackOff(backOff, 3'000, 1'000));
	cr_assert(3'000 == backOffLeftMs(backOff, 1'000), "a longer one counts");
	cr_assert(noteBackOff(backOff, 100, 9'000), "the first one is over");
}

Test(backoff, no_slip_in_a_header_takes_an_upstream_away_for_good)
{
	BackOff backOff;
	noteBackOff(backOff, 31'536'000'000, 0);
	cr_assert(600'000 == backOffLeftMs(backOff, 0));
	BackOff before;
	noteBackOff(before, -5, 7);
	cr_assert(0 == backOffLeftMs(before, 7));
}

/// Load pattern: callers that were refused together come back when the first upstream takes requests again.
Test(backoff, callers_are_told_to_come_once_the_first_upstream_wants_requests)
{
	Random random(1);
	Millis first = 10'000;
	Millis last = 0;
	for (int caller = 0; caller < 200; ++caller)
	{
		const Millis told = comeBackAfter(RefusalCause::BackOff, 2'000, 30'000, random);
		first = std::min(first, told);
		last = std::max(last, told);
	}
	cr_assert(2'000 <= first && last <= 2'500 && 300 < last - first, "%lld to %lld ms", (long long)first, (long long)last);
	cr_assert(500 == comeBackAfter(RefusalCause::BackOff, 2'000, 1'500, random), "callers keep to no more than a third of what they have left");
}

Test(backoff, a_time_that_cant_be_read_is_none)
{
	cr_assert(3'000 == parseBackOff("3") && 250 == parseBackOff("0.25") && 0 == parseBackOff("0"));
	cr_assert(!parseBackOff("soon") && !parseBackOff("-1") && !parseBackOff("nan") && !parseBackOff(""));
	cr_assert(!parseBackOff("Thu, 03 Dec 2026 05:00:00 GMT"));
	cr_assert(31'536'000'000 == parseBackOff("1e300") && 31'536'000'000 == parseBackOff("inf"));
}
