/// What a gateway knows of groups: who is in them, their loads, whether they stand or are silent; and evacuated zones.
#include "board_rig.h"

using namespace archdyke;
using namespace archdyke::gateway;
using namespace archdyke::tests;

Test(board, upstreams_move_to_the_group_that_reports_them)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "2"), 0);
	board.learn(recordOf("c", "3", "there"), 0);
	cr_assert(3 == groupNamed(board, "")->members.size());
	board.report(reportOf("g", {"1", "3"}), 10);
	cr_assert(2 == groupNamed(board, "g")->members.size() && 1 == groupNamed(board, "")->members.size());
	cr_assert(1 == groupNamed(board, "g")->workingInZone);
	// A group that is renamed is another one; the one before goes with its last member.
	board.report(reportOf("h", {"1", "3"}), 20);
	cr_assert(nullptr == groupNamed(board, "g") && 2 == groupNamed(board, "h")->members.size());
}

Test(board, a_groups_load_is_what_was_told_and_what_was_sent_since)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "2"), 0);
	board.report(reportOf("g", {"1", "2"}, 3), 10);
	const GroupRef group = groupNamed(board, "g");
	cr_assert(3.0 == meanLoad(*group, 20));
	{
		const InFlight first(group->members[0], 20);
		const InFlight second(group->members[0], 20);
		cr_assert(4.0 == meanLoad(*group, 20));
		// The report is too old: only what this gateway has there is known.
		cr_assert(1.0 == meanLoad(*group, 10'000));
	}
	cr_assert(3.0 == meanLoad(*group, 20));
}

Test(board, a_request_in_flight_moves_with_its_upstream)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	{
		const InFlight request(groupNamed(board, "")->members[0], 0);
		board.report(reportOf("g", {"1"}), 10);
		cr_assert(1 == groupNamed(board, "g")->inFlight);
	}
	cr_assert(0 == groupNamed(board, "g")->inFlight);
}

Test(board, a_group_is_down_when_its_coordinator_or_an_upstream_says_so)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	GroupReport report = reportOf("g", {"1"});
	report.open = false;
	board.report(report, 10);
	const GroupRef group = groupNamed(board, "g");
	cr_assert(isDown(*group, 20));
	cr_assert(!isDown(*group, 10'000) && !isKnown(*group, 10'000));
	group->view.faultUntil = 10'100;
	cr_assert(isDown(*group, 10'000));
}

Test(board, only_upstreams_of_unheard_groups_are_searched)
{
	Board board("here");
	Random random(1);
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "2"), 0);
	board.report(reportOf("g", {"1"}), 10);
	for (int draw = 0; draw < 20; ++draw)
	{
		cr_assert("b" == board.drawUnheard(kService, random, 20)->record.incarnation);
	}
	board.report(reportOf("h", {"2"}), 20);
	cr_assert(nullptr == board.drawUnheard(kService, random, 30));
	cr_assert(nullptr != board.drawUnheard(kService, random, 10'000));
}

Test(board, a_silent_upstream_is_passed_by_while_others_answer)
{
	Board board("here");
	Random random(1);
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "2"), 0);
	const GroupRef group = groupNamed(board, "");
	const UpstreamRef silent = group->members[0];
	const UpstreamRef other = group->members[1];
	const InFlight unanswered(silent, 1'000);
	noteHeard(*other, 1'900);
	for (int draw = 0; draw < 20; ++draw)
	{
		cr_assert(other == board.choose(*group, {}, random, 2'000));
	}
	// When nobody is heard, the ranks of a group wait for each other: none is to blame.
	noteHeard(*silent, 1'950);
	cr_assert(!isSilent(hearingOf(*silent, 4'000), 4'000));
}

Test(board, an_evacuated_zone_takes_no_work_until_it_is_taken_back)
{
	Board board("here");
	board.limitCold(kService, ColdTerms{18.0, 32.0, 1, 3'000});
	Random random(1);
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "2", "there"), 0);
	board.evacuate("here");
	board.learn(recordOf("c", "3"), 0); // learnt meanwhile
	const GroupRef group = groupNamed(board, "");
	cr_assert(1 == group->working && 0 == group->workingInZone);
	for (int draw = 0; draw < 20; ++draw)
	{
		cr_assert("b" == board.choose(*group, {}, random, 10)->record.incarnation);
	}
	board.report(reportOf("g", {"1", "2"}, 4), 10);
	cr_assert(4.0 == meanLoad(*groupNamed(board, "g"), 10), "of those that take work");
	cr_assert(!board.isEvacuated(kService));
	board.takeBack("here", 700);
	cr_assert(1 == groupNamed(board, "")->working && 2 == groupNamed(board, "g")->working);
	for (const UpstreamRef& upstream : board.all())
	{
		cr_assert(("there" == upstream->record.zone ? 0 : 3'000) == warmInMs(upstream->cold, 700), "they may have turned cold meanwhile");
	}
}

Test(board, a_service_counts_as_evacuated_when_nothing_else_keeps_its_upstreams_from_work)
{
	Board board("here");
	cr_assert(!board.isEvacuated(kService));
	board.learn(recordOf("a", "1"), 0);
	UpstreamRecord leaving = recordOf("b", "2", "there");
	leaving.leaving = true;
	board.learn(leaving, 0);
	board.evacuate("here");
	cr_assert(board.isEvacuated(kService) && !board.isEvacuated("other"));
	board.learn(recordOf("c", "3", "there"), 0);
	cr_assert(!board.isEvacuated(kService));
	board.forget("a", 0);
	board.forget("c", 0);
	cr_assert(!board.isEvacuated(kService), "only one that leaves is left");
}

Test(board, what_still_runs_in_an_evacuated_zone_takes_no_place_of_the_others)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "2", "there"), 0);
	board.report(reportOf("g", {"1", "2"}, 4), 10);
	const UpstreamRef emptied = board.choose(*groupNamed(board, "g"), {"b"}, *std::make_unique<Random>(1), 10);
	std::vector<std::unique_ptr<InFlight>> running;
	for (int request = 0; request < 8; ++request)
	{
		running.push_back(std::make_unique<InFlight>(emptied, 10));
	}
	board.evacuate("here");
	cr_assert(4.0 == meanLoad(*groupNamed(board, "g"), 10), "at once, not from the next report on");
	board.report(reportOf("g", {"1", "2"}, 4), 20);
	running.clear();
	cr_assert(4.0 == meanLoad(*groupNamed(board, "g"), 20), "nor less when it ends");
}
