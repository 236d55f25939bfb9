/// Tests of the gateway process with stubs of the platform: complete responses that belong to the request, correct
/// statements that a request has not run, keys, leaving upstreams, planned stops.
#include <atomic>
#include <csignal>
#include <future>
#include <thread>
#include <vector>

#include "gateway_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

Test(gateway, an_answer_goes_back_whole_with_its_signature)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const RigResponse answer = rig.call("/safe/sheet?do=ok", GatewayRig::headersFor("r1"));
	cr_assert(200 == answer.status);
	cr_assert_str_eq(answer.body.c_str(), "GET /safe/sheet?do=ok ");
	cr_assert(answer.headers.contains("X-Archdyke-Server-Stamp"));
	cr_assert(rig.workers.front().recordOf("r1")["organisation"] == "kitchen");
}

Test(gateway, a_request_without_route_or_key_is_rejected)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	cr_assert(404 == rig.call("/nowhere/x", GatewayRig::headersFor("r1")).status);
	cr_assert(401 == rig.call("/safe/x", GatewayRig::headersFor("r2", 1'500, "no-key")).status);
	cr_assert(200 == rig.call("/open/x", GatewayRig::headersFor("r3", 1'500, "")).status);
}

Test(gateway, a_refused_request_is_tried_elsewhere)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	for (int call = 0; call < 12; ++call)
	{
		const RigResponse answer = rig.call("/once/x?do=shed&only=a", GatewayRig::headersFor(fmt::format("r{}", call)));
		cr_assert(200 == answer.status);
	}
}

Test(gateway, all_upstreams_full_means_not_run_and_a_time_to_come_back)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	const RigResponse answer = rig.call("/once/x?do=shed", GatewayRig::headersFor("r1"));
	cr_assert(503 == answer.status);
	cr_assert(answer.headers.contains("Retry-After"));
	cr_assert(0 == runsOf(rig, "r1"));
}

Test(gateway, what_may_have_run_is_never_reported_as_not_run_nor_run_twice)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	for (const char* trouble : {"cut", "garbage", "unsigned", "encoded"})
	{
		const std::string request = std::string("once-") + trouble;
		const RigResponse answer = rig.call(std::string("/once/x?do=") + trouble, GatewayRig::headersFor(request));
		cr_assert(502 == answer.status, "%s: %d", trouble, answer.status);
		cr_assert(1 == runsOf(rig, request), "%s ran %d times", trouble, runsOf(rig, request));
	}
}

Test(gateway, what_may_be_repeated_is_tried_elsewhere_after_a_bad_answer)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	for (const char* trouble : {"cut", "garbage", "unsigned", "encoded", "fail"})
	{
		for (int call = 0; call < 4; ++call)
		{
			const std::string target = fmt::format("/safe/x?do={}&only=a", trouble);
			const RigResponse answer = rig.call(target, GatewayRig::headersFor(fmt::format("{}-{}", trouble, call)));
			cr_assert(200 == answer.status, "%s: %d", trouble, answer.status);
		}
	}
}

Test(gateway, a_response_to_another_request_is_skipped)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const RigResponse answer = rig.call("/once/x?do=foreign", GatewayRig::headersFor("r1"));
	cr_assert(200 == answer.status);
	cr_assert_str_eq(answer.body.c_str(), "GET /once/x?do=foreign ");
}

Test(gateway, an_answer_that_ends_with_its_connection_is_whole)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const RigResponse answer = rig.call("/once/x?do=unframed", GatewayRig::headersFor("r1"));
	cr_assert(200 == answer.status);
	cr_assert_str_eq(answer.body.c_str(), "GET /once/x?do=unframed ");
}

Test(gateway, the_deadline_is_answered_at_once_and_the_run_ended)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const Millis begun = nowMs();
	const RigResponse answer = rig.call("/once/x?do=hang", GatewayRig::headersFor("r1", 400));
	const Millis took = nowMs() - begun;
	cr_assert(504 == answer.status);
	cr_assert(400 <= took && took < 900, "took %d ms", int(took));
	cr_assert(lab::waitUntil(2'000, [&] {
		return 1 == rig.workers.front().recordOf("r1")["left"].get<int>();
	}));
}

Test(gateway, a_caller_that_leaves_ends_its_run)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	{
		httplib::Client client = clientOf(rig.gateway.callers);
		client.set_read_timeout(0, 200'000);
		cr_assert(!client.Get("/once/x?do=hang", GatewayRig::headersFor("r1")));
	}
	cr_assert(lab::waitUntil(1'000, [&] {
		const Json record = rig.workers.front().recordOf("r1");
		return record.is_object() && 1 == record["left"].get<int>();
	}));
}

/// An unreadable configuration doesn't prove that the present one is still the newest.
Test(gateway, an_unreadable_configuration_leaves_keys_unproved)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	rig.store.put("op", "config", {{"version", "no number"}});
	cr_assert(lab::waitUntil(4'000, [&] {
		return 503 == rig.call("/safe/x", GatewayRig::headersFor("r1")).status;
	}));
	rig.configure(7);
	cr_assert(lab::waitUntil(4'000, [&] {
		return 200 == rig.call("/safe/x", GatewayRig::headersFor("r2")).status;
	}));
}

Test(gateway, a_new_configuration_is_in_force_within_a_second)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	rig.configure(2, "key-two", Json::array({GatewayRig::route("/new/", "idempotent")}));
	cr_assert(lab::waitUntil(1'000, [&] {
		return 200 == rig.call("/new/x", GatewayRig::headersFor("r1", 1'500, "key-two")).status;
	}));
	cr_assert(401 == rig.call("/safe/x", GatewayRig::headersFor("r2")).status);
}

Test(gateway, an_older_configuration_is_never_taken)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	rig.configure(5, "key-two");
	cr_assert(lab::waitUntil(2'000, [&] {
		return 5 == rig.dump()["catalog"].get<int>();
	}));
	rig.configure(4, "key-one");
	rig.store.put("op", "mark", {{"after", 4}});
	lab::pauseMs(600);
	cr_assert(5 == rig.dump()["catalog"].get<int>());
	cr_assert(200 == rig.call("/safe/x", GatewayRig::headersFor("r1", 1'500, "key-two")).status);
}

/// The revocation bound is 2 s here. While the store is unreachable, requests with keys are refused for lack of a
/// proof; public requests are still served.
Test(gateway, keys_hold_only_while_the_newest_configuration_is_proved)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	rig.store.control({{"mode", "silent"}});
	const Millis cutAt = nowMs();
	cr_assert(lab::waitUntil(4'000, [&] {
		return 503 == rig.call("/safe/x", GatewayRig::headersFor("r1")).status;
	}));
	cr_assert(nowMs() - cutAt < 2'400);
	cr_assert(200 == rig.call("/open/x", GatewayRig::headersFor("r2", 1'500, "")).status);
	cr_assert(!rig.isReady());
	rig.store.control({{"mode", "up"}});
	cr_assert(lab::waitUntil(4'000, [&] {
		return 200 == rig.call("/safe/x", GatewayRig::headersFor("r3")).status;
	}));
}

Test(gateway, a_store_that_forgets_its_history_is_read_anew)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	rig.store.control({{"mode", "busy"}});
	rig.store.control({{"mode", "up"}, {"forget", true}});
	rig.configure(3);
	rig.store.control({{"mode", "up"}, {"forget", true}});
	cr_assert(lab::waitUntil(3'000, [&] {
		return 3 == rig.dump()["catalog"].get<int>();
	}));
}

Test(gateway, a_leaving_upstream_gets_nothing_new)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	rig.announce(rig.workers[0], "draining");
	cr_assert(lab::waitUntil(1'500, [&] {
		const Json dump = rig.dump();
		return std::any_of(dump["upstreams"].begin(), dump["upstreams"].end(), [](const Json& _upstream) {
			return "a" == _upstream["incarnation"] && _upstream["leaving"].get<bool>();
		});
	}));
	rig.announce(rig.workers[0], "ready"); // a later row that says ready doesn't make it available again
	for (int call = 0; call < 10; ++call)
	{
		const std::string request = fmt::format("r{}", call);
		cr_assert(200 == rig.call("/once/x", GatewayRig::headersFor(request)).status);
		cr_assert(rig.workers[0].recordOf(request).is_null());
	}
}

Test(gateway, an_upstream_without_a_row_gets_nothing_new)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	rig.store.remove("servers", "a");
	cr_assert(lab::waitUntil(1'500, [&] {
		return 1 == rig.dump()["upstreams"].size();
	}));
}

Test(gateway, another_incarnation_at_the_same_address_runs_nothing)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	rig.store.put("servers", "ghost", {{"service", "svc"}, {"address", rig.workers[0].address}, {"zone", "here"}, {"slots", 4}, {"state", "ready"}});
	cr_assert(lab::waitUntil(2'000, [&] {
		return 3 == rig.dump()["upstreams"].size();
	}));
	for (int call = 0; call < 12; ++call)
	{
		const std::string request = fmt::format("r{}", call);
		cr_assert(200 == rig.call("/once/x", GatewayRig::headersFor(request)).status);
		cr_assert(1 == runsOf(rig, request));
	}
	// The process at its address reported another incarnation: the upstream is removed.
	const Json dump = rig.dump();
	cr_assert(std::none_of(dump["upstreams"].begin(), dump["upstreams"].end(), [](const Json& _upstream) {
		return "ghost" == _upstream["incarnation"];
	}));
}

Test(gateway, a_dead_upstream_is_proved_not_to_have_run)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	rig.workers[0].process->kill();
	for (int call = 0; call < 8; ++call)
	{
		cr_assert(200 == rig.call("/once/x", GatewayRig::headersFor(fmt::format("r{}", call))).status);
	}
}

Test(gateway, a_planned_stop_ends_what_is_under_way)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	std::future<RigResponse> stream = std::async(std::launch::async, [&] {
		return rig.call("/stream/x?do=stream", GatewayRig::headersFor("r1"));
	});
	cr_assert(lab::waitUntil(2'000, [&] {
		return 0 < rig.dump()["inFlight"].get<int>();
	}));
	rig.gateway.process->signal(SIGTERM);
	cr_assert(lab::waitUntil(1'000, [&] {
		return !rig.isReady();
	}));
	const RigResponse answer = stream.get();
	cr_assert(200 == answer.status && answer.body == allEvents());
	cr_assert(rig.gateway.process->waitForExit(6'000) == 0);
}

Test(gateway, an_unreadable_request_is_rejected_and_the_connection_closed)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	httplib::Headers tooLong = GatewayRig::headersFor("r1");
	tooLong.emplace("X-Long", std::string(8'000, 'x'));
	cr_assert(431 == rig.call("/safe/x", tooLong).status);
	httplib::Client client = clientOf(rig.gateway.callers);
	const httplib::Result large = client.Post("/safe/x", GatewayRig::headersFor("r2"), std::string(100'000, 'x'), "text/plain");
	cr_assert(!large || 413 == large->status);
	cr_assert(0 == runsOf(rig, "r2"));
}

Test(gateway, a_settings_file_with_problems_names_them_all)
{
	ScratchDirectory directory;
	const std::string path = directory.path + "/gateway.json";
	std::ofstream(path) << R"({"name": "g", "zone": "here", "ip": "127.0.0.1", "peerPort": 0, "metrics": "nowhere", "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "unknown": 1})";
	lab::ChildProcess gateway(std::string(ARCHDYKE_BIN_DIR) + "/archdyke-gateway", {"--settings", path}, directory.path + "/gateway.log");
	cr_assert(gateway.waitForExit(5'000) == 2);
	const std::string log = gateway.log();
	for (const char* field : {"peerPort", "metrics", "store"})
	{
		cr_assert(std::string::npos != log.find(field), "%s isn't named in: %s", field, log.c_str());
	}
	cr_assert(std::string::npos == log.find("unknown"));
}

Test(gateway, a_reload_takes_new_bounds_and_keeps_the_old_ones_of_a_bad_file)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const std::string path = rig.directory.path + "/gateway-1.json";
	std::ofstream(path) << "{ no settings";
	rig.gateway.process->signal(SIGHUP);
	cr_assert(lab::waitUntil(2'000, [&] {
		return std::string::npos != rig.gateway.process->log().find("event=reload_failed");
	}));
	cr_assert(200 == rig.call("/safe/x", GatewayRig::headersFor("r1")).status);
}

/// An upstream that accepts requests but never responds, while others do, would hold its share of the requests until
/// their callers give up.
Test(gateway, a_request_leaves_a_silent_upstream_and_others_avoid_it)
{
	GatewayRig rig({"w0", "w1", "w2"});
	rig.waitReady();
	std::atomic<bool> done{false};
	std::vector<std::thread> others;
	for (int other = 0; other < 6; ++other)
	{
		others.emplace_back([&rig, &done, other] {
			for (int call = 0; !done; ++call)
			{
				rig.call("/stream/x?do=stream", GatewayRig::headersFor(fmt::format("other-{}-{}", other, call), 8'000));
			}
		});
	}
	rig.workers[0].process->signal(SIGSTOP); // the kernel still accepts connections
	int slow = 0;
	int unanswered = 0;
	for (int call = 0; call < 30; ++call)
	{
		const Millis before = nowMs();
		const RigResponse answer = rig.call("/safe/x?do=ok", GatewayRig::headersFor(fmt::format("call-{}", call)));
		unanswered += 200 == answer.status ? 0 : 1;
		slow += nowMs() - before > 600 ? 1 : 0;
	}
	done = true;
	for (std::thread& other : others)
	{
		other.join();
	}
	cr_assert(0 == unanswered, "%d of 30 not answered", unanswered);
	cr_assert(slow <= 12, "%d of 30 were at the silent upstream", slow);
}
