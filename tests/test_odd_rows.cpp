/// Processes that read rows which another writer has left: one odd row must not end a process, stop it from following
/// the other rows, or be logged at each read.
#include "group_rig.h"
#include "odd_rows.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr Millis kMaxPropagationMs = 5'000;
	constexpr Millis kRowPollIntervalMs = 2'000; ///< Of a coordinator for its group's row.

	std::size_t countLines(const std::string& _log, const std::string& _event, const std::string& _text)
	{
		std::size_t count = 0;
		std::istringstream lines(_log);
		for (std::string line; std::getline(lines, line);)
		{
			count += std::string::npos != line.find(" event=" + _event + " ") && std::string::npos != line.find(_text) ? 1 : 0;
		}
		return count;
	}

	std::set<std::string> upstreamsOf(const Json& _dump)
	{
		std::set<std::string> known;
		for (const Json& upstream : _dump.value("upstreams", Json::array()))
		{
			known.insert(upstream["incarnation"].get<std::string>());
		}
		return known;
	}

	/// @returns Whether the gateway soon knows all of these upstreams.
	bool waitForUpstreams(const GatewayRig& _rig, const std::set<std::string>& _ids)
	{
		return lab::waitUntil(kMaxPropagationMs, [&] {
			const Json dump = _rig.dump();
			const std::set<std::string> known = dump.is_object() ? upstreamsOf(dump) : std::set<std::string>();
			return std::includes(known.begin(), known.end(), _ids.begin(), _ids.end());
		});
	}

	/// Writes each row under a key of its own.
	/// @returns The keys.
	std::vector<std::string> putRows(RigStore& _store, const std::vector<OddRow>& _rows)
	{
		std::vector<std::string> keys;
		for (const OddRow& row : _rows)
		{
			keys.push_back(fmt::format("odd-{}", keys.size()));
			_store.putIn("servers", "", keys.back(), row.value);
		}
		return keys;
	}

	/// @returns Configurations of a size that the store accepts, with nested values.
	std::vector<std::string> nestedConfigurations()
	{
		std::vector<std::string> configurations;
		for (const char* field : {"routes", "services", "tenants", "limits"})
		{
			configurations.push_back(fmt::format("{{\"version\":2,\"{}\":{}}}", field, nestedArrays(3 * kNestedLevels)));
			configurations.push_back(fmt::format("{{\"version\":2,\"{}\":[{}]}}", field, nestedObjects(kNestedLevels)));
		}
		return configurations;
	}

	void removeRows(RigStore& _store, const std::vector<std::string>& _keys)
	{
		for (const std::string& key : _keys)
		{
			_store.remove("servers", key);
		}
	}

	/// Waits until each row was logged, and checks that none is logged twice.
	void expectOneLineEach(const lab::ChildProcess& _process, const std::vector<std::string>& _keys)
	{
		const auto linesOf = [&](const std::string& _key) {
			return countLines(_process.output(), "upstream_unreadable", " incarnation=" + _key + " ");
		};
		cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
			return 0 < linesOf(_keys.back());
		}));
		for (const std::string& key : _keys)
		{
			cr_expect(1 == linesOf(key), "%s: %zu lines", key.c_str(), linesOf(key));
		}
	}

	std::string valueOf(const std::string& _metrics, const std::string& _name)
	{
		const httplib::Result result = clientOf(_metrics).Get("/metrics");
		std::istringstream lines(result ? result->body : std::string());
		for (std::string line; std::getline(lines, line);)
		{
			if (line.starts_with(_name + " "))
			{
				return line.substr(_name.size() + 1);
			}
		}
		return "";
	}
} // namespace

/// A gateway that starts reads the rows with its first list.
Test(oddrows, a_gateway_starts_with_odd_rows_in_the_list_of_upstreams)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	const std::vector<std::string> keys = putRows(rig.store, unusableRows());
	rig.gateway = rig.startGatewayNamed("gateway-2");
	rig.waitReady();
	rig.addWorker("c");
	cr_assert(waitForUpstreams(rig, {"a", "b", "c"}));
	cr_assert(200 == rig.call("/once/x", GatewayRig::headersFor("started")).status);
	cr_assert(rig.gateway.process->running());
	expectOneLineEach(*rig.gateway.process, keys);
	cr_assert(std::to_string(keys.size()) == valueOf(rig.gateway.metrics, "archdyke_upstream_rows_unusable_total"), "%s", valueOf(rig.gateway.metrics, "archdyke_upstream_rows_unusable_total").c_str());
}

Test(oddrows, a_gateway_follows_the_list_of_upstreams_after_each_odd_row)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const std::vector<std::string> keys = putRows(rig.store, unusableRows());
	rig.addWorker("b");
	cr_assert(waitForUpstreams(rig, {"a", "b"}));
	rig.store.control({{"mode", "busy"}});
	rig.store.remove("op", "other");
	rig.store.control({{"mode", "up"}, {"forget", true}}); // the list is read again as a whole
	rig.addWorker("c");
	cr_assert(waitForUpstreams(rig, {"a", "b", "c"}));
	cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
		return 0 < countLines(rig.gateway.process->output(), "store_history_gone", "table=servers");
	}));
	removeRows(rig.store, keys);
	rig.addWorker("d");
	cr_assert(waitForUpstreams(rig, {"a", "b", "c", "d"}));
	cr_assert(200 == rig.call("/once/x", GatewayRig::headersFor("followed")).status);
	expectOneLineEach(*rig.gateway.process, keys);
}

Test(oddrows, a_gateway_serves_beside_upstreams_with_extreme_values)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const std::vector<std::string> keys = putRows(rig.store, extremeRows());
	rig.addWorker("b");
	cr_assert(waitForUpstreams(rig, {"a", "b"}));
	for (int call = 0; call < 20; ++call)
	{
		rig.call("/safe/x", GatewayRig::headersFor(fmt::format("extreme-{}", call)));
	}
	cr_assert(rig.gateway.process->running());
	removeRows(rig.store, keys);
	rig.addWorker("c");
	cr_assert(waitForUpstreams(rig, {"a", "b", "c"}));
	cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
		return 200 == rig.call("/safe/x", GatewayRig::headersFor("extreme-last")).status;
	}));
}

Test(oddrows, a_gateway_outlives_a_configuration_that_is_nested_deeply)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	std::size_t read = 0;
	for (const std::string& configuration : nestedConfigurations())
	{
		rig.store.putIn("op", "", "config", configuration);
		read += 1;
		cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
			          return read == countLines(rig.gateway.process->output(), "configuration_unreadable", "");
		          }),
		          "%s", configuration.substr(0, 40).c_str());
	}
	rig.addWorker("b");
	cr_assert(waitForUpstreams(rig, {"a", "b"}));
	rig.configure(3);
	cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
		return 3 == rig.dump().value("catalog", 0);
	}));
	cr_assert(200 == rig.call("/once/x", GatewayRig::headersFor("configured")).status);
	cr_assert(read == countLines(rig.gateway.process->output(), "configuration_unreadable", ""));
}

Test(oddrows, a_gateway_follows_evacuations_beside_odd_rows)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	for (const std::string& key : {std::string("evacuate/"), "evacuate/" + std::string(190, 'z'), std::string("evacuate/\0zone", 14), std::string("evacuate/\xc3\xa9\n\"=zone"), std::string("evacuate/ "), std::string("other"), std::string()})
	{
		rig.store.putIn("op", "", key, nestedArrays(3 * kNestedLevels));
		rig.store.putIn("op", "", key, std::string("\0\xff", 2));
	}
	rig.store.put("op", "evacuate/there", Json::object());
	cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
		const Json zones = rig.dump().value("evacuatedZones", Json::array());
		return zones.end() != std::find(zones.begin(), zones.end(), "there");
	}));
	cr_assert(200 == rig.call("/once/x", GatewayRig::headersFor("evacuated")).status);
}

Test(oddrows, a_gateway_follows_crashes_beside_odd_rows)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	std::vector<std::string> keys;
	for (const std::string& value : {nestedArrays(3 * kNestedLevels), std::string("\0\xff", 2), std::string("1e999/1"), std::string("99999999999999999999/1"), std::string("1/-1"), std::string("1/2/3")})
	{
		keys.push_back(fmt::format("odd-{}/x", keys.size()));
		rig.store.putIn("archdyke_crashes", "", keys.back(), value);
	}
	for (const char* value : {"9223372036854775807/1", "-9223372036854775808/9223372036854775807", "0/9223372036854775807"})
	{
		rig.store.putIn("archdyke_crashes", "", fmt::format("extreme{}/x", value[0]), value);
	}
	rig.store.putIn("archdyke_crashes", "", "/x", "1/1");
	rig.store.putIn("archdyke_crashes", "", "x/", "1/1");
	rig.store.putIn("archdyke_crashes", "", std::string("x\0/y\n", 5), "1/1");
	cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
		return 1 == countLines(rig.gateway.process->output(), "crash_unreadable", keys.back());
	}));
	rig.store.control({{"mode", "busy"}});
	rig.store.putIn("archdyke_crashes", "", "last/x", "odd");
	rig.store.control({{"mode", "up"}, {"forget", true}}); // the table is read again as a whole
	cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
		return 1 == countLines(rig.gateway.process->output(), "crash_unreadable", "last/x");
	}));
	for (const std::string& key : keys)
	{
		const std::size_t lines = countLines(rig.gateway.process->output(), "crash_unreadable", key);
		cr_expect(1 == lines, "%s: %zu lines", key.c_str(), lines);
	}
	cr_assert(200 == rig.call("/once/x", GatewayRig::headersFor("crashed")).status);
}

/// Such crashes would refuse a request for as long as the rows exist.
Test(oddrows, crashes_with_times_that_no_store_has_refuse_no_request)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const std::vector<std::string> values{"9000000000000000/1", "9000000000100000/1", "9000000000200000/1", "9223372036854775807/1", "-9223372036854775808/9223372036854775807", "0/9223372036854775807"};
	for (std::size_t index = 0; index < values.size(); ++index)
	{
		rig.store.putIn("archdyke_crashes", "", fmt::format("odd/x-{}", index), values[index]);
	}
	rig.store.putIn("archdyke_crashes", "", "last/x", "odd");
	cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
		return 1 == countLines(rig.gateway.process->output(), "crash_unreadable", "last/x");
	}));
	const std::string log = rig.gateway.process->output();
	cr_assert(0 == countLines(log, "request_refused_for_crashes", ""), "%s", log.substr(log.find("request_refused")).c_str());
	for (std::size_t index = 0; index < values.size(); ++index)
	{
		cr_expect(1 == countLines(log, "crash_unreadable", fmt::format("key=odd/x-{}", index)), "%zu", index);
	}
}

Test(oddrows, sidecars_start_and_coordinate_with_odd_rows_in_the_list_of_upstreams)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	const std::vector<std::string> keys = putRows(rig.store, unusableRows());
	for (const OddRow& row : extremeRows())
	{
		rig.store.putIn("servers", "", row.name, row.value);
	}
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	const std::size_t before = rig.coordinator();
	cr_assert(kRanks != before);
	expectOneLineEach(*rig.groups.front().sidecars[before], keys);
	rig.store.control({{"mode", "busy"}});
	rig.store.remove("servers", "extreme-any");
	rig.store.control({{"mode", "up"}, {"forget", true}}); // the list is read again as a whole
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		return 0 < countLines(rig.groups.front().sidecars[before]->output(), "store_history_gone", "table=servers");
	}));
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	expectOneLineEach(*rig.groups.front().sidecars[before], keys);
	// Another daemon takes over with the rows in its list, and each starts anew with them.
	for (std::size_t rank = 0; rank < kRanks; ++rank)
	{
		cr_assert(rig.groups.front().sidecars[rank]->running());
		rig.start(rig.groups.front(), rank);
	}
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	for (const auto& sidecar : rig.groups.front().sidecars)
	{
		cr_assert(sidecar->running());
	}
}

Test(oddrows, a_gateway_that_hears_a_coordinator_follows_beside_odd_rows)
{
	GroupRig rig;
	rig.startGateway("edge");
	cr_assert(rig.waitForGroup("edge", rig.groups.front()));
	rig.cutFromStore("edge", true);
	const std::vector<std::string> keys = putRows(rig.store, unusableRows());
	rig.store.put("servers", "later", lab::upstreamJson("svc", "127.0.0.1:9", "ready"));
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		return upstreamsOf(rig.gatewayDump("edge")).contains("later");
	}));
	removeRows(rig.store, keys);
	rig.store.remove("servers", "later");
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		const std::set<std::string> known = upstreamsOf(rig.gatewayDump("edge"));
		return !known.empty() && !known.contains("later");
	}));
	expectOneLineEach(*rig.gateways["edge"], keys);
	cr_assert(rig.gateways["edge"]->running());
}

/// The key of another row begins with an upstream's key and a NUL character.
Test(oddrows, a_row_that_is_relayed_keeps_its_whole_key)
{
	GroupRig rig;
	rig.startGateway("edge");
	cr_assert(rig.waitForGroup("edge", rig.groups.front()));
	rig.cutFromStore("edge", true);
	rig.store.putIn("servers", "", std::string("rank-0\0x", 8), "{}");
	rig.store.put("servers", "later", lab::upstreamJson("svc", "127.0.0.1:9", "ready"));
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		return upstreamsOf(rig.gatewayDump("edge")).contains("later");
	}));
	cr_assert(upstreamsOf(rig.gatewayDump("edge")).contains("rank-0"));
}

Test(oddrows, a_sidecar_outlives_a_configuration_that_is_nested_deeply)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	const std::size_t coordinator = rig.coordinator();
	cr_assert(kRanks != coordinator);
	const lab::ChildProcess& sidecar = *rig.groups.front().sidecars[coordinator];
	std::size_t read = 0;
	for (const std::string& configuration : nestedConfigurations())
	{
		rig.store.putIn("op", "", "config", configuration);
		read += 1;
		cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
			          return read == countLines(sidecar.output(), "configuration_unreadable", "");
		          }),
		          "%s", configuration.substr(0, 40).c_str());
	}
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	for (const auto& process : rig.groups.front().sidecars)
	{
		cr_assert(process->running());
	}
}

/// The coordinator reads the row every 2 s, and nothing but its removal ends that.
Test(oddrows, a_sidecar_outlives_an_odd_row_of_its_group)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	const std::size_t coordinator = rig.coordinator();
	cr_assert(kRanks != coordinator);
	const lab::ChildProcess& sidecar = *rig.groups.front().sidecars[coordinator];
	const auto lines = [&] {
		return countLines(sidecar.output(), "group_row_unreadable", "");
	};
	std::size_t read = 0;
	for (const std::string& value : {nestedArrays(3 * kNestedLevels), nestedObjects(kNestedLevels), std::string("{\"term\":1e999}\n"), std::string("\0\xff", 2)})
	{
		rig.store.putIn("archdyke_groups", "g", "svc", value);
		read += 1;
		cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
			return read == lines();
		}));
	}
	rig.store.put("servers", "later", Json::object());
	cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
		return 1 == countLines(sidecar.output(), "upstream_unreadable", " incarnation=later ");
	}));
	lab::pauseMs(2 * kRowPollIntervalMs);
	cr_assert(read == lines(), "%zu lines", lines());
	for (const auto& process : rig.groups.front().sidecars)
	{
		cr_assert(process->running());
	}
}

/// A start in the far future would make all later rows of the upstream those of an earlier run.
Test(oddrows, a_row_with_a_start_in_the_far_future_does_not_hide_its_upstream)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	rig.store.putIn("servers", "", "a", upstreamRowWith("born", "9223372036854775807"));
	rig.addWorker("c"); // its row comes after the other one
	cr_assert(waitForUpstreams(rig, {"b", "c"}));
	Json row = lab::upstreamJson("svc", rig.workers[0].address, "ready");
	row["born"] = 1'764'720'000'123;
	rig.store.put("servers", "a", row);
	cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
		return std::string::npos != rig.dump()["upstreams"].dump().find(rig.workers[0].address);
	}));
}

/// The living coordinator can't write its row any more, neither over the odd one nor after its removal.
Test(oddrows, a_group_switches_during_and_after_an_odd_row_of_its_own)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	const std::size_t coordinator = rig.coordinator();
	cr_assert(kRanks != coordinator);
	rig.store.putIn("archdyke_groups", "g", "svc", "odd");
	cr_assert(lab::waitUntil(kMaxPropagationMs, [&] {
		return 0 < countLines(rig.groups.front().sidecars[coordinator]->output(), "group_row_unreadable", "");
	}));
	cr_expect(rig.groups.front().switchesAgain(1, kSwitchMs), "while the row is odd");
	rig.store.removeIn("archdyke_groups", "g", "svc");
	cr_expect(rig.groups.front().switchesAgain(1, kSwitchMs), "after its removal");
	rig.groups.front().expectNoSplit();
}

/// A new coordinator doesn't know the term, nor whether a switch was open.
Test(oddrows, a_group_gets_a_coordinator_beside_an_odd_row_of_its_own)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	const std::size_t coordinator = rig.coordinator();
	cr_assert(kRanks != coordinator);
	rig.store.putIn("archdyke_groups", "g", "svc", "odd");
	rig.groups.front().sidecars[coordinator]->kill();
	rig.start(rig.groups.front(), coordinator);
	cr_expect(lab::waitUntil(kSwitchMs, [&] {
		          return kRanks != rig.coordinator();
	          }),
	          "while the row is odd");
	rig.store.removeIn("archdyke_groups", "g", "svc");
	cr_expect(rig.groups.front().switchesAgain(1, kSwitchMs), "after its removal");
	rig.groups.front().expectNoSplit();
}
