/// A gateway process with upstreams whose answers come a second time, whole or in part, while another exchange is under way.
#include "gateway_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr Millis kPatienceMs = 300;
	/// More than any answer of the stub: its whole answer comes again.
	constexpr int kWhole = 4'096;

	double connectionsOpened(const GatewayRig& _rig)
	{
		const httplib::Result result = clientOf(_rig.gateway.metrics).Get("/metrics");
		const std::string name = "\narchdyke_gateway_upstream_connections_total ";
		const std::size_t at = result ? result->body.find(name) : std::string::npos;
		return std::string::npos == at ? -1.0 : std::stod(result->body.substr(at + name.size()));
	}

	/// Sends pairs of requests; the answer to the first of each comes again, whole, before that to the second.
	/// @returns Number of second requests that didn't get their own answer.
	int countSpoiltCalls(const GatewayRig& _rig, const std::string& _first, const std::string& _when)
	{
		constexpr int kPairs = 20;
		int spoilt = 0;
		for (int pair = 0; pair < kPairs; ++pair)
		{
			const std::string name = fmt::format("{}-{}-{}", _first, _when, pair);
			_rig.call(fmt::format("/once/x?do={}&behind={}&behindWhen={}", _first, kWhole, _when), GatewayRig::headersFor(name, kPatienceMs));
			const RigResponse second = _rig.call("/once/x?do=ok", GatewayRig::headersFor(name + "-2", kPatienceMs));
			spoilt += 200 == second.status && "GET /once/x?do=ok " == second.body ? 0 : 1;
		}
		return spoilt;
	}
} // namespace

/// Guards against sound requests that fail, or cost a connection each, because an earlier answer comes a second time.
Test(lateanswers, a_whole_late_answer_costs_the_next_request_nothing)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	for (const char* first : {"ok", "fail", "shed"})
	{
		cr_assert(0 == countSpoiltCalls(rig, first, "next"), "%s", first);
	}
	cr_assert(lab::waitUntil(kRigWaitMs, [&] {
		return 0.0 < connectionsOpened(rig);
	}));
	cr_assert(connectionsOpened(rig) <= 2.0, "%f connections", connectionsOpened(rig));
	for (const char* first : {"ok", "fail", "shed"})
	{
		cr_assert(0 == countSpoiltCalls(rig, first, "now"), "%s", first);
	}
}

/// Guards against a second answer to the first use of an id that is taken for the answer to its next use.
Test(lateanswers, an_id_that_is_used_again_gets_no_answer_to_its_first_use)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	for (int call = 0; call < 5; ++call)
	{
		const std::string id = fmt::format("again-{}", call);
		rig.call(fmt::format("/once/x?do=shed&behind={}&behindWhen=next", kWhole), GatewayRig::headersFor(id, kPatienceMs));
		const RigResponse second = rig.call("/once/x?do=ok", GatewayRig::headersFor(id, kPatienceMs));
		cr_assert(200 == second.status, "%d %s", second.status, second.body.c_str());
	}
}

/// Requests without an id: nothing in an answer tells whose it is.
Test(lateanswers, a_request_without_an_id_gets_no_answer_to_another)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	httplib::Headers headers = GatewayRig::headersFor("", kPatienceMs);
	headers.erase("X-Archdyke-Request-Id");
	for (int call = 0; call < 5; ++call)
	{
		rig.call(fmt::format("/once/x?do=fail&behind={}&behindWhen=next", kWhole), headers);
		const RigResponse second = rig.call("/once/x?do=ok", headers);
		cr_assert(200 == second.status, "%d %s", second.status, second.body.c_str());
	}
}

/// Guards against a stream that begins with bytes of an earlier answer.
Test(lateanswers, a_stream_holds_no_bytes_of_an_earlier_answer)
{
	constexpr int kMostBytes = 120;
	constexpr int kStep = 3; // a whole stream takes 0.2 s
	GatewayRig rig({"a"});
	rig.waitReady();
	for (int bytes = 1; bytes <= kMostBytes; bytes += kStep)
	{
		const std::string name = fmt::format("stream-{}", bytes);
		rig.call(fmt::format("/once/x?do=fail&behind={}&behindWhen=next", bytes), GatewayRig::headersFor(name, kPatienceMs));
		const RigResponse stream = rig.call("/stream/x?do=stream", GatewayRig::headersFor(name + "-2"));
		const bool whole = 200 == stream.status && allEvents() == stream.body;
		const bool failed = (502 == stream.status || 504 == stream.status || 0 == stream.status) && !stream.headers.contains("X-Archdyke-Server-Stamp");
		cr_assert(whole || failed, "%d bytes: %d %s", bytes, stream.status, stream.body.c_str());
	}
}

/// Guards against an answer without a length that is told whole with a second answer behind it.
Test(lateanswers, a_second_answer_is_no_part_of_one_that_ends_with_its_connection)
{
	constexpr int kFewestBytes = 5; // "HTTP/": fewer may be the end of any text
	constexpr int kMostBytes = 160;
	GatewayRig rig({"a"});
	rig.waitReady();
	for (int bytes = kFewestBytes; bytes <= kMostBytes; ++bytes)
	{
		const RigResponse answer = rig.call(fmt::format("/once/x?do=unframed&behind={}", bytes), GatewayRig::headersFor(fmt::format("unframed-{}", bytes), kPatienceMs));
		cr_assert(502 == answer.status, "%d bytes: %d %s", bytes, answer.status, answer.body.c_str());
	}
}

/// Guards against an upstream that gets no more requests because of what an answer to another request says of its sender.
Test(lateanswers, an_answer_to_another_request_says_nothing_of_the_upstream)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	cr_assert(200 == rig.call("/once/x?do=foreign&foreignLeaving=1", GatewayRig::headersFor("first")).status);
	cr_assert(200 == rig.call("/once/x?do=ok", GatewayRig::headersFor("second")).status);
}
