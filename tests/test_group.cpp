/// Sidecars as processes before a stand-in of a lock-step group: maps follow the hot expert, no
/// pass is split, whoever dies or whatever orders come late.
#include <csignal>

#include "gateway_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr std::size_t kRanks = 4;
	constexpr Millis kSwitchMs = 15'000;

	/// A group of ranks on loopback addresses of their own, with a sidecar beside each.
	class GroupRig
	{
	public:
		/// @param[in] _reportDelayMs Time that each engine takes to answer, by rank.
		explicit GroupRig(const std::vector<Millis>& _reportDelayMs = std::vector<Millis>(kRanks, 0))
		    : store(this->directory.path + "/store.log")
		{
			Json addresses = Json::array();
			for (std::size_t rank = 0; rank < kRanks; ++rank)
			{
				addresses.push_back(this->ipOf(rank) + ":0");
			}
			this->ranks = startTool("stub-ranks", {{"addresses", addresses}, {"sets", 2}, {"experts", 8}, {"passMs", 15}, {"reportDelayMs", _reportDelayMs}}, this->directory.path + "/ranks.log");
			std::istringstream list(this->ranks->listening("http"));
			for (std::string address; std::getline(list, address, ',');)
			{
				this->engines.push_back(address);
			}
			this->announce();
			for (std::size_t rank = 0; rank < kRanks; ++rank)
			{
				this->sidecars.emplace_back();
				this->start(rank);
			}
		}

		/// Loopback addresses that no other test process uses.
		std::string ipOf(std::size_t _rank) const
		{
			const int process = getpid();
			return fmt::format("127.{}.{}.{}", 1 + process % 200, 1 + process / 200 % 200, 10 + _rank);
		}

		void start(std::size_t _rank)
		{
			const std::string path = fmt::format("{}/sidecar-{}.json", this->directory.path, _rank);
			std::ofstream(path) << Json{{"name", fmt::format("sidecar-{}", _rank)}, {"zone", "here"}, {"ip", this->ipOf(_rank)}, {"peerPort", 7340}, {"metrics", this->ipOf(_rank) + ":7341"}, {"store", this->store.address}, {"upstream", this->engines[_rank]}, {"service", "svc"}}.dump();
			this->sidecars[_rank] = std::make_unique<lab::ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/archdyke-sidecar", std::vector<std::string>{"--settings", path}, fmt::format("{}/sidecar-{}.log", this->directory.path, _rank));
		}

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

		/// Makes other experts hot until the group has switched some more times.
		bool switchesAgain(std::uint64_t _times, Millis _withinMs)
		{
			const std::uint64_t goal = this->switches() + _times;
			std::uint32_t expert = 0;
			return lab::waitUntil(_withinMs, [&] {
				expert += 1;
				this->control({{"hot", Json::array({expert / 40 % 8, (3 + expert / 40) % 8})}});
				return goal <= this->switches();
			});
		}

		/// @returns The rank whose sidecar coordinates; kRanks when none does.
		std::size_t coordinator() const
		{
			for (std::size_t rank = 0; rank < kRanks; ++rank)
			{
				const httplib::Result result = clientOf(this->ipOf(rank) + ":7341").Get("/dump");
				if (result && Json::parse(result->body).contains("term"))
				{
					return rank;
				}
			}
			return kRanks;
		}

		void expectNoSplit() const
		{
			const Json record = this->record();
			cr_assert(0 == record["splits"].get<int>(), "record: %s", record.dump().c_str());
		}

		/// Starts a gateway whose way to the store can be cut: it is told by the coordinator.
		void startGateway(const std::string& _name)
		{
			if (nullptr == this->proxy)
			{
				this->proxy = std::make_unique<lab::ProxyStub>(this->directory.path + "/proxy.log");
			}
			const std::string wayToStore = this->proxy->link(_name, this->store.address);
			const std::string path = fmt::format("{}/{}.json", this->directory.path, _name);
			std::ofstream(path) << Json{{"name", _name}, {"zone", "here"}, {"ip", "127.0.0.1"}, {"peerPort", 7340}, {"metrics", "127.0.0.1:0"}, {"store", wayToStore}, {"callers", "127.0.0.1:0"}, {"readiness", "127.0.0.1:0"}, {"revocationMs", kRevocationMs}, {"graceS", 8}}.dump();
			this->gateways[_name] = std::make_unique<lab::ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/archdyke-gateway", std::vector<std::string>{"--settings", path}, fmt::format("{}/{}.log", this->directory.path, _name));
			this->gatewayMetrics[_name] = this->gateways[_name]->listening("metrics");
			cr_assert(lab::waitUntil(kSwitchMs, [&] {
				return this->gatewayDump(_name).value("ready", false);
			}));
		}

		Json gatewayDump(const std::string& _name) const
		{
			const httplib::Result result = clientOf(this->gatewayMetrics.at(_name)).Get("/dump");
			return result ? Json::parse(result->body) : Json::object();
		}

		/// @returns Counter of a gateway's calls to the store.
		double storeCalls(const std::string& _name) const
		{
			const httplib::Result result = clientOf(this->gatewayMetrics.at(_name)).Get("/metrics");
			const std::string mark = "\narchdyke_store_calls_total ";
			const std::size_t at = result ? result->body.find(mark) : std::string::npos;
			cr_assert(std::string::npos != at, "%s", result ? result->body.c_str() : "no metrics");
			return std::stod(result->body.substr(at + mark.size()));
		}

		void cutFromStore(const std::string& _name, bool _cut) const
		{
			this->proxy->faults(_name, {{"cutToTarget", _cut}, {"cutToClient", _cut}});
		}

		/// Writes the configuration again, as a newer version.
		void configure(std::uint64_t _version)
		{
			this->store.put("op", "config", {{"version", _version}, {"services", Json::array({{{"name", "svc"}, {"engine", lab::rankEngineJson()}}})}});
		}

		static constexpr Millis kRevocationMs = 4'000;

		ScratchDirectory directory;
		RigStore store;
		std::unique_ptr<lab::ChildProcess> ranks;
		std::unique_ptr<lab::ProxyStub> proxy;
		std::map<std::string, std::unique_ptr<lab::ChildProcess>> gateways;
		std::map<std::string, std::string> gatewayMetrics;
		std::vector<std::string> engines;
		std::vector<std::unique_ptr<lab::ChildProcess>> sidecars;

	private:
		void announce()
		{
			this->configure(1);
			for (std::size_t rank = 0; rank < kRanks; ++rank)
			{
				this->store.put("servers", fmt::format("rank-{}", rank), lab::upstreamJson("svc", this->engines[rank], "ready"));
			}
		}
	};
} // namespace

Test(group, maps_follow_the_hot_expert)
{
	GroupRig rig;
	cr_assert(rig.switchesAgain(5, kSwitchMs));
	rig.expectNoSplit();
}

Test(group, late_and_lost_orders_never_split_the_group)
{
	GroupRig rig;
	cr_assert(rig.switchesAgain(1, kSwitchMs));
	rig.control({{"lateShare", 0.35}});
	cr_assert(rig.switchesAgain(4, 2 * kSwitchMs));
	rig.expectNoSplit();
}

Test(group, a_killed_coordinator_is_followed_by_another)
{
	GroupRig rig;
	cr_assert(rig.switchesAgain(1, kSwitchMs));
	const std::size_t first = rig.coordinator();
	cr_assert(first < kRanks);
	rig.sidecars[first]->kill();
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		const std::size_t next = rig.coordinator();
		return next != first && next < kRanks;
	}));
	rig.start(first);
	cr_assert(rig.switchesAgain(2, kSwitchMs));
	rig.expectNoSplit();
}

Test(group, a_paused_coordinator_that_wakes_does_no_harm)
{
	GroupRig rig;
	cr_assert(rig.switchesAgain(1, kSwitchMs));
	for (int round = 0; round < 3; ++round)
	{
		const std::size_t first = rig.coordinator();
		cr_assert(first < kRanks);
		rig.sidecars[first]->signal(SIGSTOP);
		lab::waitUntil(2'500, [&] {
			rig.control({{"hot", Json::array({round, round + 4})}});
			return false;
		});
		rig.sidecars[first]->signal(SIGCONT);
		cr_assert(rig.switchesAgain(1, kSwitchMs));
		rig.expectNoSplit();
	}
}

Test(group, a_group_that_forms_anew_switches_again)
{
	GroupRig rig;
	cr_assert(rig.switchesAgain(2, kSwitchMs));
	rig.control({{"formAnew", true}});
	cr_assert(rig.switchesAgain(2, kSwitchMs));
	rig.expectNoSplit();
}

Test(group, a_store_that_is_away_or_loses_answers_only_delays)
{
	GroupRig rig;
	cr_assert(rig.switchesAgain(1, kSwitchMs));
	rig.store.control({{"mode", "lose"}});
	rig.switchesAgain(1, 2'500);
	rig.store.control({{"mode", "busy"}});
	rig.switchesAgain(1, 1'000);
	rig.store.control({{"mode", "up"}});
	cr_assert(rig.switchesAgain(2, kSwitchMs));
	rig.expectNoSplit();
}

Test(group, a_row_that_cannot_be_read_stops_nobody_for_good)
{
	GroupRig rig;
	cr_assert(rig.switchesAgain(1, kSwitchMs));
	const std::size_t first = rig.coordinator();
	cr_assert(first < kRanks);
	rig.store.putIn("archdyke_groups", "g", "svc", "no row");
	rig.sidecars[first]->kill();
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		return std::any_of(rig.sidecars.begin(), rig.sidecars.end(), [](const auto& _sidecar) {
			return std::string::npos != _sidecar->output().find("the next coordinator writes it anew");
		});
	}));
	rig.store.removeIn("archdyke_groups", "g", "svc");
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		const std::size_t next = rig.coordinator();
		return next != first && next < kRanks;
	}));
}

/// Only two gateways ask the store themselves; the others are told, also while it turns them away.
Test(group, a_gateway_that_the_store_turns_away_goes_by_what_others_have)
{
	GroupRig rig;
	cr_assert(rig.switchesAgain(1, kSwitchMs));
	for (const char* name : {"gateway-a", "gateway-b", "gateway-c"})
	{
		rig.startGateway(name);
	}
	rig.cutFromStore("gateway-b", true);
	const Millis until = nowMs() + 2 * GroupRig::kRevocationMs;
	Millis oldest = 0;
	lab::waitUntil(2 * GroupRig::kRevocationMs, [&] {
		const Json dump = rig.gatewayDump("gateway-b");
		oldest = std::max(oldest, dump.value("proofAgeMs", Millis(0)));
		return !dump.value("ready", false);
	});
	cr_assert(until <= nowMs() && oldest < 2'000, "proof of %lld ms", static_cast<long long>(oldest));
	// A worker that leaves is learnt too; a configuration that it can't read makes its proof old.
	rig.store.remove("servers", "rank-3");
	cr_assert(lab::waitUntil(kRigWaitMs, [&] {
		return kRanks - 1 == rig.gatewayDump("gateway-b")["upstreams"].size();
	}));
	rig.configure(2);
	cr_assert(lab::waitUntil(kRigWaitMs, [&] {
		return !rig.gatewayDump("gateway-b").value("ready", true);
	}));
	cr_assert(2 == rig.gatewayDump("gateway-c")["catalog"].get<int>());
	rig.cutFromStore("gateway-b", false);
	cr_assert(lab::waitUntil(kRigWaitMs, [&] {
		const Json dump = rig.gatewayDump("gateway-b");
		return dump.value("ready", false) && 2 == dump["catalog"].get<int>();
	}));
}

/// Without a coordinator each gateway asks the store, and a change is in force as before.
Test(group, gateways_ask_the_store_themselves_while_nobody_tells)
{
	GroupRig rig;
	cr_assert(rig.switchesAgain(1, kSwitchMs));
	for (const char* name : {"gateway-a", "gateway-b", "gateway-c"})
	{
		rig.startGateway(name);
	}
	const double before = rig.storeCalls("gateway-b");
	lab::waitUntil(3'000, [] {
		return false;
	});
	const double calls = rig.storeCalls("gateway-b") - before;
	cr_assert(calls <= 2.0, "%f calls in 3 s while it is told", calls);
	for (auto& sidecar : rig.sidecars)
	{
		sidecar->signal(SIGSTOP);
	}
	// The first moment after the loss: a change just then is in force within 2 s all the same.
	rig.configure(2);
	cr_assert(lab::waitUntil(2'000, [&] {
		return 2 == rig.gatewayDump("gateway-b")["catalog"].get<int>();
	}));
	for (auto& sidecar : rig.sidecars)
	{
		sidecar->signal(SIGCONT);
	}
}

/// A sidecar that hears the coordinator while it still asks its own engine doesn't take over.
Test(group, ranks_that_start_together_agree_on_one_coordinator)
{
	GroupRig rig({100, 180, 180, 180});
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		return rig.coordinator() < kRanks;
	}));
	const bool another = lab::waitUntil(2'000, [&] {
		return std::any_of(rig.sidecars.begin(), rig.sidecars.end(), [](const auto& _sidecar) {
			return std::string::npos != _sidecar->output().find("event=term_lost");
		});
	});
	cr_assert(!another);
}
