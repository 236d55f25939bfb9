/// What a gateway makes of rows: runs that follow each other at one address or under one name, moves, and upstreams that are set
/// aside.
#include <cstdio>
#include <functional>
#include <unistd.h>

#include "board_rig.h"

using namespace archdyke;
using namespace archdyke::gateway;
using namespace archdyke::tests;

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
	board.learn(recordOf("dead", "1"), 0);
	board.learn(recordOf("alive", "1"), 0);
	board.report(reportOf("g", {"1"}), 10);
	const GroupRef unnamed = groupNamed(board, "");
	cr_assert(nullptr == unnamed || 0 == unnamed->working, "the dead one gets nothing");
	cr_assert("alive" == chosenOf(board, "g", 20));
	board.forget("dead", 30);
	board.report(reportOf("g", {"1"}), 40);
	cr_assert("alive" == chosenOf(board, "g", 50));
}

/// The last one may be a ghost: its address says that it isn't there.
Test(board, an_incarnation_counts_again_when_the_one_after_it_is_gone)
{
	Board board("here");
	board.learn(recordOf("alive", "1"), 0);
	board.learn(recordOf("ghost", "1"), 0);
	board.forget("ghost", 10);
	board.report(reportOf("g", {"1"}), 20);
	cr_assert("alive" == chosenOf(board, "g", 30));
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
