/// Sidecars as processes before a stand-in of a lock-step group: maps follow the hot expert, no
/// pass is split, whoever dies or whatever orders come late.
#include <csignal>

#include "gateway_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr std::size_t kRanks = 4;

	/// A group of ranks on loopback addresses of their own, with a sidecar beside each.
	class GroupRig
	{
	public:
		GroupRig()
		    : store(this->directory.path + "/store.log")
		{
			Json addresses = Json::array();
			for (std::size_t rank = 0; rank < kRanks; ++rank)
			{
				addresses.push_back(this->ipOf(rank) + ":0");
			}
			this->ranks = startTool("stub-ranks", {{"addresses", addresses}, {"sets", 2}, {"experts", 8}, {"passMs", 15}}, this->directory.path + "/ranks.log");
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

		ScratchDirectory directory;
		RigStore store;
		std::unique_ptr<lab::ChildProcess> ranks;
		std::vector<std::string> engines;
		std::vector<std::unique_ptr<lab::ChildProcess>> sidecars;

	private:
		void announce()
		{
			const Json engine{{"slots", 4}, {"step_ms", 4.0}, {"per_seq_ms", 1.0}, {"read_per_s", 60'000.0}, {"chunk", 512}, {"stride", 1}, {"linkMbps", 180'000.0}, {"sets", 2}, {"experts", 8}, {"places", 4}, {"spare", 2}, {"expert_mb", 100.0}, {"expert_share", 0.8}, {"form_ms", 100.0}};
			this->store.put("op", "config", {{"version", 1}, {"services", Json::array({{{"name", "svc"}, {"engine", engine}}})}});
			for (std::size_t rank = 0; rank < kRanks; ++rank)
			{
				this->store.put("servers", fmt::format("rank-{}", rank), {{"service", "svc"}, {"address", this->engines[rank]}, {"zone", "here"}, {"slots", 4}, {"state", "ready"}});
			}
		}
	};

	constexpr Millis kSwitchMs = 15'000;
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
