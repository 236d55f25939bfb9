/// What a gateway does in the name of a key's organisation while it can't prove that its configuration is the newest.
#include <future>

#include "crash_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// How the store treats the gateway meanwhile.
	struct Outage
	{
		std::string mode; ///< Of the stand-in of the store.
		bool strict = true;
		bool keyMoves = false; ///< The key goes to another organisation; else it is withdrawn.
	};

	std::string nameOf(const Outage& _outage)
	{
		return fmt::format("store {}, strict {}, key {}", _outage.mode, _outage.strict, _outage.keyMoves ? "moves" : "is withdrawn");
	}

	/// @returns A configuration in which "key-one" isn't the first organisation's any more.
	Json configurationWithoutKey(std::uint64_t _version, bool _keyMoves)
	{
		Json configuration = lab::configurationJson(_version, {"key-two"}, Json::array());
		const Json keys = _keyMoves ? Json::array({"key-three", "key-one"}) : Json::array({"key-three"});
		configuration["tenants"].push_back({{"name", "bakery"}, {"apiKeys", keys}, {"priority", 1}});
		return configuration;
	}

	/// @returns The organisation that an upstream was told; none when no upstream ran the request.
	std::optional<std::string> organisationOf(const GatewayRig& _rig, const std::string& _request)
	{
		for (const RigWorker& worker : _rig.workers)
		{
			const Json record = worker.recordOf(_request);
			if (record.is_object() && 0 < record["runs"].get<int>())
			{
				return record["organisation"].get<std::string>();
			}
		}
		return std::nullopt;
	}

	std::string organisationOfCall(const GatewayRig& _rig, const std::string& _target, const std::string& _request, const std::string& _key)
	{
		const int status = _rig.call(_target, GatewayRig::headersFor(_request, 1'500, _key)).status;
		cr_assert(200 == status, "%s: %d", _request.c_str(), status);
		return organisationOf(_rig, _request).value_or("not run");
	}

	/// @returns What was wrong while the store was away; empty if nothing was.
	std::string checkOutage(const Outage& _outage)
	{
		constexpr Millis kCallIntervalMs = 100;
		constexpr Millis kObservedMs = 3'000;
		GatewayRig rig({"a", "b"});
		rig.moreSettings = {{"strictRevocation", _outage.strict}};
		rig.startGateway();
		rig.waitReady();
		cr_assert("kitchen" == organisationOfCall(rig, "/open/x", "before", "key-one"));
		rig.store.control({{"mode", _outage.mode}});
		rig.store.put("op", "config", configurationWithoutKey(2, _outage.keyMoves));
		const Millis withdrawnAt = nowMs();
		std::string wrong;
		for (int call = 0; nowMs() < withdrawnAt + kObservedMs; ++call)
		{
			const Millis afterMs = nowMs() - withdrawnAt;
			const std::string named = organisationOfCall(rig, "/open/x", fmt::format("call-{}", call), "key-one");
			if (rig.revocationMs < afterMs && !named.empty())
			{
				wrong += fmt::format(" {} after {} ms;", named, afterMs);
			}
			lab::pauseMs(kCallIntervalMs);
		}
		rig.store.control({{"mode", "up"}});
		cr_assert(lab::waitUntil(kRigWaitMs, [&] {
			return 2 == rig.dump()["catalog"].get<int>();
		}));
		cr_assert((_outage.keyMoves ? "bakery" : "") == organisationOfCall(rig, "/open/x", "after", "key-one"));
		cr_assert("kitchen" == organisationOfCall(rig, "/open/x", "other", "key-two"), "a key that is proved names its organisation");
		return wrong.empty() ? "" : fmt::format("\n{}:{}", nameOf(_outage), wrong);
	}
} // namespace

/// Guards against upstreams that are told the organisation of a withdrawn key because the route doesn't need one.
Test(keys, a_public_route_names_no_organisation_on_a_proof_that_is_too_old)
{
	std::string wrong;
	for (const Outage& outage : {Outage{"busy", true, false}, Outage{"silent", true, true}, Outage{"busy", false, false}})
	{
		wrong += checkOutage(outage);
	}
	cr_assert(wrong.empty(), "%s", wrong.c_str());
}

/// Guards against a crashing request that passes for another one at a gateway whose configuration, or its proof, is older.
Test(keys, a_request_that_crashes_upstreams_is_the_same_whatever_its_key_is_taken_for)
{
	constexpr std::size_t kCrashes = 3;
	CrashRig rig(6, 2);
	const std::string target = "/open/x?do=crash";
	rig.rig.store.control({{"mode", "silent"}});
	rig.rig.store.put("op", "config", configurationWithoutKey(2, true));
	// Two attempts with a proof that holds, then further ones without: three upstreams crash under one request.
	rig.gateways[0].call(target, GatewayRig::headersFor("crash-0"));
	lab::pauseMs(rig.rig.revocationMs);
	RigResponse last;
	for (int call = 1; call < 4; ++call)
	{
		last = rig.gateways[0].call(target, GatewayRig::headersFor(fmt::format("crash-{}", call)));
		lab::pauseMs(kCrashCheckMs);
	}
	cr_expect(isRefusedForCrashes(last), "%d %s", last.status, last.body.c_str());
	rig.rig.store.control({{"mode", "up"}});
	for (const RigGateway& gateway : rig.gateways)
	{
		cr_assert(lab::waitUntil(kRigWaitMs, [&] {
			return 2 == gateway.dump()["catalog"].get<int>();
		}));
	}
	rig.restartEnded();
	lab::pauseMs(kPropagationMs);
	for (std::size_t gateway = 0; gateway < rig.gateways.size(); ++gateway)
	{
		const RigResponse answer = rig.crash(gateway, target);
		cr_expect(isRefusedForCrashes(answer), "gateway %zu: %d %s", gateway, answer.status, answer.body.c_str());
	}
	cr_expect(kCrashes == rig.crashed, "%zu upstreams ended", rig.crashed);
}

namespace
{
	/// Routes whose requests may take as long as the test needs.
	Json slowRoutes()
	{
		constexpr int kSlowTimeoutMs = 6'000;
		Json keyed = GatewayRig::route("/slow/", "idempotent");
		keyed["timeoutMs"] = kSlowTimeoutMs;
		Json open = GatewayRig::route("/slowopen/", "idempotent");
		open["timeoutMs"] = kSlowTimeoutMs;
		open["public"] = true;
		Json stream = GatewayRig::route("/stream/slow/", "streaming");
		stream["timeoutMs"] = kSlowTimeoutMs;
		stream["resumable"] = true;
		return Json::array({keyed, open, stream});
	}

	constexpr Millis kSlowPatienceMs = 6'000;

	/// A request whose first attempt fails after some time; a second one would run at once.
	RigResponse callFailingLate(const GatewayRig& _rig, const std::string& _route, const std::string& _request)
	{
		return _rig.call(fmt::format("/{}/x?do=fail&afterMs=2200", _route), GatewayRig::headersFor(_request, kSlowPatienceMs));
	}
} // namespace

/// Guards against resends in an organisation's name when the proof has become too old since the first attempt.
Test(keys, a_resend_needs_a_proof_that_holds)
{
	GatewayRig rig({"a", "b"});
	rig.configure(2, "key-one", slowRoutes());
	rig.waitReady();
	cr_assert(lab::waitUntil(kRigWaitMs, [&] {
		return 2 == rig.dump()["catalog"].get<int>();
	}));
	rig.store.control({{"mode", "busy"}});
	std::future<RigResponse> open = std::async(std::launch::async, [&] {
		return callFailingLate(rig, "slowopen", "open");
	});
	const RigResponse keyed = callFailingLate(rig, "slow", "keyed");
	cr_expect(500 == keyed.status && 1 == runsOf(rig, "keyed"), "%d, %d runs", keyed.status, runsOf(rig, "keyed"));
	cr_expect(500 == open.get().status);
	std::multiset<std::string> named;
	for (const RigWorker& worker : rig.workers)
	{
		const Json record = worker.recordOf("open");
		named.insert(record.is_object() ? record["organisation"].get<std::string>() : "not run");
	}
	cr_expect((std::multiset<std::string>{"", "kitchen"}) == named, "the resend on the public route runs in nobody's name: %s, %s", named.begin()->c_str(), named.rbegin()->c_str());
}

/// Guards against resends with a key that a configuration which came meanwhile has withdrawn.
Test(keys, a_resend_goes_by_the_newest_configuration)
{
	GatewayRig rig({"a", "b"});
	rig.configure(2, "key-one", slowRoutes());
	rig.waitReady();
	cr_assert(lab::waitUntil(kRigWaitMs, [&] {
		return 2 == rig.dump()["catalog"].get<int>();
	}));
	std::future<RigResponse> call = std::async(std::launch::async, [&] {
		return callFailingLate(rig, "slow", "keyed");
	});
	cr_assert(lab::waitUntil(kRigWaitMs, [&] {
		return 1 == runsOf(rig, "keyed");
	}));
	rig.configure(3, "key-two", slowRoutes());
	cr_expect(500 == call.get().status);
	cr_expect(1 == runsOf(rig, "keyed"), "%d runs", runsOf(rig, "keyed"));
}

/// Guards against streams that are resumed in an organisation's name on a proof that has become too old.
Test(keys, a_resume_needs_a_proof_that_holds)
{
	GatewayRig rig({"a", "b"});
	rig.configure(2, "key-one", slowRoutes());
	rig.waitReady();
	cr_assert(lab::waitUntil(kRigWaitMs, [&] {
		return 2 == rig.dump()["catalog"].get<int>();
	}));
	rig.store.control({{"mode", "busy"}});
	std::future<RigResponse> sound = std::async(std::launch::async, [&] {
		return rig.call("/stream/slow/x?do=stream&afterMs=2200", GatewayRig::headersFor("sound", kSlowPatienceMs));
	});
	const RigResponse broken = rig.call("/stream/slow/x?do=break&afterMs=2200", GatewayRig::headersFor("broken", kSlowPatienceMs));
	cr_expect(0 == broken.status && 1 == runsOf(rig, "broken"), "%d, %d runs", broken.status, runsOf(rig, "broken"));
	const RigResponse whole = sound.get();
	cr_expect(200 == whole.status && allEvents() == whole.body, "a stream under way goes on: %d", whole.status);
}
