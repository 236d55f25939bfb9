/// Sidecar processes with a stub of a lock-step group: maps follow the hot expert and no pass is split
/// between two maps, even if processes crash or orders arrive late.
#include <csignal>

#include "group_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

Test(group, maps_follow_the_hot_expert)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(5, kSwitchMs));
	rig.groups.front().expectNoSplit();
}

Test(group, late_and_lost_orders_never_split_the_group)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	rig.groups.front().control({{"lateShare", 0.35}});
	cr_assert(rig.groups.front().switchesAgain(4, 2 * kSwitchMs));
	rig.groups.front().expectNoSplit();
}

Test(group, a_killed_coordinator_is_followed_by_another)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	const std::size_t first = rig.coordinator();
	cr_assert(first < kRanks);
	rig.groups.front().sidecars[first]->kill();
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		const std::size_t next = rig.coordinator();
		return next != first && next < kRanks;
	}));
	rig.start(rig.groups.front(), first);
	cr_assert(rig.groups.front().switchesAgain(2, kSwitchMs));
	rig.groups.front().expectNoSplit();
}

Test(group, a_paused_coordinator_that_resumes_splits_no_pass)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	for (int round = 0; round < 3; ++round)
	{
		const std::size_t first = rig.coordinator();
		cr_assert(first < kRanks);
		rig.groups.front().sidecars[first]->signal(SIGSTOP);
		lab::waitUntil(2'500, [&] {
			rig.groups.front().control({{"hot", Json::array({round, round + 4})}});
			return false;
		});
		rig.groups.front().sidecars[first]->signal(SIGCONT);
		cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
		rig.groups.front().expectNoSplit();
	}
}

Test(group, a_group_that_forms_anew_switches_again)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(2, kSwitchMs));
	rig.groups.front().control({{"formAnew", true}});
	cr_assert(rig.groups.front().switchesAgain(2, kSwitchMs));
	rig.groups.front().expectNoSplit();
}

Test(group, a_store_that_is_away_or_loses_answers_only_delays)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	rig.store.control({{"mode", "lose"}});
	rig.groups.front().switchesAgain(1, 2'500);
	rig.store.control({{"mode", "busy"}});
	rig.groups.front().switchesAgain(1, 1'000);
	rig.store.control({{"mode", "up"}});
	cr_assert(rig.groups.front().switchesAgain(2, kSwitchMs));
	rig.groups.front().expectNoSplit();
}

Test(group, an_unreadable_group_row_blocks_a_takeover_only_until_it_is_removed)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	const std::size_t first = rig.coordinator();
	cr_assert(first < kRanks);
	rig.store.putIn("archdyke_groups", "g", "svc", "no row");
	rig.groups.front().sidecars[first]->kill();
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		return std::any_of(rig.groups.front().sidecars.begin(), rig.groups.front().sidecars.end(), [](const auto& _sidecar) {
			return std::string::npos != _sidecar->output().find("the next coordinator writes it anew");
		});
	}));
	rig.store.removeIn("archdyke_groups", "g", "svc");
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		const std::size_t next = rig.coordinator();
		return next != first && next < kRanks;
	}));
}

/// A gateway that can't reach the store gets the store's tables from the coordinator.
Test(group, a_gateway_cut_from_the_store_uses_the_news_of_the_coordinator)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	for (const char* name : {"gateway-a", "gateway-b", "gateway-c"})
	{
		rig.startGateway(name);
	}
	rig.cutFromStore("gateway-b", true);
	const Millis until = nowMs() + 2 * GroupRig::kRevocationMs;
	Millis oldest = 0;
	lab::waitUntil(2 * GroupRig::kRevocationMs, [&] {
		const Json dump = rig.gatewayDump("gateway-b");
		oldest = std::max(oldest, dump.value("proofAgeMs", Millis(0)));
		return !dump.value("ready", false);
	});
	cr_assert(until <= nowMs() && oldest < 2'000, "proof of %lld ms", static_cast<long long>(oldest));
	// The removal of an upstream reaches the gateway too.
	rig.store.remove("servers", "rank-3");
	cr_assert(lab::waitUntil(kRigWaitMs, [&] {
		return kRanks - 1 == rig.gatewayDump("gateway-b")["upstreams"].size();
	}));
	// So does a configuration, as soon as at the other gateways, and the gateway stays ready.
	rig.configure(2);
	cr_assert(lab::waitUntil(2'000, [&] {
		return 2 == rig.gatewayDump("gateway-b")["catalog"].get<int>() && 2 == rig.gatewayDump("gateway-c")["catalog"].get<int>();
	}));
	cr_assert(rig.gatewayDump("gateway-b").value("ready", false));
	rig.cutFromStore("gateway-b", false);
}

/// A row of another writer that can't be read, as the first row of the list, must not hide the other rows.
/// All daemons restart, so the new coordinator reads the whole list.
Test(group, an_unreadable_upstream_row_excludes_no_rank)
{
	GroupRig rig;
	RigGroup& group = rig.groups.front();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	for (auto& sidecar : group.sidecars)
	{
		sidecar->kill();
	}
	rig.store.putIn("servers", "", "0-foreign", "{");
	for (std::size_t rank = 0; rank < group.engines.size(); ++rank)
	{
		rig.store.put("servers", fmt::format("rank-{}", rank), lab::upstreamJson("svc", group.engines[rank], "ready"));
	}
	for (std::size_t rank = 0; rank < group.engines.size(); ++rank)
	{
		rig.start(group, rank);
	}
	cr_assert(group.switchesAgain(1, kSwitchMs));
	group.expectNoSplit();
}

/// Without a coordinator each gateway reads the store itself, and a change is in force as soon as before.
Test(group, gateways_read_the_store_themselves_without_a_coordinator)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	for (const char* name : {"gateway-a", "gateway-b", "gateway-c"})
	{
		rig.startGateway(name);
	}
	const double before = rig.storeCalls("gateway-b");
	lab::waitUntil(3'000, [] {
		return false;
	});
	const double calls = rig.storeCalls("gateway-b") - before;
	cr_assert(calls <= 2.0, "%f calls in 3 s while the coordinator sends news", calls);
	for (auto& sidecar : rig.groups.front().sidecars)
	{
		sidecar->signal(SIGSTOP);
	}
	// A change right after the loss of the coordinator must also be in force within 2 s.
	rig.configure(2);
	cr_assert(lab::waitUntil(2'000, [&] {
		return 2 == rig.gatewayDump("gateway-b")["catalog"].get<int>();
	}));
	for (auto& sidecar : rig.groups.front().sidecars)
	{
		sidecar->signal(SIGCONT);
	}
}

/// A sidecar that hears a coordinator while it waits for its own engine's report must not take over.
Test(group, ranks_that_start_together_agree_on_one_coordinator)
{
	GroupRig rig(std::vector<Millis>{100, 180, 180, 180});
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		return rig.coordinator() < kRanks;
	}));
	const bool another = lab::waitUntil(2'000, [&] {
		return std::any_of(rig.groups.front().sidecars.begin(), rig.groups.front().sidecars.end(), [](const auto& _sidecar) {
			return std::string::npos != _sidecar->output().find("event=term_lost");
		});
	});
	cr_assert(!another);
}

/// A frozen daemon would keep its group on an outdated map; its engine is polled and ordered directly
/// while the daemon is frozen.
Test(group, maps_follow_the_hot_expert_while_a_daemon_is_frozen)
{
	GroupRig rig;
	RigGroup& group = rig.groups.front();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	const std::size_t frozen = (rig.coordinator() + 1) % kRanks;
	group.sidecars[frozen]->signal(SIGSTOP);
	cr_assert(group.switchesAgain(3, kSwitchMs));
	group.sidecars[frozen]->signal(SIGCONT);
	cr_assert(group.switchesAgain(2, kSwitchMs));
	group.expectNoSplit();
}

/// The same for the coordinator's own daemon, which the next coordinator has never heard.
Test(group, maps_follow_the_hot_expert_while_the_coordinator_is_frozen)
{
	GroupRig rig;
	RigGroup& group = rig.groups.front();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	const std::size_t frozen = rig.coordinator();
	cr_assert(frozen < kRanks);
	group.sidecars[frozen]->signal(SIGSTOP);
	cr_assert(group.switchesAgain(3, kSwitchMs));
	group.sidecars[frozen]->signal(SIGCONT);
	cr_assert(group.switchesAgain(2, kSwitchMs));
	group.expectNoSplit();
}

/// Each write of the row takes nearly a second and a switch needs two writes; no switch may be abandoned for it.
Test(group, a_slow_store_abandons_no_switch)
{
	GroupRig rig;
	RigGroup& group = rig.groups.front();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	rig.store.control({{"delayMs", 900}});
	cr_assert(group.switchesAgain(3, kSwitchMs));
	const std::string log = group.sidecars[rig.coordinator()]->output();
	cr_assert(std::string::npos == log.find("took_too_long"), "%s", log.c_str());
	group.expectNoSplit();
}

/// The store becomes unavailable as soon as the group is held. Releasing the hold needs no write.
Test(group, a_store_lost_while_the_group_is_held_does_not_block_it)
{
	constexpr Millis kWriteMs = 300; // long enough that a write after the hold is in flight when the store is lost
	constexpr Millis kLongestHoldMs = 500;
	GroupRig rig;
	RigGroup& group = rig.groups.front();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	rig.store.control({{"delayMs", kWriteMs}});
	std::uint32_t expert = 0;
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		expert += 1;
		group.control({{"hot", Json::array({expert / 400 % 8, (3 + expert / 400) % 8})}});
		return group.isHeld();
	}));
	rig.store.control({{"mode", "silent"}});
	const std::uint64_t passes = group.record()["passes"].get<std::uint64_t>();
	const bool wentOn = lab::waitUntil(3'000, [&] {
		return passes + 50 <= group.record()["passes"].get<std::uint64_t>();
	});
	rig.store.control({{"mode", "up"}});
	cr_assert(wentOn, "record: %s", group.record().dump().c_str());
	cr_assert(kLongestHoldMs > group.record()["longestHoldMs"].get<Millis>(), "record: %s", group.record().dump().c_str());
	cr_assert(group.switchesAgain(2, kSwitchMs));
	group.expectNoSplit();
}
