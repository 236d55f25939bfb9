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
			noteCrash(table, {_request, "u" + std::to_string(upstream)}, kNow - 1'000 * (_upstreams - 1 - upstream));
		}
		return table;
	}
} // namespace

Test(crashblame, a_request_is_refused_after_its_third_crashed_upstream)
{
	cr_assert(!refusedForMs(crashesUnder("r", 2), "r", kNow));
	const CrashTable table = crashesUnder("r", 3);
	cr_assert(refusedForMs(table, "r", kNow) == kBlameMs - 2'000);
	cr_assert(!refusedForMs(table, "another", kNow));
}

Test(crashblame, a_crash_reported_twice_counts_once)
{
	CrashTable table = crashesUnder("r", 2);
	cr_assert(!noteCrash(table, {"r", "u1"}, kNow));
	cr_assert(2 == crashesOf(table, "r", kNow) && !refusedForMs(table, "r", kNow));
}

Test(crashblame, a_request_is_refused_until_fewer_than_three_crashes_are_left)
{
	CrashTable table = crashesUnder("r", 4); // 3, 2 and 1 s ago, and now
	const Millis until = kNow - 2'000 + kBlameMs;
	cr_assert(refusedForMs(table, "r", until - 1) == 1);
	cr_assert(!refusedForMs(table, "r", until));
	cr_assert(2 == crashesOf(table, "r", until));
	cr_assert(2 == forgetCrashes(table, until).size());
	cr_assert(2 == forgetCrashes(table, kNow + kBlameMs).size());
	cr_assert(table.byRequest.empty());
}

Test(crashblame, a_completed_run_clears_only_its_request)
{
	CrashTable table = crashesUnder("r", 3);
	noteCrash(table, {"s", "u0"}, kNow);
	cr_assert(3 == clearRequest(table, "r").size());
	cr_assert(!refusedForMs(table, "r", kNow) && 1 == crashesOf(table, "s", kNow));
	cr_assert(clearRequest(table, "r").empty());
}

Test(crashblame, a_removed_crash_no_longer_counts)
{
	CrashTable table = crashesUnder("r", 3);
	dropCrash(table, {"r", "u0"});
	dropCrash(table, {"unknown", "u0"});
	cr_assert(!isHeld(table, {"r", "u0"}) && isHeld(table, {"r", "u1"}));
	cr_assert(!refusedForMs(table, "r", kNow));
}

Test(crashblame, a_completed_request_is_remembered_for_at_least_one_generation)
{
	RecentRuns runs;
	noteRun(runs, 1, kNow);
	noteRun(runs, 2, kNow + kGenerationMs - 1);
	noteRun(runs, 3, kNow + kGenerationMs);
	cr_assert(ranLately(runs, 1, kNow + kGenerationMs) && ranLately(runs, 2, kNow + 2 * kGenerationMs - 2));
	cr_assert(!ranLately(runs, 4, kNow));
	cr_assert(!ranLately(runs, 1, kNow + 3 * kGenerationMs), "nothing ran since");
	noteRun(runs, 5, kNow + 100 * kGenerationMs);
	cr_assert(!ranLately(runs, 3, kNow + 100 * kGenerationMs));
}

Test(crashblame, retry_delay_covers_the_whole_refusal)
{
	Random random(1);
	cr_assert(kBlameMs == comeBackAfter(RefusalCause::CrashesUpstreams, kBlameMs, 1'500, random));
}
