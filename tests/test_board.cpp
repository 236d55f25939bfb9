/// What a gateway knows of upstreams and their groups.
// Before Criterion, whose macros break the hash headers.
#include "gateway/board.h"

#include <criterion/criterion.h>

using namespace archdyke;
using namespace archdyke::gateway;

namespace
{
	constexpr const char* kService = "svc";

	UpstreamRecord recordOf(const std::string& _incarnation, const std::string& _address, const std::string& _zone = "here")
	{
		return {_incarnation, kService, _address, _zone, 4, false};
	}

	GroupReport reportOf(const std::string& _name, const std::vector<std::string>& _addresses, std::uint32_t _requests = 1)
	{
		GroupReport report;
		report.service = kService;
		report.name = _name;
		for (const std::string& address : _addresses)
		{
			report.ranks.push_back({address, _requests, 1.0});
		}
		return report;
	}

	GroupRef groupNamed(const Board& _board, const std::string& _name)
	{
		for (const GroupRef& group : _board.groupsOf(kService))
		{
			if (group->name == _name)
			{
				return group;
			}
		}
		return nullptr;
	}
} // namespace

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

Test(board, a_new_incarnation_at_an_address_is_in_no_group_until_it_is_reported)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	board.report(reportOf("g", {"1"}), 10);
	board.learn(recordOf("b", "1"), 20);
	board.forget("a", 20);
	cr_assert(nullptr == groupNamed(board, "g") && 1 == groupNamed(board, "")->members.size());
	board.report(reportOf("h", {"1"}), 30);
	cr_assert("b" == groupNamed(board, "h")->members.front()->record.incarnation);
}

/// After all processes were killed, the list names those before and those after at the same addresses
/// for some heartbeats.
Test(board, of_two_incarnations_at_an_address_the_one_written_last_gets_requests)
{
	Board board("here");
	Random random(1);
	board.learn(recordOf("dead", "1"), 0);
	board.learn(recordOf("alive", "1"), 0);
	board.report(reportOf("g", {"1"}), 10);
	const GroupRef unnamed = groupNamed(board, "");
	cr_assert(nullptr == unnamed || 0 == unnamed->working, "the dead one gets nothing");
	cr_assert("alive" == board.choose(*groupNamed(board, "g"), {}, random, 20)->record.incarnation);
	board.forget("dead", 30);
	board.report(reportOf("g", {"1"}), 40);
	cr_assert("alive" == board.choose(*groupNamed(board, "g"), {}, random, 50)->record.incarnation);
}

/// The last one may be a ghost: its address says that it isn't there.
Test(board, an_incarnation_counts_again_when_the_one_after_it_is_gone)
{
	Board board("here");
	Random random(1);
	board.learn(recordOf("alive", "1"), 0);
	board.learn(recordOf("ghost", "1"), 0);
	board.forget("ghost", 10);
	board.report(reportOf("g", {"1"}), 20);
	cr_assert("alive" == board.choose(*groupNamed(board, "g"), {}, random, 30)->record.incarnation);
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
		cr_assert(("there" == upstream->record.zone ? 0 : 700) == upstream->takenBackAt);
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

/// A process that starts again under its name holds and knows nothing of before.
Test(board, a_later_start_under_the_same_name_is_another_run)
{
	Board board("here");
	Random random(1);
	UpstreamRecord record = recordOf("a", "1");
	record.startedAt = 1'000;
	record.leaving = true;
	board.learn(record, 0);
	board.report(reportOf("g", {"1"}, 9), 10);
	const UpstreamRef before = groupNamed(board, "g")->members.front();
	before->health.suspendedUntil = 60'000;
	const InFlight request(before, 20);
	record.startedAt = 2'000;
	record.leaving = false;
	board.learn(record, 30);
	const std::vector<UpstreamRef> all = board.all();
	cr_assert(1 == all.size() && takesWork(*all.front()) && !isSuspended(all.front()->health, 30));
	cr_assert(!all.front()->reported && 0 == all.front()->inFlight, "what is told of the run before isn't its load");
	cr_assert(1 == before->inFlight, "a request at the run before goes on");
	cr_assert(all.front() == board.choose(*all.front()->group, {}, random, 40));
	// A write of the run before may come late.
	record.startedAt = 1'000;
	record.leaving = true;
	board.learn(record, 50);
	cr_assert(takesWork(*board.all().front()) && 2'000 == board.all().front()->record.startedAt);
}
