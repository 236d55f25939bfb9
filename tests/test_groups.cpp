/// Several groups of engine ranks in one service: each has its own coordinator, map and faults, and
/// gateways send requests to groups that can run them.
#include <csignal>

#include "group_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr const char* kGateway = "gateway-a";
	constexpr int kCalls = 40;

	/// Sends requests through a gateway.
	/// @returns Number of requests by the group that ran them; "" for requests that no group ran.
	std::map<std::string, int> callsByGroup(const GroupRig& _rig, const std::string& _prefix, int _calls = kCalls)
	{
		std::map<std::string, int> counts;
		for (int call = 0; call < _calls; ++call)
		{
			const RigResponse answer = _rig.call(kGateway, fmt::format("{}-{}", _prefix, call));
			counts[200 == answer.status ? answer.body : ""] += 1;
		}
		return counts;
	}

	std::size_t openSockets(pid_t _process)
	{
		std::size_t sockets = 0;
		for (const auto& entry : std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", _process)))
		{
			std::error_code gone;
			sockets += std::filesystem::read_symlink(entry.path(), gone).string().starts_with("socket:") ? 1 : 0;
		}
		return sockets;
	}

	/// Starts a gateway and waits until it knows all groups.
	void startGatewayThatKnowsAllGroups(GroupRig& _rig)
	{
		_rig.startGateway(kGateway);
		for (const RigGroup& group : _rig.groups)
		{
			cr_assert(_rig.waitForGroup(kGateway, group), "%s", _rig.gatewayDump(kGateway).dump().c_str());
		}
	}
} // namespace

Test(groups, each_group_has_a_coordinator_and_a_map_of_its_own)
{
	GroupRig rig(std::vector<std::size_t>{4, 3});
	for (const RigGroup& group : rig.groups)
	{
		cr_assert(group.switchesAgain(2, kSwitchMs), "group %s", group.name.c_str());
		group.expectNoSplit();
		cr_assert(rig.coordinator(group) < kRanks);
	}
}

Test(groups, a_gateway_knows_which_rank_is_in_which_group)
{
	GroupRig rig(std::vector<std::size_t>{4, 3});
	startGatewayThatKnowsAllGroups(rig);
	const std::map<std::string, int> calls = callsByGroup(rig, "both");
	cr_assert(0 < calls.at("g-0") && 0 < calls.at("g-1") && !calls.contains(""));
}

Test(groups, requests_go_to_the_others_while_a_group_is_down)
{
	GroupRig rig(std::vector<std::size_t>{4, 3});
	startGatewayThatKnowsAllGroups(rig);
	rig.groups[0].control({{"broken", true}});
	// True from the first request on: a request that reaches the broken group is known not to have run, and is sent to the other group.
	const std::map<std::string, int> down = callsByGroup(rig, "down");
	cr_assert(kCalls == down.at("g-1"), "%s", Json(down).dump().c_str());
	rig.groups[0].control({{"broken", false}});
	cr_assert(rig.waitForGroup(kGateway, rig.groups[0]));
	const std::map<std::string, int> open = callsByGroup(rig, "open");
	cr_assert(0 < open.at("g-0") && !open.contains(""));
}

/// Guards against refusing the first requests of a gateway whose share of the retry budget isn't known yet, though another
/// group is open and the share is known before their deadline.
Test(groups, a_gateway_that_just_started_resends_once_it_knows_its_share)
{
	constexpr int kStarts = 5;
	GroupRig rig(std::vector<std::size_t>{4, 3});
	rig.retryAllowance = 40.0; // 10 for one gateway, 0.005 while their number is unknown
	startGatewayThatKnowsAllGroups(rig);
	for (int start = 0; start < kStarts; ++start)
	{
		rig.groups[0].control({{"broken", false}});
		startGatewayThatKnowsAllGroups(rig);
		rig.groups[0].control({{"broken", true}});
		const std::map<std::string, int> calls = callsByGroup(rig, fmt::format("young-{}", start), 4);
		cr_assert(!calls.contains(""), "start %d: %s", start, Json(calls).dump().c_str());
	}
}

Test(groups, a_request_is_refused_at_once_while_all_groups_are_down)
{
	GroupRig rig(std::vector<std::size_t>{2, 2});
	startGatewayThatKnowsAllGroups(rig);
	for (const RigGroup& group : rig.groups)
	{
		group.control({{"broken", true}});
	}
	for (const RigGroup& group : rig.groups)
	{
		cr_assert(rig.waitForGroup(kGateway, group, true));
	}
	const Millis before = nowMs();
	const RigResponse answer = rig.call(kGateway, "none");
	cr_assert(503 == answer.status && answer.headers.contains("Retry-After"));
	cr_assert(nowMs() - before < 300);
}

/// After an outage of all groups, callers whose responses broke off retry before the gateway knows that a
/// group is open again. Since callers usually retry only once, that request must wait for a group.
Test(groups, a_retried_request_is_served_when_a_group_opens)
{
	constexpr Millis kRemainingMs = 1'400; // of the route's 1,500 ms; the first attempt used the rest
	GroupRig rig(std::vector<std::size_t>{2, 2});
	startGatewayThatKnowsAllGroups(rig);
	for (const RigGroup& group : rig.groups)
	{
		group.control({{"broken", true}});
	}
	for (const RigGroup& group : rig.groups)
	{
		cr_assert(rig.waitForGroup(kGateway, group, true));
	}
	rig.groups[0].control({{"formAnew", true}, {"broken", false}});
	const RigResponse answer = rig.call(kGateway, "again", kRemainingMs);
	cr_assert(200 == answer.status && "g-0" == answer.body, "%d %s", answer.status, answer.body.c_str());
}

Test(groups, a_group_in_a_cut_zone_gets_no_requests)
{
	GroupRig rig(std::vector<std::size_t>{2, 2});
	startGatewayThatKnowsAllGroups(rig);
	rig.groups[0].signal(SIGSTOP);
	cr_assert(lab::waitUntil(kRigWaitMs, [&] {
		const Json cut = rig.groupDump(kGateway, "g-0");
		return cut.is_object() && !cut["known"].get<bool>();
	}));
	const std::map<std::string, int> calls = callsByGroup(rig, "cut");
	cr_assert(kCalls == calls.at("g-1"), "%s", Json(calls).dump().c_str());
	rig.groups[0].signal(SIGCONT);
	cr_assert(rig.waitForGroup(kGateway, rig.groups[0]));
}

Test(groups, a_killed_coordinator_stops_no_other_group)
{
	GroupRig rig(std::vector<std::size_t>{4, 3});
	startGatewayThatKnowsAllGroups(rig);
	cr_assert(rig.groups[0].switchesAgain(1, kSwitchMs));
	const std::size_t first = rig.coordinator(rig.groups[0]);
	cr_assert(first < kRanks);
	rig.groups[0].sidecars[first]->kill();
	cr_assert(rig.groups[1].switchesAgain(2, kSwitchMs));
	cr_assert(!callsByGroup(rig, "killed").contains(""));
	// The group must also switch maps after the killed daemon has restarted.
	rig.start(rig.groups[0], first);
	cr_assert(rig.groups[0].switchesAgain(1, kSwitchMs));
	for (const RigGroup& group : rig.groups)
	{
		group.expectNoSplit();
	}
}

Test(groups, a_group_that_forms_anew_under_load_loses_no_request)
{
	GroupRig rig(std::vector<std::size_t>{4, 3});
	startGatewayThatKnowsAllGroups(rig);
	for (int round = 0; round < 3; ++round)
	{
		rig.groups[0].control({{"broken", true}});
		cr_assert(!callsByGroup(rig, fmt::format("broken-{}", round), 10).contains(""));
		rig.groups[0].control({{"formAnew", true}, {"broken", false}});
		cr_assert(!callsByGroup(rig, fmt::format("formed-{}", round), 10).contains(""));
	}
	cr_assert(rig.groups[0].switchesAgain(1, kSwitchMs));
	rig.groups[0].expectNoSplit();
}

/// A gateway gets the store's tables from any group's coordinator and makes almost no calls to the store.
Test(groups, several_coordinators_leave_two_readers_of_the_store)
{
	GroupRig rig(std::vector<std::size_t>{2, 2});
	for (const char* name : {"gateway-a", "gateway-b", "gateway-c"})
	{
		rig.startGateway(name);
	}
	for (const RigGroup& group : rig.groups)
	{
		cr_assert(rig.waitForGroup("gateway-b", group));
	}
	const double before = rig.storeCalls("gateway-b");
	lab::waitUntil(3'000, [] {
		return false;
	});
	const double calls = rig.storeCalls("gateway-b") - before;
	cr_assert(calls <= 2.0, "%f calls in 3 s while the coordinators send news", calls);
	// One of the two coordinators fails with its group; the news of the other are enough.
	rig.groups[0].signal(SIGSTOP);
	rig.configure(2);
	cr_assert(lab::waitUntil(2'000, [&] {
		return 2 == rig.gatewayDump("gateway-b")["catalog"].get<int>();
	}));
	rig.groups[0].signal(SIGCONT);
}

/// Guards against connections that stay open since a daemon of another group responds after the search has ended.
Test(groups, late_responses_to_a_search_leave_no_links)
{
	constexpr std::size_t kMaxSockets = 14;  // as in a_coordinator_keeps_no_links_to_other_groups
	constexpr Millis kResponseDelayMs = 120; // a search waits for 30 ms, a poll for 250
	constexpr int kTries = 10;
	GroupRig rig(std::vector<std::size_t>(8, 2));
	startGatewayThatKnowsAllGroups(rig);
	RigGroup& searching = rig.groups.front();
	const auto signalOthers = [&](int _signal) {
		for (std::size_t group = 1; group < rig.groups.size(); ++group)
		{
			for (const std::unique_ptr<lab::ChildProcess>& sidecar : rig.groups[group].sidecars)
			{
				sidecar->signal(_signal);
			}
		}
	};
	const auto linksOf = [&](std::size_t _rank) {
		const httplib::Result result = clientOf(rig.ipOf(searching, _rank) + ":7341").Get("/dump");
		const Json dump = result ? Json::parse(result->body) : Json::object();
		return dump.contains("links") ? dump["links"].size() : 0;
	};
	bool late = false; // whether daemons responded late
	for (int attempt = 0; attempt < kTries && !late; ++attempt)
	{
		for (std::size_t rank = 0; rank < searching.sidecars.size(); ++rank)
		{
			searching.sidecars[rank]->kill();
		}
		signalOthers(SIGSTOP);
		for (std::size_t rank = 0; rank < searching.sidecars.size(); ++rank)
		{
			rig.start(searching, rank);
		}
		std::size_t coordinator = kRanks;
		lab::waitUntil(kSwitchMs, [&] {
			coordinator = rig.coordinator(searching);
			return coordinator < kRanks;
		});
		lab::pauseMs(kResponseDelayMs);
		late = coordinator < kRanks && searching.sidecars.size() < linksOf(coordinator);
		signalOthers(SIGCONT);
		std::size_t sockets = 0;
		const bool few = coordinator == kRanks || lab::waitUntil(1'000, [&] {
			                 sockets = openSockets(searching.sidecars[coordinator]->id());
			                 return sockets <= kMaxSockets;
		                 });
		cr_assert(few, "%zu sockets, %zu links", sockets, linksOf(coordinator));
	}
	cr_assert(late, "no daemon responded late in %d tries", kTries);
}

/// Guards against coordinators that keep their connections to the daemons of other groups after polling them in the
/// search for their own ranks. With 516 daemons, the busiest coordinator had 1,000 of 2,048 descriptors open.
Test(groups, a_coordinator_keeps_no_links_to_other_groups)
{
	constexpr std::size_t kMaxSockets = 14; // to its own group, its engine and the store, and from processes that poll it
	GroupRig rig(std::vector<std::size_t>(8, 2));
	startGatewayThatKnowsAllGroups(rig);
	for (const RigGroup& group : rig.groups)
	{
		const std::size_t rank = rig.coordinator(group);
		cr_assert(rank < kRanks);
		const pid_t process = group.sidecars[rank]->id();
		std::size_t sockets = 0;
		const bool few = lab::waitUntil(1'000, [&] {
			sockets = openSockets(process);
			return sockets <= kMaxSockets;
		});
		cr_assert(few, "%zu of the coordinator of %s", sockets, group.name.c_str());
	}
}
