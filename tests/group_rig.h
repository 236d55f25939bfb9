/// Test rig: groups of engine ranks with a sidecar beside each, gateways, and stubs of the users'
/// platform, each in its own process.
#pragma once

#include <map>

#include "gateway_rig.h"

namespace archdyke::tests
{
	constexpr std::size_t kRanks = 4;
	constexpr Millis kSwitchMs = 15'000;

	/// One group of ranks.
	struct RigGroup
	{
		std::string name;
		std::size_t number = 0;
		std::unique_ptr<lab::ChildProcess> ranks; ///< One process simulates all engines.
		std::vector<std::string> engines;         ///< IP:port of each rank.
		std::vector<std::unique_ptr<lab::ChildProcess>> sidecars;

		void control(const Json& _control) const
		{
			clientOf(this->engines.front()).Post("/control", _control.dump(), "application/json");
		}

		Json record() const
		{
			const httplib::Result result = clientOf(this->engines.front()).Get("/record");
			return result ? Json::parse(result->body) : Json();
		}

		std::uint64_t switches() const
		{
			return this->record()["switches"].get<std::uint64_t>();
		}

		std::uint64_t requests() const
		{
			return this->record()["requests"].get<std::uint64_t>();
		}

		/// @returns Whether any rank holds the group.
		bool isHeld() const
		{
			return std::any_of(this->engines.begin(), this->engines.end(), [](const std::string& _engine) {
				const httplib::Result result = clientOf(_engine).Get("/report");
				return result && !Json::parse(result->body)["held"].is_null();
			});
		}

		/// Keeps changing the hot experts until the group has made more switches.
		/// @returns Whether it made them in time.
		bool switchesAgain(std::uint64_t _times, Millis _withinMs) const
		{
			const std::uint64_t goal = this->switches() + _times;
			std::uint32_t expert = 0;
			return lab::waitUntil(_withinMs, [&] {
				expert += 1;
				this->control({{"hot", Json::array({expert / 40 % 8, (3 + expert / 40) % 8})}});
				return goal <= this->switches();
			});
		}

		void expectNoSplit() const
		{
			const Json record = this->record();
			cr_assert(0 == record["splits"].get<int>(), "record: %s", record.dump().c_str());
		}

		/// Sends a signal to the ranks and their sidecars. SIGSTOP simulates a zone that is cut off.
		void signal(int _signal)
		{
			this->ranks->signal(_signal);
			for (auto& sidecar : this->sidecars)
			{
				sidecar->signal(_signal);
			}
		}
	};

	class GroupRig
	{
	public:
		/// One group.
		/// @param[in] _reportDelayMs Response time of each engine, by rank, ms.
		explicit GroupRig(const std::vector<Millis>& _reportDelayMs = std::vector<Millis>(kRanks, 0))
		    : store(this->directory.path + "/store.log")
		{
			this->configure(1);
			this->addGroup("g", _reportDelayMs);
		}

		/// Several groups of one service.
		/// @param[in] _sizes Number of ranks of each group.
		explicit GroupRig(const std::vector<std::size_t>& _sizes)
		    : store(this->directory.path + "/store.log")
		{
			this->configure(1);
			for (const std::size_t size : _sizes)
			{
				this->addGroup(fmt::format("g-{}", this->groups.size()), std::vector<Millis>(size, 0));
			}
		}

		/// @returns A loopback address that no other test process uses.
		std::string ipOf(const RigGroup& _group, std::size_t _rank) const
		{
			const int process = getpid();
			return fmt::format("127.{}.{}.{}", 1 + process % 200, 1 + process / 200 % 200, 10 + 20 * _group.number + _rank);
		}

		void start(RigGroup& _group, std::size_t _rank)
		{
			const std::string name = fmt::format("sidecar-{}-{}", _group.number, _rank);
			const std::string path = fmt::format("{}/{}.json", this->directory.path, name);
			const std::string ip = this->ipOf(_group, _rank);
			std::ofstream(path) << Json{{"name", name}, {"zone", "here"}, {"ip", ip}, {"peerPort", 7340}, {"metrics", ip + ":7341"}, {"store", this->store.address}, {"upstream", _group.engines[_rank]}, {"service", "svc"}}.dump();
			_group.sidecars[_rank] = std::make_unique<lab::ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/archdyke-sidecar", std::vector<std::string>{"--settings", path}, fmt::format("{}/{}.log", this->directory.path, name));
		}

		/// @returns The rank whose sidecar coordinates a group; kRanks when none does.
		std::size_t coordinator(const RigGroup& _group) const
		{
			for (std::size_t rank = 0; rank < _group.sidecars.size(); ++rank)
			{
				const httplib::Result result = clientOf(this->ipOf(_group, rank) + ":7341").Get("/dump");
				if (result && Json::parse(result->body).contains("term"))
				{
					return rank;
				}
			}
			return kRanks;
		}

		std::size_t coordinator() const
		{
			return this->coordinator(this->groups.front());
		}

		/// Starts a gateway behind a proxy that can cut its connection to the store. The coordinator sends it news.
		void startGateway(const std::string& _name)
		{
			if (nullptr == this->proxy)
			{
				this->proxy = std::make_unique<lab::ProxyStub>(this->directory.path + "/proxy.log");
			}
			const std::string storeAddress = this->proxy->link(_name, this->store.address);
			const std::string path = fmt::format("{}/{}.json", this->directory.path, _name);
			std::ofstream(path) << Json{{"name", _name}, {"zone", "here"}, {"ip", "127.0.0.1"}, {"peerPort", 7340}, {"metrics", "127.0.0.1:0"}, {"store", storeAddress}, {"callers", "127.0.0.1:0"}, {"readiness", "127.0.0.1:0"}, {"revocationMs", kRevocationMs}, {"graceS", 8}, {"retryRatio", 0.2}, {"retryWindowS", 10}, {"retryAllowance", this->retryAllowance}}.dump();
			this->gateways[_name] = std::make_unique<lab::ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/archdyke-gateway", std::vector<std::string>{"--settings", path}, fmt::format("{}/{}.log", this->directory.path, _name));
			this->gatewayMetrics[_name] = this->gateways[_name]->listening("metrics");
			this->gatewayCallers[_name] = this->gateways[_name]->listening("http");
			cr_assert(lab::waitUntil(kSwitchMs, [&] {
				return this->gatewayDump(_name).value("ready", false);
			}));
		}

		Json gatewayDump(const std::string& _name) const
		{
			const httplib::Result result = clientOf(this->gatewayMetrics.at(_name)).Get("/dump");
			return result ? Json::parse(result->body) : Json::object();
		}

		/// @returns Number of calls to the store that a process has made, for all tables.
		/// @param[in] _metrics Address at which the process serves its metrics.
		static double storeCallsAt(const std::string& _metrics)
		{
			const httplib::Result result = clientOf(_metrics).Get("/metrics");
			cr_assert(result, "no metrics");
			double calls = 0.0;
			std::istringstream lines(result->body);
			for (std::string line; std::getline(lines, line);)
			{
				calls += line.starts_with("archdyke_store_calls_total{") ? std::stod(line.substr(line.rfind(' '))) : 0.0;
			}
			return calls;
		}

		/// @returns Number of calls to the store that a gateway has made.
		double storeCalls(const std::string& _name) const
		{
			const double calls = storeCallsAt(this->gatewayMetrics.at(_name));
			cr_assert(0.0 < calls, "a gateway reads at least the list of upstreams");
			return calls;
		}

		/// Sends a caller's request through a gateway.
		/// @param[in] _deadlineMs Time until the caller's deadline.
		/// @returns The response, whose body names the group that ran the request; status 0 if there is none.
		RigResponse call(const std::string& _gateway, const std::string& _request, Millis _deadlineMs = 1'500) const
		{
			httplib::Client client = clientOf(this->gatewayCallers.at(_gateway));
			const httplib::Result result = client.Get("/safe/x", GatewayRig::headersFor(_request, _deadlineMs));
			return result ? RigResponse{result->status, result->body, result->headers} : RigResponse();
		}

		/// @returns A gateway's dump of a group; null if it doesn't know the group.
		Json groupDump(const std::string& _gateway, const std::string& _group) const
		{
			for (const Json& group : this->gatewayDump(_gateway).value("groups", Json::array()))
			{
				if (group["group"] == _group)
				{
					return group;
				}
			}
			return Json();
		}

		/// Waits until a gateway knows all ranks of a group and whether it is down.
		bool waitForGroup(const std::string& _gateway, const RigGroup& _group, bool _down = false) const
		{
			return lab::waitUntil(kRigWaitMs, [&] {
				const Json dump = this->groupDump(_gateway, _group.name);
				return dump.is_object() && dump["known"].get<bool>() && _down == dump["down"].get<bool>() && _group.engines.size() == dump["members"].get<std::size_t>();
			});
		}

		void cutFromStore(const std::string& _name, bool _cut) const
		{
			this->proxy->faults(_name, {{"cutToTarget", _cut}, {"cutToClient", _cut}});
		}

		/// Writes the configuration with the given version.
		void configure(std::uint64_t _version)
		{
			Json configuration = lab::configurationJson(_version, {"key-one"}, Json::array());
			configuration["services"] = Json::array({{{"name", "svc"}, {"engine", lab::rankEngineJson()}}});
			this->store.put("op", "config", configuration);
		}

		static constexpr Millis kRevocationMs = 4'000;

		ScratchDirectory directory;
		RigStore store;
		std::vector<RigGroup> groups;
		double retryAllowance = 6'400.0; ///< Of gateways that are started from now on.
		std::unique_ptr<lab::ProxyStub> proxy;
		std::map<std::string, std::unique_ptr<lab::ChildProcess>> gateways;
		std::map<std::string, std::string> gatewayMetrics;
		std::map<std::string, std::string> gatewayCallers;

	private:
		void addGroup(const std::string& _name, const std::vector<Millis>& _reportDelayMs)
		{
			RigGroup group;
			group.name = _name;
			group.number = this->groups.size();
			Json addresses = Json::array();
			for (std::size_t rank = 0; rank < _reportDelayMs.size(); ++rank)
			{
				addresses.push_back(this->ipOf(group, rank) + ":0");
			}
			group.ranks = startTool("stub-ranks", {{"addresses", addresses}, {"group", _name}, {"sets", 2}, {"experts", 8}, {"passMs", 15}, {"reportDelayMs", _reportDelayMs}}, fmt::format("{}/ranks-{}.log", this->directory.path, group.number));
			std::istringstream list(group.ranks->listening("http"));
			for (std::string address; std::getline(list, address, ',');)
			{
				group.engines.push_back(address);
			}
			for (std::size_t rank = 0; rank < group.engines.size(); ++rank)
			{
				const std::string id = 0 == group.number ? fmt::format("rank-{}", rank) : fmt::format("rank-{}-{}", group.number, rank);
				this->store.put("servers", id, lab::upstreamJson("svc", group.engines[rank], "ready"));
			}
			for (std::size_t rank = 0; rank < group.engines.size(); ++rank)
			{
				group.sidecars.emplace_back();
				this->start(group, rank);
			}
			this->groups.push_back(std::move(group));
		}
	};
} // namespace archdyke::tests
