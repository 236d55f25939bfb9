/// What a gateway does in the name of a key's organisation while it can't prove that its configuration is the newest.
#include <future>

#include "crash_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// @returns A configuration in which "key-one" isn't the first organisation's any more.
	Json configurationWithoutKey(std::uint64_t _version, bool _keyMoves)
	{
		Json configuration = lab::configurationJson(_version, {"key-two"}, Json::array());
		const Json keys = _keyMoves ? Json::array({"key-three", "key-one"}) : Json::array({"key-three"});
		configuration["tenants"].push_back({{"name", "bakery"}, {"apiKeys", keys}, {"priority", 1}});
		return configuration;
	}
} // namespace

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
