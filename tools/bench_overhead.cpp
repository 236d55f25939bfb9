/// Bench of the latency that entry and agent add to a direct call of a stub. Both kinds of calls alternate in one run.
#include <chrono>
#include <fmt/format.h>
#include <httplib.h>

#include "base/http_server.h"
#include "bench.h"
#include "lab.h"
#include "load.h"

namespace archdyke::bench
{
	namespace
	{
		constexpr int kCalls = 1'500;
		constexpr int kModelCalls = 300;

		struct Target
		{
			httplib::Client client;
			std::string path;
		};

		httplib::Client clientOf(const std::string& _address)
		{
			const Address address = parseAddress(_address);
			httplib::Client client(address.host, address.port);
			client.set_keep_alive(true);
			client.set_tcp_nodelay(true);
			return client;
		}

		double timeMs(httplib::Client& _client, const std::string& _path, const std::string& _body)
		{
			const httplib::Headers headers{{"Authorization", "Bearer key-alpha"}};
			const auto start = std::chrono::steady_clock::now();
			const httplib::Result result = _client.Post(_path, headers, _body, "application/json");
			if (!result || 200 != result->status)
			{
				throw std::runtime_error("a measured call failed");
			}
			return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
		}

		std::vector<std::string> rowOf(const std::string& _name, const std::vector<double>& _direct, const std::vector<double>& _through)
		{
			const auto both = [&](double _share) {
				return fmt::format("{:.2f} / {:.2f}", lab::quantile(_direct, _share), lab::quantile(_through, _share));
			};
			const auto added = [&](double _share) {
				return fmt::format("{:.2f}", lab::quantile(_through, _share) - lab::quantile(_direct, _share));
			};
			return {_name, both(0.5), added(0.5), both(0.99), added(0.99)};
		}

		std::vector<std::string> compare(const std::string& _name, const std::string& _direct, const std::string& _directPath, const std::string& _entry, const std::string& _path, const std::string& _body, int _calls)
		{
			httplib::Client direct = clientOf(_direct);
			httplib::Client through = clientOf(_entry);
			std::vector<double> directMs;
			std::vector<double> throughMs;
			for (int index = 0; index < _calls; ++index)
			{
				const double directCallMs = timeMs(direct, _directPath, _body);
				const double throughCallMs = timeMs(through, _path, _body);
				if (_calls / 10 < index)
				{
					directMs.push_back(directCallMs);
					throughMs.push_back(throughCallMs);
				}
			}
			return rowOf(_name, directMs, throughMs);
		}

		std::string addressOf(lab::Office& _office, const std::string& _upstream)
		{
			for (const lab::UpstreamStub& stub : _office.stubs())
			{
				if (_upstream == stub.name)
				{
					return stub.address;
				}
			}
			throw std::runtime_error("unknown upstream " + _upstream);
		}
	} // namespace

	std::vector<Table> benchOverhead()
	{
		lab::OfficeOptions options;
		options.file = std::string(ARCHDYKE_SOURCE_DIR) + "/examples/small.json";
		options.entriesPerZone = 1;
		lab::Office office(options);
		const std::string file = office.changedFile("overhead.json", [](nlohmann::json& _json) {
			_json["organisations"][0]["requestsPerSecond"] = 1'000'000;
			_json["organisations"][0]["burst"] = 1'000'000;
		});
		if (0 != office.apply(file).exitCode || !office.waitReady())
		{
			throw std::runtime_error("the office did not become ready");
		}
		const std::string entry = office.entries().front()->http;
		const std::string chat = R"({"model":"chat","messages":[{"role":"user","content":"hello"}],"max_tokens":8})";
		Table table;
		table.title = "overhead, one caller, alternating direct calls and calls through entry and agent, ms";
		table.columns = {"call", "p50 direct / through", "p50 added", "p99 direct / through", "p99 added"};
		table.rows.push_back(compare("plain service", addressOf(office, "shop-1"), "/cards", entry, "/shop/cards", R"({"token":"x"})", kCalls));
		table.rows.push_back(compare("model, 8 tokens, steps of 4.5 ms", addressOf(office, "chat-1"), "/v1/chat/completions", entry, "/v1/chat/completions", chat, kModelCalls));
		return {table};
	}
} // namespace archdyke::bench
