/// Requests that crash upstreams: refusal, clearing and expiry.
// Included before Criterion, whose macros break the hash headers.
#include "archdyke/come_back.h"
#include "archdyke/crash_blame.h"

#include <criterion/criterion.h>

using namespace archdyke;

namespace
{
	constexpr Millis kNow = 1'000'000;

	/// @returns Crashes of several upstreams under one request, one second apart, the last one now.
	CrashTable crashesUnder(const std::string& _request, int _upstreams)
	{
		CrashTable table;
		for (int upstream = 0; upstream < _upstreams; ++upstream)
		{
			recordCrash(table, {_request, "u" + std::to_string(upstream)}, kNow - 1'000 * (_upstreams - 1 - upstream));
		}
		return table;
	}
} // namespace

Test(crashblame, a_request_is_refused_after_its_third_crashed_upstream)
{
	cr_assert(!remainingRefusalMs(crashesUnder("r", 2), "r", kNow));
	const CrashTable table = crashesUnder("r", 3);
	cr_assert(remainingRefusalMs(table, "r", kNow) == kCrashLifetimeMs - 2'000);
	cr_assert(!remainingRefusalMs(table, "another", kNow));
}

Test(crashblame, a_crash_reported_twice_counts_once)
{
	CrashTable table = crashesUnder("r", 2);
	cr_assert(!recordCrash(table, {"r", "u1"}, kNow));
	cr_assert(2 == countCrashes(table, "r", kNow) && !remainingRefusalMs(table, "r", kNow));
}

Test(crashblame, a_request_is_refused_until_fewer_than_three_crashes_are_left)
{
	CrashTable table = crashesUnder("r", 4); // 3, 2 and 1 s ago, and now
	const Millis until = kNow - 2'000 + kCrashLifetimeMs;
	cr_assert(remainingRefusalMs(table, "r", until - 1) == 1);
	cr_assert(!remainingRefusalMs(table, "r", until));
	cr_assert(2 == countCrashes(table, "r", until));
	cr_assert(2 == removeExpiredCrashes(table, until).size());
	cr_assert(2 == removeExpiredCrashes(table, kNow + kCrashLifetimeMs).size());
	cr_assert(table.byRequest.empty());
}

Test(crashblame, a_completed_run_clears_only_its_request)
{
	CrashTable table = crashesUnder("r", 3);
	recordCrash(table, {"s", "u0"}, kNow);
	cr_assert(3 == clearRequest(table, "r").size());
	cr_assert(!remainingRefusalMs(table, "r", kNow) && 1 == countCrashes(table, "s", kNow));
	cr_assert(clearRequest(table, "r").empty());
}

Test(crashblame, a_removed_crash_no_longer_counts)
{
	CrashTable table = crashesUnder("r", 3);
	removeCrash(table, {"r", "u0"});
	removeCrash(table, {"unknown", "u0"});
	cr_assert(!isHeld(table, {"r", "u0"}) && isHeld(table, {"r", "u1"}));
	cr_assert(!remainingRefusalMs(table, "r", kNow));
}

Test(crashblame, a_completed_request_is_remembered_for_at_least_one_generation)
{
	RecentCompletions runs;
	recordCompletion(runs, 1, kNow);
	recordCompletion(runs, 2, kNow + kGenerationMs - 1);
	recordCompletion(runs, 3, kNow + kGenerationMs);
	cr_assert(completedRecently(runs, 1, kNow + kGenerationMs) && completedRecently(runs, 2, kNow + 2 * kGenerationMs - 2));
	cr_assert(!completedRecently(runs, 4, kNow));
	cr_assert(!completedRecently(runs, 1, kNow + 3 * kGenerationMs), "nothing ran since");
	recordCompletion(runs, 5, kNow + 100 * kGenerationMs);
	cr_assert(!completedRecently(runs, 3, kNow + 100 * kGenerationMs));
}

Test(crashblame, retry_delay_covers_the_whole_refusal)
{
	Random random(1);
	cr_assert(kCrashLifetimeMs == chooseRetryDelayMs(RefusalCause::CrashesUpstreams, kCrashLifetimeMs, 1'500, random));
}
