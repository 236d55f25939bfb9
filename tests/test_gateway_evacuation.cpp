/// Gateway processes while an operator evacuates zones and ends the evacuations.
#include "group_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Maximum time until an evacuation takes effect, ms; less than the deployment's limit.
	constexpr Millis kMaxPropagationMs = 3'000;

	/// Two upstreams in the gateway's zone and one in another zone.
	class ZonesRig : public GatewayRig
	{
	public:
		ZonesRig()
		    : GatewayRig({"here-1", "here-2", "there-1"})
		{
			Json row = lab::upstreamJson("svc", this->workers[2].address, "ready");
			row["zone"] = "there";
			this->store.put("servers", "there-1", row);
			this->waitReady();
			cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
				return "there" == this->upstream("there-1").value("zone", "");
			}));
		}

		void evacuate(const std::string& _zone)
		{
			this->store.put("op", "evacuate/" + _zone, Json::object());
		}

		void endEvacuation(const std::string& _zone)
		{
			this->store.remove("op", "evacuate/" + _zone);
		}

		/// @returns The gateway's state of an upstream; empty when it doesn't know it.
		Json upstream(const std::string& _id) const
		{
			const Json dump = this->dump();
			for (const Json& upstream : dump["upstreams"])
			{
				if (_id == upstream["incarnation"])
				{
					return upstream;
				}
			}
			return Json::object();
		}

		bool waitForEvacuated(const std::vector<std::string>& _zones) const
		{
			return lab::waitUntil(kMaxPropagationMs, [&] {
				return Json(_zones) == this->dump().value("evacuatedZones", Json());
			});
		}

		/// @returns How many of some requests reached the upstreams of a zone.
		int callsTo(const std::string& _zone, const std::string& _prefix, int _calls = 20)
		{
			int arrived = 0;
			for (int call = 0; call < _calls; ++call)
			{
				const std::string request = fmt::format("{}-{}", _prefix, call);
				this->call("/once/x", headersFor(request));
				for (const RigWorker& worker : this->workers)
				{
					arrived += worker.id.starts_with(_zone) && !worker.recordOf(request).is_null() ? 1 : 0;
				}
			}
			return arrived;
		}
	};
} // namespace

Test(gatewayevacuation, an_evacuated_zone_gets_nothing_until_it_is_taken_back)
{
	ZonesRig rig;
	cr_assert(0 < rig.callsTo("here", "before"));
	rig.evacuate("here");
	cr_assert(rig.waitForEvacuated({"here"}));
	cr_assert(0 == rig.callsTo("here", "during") && 20 == rig.callsTo("there", "elsewhere"));
	rig.endEvacuation("here");
	cr_assert(rig.waitForEvacuated({}));
	cr_assert(0 < rig.callsTo("here", "after"));
}

Test(gatewayevacuation, with_all_zones_evacuated_a_request_is_refused_at_once)
{
	ZonesRig rig;
	rig.evacuate("here");
	rig.evacuate("there");
	cr_assert(rig.waitForEvacuated({"here", "there"}));
	const Millis begun = nowMs();
	const RigResponse answer = rig.call("/once/x", GatewayRig::headersFor("r1"));
	cr_assert(503 == answer.status && nowMs() - begun < 300, "%d after %d ms", answer.status, int(nowMs() - begun));
	cr_assert(answer.headers.contains("Retry-After"));
	cr_assert_str_eq(answer.body.c_str(), "evacuated\n");
}

/// A gateway must not send requests before it knows which zones are evacuated.
Test(gatewayevacuation, a_gateway_that_starts_meanwhile_sends_nothing_there)
{
	ZonesRig rig;
	rig.evacuate("here");
	rig.store.control({{"forget", true}}); // forces a full read of the table
	rig.startGateway();
	rig.waitReady();
	cr_assert(0 == rig.callsTo("here", "during") && 20 == rig.callsTo("there", "elsewhere"));
	rig.endEvacuation("here");
	cr_assert(rig.waitForEvacuated({}));
}

Test(gatewayevacuation, an_evacuation_ended_while_the_store_is_unreachable_ends_once_it_responds)
{
	ZonesRig rig;
	rig.evacuate("here");
	cr_assert(rig.waitForEvacuated({"here"}));
	rig.store.control({{"mode", "busy"}});
	rig.endEvacuation("here");
	cr_assert(0 == rig.callsTo("here", "away", 5));
	rig.store.control({{"mode", "up"}, {"forget", true}}); // the store no longer has the removal in its history
	cr_assert(rig.waitForEvacuated({}));
	cr_assert(0 < rig.callsTo("here", "after"));
}

/// Gateways that get the store's state from a coordinator learn of both changes and need no calls to the store.
Test(gatewayevacuation, gateways_learn_of_evacuations_from_coordinators_without_calls)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	const std::vector<std::string> gateways{"gateway-a", "gateway-b", "gateway-c"};
	for (const std::string& name : gateways)
	{
		rig.startGateway(name);
		cr_assert(rig.waitForGroup(name, rig.groups.front()));
	}
	const auto allKnow = [&](const Json& _zones) {
		return lab::waitUntil(kMaxPropagationMs, [&] {
			return std::all_of(gateways.begin(), gateways.end(), [&](const std::string& _name) {
				return _zones == rig.gatewayDump(_name).value("evacuatedZones", Json());
			});
		});
	};
	rig.store.put("op", "evacuate/here", Json::object());
	cr_assert(allKnow(Json::array({"here"})));
	cr_assert(503 == rig.call("gateway-b", "during").status);
	rig.store.remove("op", "evacuate/here");
	cr_assert(allKnow(Json::array()));
	cr_assert(200 == rig.call("gateway-b", "after").status);
	const double before = rig.storeCalls("gateway-b");
	lab::pauseMs(3'000);
	cr_assert(rig.storeCalls("gateway-b") - before <= 2, "%g calls", rig.storeCalls("gateway-b") - before);
}
