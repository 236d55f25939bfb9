/// What a gateway knows of upstreams and their groups.
// Before Criterion, whose macros break the hash headers.
#include "gateway/board.h"

#include <cstdio>
#include <functional>
#include <unistd.h>

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

namespace
{
	/// Terms by which each gateway has two sends in a window, and none one more.
	constexpr ColdTerms kTwoSends{20.0, 30.0, 14};

	/// @returns How many requests a gateway that has more than it may send gets out at one time.
	int sendsNow(const Board& _board, Random& _random, Millis _now)
	{
		int sends = 0;
		while (const UpstreamRef upstream = _board.choose(*groupNamed(_board, ""), {}, _random, _now))
		{
			noteColdSend(upstream->cold, _now);
			sends += 1;
			cr_assert(sends < 100);
		}
		return sends;
	}
} // namespace

Test(board, an_upstream_that_turns_cold_gets_its_share_and_no_more)
{
	Board board("here", "gateway-1");
	Random random(1);
	board.limitCold(kService, kTwoSends);
	board.learn(recordOf("a", "1"), 0);
	const GroupRef group = groupNamed(board, "");
	cr_assert(1 == membersThatMayGet(*group, 0) && !whyNoneMayGet(board.groupsOf(kService), 0));
	UpstreamRecord cold = recordOf("a", "1");
	cold.coldForMs = 3'000;
	board.learn(cold, 10'000);
	cr_assert(3'000 == board.nextWarmMs(kService, 10'000));
	cr_assert(2 == sendsNow(board, random, 10'000));
	cr_assert(RefusalCause::ColdUpstreams == whyNoneMayGet(board.groupsOf(kService), 11'000) && 0 == sendsNow(board, random, 11'000));
	cr_assert(2 == sendsNow(board, random, 11'500));
	board.endCold(13'000);
	cr_assert(!whyNoneMayGet(board.groupsOf(kService), 13'000) && !board.nextWarmMs(kService, 13'000));
}

Test(board, a_warm_upstream_gets_what_a_cold_one_cannot_take)
{
	Board board("here", "gateway-1");
	Random random(1);
	board.limitCold(kService, kTwoSends);
	UpstreamRecord cold = recordOf("cold", "1");
	cold.coldForMs = 3'000;
	board.learn(cold, 0);
	board.learn(recordOf("warm", "2"), 0);
	const GroupRef group = groupNamed(board, "");
	int atCold = 0;
	for (int request = 0; request < 100; ++request)
	{
		const UpstreamRef chosen = board.choose(*group, {}, random, 100);
		cr_assert(nullptr != chosen);
		if ("cold" == chosen->record.incarnation)
		{
			noteColdSend(chosen->cold, 100);
			atCold += 1;
		}
	}
	cr_assert(2 == atCold && 1 == membersThatMayGet(*group, 100));
}

Test(board, a_new_upstream_that_does_not_say_counts_as_cold)
{
	Board board("here", "gateway-1");
	board.limitCold(kService, kTwoSends);
	board.learn(recordOf("first", "1"), 0);
	cr_assert(!board.nextWarmMs(kService, 0));
	board.learn(recordOf("later", "2"), 1'000, 3'000);
	cr_assert(3'000 == board.nextWarmMs(kService, 1'000));
	// A later row of the same process says nothing new of it; a restart under its name does.
	UpstreamRecord row = recordOf("first", "1");
	row.slots = 5;
	board.learn(row, 2'000, 3'000);
	cr_assert(!isLimitedCold(*groupNamed(board, "")->members.front(), 2'000));
	row.startedAt = 1'700'000'000'000;
	board.learn(row, 2'000, 3'000);
	cr_assert(isLimitedCold(*groupNamed(board, "")->members.front(), 2'000));
}

Test(board, upstreams_that_restarted_are_counted_once)
{
	Board board("here", "gateway-1");
	board.learn(recordOf("before", "1"), 0);
	board.learn(recordOf("after", "1"), 0);
	board.learn(recordOf("other", "2"), 0);
	cr_assert(2 == board.addresses());
	board.forget("before", 10);
	cr_assert(2 == board.addresses());
}

Test(board, where_nothing_is_declared_a_cold_upstream_gets_as_much_as_any)
{
	Board board("here", "gateway-1");
	UpstreamRecord cold = recordOf("a", "1");
	cold.coldForMs = 3'000;
	board.learn(cold, 0);
	cr_assert(1 == membersThatMayGet(*groupNamed(board, ""), 100));
	board.limitCold(kService, ColdTerms{20.0, 30.0, 2'048});
	cr_assert(RefusalCause::ColdUpstreams == whyNoneMayGet(board.groupsOf(kService), 100));
	board.limitCold(kService, std::nullopt);
	cr_assert(1 == membersThatMayGet(*groupNamed(board, ""), 100));
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

Test(board, a_cold_zone_beside_an_evacuated_one_leaves_only_cold_upstreams)
{
	Board board("here", "gateway-1");
	board.limitCold(kService, ColdTerms{20.0, 30.0, 2'048});
	board.learn(recordOf("a", "1"), 0);
	UpstreamRecord cold = recordOf("b", "2", "there");
	cold.coldForMs = 3'000;
	board.learn(cold, 0);
	board.report(reportOf("g", {"1"}, 0), 10);
	board.report(reportOf("h", {"2"}, 0), 10);
	cr_assert(!whyNoneMayGet(board.groupsOf(kService), 10));
	board.evacuate("here");
	cr_assert(RefusalCause::ColdUpstreams == whyNoneMayGet(board.groupsOf(kService), 10));
}

Test(board, a_row_without_a_start_is_of_the_run_that_is_known)
{
	Board board("here");
	UpstreamRecord record = recordOf("a", "1");
	record.startedAt = 1'000;
	board.learn(record, 0);
	record.startedAt = 0;
	record.leaving = true;
	board.learn(record, 10);
	record.startedAt = 900;
	record.leaving = false;
	board.learn(record, 20);
	cr_assert(1'000 == board.all().front()->record.startedAt && !takesWork(*board.all().front()));
}

Test(board, an_upstream_that_says_it_is_warm_is_not_taken_for_cold)
{
	Board board("here", "gateway-1");
	board.limitCold(kService, ColdTerms{20.0, 30.0, 2'048});
	UpstreamRecord warm = recordOf("a", "1");
	warm.coldForMs = 0;
	board.learn(warm, 0, 3'000);
	cr_assert(1 == membersThatMayGet(*groupNamed(board, ""), 10));
}

namespace
{
	UpstreamRecord recordOfService(UpstreamRecord _record, const std::string& _service)
	{
		_record.service = _service;
		return _record;
	}
} // namespace

/// Its process stays the same: what runs there and how it fares hold.
Test(board, an_upstream_that_changes_its_service_leaves_the_group_of_the_one_before)
{
	Board board("here");
	Random random(1);
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "2"), 0);
	board.report(reportOf("g", {"1", "2"}, 4), 10);
	const GroupRef before = groupNamed(board, "g");
	const UpstreamRef moved = board.choose(*before, {"b"}, random, 10);
	const InFlight request(moved, 10);
	moved->health.suspendedUntil = 60'000;
	board.learn(recordOfService(recordOf("a", "1"), "other"), 20);
	cr_assert(1 == before->members.size() && 1 == before->working && 0 == before->inFlight);
	cr_assert("b" == board.choose(*before, {}, random, 30)->record.incarnation);
	const std::vector<GroupRef>& groups = board.groupsOf("other");
	cr_assert(1 == groups.size() && groups.front()->name.empty() && groups.front()->members.front() == moved);
	cr_assert(1 == groups.front()->inFlight && isSuspended(moved->health, 30) && !moved->reported);
	board.report(reportOf("g", {"1", "2"}, 4), 40);
	cr_assert(1 == groupNamed(board, "g")->members.size(), "its coordinator doesn't bring it back");
}

Test(board, an_upstream_that_moves_frees_its_address)
{
	Board board("here");
	Random random(1);
	board.learn(recordOf("before", "1"), 0);
	board.learn(recordOf("moves", "1"), 0);
	board.report(reportOf("g", {"1"}), 10);
	board.learn(recordOf("moves", "2"), 20);
	cr_assert(2 == board.addresses() && takesWork(*board.all().front()) && takesWork(*board.all().back()));
	board.forget("moves", 30);
	cr_assert(1 == board.addresses());
	board.report(reportOf("g", {"1"}), 40);
	cr_assert(1 == groupNamed(board, "g")->members.size());
	cr_assert("before" == board.choose(*groupNamed(board, "g"), {}, random, 50)->record.incarnation);
}

/// A report may name an address that its upstream has left.
Test(board, an_upstream_that_is_gone_is_in_no_group_at_an_address_it_had)
{
	Board board("here");
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOf("b", "3"), 0);
	board.learn(recordOf("a", "2"), 10);
	board.forget("a", 20);
	board.report(reportOf("g", {"1", "3"}), 30);
	cr_assert(1 == board.addresses() && 1 == groupNamed(board, "g")->members.size());
}

/// Another writer's row says nothing of the process: what was known of it holds when it is named again.
Test(board, an_upstream_that_was_set_aside_is_the_one_that_it_was)
{
	Board board("here", "gateway-1");
	board.limitCold(kService, kTwoSends);
	UpstreamRecord record = recordOf("a", "1");
	record.startedAt = 1'000;
	board.learn(record, 0);
	board.report(reportOf("g", {"1"}), 10);
	const UpstreamRef upstream = board.all().front();
	upstream->health.suspendedUntil = 60'000;
	const InFlight request(upstream, 10);
	board.setAside("a");
	cr_assert(board.all().empty() && board.groupsOf(kService).empty() && 0 == board.addresses());
	cr_assert(std::vector<std::string>{"a"} == board.incarnations());
	UpstreamRecord earlier = record;
	earlier.startedAt = 900;
	board.learn(earlier, 20, 3'000);
	cr_assert(board.all().empty(), "a late write of the run before");
	board.learn(record, 30, 3'000);
	cr_assert(std::vector<UpstreamRef>{upstream} == board.all() && isSuspended(upstream->health, 30));
	cr_assert(1 == groupNamed(board, "")->working && 1 == groupNamed(board, "")->inFlight);
	cr_assert(!isLimitedCold(*upstream, 30), "it is no new one");
}

Test(board, an_upstream_that_was_set_aside_is_forgotten_when_its_row_goes_or_another_run_comes)
{
	Board board("here");
	UpstreamRecord record = recordOf("a", "1");
	record.startedAt = 1'000;
	record.leaving = true;
	board.learn(record, 0);
	board.setAside("a");
	record.leaving = false;
	board.learn(record, 10);
	cr_assert(!takesWork(*board.all().front()));
	board.setAside("a");
	record.startedAt = 2'000;
	board.learn(record, 20);
	cr_assert(1 == board.all().size() && takesWork(*board.all().front()));
	record.leaving = true;
	board.learn(record, 30);
	board.setAside("a");
	board.forget("a", 40);
	cr_assert(board.incarnations().empty());
	record.leaving = false;
	board.learn(record, 50);
	cr_assert(takesWork(*board.all().front()));
}

Test(board, an_upstream_counts_again_when_the_one_after_it_is_set_aside)
{
	Board board("here");
	Random random(1);
	board.learn(recordOf("alive", "1"), 0);
	board.learn(recordOf("odd", "1"), 0);
	board.setAside("odd");
	board.report(reportOf("g", {"1"}), 20);
	cr_assert("alive" == board.choose(*groupNamed(board, "g"), {}, random, 30)->record.incarnation);
}

Test(board, limits_of_one_service_leave_those_of_others_alone)
{
	Board board("here", "gateway-1");
	board.limitCold(kService, kTwoSends);
	board.limitCold("other", kTwoSends);
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOfService(recordOf("b", "2"), "other"), 0);
	cr_assert(2 == board.servicesLimitedCold().size());
	board.limitCold("other", std::nullopt);
	cr_assert(std::vector<std::string>{kService} == board.servicesLimitedCold());
	cr_assert(2 == board.groupsOf(kService).front()->members.front()->coldSends);
	cr_assert(!board.groupsOf("other").front()->members.front()->coldSends);
}

namespace
{
	/// @returns What the process logs meanwhile.
	std::string linesOf(const std::function<void()>& _action)
	{
		const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::tmpfile(), &std::fclose);
		const int before = dup(STDOUT_FILENO);
		dup2(fileno(file.get()), STDOUT_FILENO);
		_action();
		dup2(before, STDOUT_FILENO);
		close(before);
		std::string lines(std::size_t(std::ftell(file.get())), '\0');
		std::rewind(file.get());
		lines.resize(std::fread(lines.data(), 1, lines.size(), file.get()));
		return lines;
	}

	int countOf(const std::string& _lines, const std::string& _event)
	{
		int count = 0;
		for (std::size_t at = _lines.find(_event); std::string::npos != at; at = _lines.find(_event, at + 1))
		{
			count += 1;
		}
		return count;
	}
} // namespace

/// A row for each heartbeat tells how much longer its upstream is cold.
Test(board, a_heartbeat_that_only_counts_down_is_not_logged)
{
	Board board("here", "gateway-1");
	board.limitCold(kService, kTwoSends);
	UpstreamRecord cold = recordOf("a", "1");
	cold.coldForMs = 3'000;
	const std::string lines = linesOf([&] {
		board.learn(cold, 0);
		cold.coldForMs = 2'000;
		board.learn(cold, 1'000);
		cold.coldForMs = 5'000; // cold anew
		board.learn(cold, 2'000);
		cold.slots = 7;
		board.learn(cold, 2'000);
	});
	cr_assert(2 == countOf(lines, "event=upstream_learned"), "%s", lines.c_str());
	cr_assert(5'000 == board.nextWarmMs(kService, 2'000));
}
