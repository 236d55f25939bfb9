/// A gateway process with upstream rows that it can't use, as another writer may leave: they must not add upstreams or
/// affect other ones.
#include "gateway_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr Millis kMaxPropagationMs = 3'000;

	/// @returns Whether the gateway soon knows exactly these upstreams.
	bool waitForUpstreams(const GatewayRig& _rig, const std::set<std::string>& _ids)
	{
		return lab::waitUntil(kMaxPropagationMs, [&] {
			const Json dump = _rig.dump();
			std::set<std::string> known;
			for (const Json& upstream : dump["upstreams"])
			{
				known.insert(upstream["incarnation"].get<std::string>());
			}
			return _ids == known;
		});
	}

	/// @returns How many of some requests reached an upstream.
	int callsTo(const GatewayRig& _rig, const RigWorker& _worker, const std::string& _prefix)
	{
		int arrived = 0;
		for (int call = 0; call < 20; ++call)
		{
			const std::string request = fmt::format("{}-{}", _prefix, call);
			cr_assert(200 == _rig.call("/once/x", GatewayRig::headersFor(request)).status);
			arrived += _worker.recordOf(request).is_null() ? 0 : 1;
		}
		return arrived;
	}
} // namespace

Test(gatewayrows, an_unreadable_row_deactivates_its_upstream)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	rig.store.putIn("servers", "", "a", "\xff no document");
	cr_assert(waitForUpstreams(rig, {"b"}));
	cr_assert(0 == callsTo(rig, rig.workers[0], "unreadable"));
	rig.announce(rig.workers[0], "ready");
	cr_assert(waitForUpstreams(rig, {"a", "b"}));
	cr_assert(0 < callsTo(rig, rig.workers[0], "readable"));
}

Test(gatewayrows, unreadable_rows_keep_no_other_upstream_out)
{
	GatewayRig rig({"a", "b"});
	rig.store.putIn("servers", "", "0-first", "{");
	rig.store.put("servers", "a-second", {{"service", 7}});
	rig.store.put("servers", "z-last", lab::upstreamJson("svc", "nowhere", "ready"));
	rig.addWorker("c");
	cr_assert(waitForUpstreams(rig, {"a", "b", "c"}));
	rig.store.control({{"forget", true}});
	rig.startGateway();
	cr_assert(waitForUpstreams(rig, {"a", "b", "c"}));
}

/// The foreign row must not supersede the upstream at its address.
Test(gatewayrows, a_row_of_an_unknown_service_takes_no_address)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	rig.store.put("servers", "foreign", lab::upstreamJson("elsewhere", rig.workers[0].address, "ready"));
	rig.addWorker("c"); // its row comes after the other one
	cr_assert(waitForUpstreams(rig, {"a", "b", "c"}));
	cr_assert(0 < callsTo(rig, rig.workers[0], "foreign"));
}

/// A configuration may arrive after the upstreams of a service that it adds.
Test(gatewayrows, an_upstream_is_used_once_a_configuration_names_its_service)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	RigWorker early{"early", "", startTool("stub-worker", {{"id", "early"}}, rig.directory.path + "/early.log")};
	early.address = early.process->listening("http");
	rig.store.put("servers", "early", lab::upstreamJson("late", early.address, "ready"));
	rig.addWorker("b"); // its row comes after the other one
	cr_assert(waitForUpstreams(rig, {"a", "b"}));
	Json configuration = lab::configurationJson(2, {"key-one"}, Json::array());
	configuration["services"].push_back({{"name", "late"}, {"maxConns", 50}});
	rig.store.put("op", "config", configuration);
	cr_assert(waitForUpstreams(rig, {"a", "b", "early"}));
}

/// The process is still draining and would refuse new requests.
Test(gatewayrows, an_upstream_that_leaves_gets_no_work_after_an_unreadable_row_either)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	rig.announce(rig.workers[0], "draining");
	cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
		return rig.dump()["upstreams"].dump().find("\"leaving\":true") != std::string::npos;
	}));
	rig.store.putIn("servers", "", "a", "\xff no document");
	cr_assert(waitForUpstreams(rig, {"b"}));
	rig.announce(rig.workers[0], "ready");
	cr_assert(waitForUpstreams(rig, {"a", "b"}));
	cr_assert(0 == callsTo(rig, rig.workers[0], "late"));
	// The leaving state ends with the removal of its row.
	rig.store.putIn("servers", "", "a", "\xff no document");
	cr_assert(waitForUpstreams(rig, {"b"}));
	rig.store.remove("servers", "a");
	rig.addWorker("c"); // its row comes after the other one
	cr_assert(waitForUpstreams(rig, {"b", "c"}));
	rig.announce(rig.workers[0], "ready");
	cr_assert(waitForUpstreams(rig, {"a", "b", "c"}));
	cr_assert(0 < callsTo(rig, rig.workers[0], "again"));
}

namespace
{
	/// @returns A configuration with a service whose upstreams are cold for some time after their start.
	Json coldConfiguration(std::uint64_t _version, const std::string& _service)
	{
		Json configuration = lab::configurationJson(_version, {"key-one"}, Json::array());
		configuration["services"].push_back({{"name", _service}, {"maxConns", 50}, {"coldS", 60}, {"coldPerS", 560}});
		return configuration;
	}

	/// @returns A field of an upstream; null when the gateway doesn't know it.
	Json fieldOf(const GatewayRig& _rig, const std::string& _id, const std::string& _field)
	{
		const Json dump = _rig.dump();
		for (const Json& upstream : dump["upstreams"])
		{
			if (_id == upstream["incarnation"])
			{
				return upstream[_field];
			}
		}
		return Json();
	}

	bool waitForField(const GatewayRig& _rig, const std::string& _id, const std::string& _field, const Json& _value)
	{
		return lab::waitUntil(kMaxPropagationMs, [&] {
			return _value == fieldOf(_rig, _id, _field);
		});
	}
} // namespace

/// Its upstreams may stay in the list for some time, and a later configuration may name the service again.
Test(gatewayrows, a_service_that_left_the_configuration_limits_no_upstream)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	Json configuration = coldConfiguration(2, "late");
	rig.store.put("op", "config", configuration);
	rig.store.put("servers", "b", lab::upstreamJson("late", "127.0.0.1:9", "ready"));
	cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
		return fieldOf(rig, "b", "coldSends").is_number() && 0 <= fieldOf(rig, "b", "coldSends");
	}));
	rig.store.put("op", "config", lab::configurationJson(3, {"key-one"}, Json::array()));
	cr_assert(waitForField(rig, "b", "coldSends", -1));
}

/// Upstreams of the first list may have been running for long.
Test(gatewayrows, an_upstream_of_the_first_list_is_not_cold_when_its_service_is_named)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	rig.store.put("servers", "old", lab::upstreamJson("late", "127.0.0.1:9", "ready"));
	rig.startGateway();
	rig.waitReady();
	Json row = lab::upstreamJson("late", "127.0.0.1:9", "ready");
	row["slots"] = 2;
	rig.store.put("servers", "old", row); // a heartbeat
	rig.store.put("servers", "new", lab::upstreamJson("late", "127.0.0.1:10", "ready"));
	rig.addWorker("b"); // its row comes after the other ones
	cr_assert(waitForUpstreams(rig, {"a", "b"}));
	rig.store.put("op", "config", coldConfiguration(2, "late"));
	cr_assert(waitForUpstreams(rig, {"a", "b", "old", "new"}));
	cr_assert(0 < fieldOf(rig, "new", "warmInMs").get<int>());
	cr_assert(0 == fieldOf(rig, "old", "warmInMs").get<int>());
}

Test(gatewayrows, an_upstream_that_leaves_before_its_service_is_configured_stays_leaving)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	rig.store.put("servers", "late", lab::upstreamJson("late", "127.0.0.1:9", "draining"));
	rig.addWorker("b"); // its row comes after the other one
	cr_assert(waitForUpstreams(rig, {"a", "b"}));
	rig.store.putIn("servers", "", "late", "\xff no document");
	rig.addWorker("c");
	cr_assert(waitForUpstreams(rig, {"a", "b", "c"}));
	rig.store.put("servers", "late", lab::upstreamJson("late", "127.0.0.1:9", "ready"));
	rig.addWorker("d");
	cr_assert(waitForUpstreams(rig, {"a", "b", "c", "d"}));
	rig.store.put("op", "config", coldConfiguration(2, "late"));
	cr_assert(waitForUpstreams(rig, {"a", "b", "c", "d", "late"}));
	cr_assert(fieldOf(rig, "late", "leaving").get<bool>());
}
