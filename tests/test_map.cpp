/// One map in every step: real agents, planners and engine ranks under faults. The engines'
/// own record of steps on different maps judges.
#include <thread>

#include "archdyke/random.h"
#include "office.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Load on all entries until it goes out of scope.
	class BackgroundLoad
	{
	public:
		explicit BackgroundLoad(lab::Office& _office)
		    : options(loadOn(_office))
		{
			this->options.requests = 100'000;
			this->options.perSecond = 120;
			this->options.tokens = 40;
			this->options.stop = &this->stopped;
			this->thread = std::thread([this] {
				this->result = lab::runLoad(this->options);
			});
		}

		~BackgroundLoad()
		{
			this->finish();
		}

		lab::LoadResult finish()
		{
			this->stopped = true;
			if (this->thread.joinable())
			{
				this->thread.join();
			}
			return this->result;
		}

	private:
		lab::LoadOptions options;
		std::atomic<bool> stopped{false};
		lab::LoadResult result;
		std::thread thread;
	};

	/// Lets another pair of experts be the popular one.
	void drift(lab::Office& _office, int _round)
	{
		std::vector<double> popularity(8, 1.0);
		popularity[std::size_t(2 * _round) % 8] = 12.0;
		popularity[std::size_t(2 * _round + 1) % 8] = 12.0;
		_office.controlEngines({{"popularity", popularity}});
	}

	std::uint64_t epochsSum(lab::Office& _office)
	{
		std::uint64_t sum = 0;
		for (const nlohmann::json& record : _office.engineRecords())
		{
			sum += record["epochs"][0].get<std::uint64_t>();
		}
		return sum;
	}

	bool waitSwitches(lab::Office& _office, std::uint64_t _more, Millis _timeoutMs = 15'000)
	{
		const std::uint64_t before = epochsSum(_office);
		return lab::waitUntil(_timeoutMs, [&] {
			return before + _more <= epochsSum(_office);
		});
	}

	void expectOneMap(lab::Office& _office)
	{
		cr_assert(_office.waitMapsSettled(20'000), "the groups did not settle on one map");
		for (const nlohmann::json& record : _office.engineRecords())
		{
			cr_assert(0 == record["mapViolations"].get<int>(), "%s", record.dump().c_str());
		}
	}

	/// @returns The entry that plans for a zone.
	lab::Daemon& plannerOf(lab::Office& _office, const std::string& _zone)
	{
		lab::Daemon* found = nullptr;
		lab::waitUntil(10'000, [&] {
			for (const std::unique_ptr<lab::Daemon>& entry : _office.entries())
			{
				const nlohmann::json dump = _zone == entry->zone ? _office.dump(*entry) : nlohmann::json();
				found = dump.is_object() && dump["planner"].get<bool>() ? entry.get() : found;
			}
			return nullptr != found;
		});
		cr_assert(nullptr != found, "nobody plans");
		return *found;
	}
} // namespace

Test(map, switches_while_serving)
{
	lab::Office office(smallOffice());
	makeReady(office);
	BackgroundLoad load(office);
	drift(office, 0);
	cr_assert(waitSwitches(office, 2));
	drift(office, 1);
	cr_assert(waitSwitches(office, 2));
	const lab::LoadResult result = load.finish();
	expectOneMap(office);
	expectNoViolation(lab::judge(result, office.runs()));
	cr_assert(lab::figuresOf(result).whole == lab::figuresOf(result).calls);
}

Test(map, agents_killed_in_a_switch_find_their_vote_again)
{
	lab::Office office(smallOffice());
	makeReady(office);
	BackgroundLoad load(office);
	Random random(7);
	for (int round = 0; round < 4; ++round)
	{
		drift(office, round);
		lab::pauseMs(Millis(randomBelow(random, 1'500)));
		lab::Daemon& agent = office.agent("chat-" + std::to_string(1 + randomBelow(random, 2)));
		agent.process->kill();
		office.restart(agent);
	}
	load.finish();
	expectOneMap(office);
}

Test(map, frozen_and_cut_agents_hold_the_group_together)
{
	lab::Office office(smallOffice());
	makeReady(office);
	BackgroundLoad load(office);
	Random random(8);
	for (int round = 0; round < 4; ++round)
	{
		drift(office, round);
		lab::pauseMs(Millis(randomBelow(random, 1'200)));
		const std::string name = "chat-" + std::to_string(1 + randomBelow(random, 2));
		const bool cut = 0 == randomBelow(random, 2);
		cut ? office.linkFaults(lab::Office::linkName("north", name), {{"cutToTarget", true}, {"cutToClient", true}}) : office.agent(name).process->signal(SIGSTOP);
		lab::pauseMs(Millis(randomBelow(random, 900)));
		office.linkFaults(lab::Office::linkName("north", name), {{"cutToTarget", false}, {"cutToClient", false}});
		office.agent(name).process->signal(SIGCONT);
	}
	load.finish();
	expectOneMap(office);
}

Test(map, a_platform_outage_stops_no_open_switch)
{
	lab::Office office(smallOffice());
	makeReady(office);
	BackgroundLoad load(office);
	plannerOf(office, "north");
	drift(office, 0);
	// The outage falls somewhere between proposal and outcome of a switch, or before it.
	const bool proposed = lab::waitUntil(15'000, [&] {
		return std::string::npos != office.entries()[0]->process->log().find("event=map_proposed");
	});
	office.platformFaults({{"outage", true}});
	cr_assert(proposed);
	expectOneMap(office);
	office.platformFaults({{"outage", false}});
	drift(office, 1);
	cr_assert(waitSwitches(office, 1, 20'000));
	load.finish();
	expectOneMap(office);
}

namespace
{
	/// A planner that sleeps past its lease and wakes up goes on with an old fence.
	void pausePlanner(bool _checksFence)
	{
		lab::OfficeOptions options = smallOffice(2);
		options.engine = {{"checksFence", _checksFence}};
		lab::Office office(options);
		makeReady(office);
		BackgroundLoad load(office);
		lab::Daemon& first = plannerOf(office, "north");
		drift(office, 0);
		cr_assert(waitSwitches(office, 1));
		drift(office, 1);
		first.process->signal(SIGSTOP);
		const bool moved = lab::waitUntil(15'000, [&] {
			for (const std::unique_ptr<lab::Daemon>& entry : office.entries())
			{
				if ("north" == entry->zone && entry.get() != &first && office.dump(*entry)["planner"].get<bool>())
				{
					return true;
				}
			}
			return false;
		});
		cr_assert(moved, "nobody took the lease over");
		drift(office, 2);
		first.process->signal(SIGCONT);
		cr_assert(waitSwitches(office, 2));
		load.finish();
		expectOneMap(office);
	}
} // namespace

Test(map, a_planner_paused_past_its_lease_does_no_harm)
{
	pausePlanner(true);
}

Test(map, nor_before_engines_that_check_no_fence)
{
	pausePlanner(false);
}
