/// Tests of streams through the gateway process: complete, broken, with gaps, resumed, from an upstream that pauses.
#include <csignal>
#include <thread>
#include <vector>

#include "gateway_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

Test(gateway, a_stream_arrives_whole)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const RigResponse answer = rig.call("/stream/x?do=stream", GatewayRig::headersFor("r1"));
	cr_assert(200 == answer.status);
	cr_assert(answer.body == allEvents());
}

Test(gateway, a_broken_stream_goes_on_at_another_upstream)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	for (int call = 0; call < 4; ++call)
	{
		const RigResponse answer = rig.call("/stream/x?do=break", GatewayRig::headersFor(fmt::format("r{}", call)));
		cr_assert(200 == answer.status);
		cr_assert(answer.body == allEvents());
	}
}

/// Guards against a stream without chunks, which ends with its connection, being cut or losing events.
Test(gateway, a_stream_that_ends_with_its_connection_is_whole)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const RigResponse answer = rig.call("/stream/x?do=unframed", GatewayRig::headersFor("r1"));
	cr_assert(200 == answer.status);
	cr_assert(answer.body == allEvents());
}

/// Guards against a stream that ends inside an event being taken for complete because its connection ended in order.
Test(gateway, a_stream_that_ends_inside_an_event_is_resumed_or_cut)
{
	GatewayRig rig({"a", "b"});
	rig.configure(2, "key-one", Json::array({GatewayRig::route("/flow/", "streaming")}));
	rig.waitReady();
	for (int call = 0; call < 4; ++call)
	{
		const RigResponse answer = rig.call("/stream/x?do=tear", GatewayRig::headersFor(fmt::format("r{}", call)));
		cr_assert(200 == answer.status && answer.body == allEvents(), "%d %s", answer.status, answer.body.c_str());
	}
	cr_assert(lab::waitUntil(kRigWaitMs, [&] {
		return 404 != rig.call("/flow/x?do=stream", GatewayRig::headersFor("there")).status;
	}));
	cr_assert(0 == rig.call("/flow/x?do=tear", GatewayRig::headersFor("cut")).status, "a stream that may not be resumed must not look complete");
}

Test(gateway, a_stream_with_a_missing_event_is_resumed_or_cut)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	for (int call = 0; call < 4; ++call)
	{
		const RigResponse answer = rig.call("/stream/x?do=skip&only=a", GatewayRig::headersFor(fmt::format("r{}", call)));
		cr_assert(0 == answer.status || answer.body == allEvents());
	}
}

/// Guards against complete events before a gap in the same chunk being counted as delivered but dropped.
Test(gateway, events_before_a_gap_in_one_piece_are_delivered)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	for (int call = 0; call < 6; ++call)
	{
		const RigResponse answer = rig.call("/stream/x?do=jump&only=a", GatewayRig::headersFor(fmt::format("r{}", call)));
		cr_assert(200 == answer.status);
		cr_assert(answer.body == allEvents());
	}
}

Test(gateway, a_callers_own_resume_begins_after_its_last_event)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	httplib::Headers headers = GatewayRig::headersFor("r1");
	headers.emplace("Last-Event-Id", "9");
	const RigResponse answer = rig.call("/stream/x?do=stream", headers);
	cr_assert(200 == answer.status);
	cr_assert_str_eq(answer.body.c_str(), "id: 10\ndata: piece 10\n\nid: 11\ndata: piece 11\n\nid: 12\ndata: piece 12\n\n");
}

namespace
{
	/// Waits until a gateway has received nothing for some time from an upstream that has requests.
	bool waitQuiet(const GatewayRig& _rig, const std::string& _upstream, Millis _quietMs)
	{
		return lab::waitUntil(kRigWaitMs, [&] {
			const Json dump = _rig.dump();
			return dump.is_object() && std::any_of(dump["upstreams"].begin(), dump["upstreams"].end(), [&](const Json& _entry) {
				       return _upstream == _entry["incarnation"] && _quietMs <= _entry["quietMs"].get<Millis>();
			       });
		});
	}
} // namespace

/// Guards against a stream that leaves a paused upstream without resend budget: it would be cut.
Test(gateway, a_stream_stays_at_a_silent_upstream_while_no_resend_is_left)
{
	GatewayRig rig({"w0", "w1", "w2", "w3", "w4"});
	rig.retryAllowance = 0.0;
	rig.startGateway();
	rig.waitReady();
	RigResponse answer;
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
	// Responses of other upstreams count against a quiet upstream from 300 ms on (kOthersAnswerMs).
	for (const Millis at : {400, 600, 800})
	{
		cr_assert(waitQuiet(rig, paused->id, at));
		others.emplace_back([&rig, at] {
			rig.call("/safe/x?do=ok", GatewayRig::headersFor(fmt::format("other-{}", at)));
		});
	}
	// Longer than the 900 ms after which a request with resend budget would leave (kLeaveShare).
	cr_assert(waitQuiet(rig, paused->id, 1'200));
	paused->process->signal(SIGCONT);
	caller.join();
	for (std::thread& other : others)
	{
		other.join();
	}
	cr_assert(200 == answer.status && std::string::npos != answer.body.find("id: 12"), "%d %s", answer.status, answer.body.c_str());
}
