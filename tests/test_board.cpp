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

/// One rank has a queue: its excess takes no slot of another. Unheard, all gateways are taken to be alike.
Test(board, free_slots_are_counted_rank_by_rank)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "2"), 0);
	GroupReport report = reportOf("g", {"1", "2"}, 1);
	report.ranks[0].requests = 7;
	report.longPassMs = 90.0;
	board.report(report, 10);
	const GroupRef group = groupNamed(board, "g");
	cr_assert(90.0 == group->view.longPassMs);
	cr_assert(3.0 == freeSlots(*group, 1, 20));
	const InFlight sent(group->members[1], 20);
	cr_assert(2.0 == freeSlots(*group, 1, 20));
	cr_assert(7.0 == freeSlots(*group, 1, 10'000) && 2.0 == freeSlots(*group, 6, 10'000));
	cr_assert(0.0 == freeSlots(*group, 40, 10'000));
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
