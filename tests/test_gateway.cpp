/// The gateway as a process before stand-ins of the users' platform: whole answers and one's own,
/// truth about what has not run, keys, leaving upstreams, streams, planned stops.
#include <atomic>
#include <csignal>
#include <future>
#include <sstream>
#include <thread>
#include <vector>

#include "gateway_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	int runsOf(const GatewayRig& _rig, const std::string& _request)
	{
		int runs = 0;
		for (const RigWorker& worker : _rig.workers)
		{
			const Json record = worker.recordOf(_request);
			runs += record.is_object() ? record["runs"].get<int>() : 0;
		}
		return runs;
	}

	std::string allEvents()
	{
		std::string events;
		for (int event = 1; event <= 12; ++event)
		{
			events += fmt::format("id: {}\ndata: piece {}\n\n", event, event);
		}
		return events;
	}
} // namespace

Test(gateway, an_answer_goes_back_whole_with_its_signature)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const RigAnswer answer = rig.call("/safe/sheet?do=ok", GatewayRig::headersFor("r1"));
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
		const RigAnswer answer = rig.call("/once/x?do=shed&only=a", GatewayRig::headersFor(fmt::format("r{}", call)));
		cr_assert(200 == answer.status);
	}
}

Test(gateway, all_upstreams_full_means_not_run_and_a_time_to_come_back)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	const RigAnswer answer = rig.call("/once/x?do=shed", GatewayRig::headersFor("r1"));
	cr_assert(503 == answer.status);
	cr_assert(answer.headers.contains("Retry-After"));
	cr_assert(0 == runsOf(rig, "r1"));
}

Test(gateway, what_may_have_run_is_never_told_as_not_run_nor_run_twice)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	for (const char* trouble : {"cut", "garbage", "unsigned", "encoded"})
	{
		const std::string request = std::string("once-") + trouble;
		const RigAnswer answer = rig.call(std::string("/once/x?do=") + trouble, GatewayRig::headersFor(request));
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
			const RigAnswer answer = rig.call(target, GatewayRig::headersFor(fmt::format("{}-{}", trouble, call)));
			cr_assert(200 == answer.status, "%s: %d", trouble, answer.status);
		}
	}
}

Test(gateway, an_answer_to_another_request_is_passed_over)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const RigAnswer answer = rig.call("/once/x?do=foreign", GatewayRig::headersFor("r1"));
	cr_assert(200 == answer.status);
	cr_assert_str_eq(answer.body.c_str(), "GET /once/x?do=foreign ");
}

Test(gateway, an_answer_that_ends_with_its_connection_is_whole)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const RigAnswer answer = rig.call("/once/x?do=unframed", GatewayRig::headersFor("r1"));
	cr_assert(200 == answer.status);
	cr_assert_str_eq(answer.body.c_str(), "GET /once/x?do=unframed ");
}

Test(gateway, the_deadline_is_answered_at_once_and_the_run_ended)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const Millis begun = nowMs();
	const RigAnswer answer = rig.call("/once/x?do=hang", GatewayRig::headersFor("r1", 400));
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
		httplib::Client client = clientOf(rig.callers);
		client.set_read_timeout(0, 200'000);
		cr_assert(!client.Get("/once/x?do=hang", GatewayRig::headersFor("r1")));
	}
	cr_assert(lab::waitUntil(1'000, [&] {
		const Json record = rig.workers.front().recordOf("r1");
		return record.is_object() && 1 == record["left"].get<int>();
	}));
}

Test(gateway, a_stream_arrives_whole)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const RigAnswer answer = rig.call("/stream/x?do=stream", GatewayRig::headersFor("r1"));
	cr_assert(200 == answer.status);
	cr_assert(answer.body == allEvents());
}

Test(gateway, a_broken_stream_goes_on_at_another_upstream)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	for (int call = 0; call < 4; ++call)
	{
		const RigAnswer answer = rig.call("/stream/x?do=break", GatewayRig::headersFor(fmt::format("r{}", call)));
		cr_assert(200 == answer.status);
		cr_assert(answer.body == allEvents());
	}
}

Test(gateway, a_stream_that_leaves_an_event_out_is_mended_or_cut)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	for (int call = 0; call < 4; ++call)
	{
		const RigAnswer answer = rig.call("/stream/x?do=skip&only=a", GatewayRig::headersFor(fmt::format("r{}", call)));
		cr_assert(0 == answer.status || answer.body == allEvents());
	}
}

/// Whole events before a gap in the same piece once counted as delivered, but were dropped.
Test(gateway, events_before_a_gap_in_one_piece_are_delivered)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	for (int call = 0; call < 6; ++call)
	{
		const RigAnswer answer = rig.call("/stream/x?do=jump&only=a", GatewayRig::headersFor(fmt::format("r{}", call)));
		cr_assert(200 == answer.status);
		cr_assert(answer.body == allEvents());
	}
}

/// A configuration that can't be read proves nothing of the one that is held.
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

Test(gateway, a_callers_own_resume_begins_after_its_last_event)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	httplib::Headers headers = GatewayRig::headersFor("r1");
	headers.emplace("Last-Event-Id", "9");
	const RigAnswer answer = rig.call("/stream/x?do=stream", headers);
	cr_assert(200 == answer.status);
	cr_assert_str_eq(answer.body.c_str(), "id: 10\ndata: piece 10\n\nid: 11\ndata: piece 11\n\nid: 12\ndata: piece 12\n\n");
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

/// The revocation bound is 2 s here. A store that is away leaves keyed requests unproved; public
/// ones go on.
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
	rig.announce(rig.workers[0], "ready"); // what a list says again doesn't take it back
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
	// Its address told that it is gone: nobody is sent there again.
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
	std::future<RigAnswer> stream = std::async(std::launch::async, [&] {
		return rig.call("/stream/x?do=stream", GatewayRig::headersFor("r1"));
	});
	cr_assert(lab::waitUntil(2'000, [&] {
		return 0 < rig.dump()["inFlight"].get<int>();
	}));
	rig.gateway->signal(SIGTERM);
	cr_assert(lab::waitUntil(1'000, [&] {
		return !rig.isReady();
	}));
	const RigAnswer answer = stream.get();
	cr_assert(200 == answer.status && answer.body == allEvents());
	cr_assert(rig.gateway->waitForExit(6'000) == 0);
}

Test(gateway, an_unreadable_request_is_rejected_and_the_connection_closed)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	httplib::Headers tooLong = GatewayRig::headersFor("r1");
	tooLong.emplace("X-Long", std::string(8'000, 'x'));
	cr_assert(431 == rig.call("/safe/x", tooLong).status);
	httplib::Client client = clientOf(rig.callers);
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
	const std::string path = rig.directory.path + "/gateway.json";
	std::ofstream(path) << "{ no settings";
	rig.gateway->signal(SIGHUP);
	cr_assert(lab::waitUntil(2'000, [&] {
		return std::string::npos != rig.gateway->log().find("event=reload_failed");
	}));
	cr_assert(200 == rig.call("/safe/x", GatewayRig::headersFor("r1")).status);
}

/// An upstream that takes requests and says nothing, while others answer, would swallow a share of
/// them until their callers leave.
Test(gateway, a_request_leaves_a_silent_upstream_and_others_pass_it_by)
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
	rig.workers[0].process->signal(SIGSTOP); // its kernel still takes connections
	int slow = 0;
	int unanswered = 0;
	for (int call = 0; call < 30; ++call)
	{
		const Millis before = nowMs();
		const RigAnswer answer = rig.call("/safe/x?do=ok", GatewayRig::headersFor(fmt::format("call-{}", call)));
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

/// All slots of an engine are taken: the urgent still go to it, the less urgent are told when to come
/// back, and one that did come back is served.
Test(gateway, the_less_urgent_leave_a_full_engine_to_the_urgent)
{
	GatewayRig rig({"a"});
	Json urgent = GatewayRig::route("/urgent/", "streaming");
	urgent["priority"] = 0;
	Json later = GatewayRig::route("/later/", "streaming");
	later["priority"] = 3;
	Json configuration = lab::configurationJson(2, {"key-one"}, Json::array({urgent, later}));
	configuration["services"][0]["engine"] = {{"slots", 4}, {"step_ms", 4.0}, {"per_seq_ms", 1.0}};
	rig.store.put("op", "config", configuration);
	rig.waitReady();
	cr_assert(lab::waitUntil(kRigWaitMs, [&] {
		return 2 == rig.dump()["catalog"].get<int>();
	}));
	std::vector<std::thread> full;
	for (int call = 0; call < 4; ++call)
	{
		full.emplace_back([&rig, call] {
			rig.call("/urgent/x?do=hang", GatewayRig::headersFor(fmt::format("full-{}", call), 900));
		});
	}
	cr_assert(lab::waitUntil(kRigWaitMs, [&] {
		return 4 == rig.dump()["upstreams"][0]["inFlight"].get<int>();
	}));
	const RigAnswer refused = rig.call("/later/x?do=stream", GatewayRig::headersFor("later"));
	const RigAnswer served = rig.call("/urgent/x?do=stream", GatewayRig::headersFor("urgent"));
	RigAnswer cameBack;
	for (int call = 0; call < 20 && 200 != cameBack.status; ++call)
	{
		cameBack = rig.call("/later/x?do=stream", GatewayRig::headersFor(fmt::format("back-{}", call), 1'400));
	}
	for (std::thread& caller : full)
	{
		caller.join();
	}
	cr_assert(503 == refused.status && refused.headers.contains("Retry-After"), "status %d", refused.status);
	cr_assert("less_urgent\n" == refused.body, "%s", refused.body.c_str());
	cr_assert(200 == served.status && 200 == cameBack.status, "%d, %d", served.status, cameBack.status);
	cr_assert("0" == rig.workers[0].recordOf("urgent")["urgency"].get<std::string>());
}

/// A stream whose upstream paused was taken away from it and cut, as no resend was left to go on with.
Test(gateway, a_stream_stays_at_a_silent_upstream_while_no_resend_is_left)
{
	GatewayRig rig({"w0", "w1", "w2", "w3", "w4"});
	rig.retryAllowance = 0.0;
	rig.startGateway();
	rig.waitReady();
	RigAnswer answer;
	std::thread caller([&rig, &answer] {
		answer = rig.call("/stream/x?do=stream", GatewayRig::headersFor("long", 8'000));
	});
	RigWorker* paused = nullptr;
	cr_assert(lab::waitUntil(1'000, [&] {
		for (RigWorker& worker : rig.workers)
		{
			paused = worker.recordOf("long").is_null() ? paused : &worker;
		}
		return nullptr != paused;
	}));
	paused->process->signal(SIGSTOP);
	std::vector<std::thread> others;
	for (const Millis at : {400, 600, 800})
	{
		others.emplace_back([&rig, at] {
			std::this_thread::sleep_for(std::chrono::milliseconds(at));
			rig.call("/safe/x?do=ok", GatewayRig::headersFor(fmt::format("other-{}", at)));
		});
	}
	std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
	paused->process->signal(SIGCONT);
	caller.join();
	for (std::thread& other : others)
	{
		other.join();
	}
	cr_assert(200 == answer.status && std::string::npos != answer.body.find("id: 12"), "%d %s", answer.status, answer.body.c_str());
}

namespace
{
	/// Announces an upstream that is cold, in a service whose cold upstreams bear a limited rate. A gateway
	/// that nobody tells their number goes by 128 of them, and has 4 or 5 sends in a window at this rate.
	void announceCold(GatewayRig& _rig, Millis _coldForMs)
	{
		Json configuration = lab::configurationJson(2, {"key-one"}, Json::array());
		configuration["services"] = Json::array({{{"name", "svc"}, {"maxConns", 50}, {"coldS", 3}, {"coldPerS", 560}}});
		_rig.store.put("op", "config", configuration);
		cr_assert(lab::waitUntil(2'000, [&] {
			return 2 == _rig.dump()["catalog"].get<int>();
		}));
		Json row = lab::upstreamJson("svc", _rig.workers.front().address, "ready");
		row["coldLeftMs"] = _coldForMs;
		_rig.store.put("servers", _rig.workers.front().id, row);
		cr_assert(lab::waitUntil(2'000, [&] {
			return 0 < _rig.dump()["upstreams"][0]["warmInMs"].get<int>();
		}));
	}

	/// @returns The most runs within a second, by an upstream's own record.
	std::size_t mostRunsInASecond(const RigWorker& _worker)
	{
		std::vector<Millis> times;
		std::istringstream lines(_worker.process->log());
		for (std::string line; std::getline(lines, line);)
		{
			const std::size_t at = line.find(" at=");
			if (line.starts_with("run ") && std::string::npos != at)
			{
				times.push_back(std::stoll(line.substr(at + 4)));
			}
		}
		std::size_t most = 0;
		for (std::size_t first = 0, last = 0; last < times.size(); ++last)
		{
			while (times[last] - times[first] >= 1'000)
			{
				++first;
			}
			most = std::max(most, last - first + 1);
		}
		return most;
	}

	/// What callers that repeat at once got.
	struct FloodEnd
	{
		std::atomic<int> served{0};
		std::atomic<int> refused{0};
		std::atomic<int> other{0}; ///< Another status, another reason, or late.
	};

	void flood(const GatewayRig& _rig, int _caller, Millis _until, FloodEnd& _end)
	{
		constexpr Millis kAtOnceMs = 250;
		for (int call = 0; nowMs() < _until; ++call)
		{
			const Millis begun = nowMs();
			const RigAnswer answer = _rig.call("/safe/x?do=ok", GatewayRig::headersFor(fmt::format("flood-{}-{}", _caller, call)));
			const bool refusedAtOnce = 503 == answer.status && "cold_upstreams\n" == answer.body && answer.headers.contains("Retry-After") && nowMs() - begun < kAtOnceMs;
			(200 == answer.status ? _end.served : refusedAtOnce ? _end.refused
			                                                    : _end.other) += 1;
			lab::pauseMs(5);
		}
	}
} // namespace

Test(gateway, a_cold_upstream_gets_its_share_of_a_flood_and_the_rest_is_refused_at_once)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	announceCold(rig, 60'000);
	FloodEnd end;
	std::vector<std::thread> callers;
	for (int caller = 0; caller < 4; ++caller)
	{
		callers.emplace_back([&rig, &end, caller, until = nowMs() + 3'000] {
			flood(rig, caller, until, end);
		});
	}
	for (std::thread& caller : callers)
	{
		caller.join();
	}
	const std::size_t most = mostRunsInASecond(rig.workers.front());
	cr_assert(4 <= most && most <= 5, "%zu in a second", most);
	cr_assert(8 <= end.served && end.served <= 15, "%d served", end.served.load());
	cr_assert(100 < end.refused && 0 == end.other, "%d refused, %d other", end.refused.load(), end.other.load());
}

Test(gateway, an_upstream_that_is_warm_again_gets_all)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	announceCold(rig, 1'000);
	cr_assert(lab::waitUntil(2'500, [&] {
		return 0 == rig.dump()["upstreams"][0]["warmInMs"].get<int>();
	}));
	for (int call = 0; call < 20; ++call)
	{
		cr_assert(200 == rig.call("/safe/x?do=ok", GatewayRig::headersFor(fmt::format("warm-{}", call))).status);
	}
	cr_assert(lab::waitUntil(1'000, [&] {
		return std::string::npos != rig.gateway->log().find("event=upstream_warm");
	}));
}
