/// Decisions on requests that crash upstreams, without a clock.
// Before Criterion, whose macros break the hash headers.
#include "archdyke/come_back.h"
#include "archdyke/crash_blame.h"

#include <criterion/criterion.h>

using namespace archdyke;

namespace
{
	constexpr Millis kNow = 1'000'000;

	/// A request under which so many upstreams ended, a second apart; the last one now.
	CrashTable crashed(const std::string& _request, int _upstreams)
	{
		CrashTable table;
		for (int upstream = 0; upstream < _upstreams; ++upstream)
		{
			noteCrash(table, {_request, "u" + std::to_string(upstream)}, kNow - 1'000 * (_upstreams - 1 - upstream));
		}
		return table;
	}
} // namespace

Test(crashblame, a_request_is_refused_from_its_third_upstream_on)
{
	cr_assert(!refusedForMs(crashed("r", 2), "r", kNow));
	const CrashTable table = crashed("r", 3);
	cr_assert(refusedForMs(table, "r", kNow) == kBlameMs - 2'000);
	cr_assert(!refusedForMs(table, "another", kNow));
}

Test(crashblame, one_upstream_counts_once_whoever_tells_of_it)
{
	CrashTable table = crashed("r", 2);
	cr_assert(!noteCrash(table, {"r", "u1"}, kNow));
	cr_assert(2 == crashesOf(table, "r", kNow) && !refusedForMs(table, "r", kNow));
}

Test(crashblame, it_is_refused_until_fewer_than_three_count)
{
	CrashTable table = crashed("r", 4); // 3, 2 and 1 s ago, and now
	const Millis until = kNow - 2'000 + kBlameMs;
	cr_assert(refusedForMs(table, "r", until - 1) == 1);
	cr_assert(!refusedForMs(table, "r", until));
	cr_assert(2 == crashesOf(table, "r", until));
	cr_assert(2 == forgetCrashes(table, until).size());
	cr_assert(2 == forgetCrashes(table, kNow + kBlameMs).size());
	cr_assert(table.byRequest.empty());
}

Test(crashblame, a_run_that_came_to_an_end_clears_its_request_alone)
{
	CrashTable table = crashed("r", 3);
	noteCrash(table, {"s", "u0"}, kNow);
	cr_assert(3 == clearRequest(table, "r").size());
	cr_assert(!refusedForMs(table, "r", kNow) && 1 == crashesOf(table, "s", kNow));
	cr_assert(clearRequest(table, "r").empty());
}

Test(crashblame, a_crash_that_somebody_removed_counts_no_longer)
{
	CrashTable table = crashed("r", 3);
	dropCrash(table, {"r", "u0"});
	dropCrash(table, {"unknown", "u0"});
	cr_assert(!isHeld(table, {"r", "u0"}) && isHeld(table, {"r", "u1"}));
	cr_assert(!refusedForMs(table, "r", kNow));
}

Test(crashblame, a_request_that_runs_well_now_and_then_is_known_for_one_generation_at_least)
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

Test(crashblame, a_caller_is_told_the_whole_time)
{
	Random random(1);
	cr_assert(kBlameMs == comeBackAfter(RefusalCause::CrashesUpstreams, kBlameMs, 1'500, random));
}
