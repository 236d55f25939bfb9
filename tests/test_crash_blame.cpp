/// Requests that crash upstreams: refusal, clearing and expiry.
// Included before Criterion, whose macros break the hash headers.
#include "archdyke/come_back.h"
#include "archdyke/crash_blame.h"

#include <criterion/criterion.h>

using namespace archdyke;

namespace
{
	constexpr Millis kNow = 1'000'000;

	/// @returns A run that crashed its upstream at once.
	CrashedRun at(Millis _time)
	{
		return {_time, _time};
	}

	/// @returns Crashes of several upstreams under one request, one second apart, the last one now.
	CrashTable crashesUnder(const std::string& _request, int _upstreams)
	{
		CrashTable table;
		for (int upstream = 0; upstream < _upstreams; ++upstream)
		{
			recordCrash(table, {_request, "u" + std::to_string(upstream)}, at(kNow - 1'000 * (_upstreams - 1 - upstream)));
		}
		return table;
	}
} // namespace

Test(crashblame, a_request_is_refused_after_its_third_crashed_upstream)
{
	cr_assert(!remainingRefusalMs(crashesUnder("r", 2), {"r"}, kNow));
	const CrashTable table = crashesUnder("r", 3);
	cr_assert(remainingRefusalMs(table, {"r"}, kNow) == kCrashLifetimeMs - 2'000);
	cr_assert(!remainingRefusalMs(table, {"another"}, kNow));
}

Test(crashblame, a_crash_reported_twice_counts_once)
{
	CrashTable table = crashesUnder("r", 2);
	cr_assert(!recordCrash(table, {"r", "u1"}, at(kNow)));
	cr_assert(2 == countCrashes(table, "r", kNow) && !remainingRefusalMs(table, {"r"}, kNow));
}

Test(crashblame, a_request_is_refused_until_fewer_than_three_crashes_are_left)
{
	CrashTable table = crashesUnder("r", 4); // 3, 2 and 1 s ago, and now
	const Millis until = kNow - 2'000 + kCrashLifetimeMs;
	cr_assert(remainingRefusalMs(table, {"r"}, until - 1) == 1);
	cr_assert(!remainingRefusalMs(table, {"r"}, until));
	cr_assert(2 == countCrashes(table, "r", until));
	cr_assert(2 == removeExpiredCrashes(table, until).size());
	cr_assert(2 == removeExpiredCrashes(table, kNow + kCrashLifetimeMs).size());
	cr_assert(table.bySuspect.empty());
}

Test(crashblame, a_completed_run_clears_only_its_request)
{
	CrashTable table = crashesUnder("r", 3);
	recordCrash(table, {"s", "u0"}, at(kNow));
	cr_assert(3 == clearSuspect(table, "r").size());
	cr_assert(!remainingRefusalMs(table, {"r"}, kNow) && 1 == countCrashes(table, "s", kNow));
	cr_assert(clearSuspect(table, "r").empty());
}

Test(crashblame, a_removed_crash_no_longer_counts)
{
	CrashTable table = crashesUnder("r", 3);
	removeCrash(table, {"r", "u0"});
	removeCrash(table, {"unknown", "u0"});
	cr_assert(!isHeld(table, {"r", "u0"}) && isHeld(table, {"r", "u1"}));
	cr_assert(!remainingRefusalMs(table, {"r"}, kNow));
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

Test(crashblame, runs_that_were_under_way_together_count_once)
{
	CrashTable table;
	recordCrash(table, {"r", "a"}, {kNow - 5'000, kNow});
	recordCrash(table, {"r", "b"}, {kNow - 3'000, kNow + 1});
	recordCrash(table, {"r", "c"}, {kNow - 10, kNow + 2});
	cr_assert(1 == countCrashes(table, "r", kNow), "a power failure ends all that runs");
	recordCrash(table, {"r", "d"}, {kNow + 100, kNow + 200});
	cr_assert(2 == countCrashes(table, "r", kNow));
	recordCrash(table, {"r", "e"}, {kNow + 200, kNow + 300});
	cr_assert(3 == countCrashes(table, "r", kNow) && remainingRefusalMs(table, {"r"}, kNow));
}

Test(crashblame, a_crash_under_which_several_runs_ended_counts_by_the_one_that_began_last)
{
	CrashTable table;
	recordCrash(table, {"r", "a"}, {kNow, kNow + 100});
	recordCrash(table, {"r", "b"}, {kNow, kNow + 300});
	cr_assert(1 == countCrashes(table, "r", kNow));
	cr_assert(!recordCrash(table, {"r", "b"}, {kNow + 150, kNow + 300}));
	cr_assert(2 == countCrashes(table, "r", kNow));
}

Test(crashblame, runs_that_waited_long_at_their_upstreams_count_by_their_crashes)
{
	CrashTable table;
	for (int crash = 0; crash < 3; ++crash)
	{
		recordCrash(table, {"r", "u" + std::to_string(crash)}, {kNow, kNow + 5'000 + crash * kTogetherMs});
	}
	cr_assert(3 == countCrashes(table, "r", kNow));
}

/// A request that lacks the common part, or one of the parts that always came together, is the experiment that tells them apart.
Test(crashblame, blame_narrows_to_the_part_that_explains_the_crashes)
{
	CrashTable table;
	for (const char* part : {"first", "bad"})
	{
		for (int crash = 0; crash < 5; ++crash)
		{
			recordCrash(table, {part, "u" + std::to_string(crash)}, at(kNow + crash));
		}
	}
	cr_assert(remainingRefusalMs(table, {"first", "bad", "x"}, kNow).has_value());
	cr_assert(!remainingRefusalMs(table, {"first", "x"}, kNow) && !remainingRefusalMs(table, {"bad", "x"}, kNow));
	recordCrash(table, {"bad", "u5"}, at(kNow + 5));
	recordCrash(table, {"bad", "u6"}, at(kNow + 6));
	cr_assert(remainingRefusalMs(table, {"bad", "x"}, kNow).has_value(), "two crashes happened without the other part");
	cr_assert(!remainingRefusalMs(table, {"first", "x"}, kNow));
	clearSuspect(table, "first");
	cr_assert(remainingRefusalMs(table, {"bad", "x"}, kNow).has_value() && !remainingRefusalMs(table, {"first"}, kNow));
}

Test(crashblame, a_part_that_two_bad_parts_share_is_not_refused)
{
	CrashTable table;
	for (int crash = 0; crash < 10; ++crash)
	{
		const std::string upstream = "u" + std::to_string(crash);
		recordCrash(table, {"first", upstream}, at(kNow + crash));
		recordCrash(table, {0 == crash % 2 ? "bad" : "worse", upstream}, at(kNow + crash));
	}
	cr_assert(!remainingRefusalMs(table, {"first", "x"}, kNow));
	cr_assert(remainingRefusalMs(table, {"first", "bad"}, kNow) && remainingRefusalMs(table, {"first", "worse"}, kNow));
}

Test(crashblame, suspects_of_one_crash_are_bounded)
{
	CrashTable table;
	recordCrash(table, {"known", "before"}, at(kNow));
	for (std::size_t suspect = 0; suspect < 2 * kMaxSuspectsPerCrash; ++suspect)
	{
		recordCrash(table, {"s" + std::to_string(suspect), "u"}, at(kNow));
	}
	cr_assert(kMaxSuspectsPerCrash + 1 == table.bySuspect.size());
	cr_assert(recordCrash(table, {"known", "u"}, at(kNow)), "a suspect of other crashes is kept");
	clearSuspect(table, "s0");
	cr_assert(!recordCrash(table, {"another", "u"}, at(kNow)), "the suspect of other crashes has its place");
	clearSuspect(table, "s1");
	cr_assert(recordCrash(table, {"another", "u"}, at(kNow)));
}
