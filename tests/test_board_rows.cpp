/// Rows in the upstream registry: successive runs at one address or of one incarnation, moves, and upstreams that are
/// deactivated.
#include <cstdio>
#include <functional>
#include <unistd.h>

#include "board_rig.h"

using namespace archdyke;
using namespace archdyke::gateway;
using namespace archdyke::tests;

Test(board, a_new_incarnation_at_an_address_is_in_no_group_until_it_is_reported)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	registry.report(reportOf("g", {"1"}), 10);
	registry.learn(recordOf("b", "1"), 20);
	registry.forget("a", 20);
	cr_assert(nullptr == groupNamed(registry, "g") && 1 == groupNamed(registry, "")->members.size());
	registry.report(reportOf("h", {"1"}), 30);
	cr_assert("b" == groupNamed(registry, "h")->members.front()->record.incarnation);
}

/// After all processes were killed and restarted, the list has old and new incarnations at the same addresses for some
/// heartbeats.
Test(board, of_two_incarnations_at_an_address_the_one_written_last_gets_requests)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("dead", "1"), 0);
	registry.learn(recordOf("alive", "1"), 0);
	registry.report(reportOf("g", {"1"}), 10);
	const GroupRef unnamed = groupNamed(registry, "");
	cr_assert(nullptr == unnamed || 0 == unnamed->availableMembers, "the dead one gets no requests");
	cr_assert("alive" == chosenIncarnation(registry, "g", 20));
	registry.forget("dead", 30);
	registry.report(reportOf("g", {"1"}), 40);
	cr_assert("alive" == chosenIncarnation(registry, "g", 50));
}

/// The last incarnation at an address may be stale and get removed.
Test(board, a_superseded_incarnation_is_available_again_when_its_successor_is_gone)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("alive", "1"), 0);
	registry.learn(recordOf("ghost", "1"), 0);
	registry.forget("ghost", 10);
	registry.report(reportOf("g", {"1"}), 20);
	cr_assert("alive" == chosenIncarnation(registry, "g", 30));
}

/// A process that restarts under its name has lost all its state and requests.
Test(board, a_later_start_under_the_same_name_is_another_run)
{
	UpstreamRegistry registry("here");
	Random random(1);
	UpstreamRecord record = recordOf("a", "1");
	record.startedAt = 1'000;
	record.leaving = true;
	registry.learn(record, 0);
	registry.report(reportOf("g", {"1"}, 9), 10);
	const UpstreamRef before = groupNamed(registry, "g")->members.front();
	before->health.suspendedUntil = 60'000;
	const InFlight request(before, 20);
	record.startedAt = 2'000;
	record.leaving = false;
	registry.learn(record, 30);
	const std::vector<UpstreamRef> all = registry.all();
	cr_assert(1 == all.size() && acceptsRequests(*all.front()) && !isSuspended(all.front()->health, 30));
	cr_assert(!all.front()->reported && 0 == all.front()->inFlight, "the reported load of the previous run doesn't count");
	cr_assert(1 == before->inFlight, "a request at the previous run goes on");
	cr_assert(all.front() == registry.choose(*all.front()->group, {}, random, 40));
	// A write of the previous run may arrive late.
	record.startedAt = 1'000;
	record.leaving = true;
	registry.learn(record, 50);
	cr_assert(acceptsRequests(*registry.all().front()) && 2'000 == registry.all().front()->record.startedAt);
}

Test(board, a_row_without_a_start_is_of_the_run_that_is_known)
{
	UpstreamRegistry registry("here");
	UpstreamRecord record = recordOf("a", "1");
	record.startedAt = 1'000;
	registry.learn(record, 0);
	record.startedAt = 0;
	record.leaving = true;
	registry.learn(record, 10);
	record.startedAt = 900;
	record.leaving = false;
	registry.learn(record, 20);
	cr_assert(1'000 == registry.all().front()->record.startedAt && !acceptsRequests(*registry.all().front()));
}

/// The process stays the same, so its requests in flight and its health are kept.
Test(board, an_upstream_that_changes_its_service_leaves_the_group_of_the_one_before)
{
	UpstreamRegistry registry("here");
	Random random(1);
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "2"), 0);
	registry.report(reportOf("g", {"1", "2"}, 4), 10);
	const GroupRef before = groupNamed(registry, "g");
	const UpstreamRef moved = registry.choose(*before, {"b"}, random, 10);
	const InFlight request(moved, 10);
	moved->health.suspendedUntil = 60'000;
	registry.learn(recordOfService(recordOf("a", "1"), "other"), 20);
	cr_assert(1 == before->members.size() && 1 == before->availableMembers && 0 == before->inFlight);
	cr_assert("b" == registry.choose(*before, {}, random, 30)->record.incarnation);
	const std::vector<GroupRef>& groups = registry.groupsOf("other");
	cr_assert(1 == groups.size() && groups.front()->name.empty() && groups.front()->members.front() == moved);
	cr_assert(1 == groups.front()->inFlight && isSuspended(moved->health, 30) && !moved->reported);
	registry.report(reportOf("g", {"1", "2"}, 4), 40);
	cr_assert(1 == groupNamed(registry, "g")->members.size(), "its old coordinator's report doesn't move it back");
}

Test(board, an_upstream_that_moves_frees_its_address)
{
	UpstreamRegistry registry("here");
	Random random(1);
	registry.learn(recordOf("before", "1"), 0);
	registry.learn(recordOf("moves", "1"), 0);
	registry.report(reportOf("g", {"1"}), 10);
	registry.learn(recordOf("moves", "2"), 20);
	cr_assert(2 == registry.addresses() && acceptsRequests(*registry.all().front()) && acceptsRequests(*registry.all().back()));
	registry.forget("moves", 30);
	cr_assert(1 == registry.addresses());
	registry.report(reportOf("g", {"1"}), 40);
	cr_assert(1 == groupNamed(registry, "g")->members.size());
	cr_assert("before" == registry.choose(*groupNamed(registry, "g"), {}, random, 50)->record.incarnation);
}

/// A report may contain an address that its upstream has left.
Test(board, an_upstream_that_is_gone_is_in_no_group_at_an_address_it_had)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "3"), 0);
	registry.learn(recordOf("a", "2"), 10);
	registry.forget("a", 20);
	registry.report(reportOf("g", {"1", "3"}), 30);
	cr_assert(1 == registry.addresses() && 1 == groupNamed(registry, "g")->members.size());
}

/// An unusable row says nothing about the process: its state must still hold when a usable row follows.
Test(board, a_deactivated_upstream_keeps_its_state)
{
	UpstreamRegistry registry("here", "gateway-1");
	registry.setColdTerms(kService, kTwoSends);
	UpstreamRecord record = recordOf("a", "1");
	record.startedAt = 1'000;
	registry.learn(record, 0);
	registry.report(reportOf("g", {"1"}), 10);
	const UpstreamRef upstream = registry.all().front();
	upstream->health.suspendedUntil = 60'000;
	const InFlight request(upstream, 10);
	registry.deactivate("a");
	cr_assert(registry.all().empty() && registry.groupsOf(kService).empty() && 0 == registry.addresses());
	cr_assert(std::vector<std::string>{"a"} == registry.incarnations());
	UpstreamRecord earlier = record;
	earlier.startedAt = 900;
	registry.learn(earlier, 20, 3'000);
	cr_assert(registry.all().empty(), "a late write of the previous run");
	registry.learn(record, 30, 3'000);
	cr_assert(std::vector<UpstreamRef>{upstream} == registry.all() && isSuspended(upstream->health, 30));
	cr_assert(1 == groupNamed(registry, "")->availableMembers && 1 == groupNamed(registry, "")->inFlight);
	cr_assert(!isColdLimited(*upstream, 30), "it isn't new");
}

Test(board, a_deactivated_upstream_is_forgotten_when_its_row_is_removed_or_a_new_run_starts)
{
	UpstreamRegistry registry("here");
	UpstreamRecord record = recordOf("a", "1");
	record.startedAt = 1'000;
	record.leaving = true;
	registry.learn(record, 0);
	registry.deactivate("a");
	record.leaving = false;
	registry.learn(record, 10);
	cr_assert(!acceptsRequests(*registry.all().front()));
	registry.deactivate("a");
	record.startedAt = 2'000;
	registry.learn(record, 20);
	cr_assert(1 == registry.all().size() && acceptsRequests(*registry.all().front()));
	record.leaving = true;
	registry.learn(record, 30);
	registry.deactivate("a");
	registry.forget("a", 40);
	cr_assert(registry.incarnations().empty());
	record.leaving = false;
	registry.learn(record, 50);
	cr_assert(acceptsRequests(*registry.all().front()));
}

Test(board, a_superseded_incarnation_is_available_again_when_its_successor_is_deactivated)
{
	UpstreamRegistry registry("here");
	Random random(1);
	registry.learn(recordOf("alive", "1"), 0);
	registry.learn(recordOf("odd", "1"), 0);
	registry.deactivate("odd");
	registry.report(reportOf("g", {"1"}), 20);
	cr_assert("alive" == registry.choose(*groupNamed(registry, "g"), {}, random, 30)->record.incarnation);
}

namespace
{
	/// @returns What the process logs during an action.
	std::string logOutputOf(const std::function<void()>& _action)
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

/// Each heartbeat writes a row with the remaining cold time of its upstream.
Test(board, a_heartbeat_that_only_counts_down_is_not_logged)
{
	UpstreamRegistry registry("here", "gateway-1");
	registry.setColdTerms(kService, kTwoSends);
	UpstreamRecord cold = recordOf("a", "1");
	cold.coldForMs = 3'000;
	const std::string lines = logOutputOf([&] {
		registry.learn(cold, 0);
		cold.coldForMs = 2'000;
		registry.learn(cold, 1'000);
		cold.coldForMs = 5'000; // cold again
		registry.learn(cold, 2'000);
		cold.slots = 7;
		registry.learn(cold, 2'000);
	});
	cr_assert(2 == countOf(lines, "event=upstream_learned"), "%s", lines.c_str());
	cr_assert(5'000 == registry.nextWarmMs(kService, 2'000));
}
