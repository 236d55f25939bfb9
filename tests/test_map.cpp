/// All ranks of a group use one expert map in every step. Runs real agents and planners with engine stubs under
/// faults; the engine stubs record steps in which ranks used different maps.
#include <thread>

#include "archdyke/random.h"
#include "office.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Sends requests to all entries until destroyed.
	class BackgroundLoad
	{
	public:
		explicit BackgroundLoad(lab::Office& _office)
		    : options(loadOptionsOf(_office))
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

	/// Makes another pair of experts the popular one.
	void shiftPopularity(lab::Office& _office, int _round)
	{
		std::vector<double> popularity(8, 1.0);
		popularity[std::size_t(2 * _round) % 8] = 12.0;
		popularity[std::size_t(2 * _round + 1) % 8] = 12.0;
		_office.controlEngines({{"popularity", popularity}});
	}

	std::uint64_t sumOfEpochs(lab::Office& _office)
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
		const std::uint64_t before = sumOfEpochs(_office);
		return lab::waitUntil(_timeoutMs, [&] {
			return before + _more <= sumOfEpochs(_office);
		});
	}

	void expectOneMapInEachStep(lab::Office& _office)
	{
		cr_assert(_office.waitUntilMapsSettled(20'000), "the groups did not settle on one map");
		for (const nlohmann::json& record : _office.engineRecords())
		{
			cr_assert(0 == record["mapViolations"].get<int>(), "%s", record.dump().c_str());
		}
	}

	/// @returns The entry that is the planner of a zone.
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
		cr_assert(nullptr != found, "the zone has no planner");
		return *found;
	}
} // namespace

Test(map, switches_while_serving)
{
	lab::Office office(smallOffice());
	makeReady(office);
	BackgroundLoad load(office);
	shiftPopularity(office, 0);
	cr_assert(waitSwitches(office, 2));
	shiftPopularity(office, 1);
	cr_assert(waitSwitches(office, 2));
	const lab::LoadResult result = load.finish();
	expectOneMapInEachStep(office);
	expectNoViolation(lab::judge(result, office.runs()));
	cr_assert(lab::summarizeLoad(result).whole == lab::summarizeLoad(result).calls);
}

Test(map, agents_killed_in_a_switch_recover_their_vote)
{
	lab::Office office(smallOffice());
	makeReady(office);
	BackgroundLoad load(office);
	Random random(7);
	for (int round = 0; round < 4; ++round)
	{
		shiftPopularity(office, round);
		lab::pauseMs(Millis(randomBelow(random, 1'500)));
		lab::Daemon& agent = office.agent("chat-" + std::to_string(1 + randomBelow(random, 2)));
		agent.process->kill();
		office.restart(agent);
	}
	load.finish();
	expectOneMapInEachStep(office);
}

Test(map, frozen_and_cut_agents_keep_the_group_on_one_map)
{
	lab::Office office(smallOffice());
	makeReady(office);
	BackgroundLoad load(office);
	Random random(8);
	for (int round = 0; round < 4; ++round)
	{
		shiftPopularity(office, round);
		lab::pauseMs(Millis(randomBelow(random, 1'200)));
		const std::string name = "chat-" + std::to_string(1 + randomBelow(random, 2));
		const bool cut = 0 == randomBelow(random, 2);
		cut ? office.linkFaults(lab::Office::linkName("north", name), {{"cutToTarget", true}, {"cutToClient", true}}) : office.agent(name).process->signal(SIGSTOP);
		lab::pauseMs(Millis(randomBelow(random, 900)));
		office.linkFaults(lab::Office::linkName("north", name), {{"cutToTarget", false}, {"cutToClient", false}});
		office.agent(name).process->signal(SIGCONT);
	}
	load.finish();
	expectOneMapInEachStep(office);
}

Test(map, a_platform_outage_stops_no_open_switch)
{
	lab::Office office(smallOffice());
	makeReady(office);
	BackgroundLoad load(office);
	plannerOf(office, "north");
	shiftPopularity(office, 0);
	// The outage starts between the proposal and the outcome of a switch, or before the switch.
	const bool proposed = lab::waitUntil(15'000, [&] {
		return std::string::npos != office.entries()[0]->process->log().find("event=map_proposed");
	});
	office.platformFaults({{"outage", true}});
	cr_assert(proposed);
	expectOneMapInEachStep(office);
	office.platformFaults({{"outage", false}});
	shiftPopularity(office, 1);
	cr_assert(waitSwitches(office, 1, 20'000));
	load.finish();
	expectOneMapInEachStep(office);
}

namespace
{
	/// Suspends a planner beyond its lease; after it resumes it acts with an old fence.
	void testPausedPlanner(bool _checksFence)
	{
		lab::OfficeOptions options = smallOffice(2);
		options.engine = {{"checksFence", _checksFence}};
		lab::Office office(options);
		makeReady(office);
		BackgroundLoad load(office);
		lab::Daemon& first = plannerOf(office, "north");
		shiftPopularity(office, 0);
		cr_assert(waitSwitches(office, 1));
		shiftPopularity(office, 1);
		first.process->signal(SIGSTOP);
		const bool tookOver = lab::waitUntil(15'000, [&] {
			for (const std::unique_ptr<lab::Daemon>& entry : office.entries())
			{
				if ("north" == entry->zone && entry.get() != &first && office.dump(*entry)["planner"].get<bool>())
				{
					return true;
				}
			}
			return false;
		});
		cr_assert(tookOver, "no other entry took over the lease");
		shiftPopularity(office, 2);
		first.process->signal(SIGCONT);
		cr_assert(waitSwitches(office, 2));
		load.finish();
		expectOneMapInEachStep(office);
	}
} // namespace

Test(map, a_planner_paused_past_its_lease_does_no_harm)
{
	testPausedPlanner(true);
}

Test(map, a_paused_planner_does_no_harm_to_engines_that_check_no_fence)
{
	testPausedPlanner(false);
}
