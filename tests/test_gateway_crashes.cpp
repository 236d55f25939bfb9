/// Requests that crash each upstream that starts to run them, with several gateway processes.
#include <thread>
#include <vector>

#include "crash_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Number of crashed upstreams from which on a request must be refused.
	constexpr std::size_t kCrashes = 3;
} // namespace

/// Guards against a request that crashes upstream after upstream. A broken connection counted against the upstream alone, so
/// each attempt and each repeat, through any gateway, went to a healthy upstream, whose group of ranks stalled each time. In
/// this test twelve more upstreams ended after the first four. Each of the three gateways saw four or five of them end under
/// the same fingerprint and still sent the request on:
///   process=gateway-of-0 event=upstream_crashed fingerprint=8f2639458cca7b6a44bd2216ea7ce693 upstream=w2+ crashes_of_request=5
///   process=gateway-of-1 event=upstream_crashed fingerprint=8f2639458cca7b6a44bd2216ea7ce693 upstream=w5 crashes_of_request=5
///   process=gateway-of-2 event=upstream_crashed fingerprint=8f2639458cca7b6a44bd2216ea7ce693 upstream=w5+ crashes_of_request=4
Test(gateway, a_request_that_ended_three_upstreams_reaches_no_more)
{
	CrashRig rig(6, 3);
	const std::string target = "/safe/x?do=crash";
	const std::size_t before = rig.crashUntilRefused(target);
	std::size_t refused = 0;
	for (std::size_t call = 0; call < 2 * rig.gateways.size(); ++call)
	{
		const RigResponse answer = rig.crash(call % rig.gateways.size(), target);
		refused += 503 == answer.status ? 1 : 0;
	}
	cr_assert(before == rig.crashed, "%zu more upstreams ended after the first %zu", rig.crashed - before, before);
	cr_assert(2 * rig.gateways.size() == refused);
	const RigResponse other = rig.gateways[0].call("/safe/y?do=ok", GatewayRig::headersFor("other"));
	cr_assert(200 == other.status, "others are served");
}

/// The caller gets the refusal at once, with a retry delay that is longer than any caller waits.
Test(gateway, a_request_that_crashed_upstreams_is_refused_at_once)
{
	constexpr Millis kMaxRefusalMs = 200;
	constexpr double kMinRetryAfterS = 60.0;
	CrashRig rig(6, 2);
	const std::string target = "/stream/x?do=crash"; // crashes them within its third event
	rig.crashUntilRefused(target);
	for (const RigGateway& gateway : rig.gateways)
	{
		const Millis begun = nowMs();
		const RigResponse answer = gateway.call(target, GatewayRig::headersFor("at-once"));
		cr_assert(isRefusedForCrashes(answer), "%d %s", answer.status, answer.body.c_str());
		cr_assert(nowMs() - begun < kMaxRefusalMs);
		cr_assert(kMinRetryAfterS < std::stod(answer.headers.find("Retry-After")->second));
	}
}

/// Includes gateways that saw none of the crashes; the store drops its history meanwhile.
Test(gateway, all_of_many_gateways_refuse_a_request_soon_after_its_third_crash)
{
	CrashRig rig(6, 10);
	const std::string target = "/safe/x?do=crash";
	rig.crash(0, target);
	rig.rig.store.control({{"forget", true}});
	const std::size_t before = rig.crashUntilRefused(target);
	for (const RigGateway& gateway : rig.gateways)
	{
		cr_assert(isRefusedForCrashes(gateway.call(target, GatewayRig::headersFor("many"))));
	}
	rig.restartEnded();
	cr_assert(before == rig.crashed);
}

/// Crashes must be known to a gateway that starts later, and to a gateway that is restarted.
Test(gateway, a_gateway_that_starts_after_the_crashes_refuses_the_request_too)
{
	CrashRig rig(6, 1);
	const std::string target = "/safe/x?do=crash";
	const std::size_t before = rig.crashUntilRefused(target);
	rig.gateways.push_back(rig.rig.startGatewayNamed("gateway-of-later"));
	rig.gateways[0].process->kill();
	rig.gateways[0] = rig.rig.startGatewayNamed("gateway-of-again");
	for (const RigGateway& gateway : rig.gateways)
	{
		gateway.waitReady(rig.rig.workers.size());
	}
	lab::pauseMs(kPropagationMs);
	cr_assert(isRefusedForCrashes(rig.crash(0, target)));
	cr_assert(isRefusedForCrashes(rig.crash(1, target)));
	cr_assert(before == rig.crashed);
}

/// A gateway that can't reach the store refuses requests for crashes that it saw itself, and publishes these once the
/// store is back.
Test(gateway, crashes_seen_while_the_store_is_unreachable_are_published_when_it_is_back)
{
	CrashRig rig(6, 2);
	const std::string target = "/open/x?do=crash"; // a public route, which needs no proof of a key
	rig.rig.store.control({{"mode", "silent"}});
	RigResponse answer;
	for (int call = 0; call < 3; ++call) // two attempts each, so the third one is refused
	{
		answer = rig.gateways[0].call(target, GatewayRig::headersFor("away-" + std::to_string(call)));
		lab::pauseMs(kCrashCheckMs);
	}
	cr_assert(isRefusedForCrashes(answer), "%d %s\n%s", answer.status, answer.body.c_str(), rig.gateways[0].process->output().c_str());
	rig.rig.store.control({{"mode", "up"}});
	lab::pauseMs(kPropagationMs + 1'500); // plus the timeout of a call that the store has lost
	cr_assert(kCrashes == rig.restartEnded());
	cr_assert(isRefusedForCrashes(rig.crash(1, target)));
	cr_assert(kCrashes == rig.crashed);
}

/// Requests that were running at an upstream when another request crashed it must be served elsewhere, and the crash that
/// was attributed to them must be removed from the store. All callers send the same request here, so it runs at each
/// upstream that crashes.
Test(gateway, bystanders_of_crashes_are_served_and_cleared)
{
	constexpr int kStreams = 8;
	constexpr std::size_t kRounds = 5;
	CrashRig rig(4, 1);
	for (std::size_t round = 0; round < kRounds; ++round)
	{
		std::vector<std::thread> callers;
		std::vector<RigResponse> answers(kStreams);
		for (int stream = 0; stream < kStreams; ++stream)
		{
			callers.emplace_back([&, stream] {
				answers[std::size_t(stream)] = rig.gateways[0].call("/stream/same?do=stream", GatewayRig::headersFor(fmt::format("by-{}-{}", round, stream)));
			});
		}
		lab::pauseMs(60);
		// It may not be repeated and differs in each round, so none crashes three upstreams.
		rig.gateways[0].call(fmt::format("/once/{}?do=crash", round), GatewayRig::headersFor(fmt::format("ends-{}", round)));
		for (std::thread& caller : callers)
		{
			caller.join();
		}
		for (const RigResponse& answer : answers)
		{
			cr_assert(200 == answer.status && allEvents() == answer.body, "%d %s", answer.status, answer.body.c_str());
		}
		rig.restartEnded();
	}
	cr_assert(kRounds == rig.crashed);
	lab::pauseMs(kPropagationMs);
	const httplib::Result rows = clientOf(rig.rig.store.address).Get("/rows-get?table=archdyke_crashes&part=&limit=500");
	cr_assert(kRounds == Json::parse(rows->body)["rows"].size(), "%s", rows->body.c_str());
	cr_assert(kRounds == rig.gateways[0].dump()["crashes"].size(), "the requests that crashed them stay recorded");
}

/// The store comes back from a copy that lacks the crashes: gateways publish them again, for those that start later.
Test(gateway, crashes_that_a_restored_store_lacks_are_published_again)
{
	CrashRig rig(5, 2);
	const Millis copyAt = nowMs();
	lab::pauseMs(300);
	rig.crashUntilRefused("/safe/x?do=crash");
	rig.rig.store.restore(copyAt);
	rig.rig.store.rewriteLost();
	lab::pauseMs(2 * kPropagationMs);
	for (const RigGateway& gateway : rig.gateways)
	{
		cr_assert(isRefusedForCrashes(gateway.call("/safe/x?do=crash", GatewayRig::headersFor("known"))), "a gateway has forgotten it");
	}
	const RigGateway late = rig.rig.startGatewayNamed("gateway-late");
	late.waitReady(5);
	cr_assert(lab::waitUntil(kPropagationMs, [&] {
		          const Json crashes = late.dump()["crashes"];
		          return 1 == crashes.size() && kCrashes <= crashes.front().get<std::size_t>();
	          }),
	          "crashes %s", late.dump()["crashes"].dump().c_str());
	cr_assert(isRefusedForCrashes(late.call("/safe/x?do=crash", GatewayRig::headersFor("late"))));
}
