/// Which upstreams that take work a gateway may send to: what they asked of it outlasts rows, moves and runs.
#include <map>

#include "board_rig.h"

using namespace archdyke;
using namespace archdyke::gateway;
using namespace archdyke::tests;

namespace
{
	/// @returns How often of a hundred times each was chosen, of the one group of the service.
	std::map<std::string, int> choices(const Board& _board, Millis _now)
	{
		std::map<std::string, int> result;
		Random random(3);
		for (int draw = 0; draw < 100; ++draw)
		{
			const UpstreamRef chosen = _board.choose(*_board.groupsOf(kService).front(), {}, random, _now);
			result[nullptr == chosen ? "" : chosen->record.incarnation] += 1;
		}
		return result;
	}
} // namespace

Test(board, an_upstream_that_asked_for_nothing_isnt_chosen_until_its_time_is_over)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "2"), 0);
	board.takeBackOff(upstreamNamed(board, "a"), 3'000, 100);
	cr_assert(100 == choices(board, 101)["b"]);
	cr_assert(1 == membersThatMayGet(*upstreamNamed(board, "a")->group, 101) && !whyNoneMayGet(board.groupsOf(kService), 101));
	cr_assert(!board.backOffEndsInMs(kService, 101), "another takes work");
	cr_assert(0 < choices(board, 3'100)["a"] && 2 == membersThatMayGet(*upstreamNamed(board, "a")->group, 3'100));
}

/// Also when every other upstream fails, or was tried: a refusal at once is all that its callers would get there.
Test(board, it_is_no_last_resort)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "2"), 0);
	board.takeBackOff(upstreamNamed(board, "a"), 3'000, 100);
	Random random(3);
	cr_assert(nullptr == board.choose(*upstreamNamed(board, "a")->group, {"b"}, random, 101));
	for (int failure = 0; failure < 5; ++failure)
	{
		noteTry(upstreamNamed(board, "b")->health, true, 101);
	}
	cr_assert(100 == choices(board, 102)["b"], "suspended, but the only one that wants requests");
}

Test(board, where_all_asked_for_nothing_that_is_why_and_the_first_one_tells_for_how_long)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "2"), 0);
	board.takeBackOff(upstreamNamed(board, "a"), 3'000, 0);
	board.takeBackOff(upstreamNamed(board, "b"), 2'000, 500);
	cr_assert(RefusalCause::BackOff == whyNoneMayGet(board.groupsOf(kService), 1'000));
	cr_assert(1'500 == board.backOffEndsInMs(kService, 1'000) && 100 == choices(board, 1'000)[""]);
	cr_assert(!whyNoneMayGet(board.groupsOf(kService), 2'500));
}

Test(board, where_others_are_cold_and_have_their_share_callers_come_for_those)
{
	Board board("here", "gateway-1");
	board.limitCold(kService, ColdTerms{20.0, 30.0, 2'048}); // nobody has a send
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "2"), 0, 5'000);
	board.takeBackOff(upstreamNamed(board, "a"), 3'000, 0);
	cr_assert(RefusalCause::ColdUpstreams == whyNoneMayGet(board.groupsOf(kService), 100));
	board.takeBackOff(upstreamNamed(board, "b"), 3'000, 0);
	cr_assert(RefusalCause::BackOff == whyNoneMayGet(board.groupsOf(kService), 100));
}

/// Rows go while the store is away and come back; an upstream is found in its group only when that is heard of.
Test(board, what_it_asked_for_outlasts_its_row_and_its_group)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	board.takeBackOff(upstreamNamed(board, "a"), 3'000, 100);
	board.forget("a", 200);
	board.learn(recordOf("a", "1"), 300);
	cr_assert(2'700 == backOffLeftMs(upstreamNamed(board, "a")->selfReport.backOff, 400));
	cr_assert(0 == membersThatMayGet(*upstreamNamed(board, "a")->group, 400));
	board.report(reportOf("g", {"1"}, 0), 500);
	cr_assert(0 == membersThatMayGet(*upstreamNamed(board, "a")->group, 500));
	board.setAside("a");
	board.learn(recordOf("a", "1"), 600);
	cr_assert(0 == membersThatMayGet(*upstreamNamed(board, "a")->group, 600) && 1 == membersThatMayGet(*upstreamNamed(board, "a")->group, 3'100));
}

/// A request that was sent before the row went comes back when there is none, or another one.
Test(board, an_answer_counts_though_the_row_of_its_upstream_went_meanwhile)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	const UpstreamRef sentTo = upstreamNamed(board, "a");
	board.forget("a", 100);
	board.takeBackOff(sentTo, 3'000, 200);
	board.learn(recordOf("a", "1"), 300);
	cr_assert(isBackedOff(*upstreamNamed(board, "a"), 400));
	board.takeBackOff(sentTo, 5'000, 500);
	cr_assert(5'000 == backOffLeftMs(upstreamNamed(board, "a")->selfReport.backOff, 500));
	board.forget("a", 6'000);
	board.learn(recordOf("a", "1"), 6'100);
	cr_assert(!isBackedOff(*upstreamNamed(board, "a"), 6'200));
}

/// A process that began anew under its name may have asked before its row told of it.
Test(board, a_new_run_under_the_same_name_is_left_alone_too)
{
	Board board("here");
	board.learn(recordOf("a", "1", "here", 1'000), 0);
	board.takeBackOff(upstreamNamed(board, "a"), 3'000, 100);
	board.learn(recordOf("a", "1", "here", 2'000), 200);
	cr_assert(isBackedOff(*upstreamNamed(board, "a"), 300) && !isBackedOff(*upstreamNamed(board, "a"), 3'100));
}

/// Load pattern: most ranks of a group are full and ask for nothing, few are left. Room is measured by those that are left, or
/// they would be filled until they ask too.
Test(board, room_is_measured_by_the_upstreams_that_are_left)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "2"), 0);
	board.learn(recordOf("c", "3"), 0);
	GroupReport report = reportOf("g", {"1", "2", "3"});
	report.ranks[0].requests = 9;
	report.ranks[1].requests = 6;
	report.ranks[2].requests = 0;
	board.report(report, 1);
	const UpstreamGroup& group = *upstreamNamed(board, "a")->group;
	cr_assert(5.0 == meanLoad(group, 10));
	board.takeBackOff(upstreamNamed(board, "a"), 800, 10);
	board.takeBackOff(upstreamNamed(board, "c"), 800, 10);
	cr_assert(6.0 == meanLoad(group, 20));
	cr_assert(5.0 == meanLoad(group, 810));
}

Test(board, an_upstream_that_says_it_leaves_gets_nothing_more_whatever_its_row_says)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "2"), 0);
	board.takeLeaving(upstreamNamed(board, "a"), 100);
	cr_assert(100 == choices(board, 101)["b"] && 1 == upstreamNamed(board, "a")->group->working);
	board.learn(recordOf("a", "1"), 200);
	cr_assert(100 == choices(board, 201)["b"]);
	board.forget("a", 300);
	board.learn(recordOf("a", "1"), 400);
	cr_assert(100 == choices(board, 401)["b"] && 1 == upstreamNamed(board, "a")->group->working);
	board.forget("a", 500);
	board.learn(recordOf("a", "1"), 500 + 120'000);
	cr_assert(2 == upstreamNamed(board, "a")->group->working, "by then it would have ended");
}

Test(board, a_new_run_under_the_same_name_doesnt_leave)
{
	Board board("here");
	board.learn(recordOf("a", "1", "here", 1'000), 0);
	const UpstreamRef before = upstreamNamed(board, "a");
	board.takeLeaving(before, 100);
	board.learn(recordOf("a", "1", "here", 2'000), 200);
	cr_assert(1 == upstreamNamed(board, "a")->group->working);
	board.takeLeaving(before, 300); // said once more by the run before
	cr_assert(1 == upstreamNamed(board, "a")->group->working);
}

Test(board, that_it_leaves_counts_though_its_row_went_before_the_answer_came)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	const UpstreamRef sentTo = upstreamNamed(board, "a");
	board.forget("a", 100);
	board.learn(recordOf("a", "1"), 200);
	board.takeLeaving(sentTo, 300);
	cr_assert(0 == upstreamNamed(board, "a")->group->working);
}
