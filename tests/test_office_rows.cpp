/// Entries of lists and rows of the table that are odd: nested deeply, with numbers out of range, or of other types.
#include "agent/rank_control.h"
#include "base/config_rows.h"
#include "base/foreign_json.h"
#include "base/platform_client.h"
#include "entry/planner.h"
#include "entry/watcher.h"
#include "raw_answers.h"

#include <criterion/criterion.h>

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr Millis kTimeoutMs = 1'000;
	/// Limit of a wait for a daemon's next polls, ms.
	constexpr Millis kFollowLimitMs = 8'000;

	std::string nested(std::size_t _depth)
	{
		return std::string(_depth, '[') + std::string(_depth, ']');
	}

	/// Texts that are no whole number from 0 on.
	std::vector<std::string> oddNumbers()
	{
		return {"-1", "1.5", "1e300", "1e999", "18446744073709551616", "\"1\"", "null", "{}", nested(100'000)};
	}

	std::string vmText(const std::string& _name, const std::string& _rpc = R"("127.0.0.1:1")", const std::string& _zone = R"("z1")")
	{
		return R"({"name":")" + _name + R"(","role":"entry","zone":)" + _zone + R"(,"state":"live","rpc":)" + _rpc + R"(,"admin":"127.0.0.1:2"})";
	}

	std::vector<std::string> oddVms()
	{
		std::vector<std::string> odd{"1", "null", "{}", R"({"name":"odd"})", nested(100'000), R"({"name":1,"role":"entry","zone":"z1","state":"live"})", R"({"name":"odd","role":"entry","zone":"z1","state":1})", R"({"name":"odd","role":3,"zone":"z1","state":"live"})"};
		for (const std::string rpc : {R"("127.0.0.1:99999")", R"("127.0.0.1:-1")", R"("127.0.0.1")", R"("no address")", "7", R"(["127.0.0.1:1"])"})
		{
			odd.push_back(vmText("odd", rpc));
		}
		for (const std::string& number : oddNumbers())
		{
			odd.push_back(vmText("odd", R"("127.0.0.1:1")", "\"1\"" == number ? "{}" : number));
		}
		return odd;
	}

	std::string vmList(std::uint64_t _revision, const std::string& _vms)
	{
		return rawAnswer("200 OK", R"({"revision":)" + std::to_string(_revision) + R"(,"vms":[)" + _vms + "]}");
	}

	std::string quoted(const std::string& _text)
	{
		return nlohmann::json(_text).dump();
	}

	std::string rowText(const std::string& _key, const std::string& _value)
	{
		return R"({"key":")" + _key + R"(","version":1,"value":)" + quoted(_value) + "}";
	}

	std::vector<std::string> oddMarks()
	{
		std::vector<std::string> odd{"", "x", "[]", "{}", nested(100'000), R"({"version":1,"digest":2,"nonce":"n"})", R"({"version":1,"digest":"d"})"};
		for (const std::string& number : oddNumbers())
		{
			odd.push_back(R"({"version":)" + number + R"(,"digest":"d","nonce":"n"})");
		}
		return odd;
	}

	bool waitFor(const std::function<bool()>& _condition)
	{
		const Millis until = nowMs() + kFollowLimitMs;
		while (!_condition() && nowMs() < until)
		{
			std::this_thread::sleep_for(std::chrono::milliseconds(10));
		}
		return _condition();
	}

	/// The parts of an entry that follow the platform.
	struct Entry
	{
		explicit Entry(const RawServer& _platform)
		    : crashes(metrics)
		    , directory({&this->loop}, "e0", "z1", 1, this->crashes)
		{
			this->settings.name = "e0";
			this->settings.zone = "z1";
			this->settings.platform = _platform.address();
		}

		~Entry()
		{
			this->loop.run([] {});
			this->loop.stop();
		}

		Metrics metrics;
		RpcLoop loop;
		PauseGuard guard;
		ConfigKeeper keeper;
		CrashRecord crashes;
		Directory directory;
		EntrySettings settings;
	};
} // namespace

Test(officerows, an_odd_vm_hides_no_other_vm)
{
	for (const std::string& odd : oddVms())
	{
		const RawServer server([&](const RawExchange& _exchange) {
			return _exchange.send(vmList(7, vmText("a") + "," + odd + " , " + vmText("b")));
		});
		PlatformClient client(server.address(), "z1", kTimeoutMs);
		const VmChanges changes = client.vmsSince(0);
		cr_assert(7 == changes.revision && 2 == changes.vms.size(), "%s", odd.substr(0, 200).c_str());
		cr_assert("a" == changes.vms.front().name && "b" == changes.vms.back().name);
	}
}

Test(officerows, a_vm_that_is_gone_is_read_whatever_its_address_was)
{
	const RawServer server([&](const RawExchange& _exchange) {
		return _exchange.send(vmList(7, R"({"name":"a","role":"agent","zone":"z1","state":"gone","rpc":"127.0.0.1:99999"})"));
	});
	PlatformClient client(server.address(), "z1", kTimeoutMs);
	cr_assert(1 == client.vmsSince(0).vms.size());
}

Test(officerows, a_list_that_is_odd_as_a_whole_is_an_error)
{
	for (const std::string& body : {std::string(), std::string("[]"), std::string("{}"), R"({"revision":1,"vms":{}})" + std::string(), R"({"revision":1,"vms":[)" + std::string(), R"({"revision":-1,"vms":[]})" + std::string(), R"({"revision":1e300,"vms":[]})" + std::string(), nested(100'000)})
	{
		const RawServer server([&](const RawExchange& _exchange) {
			return _exchange.send(rawAnswer("200 OK", body));
		});
		PlatformClient client(server.address(), "z1", kTimeoutMs);
		cr_assert_throw(client.vmsSince(0), PlatformError, "%s", body.substr(0, 100).c_str());
	}
}

Test(officerows, an_odd_row_hides_no_other_row_of_a_scan)
{
	for (const std::string odd : {R"({"key":"k","version":1,"value":5})", R"({"key":"k","version":-1,"value":""})", R"({"key":"k","version":1e999,"value":""})", R"({"key":"k"})", "7"})
	{
		const RawServer server([&](const RawExchange& _exchange) {
			return _exchange.send(rawAnswer("200 OK", R"({"rows":[)" + odd + "," + rowText("a", "}],\\\"[") + "]}"));
		});
		PlatformClient client(server.address(), "z1", kTimeoutMs);
		const std::vector<TableRow> rows = client.scan("");
		cr_assert(1 == rows.size() && (TableRow{"a", 1, "}],\\\"["} == rows.front()), "%s", odd.c_str());
		// A row that is missing there would be taken for one that doesn't exist.
		cr_assert_throw(client.transact({{"k"}, {}, {}}), PlatformError);
	}
}

Test(officerows, an_odd_mark_is_reported_as_an_error_of_its_row)
{
	for (const std::string& odd : oddMarks())
	{
		cr_assert_throw(decodeHead({kHeadKey, 1, odd}), PlatformError, "%s", odd.substr(0, 100).c_str());
	}
}

// The state of a rank is read by a thread that must not end.
Test(officerows, an_odd_state_of_a_rank_is_an_error)
{
	std::vector<std::string> odd{"{}", "[]", R"({"error":"x"})", nested(100'000)};
	for (const std::string& number : oddNumbers())
	{
		odd.push_back(R"({"formation":1,"epoch":)" + number + R"(,"step":1,"staged":0,"armed":0,"floor":0,"decided":0,"decidedCommit":false,"counts":[[1]],"hosts":[[[0]]]})");
		odd.push_back(R"({"formation":1,"epoch":1,"step":1,"staged":0,"armed":0,"floor":0,"decided":0,"decidedCommit":1,"counts":)" + number + R"(,"hosts":[[[0]]]})");
	}
	for (const std::string& body : odd)
	{
		const RawServer server([&](const RawExchange& _exchange) {
			return _exchange.send(rawAnswer("200 OK", body));
		});
		RankEngine engine(server.address());
		std::string load;
		cr_assert_throw(engine.read(&load, nullptr, nullptr), ArchdykeError, "%s", body.substr(0, 100).c_str());
		cr_assert_throw(engine.order(RankOrder::Refuse, {}), ArchdykeError, "%s", body.substr(0, 100).c_str());
	}
}

Test(officerows, an_agent_outlives_an_odd_proposal_of_its_rank)
{
	for (const std::string odd : {"x", "{}", R"({\"peers\":1})", R"({\"peers\":[],\"rank\":0,\"group\":\"g\",\"number\":1,\"fence\":1,\"formation\":1,\"fromEpoch\":1,\"boundary\":1,\"digest\":1})"})
	{
		std::atomic<int> reads{0};
		const RawServer server([&](const RawExchange& _exchange) {
			reads += 1;
			return _exchange.send(rawAnswer("200 OK", R"({"formation":1,"epoch":1,"step":1,"staged":0,"armed":5,"floor":0,"decided":0,"decidedCommit":false,"context":")" + std::string(odd) + "\"}"));
		});
		RpcLoop loop;
		Metrics metrics;
		UpstreamSettings settings;
		settings.address = server.address();
		{
			RankControl control(settings, loop, metrics);
			cr_assert(waitFor([&] {
				          return 2 < reads;
			          }),
			          "it asked %d times", reads.load());
		}
		loop.run([] {});
		loop.stop();
	}
}

Test(officerows, an_entry_follows_the_vm_list_beside_odd_rows_of_the_table)
{
	for (const std::string& odd : {std::string("x"), R"({"version":-1,"digest":"d","nonce":"n"})" + std::string(), nested(100'000)})
	{
		std::atomic<std::uint64_t> revision{1};
		const RawServer server([&](const RawExchange& _exchange) {
			const bool list = std::string::npos != _exchange.request.find("/vms?");
			return _exchange.send(list ? vmList(revision, oddVms().at(3) + "," + vmText("e" + std::to_string(revision))) : rawAnswer("200 OK", R"({"rows":[)" + rowText(kHeadKey, odd) + "," + rowText(kStageKey, odd) + "," + rowText(confirmKey("z1"), odd) + "]}"));
		});
		Entry entry(server);
		{
			Watcher watcher(entry.settings, 1, entry.loop, entry.keeper, entry.directory, entry.crashes, entry.guard, entry.metrics);
			cr_assert(waitFor([&] {
				          return 1 == entry.directory.liveEntries().size();
			          }),
			          "the first list is read beside %s", odd.substr(0, 100).c_str());
			revision = 2;
			cr_assert(waitFor([&] {
				          return 2 == entry.directory.liveEntries().size();
			          }),
			          "the next list is read");
			cr_assert(watcher.platformUp());
		}
	}
}

Test(officerows, an_entry_outlives_an_odd_lease)
{
	for (const std::string odd : {R"({"holder":"x"})", R"({"holder":1,"fence":-1,"renewal":1e300})", "[]", ""})
	{
		std::atomic<int> reads{0};
		std::atomic<int> writes{0};
		const RawServer server([&](const RawExchange& _exchange) {
			reads += std::string::npos != _exchange.request.find(R"("reads":["lease)") ? 1 : 0;
			writes += std::string::npos != _exchange.request.find(R"("writes":[{)") ? 1 : 0;
			return _exchange.send(rawAnswer("200 OK", R"({"rows":[)" + rowText("lease/planner/z1", odd) + "]}"));
		});
		Entry entry(server);
		{
			Planner planner(entry.settings, 1, entry.loop, entry.keeper, entry.directory, entry.metrics);
			cr_assert(waitFor([&] {
				          return 1 < reads;
			          }),
			          "it asked %d times", reads.load());
			cr_assert(!planner.acting());
		}
		// A lease written in its place would begin with a fence that was used before.
		cr_assert(0 == writes);
	}
}

Test(officerows, items_are_split_at_their_own_commas)
{
	const auto split = splitJsonItems(R"({"a":"\"vms\":[1]","b":{"vms":[0]},"vms" : [ {"x":"],["}, [1,2] ,"\\",] , "c":1})", "vms");
	cr_assert(split && 4 == split->items.size());
	cr_assert(" [1,2] " == split->items.at(1) && "\"\\\\\"" == split->items.at(2) && split->items.at(3).empty());
	cr_assert(R"({"a":"\"vms\":[1]","b":{"vms":[0]},"vms" : [] , "c":1})" == split->rest);
	cr_assert(splitJsonItems(R"({"vms":[ ]})", "vms")->items.empty());
	cr_assert(!splitJsonItems(R"({"vms":[1})", "vms") && !splitJsonItems(R"(["vms",[1]])", "rows"));
}
