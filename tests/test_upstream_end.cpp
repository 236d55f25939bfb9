/// Ends of an agent's upstream: which runs they are attributed to, what entries hear, and what the agent refuses.
// Included before Criterion, whose macros break the hash headers.
#include "archdyke/upstream_end.h"

#include <criterion/criterion.h>

using namespace archdyke;

namespace
{
	constexpr Millis kNow = 1'000'000;

	UpstreamEnds freshEnds()
	{
		UpstreamEnds ends;
		ends.agent = "a";
		return ends;
	}
} // namespace

Test(upstreamend, runs_that_broke_together_name_the_same_process)
{
	UpstreamEnds ends = freshEnds();
	cr_assert((recordUpstreamEnd(ends, {"r"}, 0, kNow) == std::vector<Crash>{{"r", "a.0"}}));
	cr_assert((recordUpstreamEnd(ends, {"s"}, 0, kNow + 1) == std::vector<Crash>{{"s", "a.0"}}));
	cr_assert(1 == ends.process, "one process ended");
	cr_assert((recordUpstreamEnd(ends, {"r"}, 1, kNow + 2) == std::vector<Crash>{{"r", "a.1"}}));
	cr_assert((crashesToReport(ends, kNow + 2) == std::vector<Crash>{{"r", "a.0"}, {"s", "a.0"}, {"r", "a.1"}}));
}

Test(upstreamend, a_request_that_completed_recently_is_not_blamed)
{
	UpstreamEnds ends = freshEnds();
	recordCompletedRun(ends, {"r"}, kNow);
	cr_assert(recordUpstreamEnd(ends, {"r"}, 0, kNow + 1).empty());
	cr_assert(1 == ends.process && crashesToReport(ends, kNow + 1).empty());
	cr_assert(!recordUpstreamEnd(ends, {"r"}, 1, kNow + 100 * kGenerationMs).empty());
}

Test(upstreamend, a_request_without_fingerprint_is_not_blamed)
{
	UpstreamEnds ends = freshEnds();
	cr_assert(recordUpstreamEnd(ends, {""}, 0, kNow).empty() && 1 == ends.process);
}

Test(upstreamend, a_completed_run_ends_the_report_of_its_crashes_only)
{
	UpstreamEnds ends = freshEnds();
	recordUpstreamEnd(ends, {"r"}, 0, kNow);
	recordUpstreamEnd(ends, {"s"}, 0, kNow);
	recordCompletedRun(ends, {"r"}, kNow + 1);
	cr_assert((crashesToReport(ends, kNow + 1) == std::vector<Crash>{{"s", "a.0"}}));
	cr_assert(crashesToReport(ends, kNow + kCrashReportMs).empty());
}

Test(upstreamend, a_refusal_lasts_as_long_as_entries_name_it)
{
	UpstreamEnds ends = freshEnds();
	recordRefusedRequests(ends, {{"r", 600'000}, {"s", 1'000}}, kNow);
	cr_assert(remainingRefusalMs(ends, {"r"}, kNow) == kRefusalNoticeMs);
	cr_assert(remainingRefusalMs(ends, {"s"}, kNow) == 1'000);
	cr_assert(!remainingRefusalMs(ends, {"t"}, kNow));
	recordRefusedRequests(ends, {{"r", 600'000}}, kNow + 2'000);
	cr_assert(!remainingRefusalMs(ends, {"s"}, kNow + 2'000));
	cr_assert(remainingRefusalMs(ends, {"r"}, kNow + kRefusalNoticeMs) == 2'000);
	cr_assert(!remainingRefusalMs(ends, {"r"}, kNow + 2'000 + kRefusalNoticeMs));
}

Test(upstreamend, reports_and_refusals_are_bounded)
{
	UpstreamEnds ends = freshEnds();
	for (std::size_t count = 0; count < 2 * kMaxCrashReports; ++count)
	{
		recordUpstreamEnd(ends, {"r" + std::to_string(count)}, 0, kNow);
		recordRefusedRequests(ends, {{"r" + std::to_string(count), 600'000}}, kNow);
	}
	cr_assert(kMaxCrashReports == crashesToReport(ends, kNow).size() && kMaxCrashReports == ends.refusedUntil.size());
	cr_assert(("r" + std::to_string(2 * kMaxCrashReports - 1)) == ends.reported.back().crash.suspect, "the newest are kept");
}

/// Guards against a part of prompts that crashes upstreams in calls of which no two are alike.
Test(upstreamend, a_part_is_blamed_and_refused_with_its_request)
{
	UpstreamEnds ends = freshEnds();
	recordCompletedRun(ends, {"other", "first"}, kNow);
	cr_assert((recordUpstreamEnd(ends, {"r", "first", "bad"}, 0, kNow) == std::vector<Crash>{{"r", "a.0"}, {"bad", "a.0"}}));
	cr_assert(2 == crashesToReport(ends, kNow).size());
	recordRefusedRequests(ends, {{"bad", 600'000}}, kNow);
	cr_assert(remainingRefusalMs(ends, {"s", "bad"}, kNow) == kRefusalNoticeMs && !remainingRefusalMs(ends, {"s", "first"}, kNow));
}
