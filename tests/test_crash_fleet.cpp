/// Simulation of a fleet whose upstreams crash under certain parts of prompts: how many requests with such a part still reach
/// upstreams once several have crashed, and whether others are served.
// Included before Criterion, whose macros break the hash headers.
#include "archdyke/crash_blame.h"
#include "archdyke/random.h"

#include <criterion/criterion.h>
#include <set>

using namespace archdyke;

namespace
{
	constexpr Millis kStepMs = 20;
	constexpr Millis kRestartMs = 3'000;    ///< Until a crashed upstream is back.
	constexpr Millis kKnownAfterMs = 1'500; ///< Until all gateways know of a crash or a completion.
	constexpr Millis kRunMs = 2'000;        ///< Length of a sound run.
	constexpr std::size_t kUpstreams = 12;
	constexpr std::size_t kGateways = 6;
	constexpr std::size_t kAllowedCrashes = 5;
	constexpr std::size_t kMaxLateArrivals = 3;

	/// What happens in a simulated fleet.
	struct Scenario
	{
		std::size_t firstParts = 3; ///< Number of parts with which prompts begin.
		std::size_t subjects = 60;  ///< Number of parts that follow them.
		std::size_t badParts = 1;
		double badPerS = 1.0;
		double soundPerS = 15.0;
		Millis soundFrom = 0; ///< When sound requests begin.
		Millis badFrom = 20'000;
		Millis crashDelayMs = 100;   ///< From the sending of a bad request to the crash of its upstream.
		Millis powerFailureEach = 0; ///< Interval at which all upstreams end together; 0: never.
		Millis lengthMs = 90'000;
	};

	struct Run
	{
		std::vector<std::string> suspects;
		std::size_t upstream = 0;
		std::size_t gateway = 0;
		std::vector<std::string> trial;
		Millis startedAt = 0;
		Millis endsAt = 0;
		bool bad = false;
	};

	struct Gateway
	{
		CrashTable table;
		TrialTable trials;
		RecentCompletions completions;
	};

	/// What a gateway learns later from another one.
	struct Published
	{
		std::size_t gateway = 0;
		Crash crash;
		std::optional<CrashedRun> run; ///< None: the crash was cleared.
		Millis knownAt = 0;
	};

	struct Upstream
	{
		std::uint64_t life = 0;
		Millis upAt = 0;
	};

	/// Result of a simulation.
	struct Tally
	{
		std::size_t crashes = 0;
		std::size_t late = 0;      ///< Bad requests that reached upstreams later than kKnownAfterMs after the allowed crashes.
		std::size_t soundSent = 0; ///< Sound requests after these crashes.
		std::size_t soundRefused = 0;
	};

	class Fleet
	{
	public:
		Fleet(const Scenario& _scenario, std::uint64_t _seed)
		    : scenario(_scenario)
		    , random(_seed)
		    , upstreams(kUpstreams)
		    , gateways(kGateways)
		{
		}

		Tally run()
		{
			for (this->now = 0; this->now < this->scenario.lengthMs; this->now += kStepMs)
			{
				this->applyKnown();
				this->endRuns();
				if (0 < this->scenario.powerFailureEach && 0 < this->now && 0 == this->now % this->scenario.powerFailureEach)
				{
					for (std::size_t index = 0; index < kUpstreams; ++index)
					{
						this->crash(index);
					}
				}
				this->arrive(this->scenario.soundFrom, this->scenario.soundPerS, false);
				this->arrive(this->scenario.badFrom, this->scenario.badPerS, true);
			}
			return this->outcome;
		}

	private:
		void arrive(Millis _from, double _perS, bool _bad)
		{
			const double share = double(randomBelow(this->random, 1'000'000)) / 1e6;
			if (this->now < _from || _perS * double(kStepMs) / 1'000.0 < share)
			{
				return;
			}
			Run run;
			run.bad = _bad;
			run.startedAt = this->now;
			this->serial += 1;
			run.suspects.push_back("request" + std::to_string(this->serial));
			run.suspects.push_back("first" + std::to_string(randomBelow(this->random, this->scenario.firstParts)));
			run.suspects.push_back("subject" + std::to_string(randomBelow(this->random, this->scenario.subjects)));
			if (_bad)
			{
				const std::string part = "bad" + std::to_string(randomBelow(this->random, this->scenario.badParts));
				const std::size_t place = randomBelow(this->random, 3);
				0 == place ? void(run.suspects[1] = part) : 1 == place ? void(run.suspects[2] = part)
				                                                       : run.suspects.push_back(part);
				this->crashesOfPart = &this->crashedAt[part];
			}
			const bool late = _bad && kAllowedCrashes <= this->crashesOfPart->size() && (*this->crashesOfPart)[kAllowedCrashes - 1] + 2 * kKnownAfterMs < this->now;
			const bool afterwards = !_bad && (0.0 == this->scenario.badPerS || (kAllowedCrashes <= this->badCrashes && this->fifthAt + 2 * kKnownAfterMs < this->now));
			this->outcome.soundSent += afterwards ? 1 : 0;
			run.gateway = randomBelow(this->random, kGateways);
			Gateway& gateway = this->gateways[run.gateway];
			run.trial = doubtfulSuspects(gateway.table, run.suspects, this->now);
			if (remainingRefusalMs(gateway.table, run.suspects, this->now) || remainingTrialMs(gateway.trials, run.trial, this->now))
			{
				this->outcome.soundRefused += afterwards ? 1 : 0;
				return;
			}
			std::vector<std::size_t> up;
			for (std::size_t index = 0; index < kUpstreams; ++index)
			{
				if (this->upstreams[index].upAt <= this->now)
				{
					up.push_back(index);
				}
			}
			if (up.empty())
			{
				return;
			}
			this->outcome.late += late ? 1 : 0;
			beginTrial(gateway.trials, run.trial, this->now);
			run.upstream = up[randomBelow(this->random, up.size())];
			run.endsAt = this->now + (_bad ? this->scenario.crashDelayMs : kRunMs);
			this->runs.push_back(run);
		}

		void endRuns()
		{
			const std::vector<Run> before = this->runs;
			for (const Run& run : before)
			{
				const bool running = std::any_of(this->runs.begin(), this->runs.end(), [&](const Run& _run) {
					return _run.suspects == run.suspects;
				});
				if (!running || this->now < run.endsAt)
				{
					continue;
				}
				if (run.bad)
				{
					this->crashedAt[run.suspects.back().starts_with("bad") ? run.suspects.back() : run.suspects[1].starts_with("bad") ? run.suspects[1]
					                                                                                                                  : run.suspects[2]]
					    .push_back(this->now);
					this->badCrashes += 1;
					this->fifthAt = kAllowedCrashes == this->badCrashes ? this->now : this->fifthAt;
					this->crash(run.upstream);
					continue;
				}
				std::erase_if(this->runs, [&](const Run& _run) {
					return _run.suspects == run.suspects;
				});
				Gateway& gateway = this->gateways[run.gateway];
				endTrial(gateway.trials, run.trial);
				for (const std::string& suspect : run.suspects)
				{
					recordCompletion(gateway.completions, std::hash<std::string>()(suspect), this->now);
					for (const Crash& crash : clearSuspect(gateway.table, suspect))
					{
						this->publish(run.gateway, crash, std::nullopt);
					}
				}
			}
		}

		void crash(std::size_t _upstream)
		{
			Upstream& upstream = this->upstreams[_upstream];
			const std::string incarnation = "u" + std::to_string(_upstream) + "." + std::to_string(upstream.life);
			for (const Run& run : this->runs)
			{
				if (run.upstream != _upstream)
				{
					continue;
				}
				Gateway& gateway = this->gateways[run.gateway];
				endTrial(gateway.trials, run.trial);
				for (const std::string& suspect : run.suspects)
				{
					const Crash crash{suspect, incarnation};
					if (!completedRecently(gateway.completions, std::hash<std::string>()(suspect), this->now) && recordCrash(gateway.table, crash, {run.startedAt, this->now}))
					{
						this->publish(run.gateway, crash, CrashedRun{run.startedAt, this->now});
					}
				}
			}
			std::erase_if(this->runs, [&](const Run& _run) {
				return _run.upstream == _upstream;
			});
			upstream.life += 1;
			upstream.upAt = this->now + kRestartMs;
			this->outcome.crashes += 1;
		}

		void publish(std::size_t _gateway, const Crash& _crash, std::optional<CrashedRun> _run)
		{
			for (std::size_t gateway = 0; gateway < kGateways; ++gateway)
			{
				if (gateway != _gateway)
				{
					this->published.push_back({gateway, _crash, _run, this->now + kKnownAfterMs});
				}
			}
		}

		void applyKnown()
		{
			std::erase_if(this->published, [&](const Published& _published) {
				if (this->now < _published.knownAt)
				{
					return false;
				}
				CrashTable& table = this->gateways[_published.gateway].table;
				_published.run ? void(recordCrash(table, _published.crash, *_published.run)) : removeCrash(table, _published.crash);
				return true;
			});
		}

		const Scenario scenario;
		Random random;
		std::vector<Upstream> upstreams;
		std::vector<Run> runs;
		std::vector<Gateway> gateways;
		std::vector<Published> published;
		std::map<std::string, std::vector<Millis>> crashedAt;
		std::vector<Millis>* crashesOfPart = nullptr;
		Tally outcome;
		Millis now = 0;
		Millis fifthAt = 0;
		std::size_t badCrashes = 0;
		std::uint64_t serial = 0;
	};

	/// Share of sound requests that may be refused: half of what the deployments' rules allow.
	constexpr double kMaxRefusedShare = 0.25;

	/// Simulates a scenario with many seeds and checks both bounds in each.
	void checkScenario(const Scenario& _scenario)
	{
		constexpr std::uint64_t kSeeds = 60;
		for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
		{
			const Tally outcome = Fleet(_scenario, seed).run();
			cr_assert(outcome.late <= kMaxLateArrivals * _scenario.badParts, "seed %lu: %zu late, %zu crashes", seed, outcome.late, outcome.crashes);
			cr_assert(double(outcome.soundRefused) <= kMaxRefusedShare * double(outcome.soundSent), "seed %lu: %zu of %zu sound requests refused", seed, outcome.soundRefused, outcome.soundSent);
		}
	}
} // namespace

Test(crashfleet, a_bad_part_is_refused_and_others_are_served)
{
	checkScenario({});
}

Test(crashfleet, a_bad_part_is_refused_where_nothing_ran_before_the_crashes)
{
	Scenario scenario;
	scenario.badFrom = 0;
	checkScenario(scenario);
	scenario.firstParts = 1;
	checkScenario(scenario);
	scenario.soundFrom = 40'000;
	checkScenario(scenario);
	scenario.firstParts = 10;
	scenario.subjects = 10;
	checkScenario(scenario);
}

Test(crashfleet, several_bad_parts_are_refused_and_others_are_served)
{
	Scenario scenario;
	scenario.badParts = 3;
	checkScenario(scenario);
	scenario.badFrom = 0;
	scenario.firstParts = 1;
	checkScenario(scenario);
}

Test(crashfleet, upstreams_that_end_together_blame_nothing)
{
	Scenario scenario;
	scenario.badPerS = 0.0;
	scenario.powerFailureEach = 10'000;
	scenario.subjects = 200;
	checkScenario(scenario);
}

Test(crashfleet, frequent_bad_requests_are_refused_and_others_are_served)
{
	Scenario scenario;
	scenario.badPerS = 8.0;
	checkScenario(scenario);
	scenario.badFrom = 0;
	scenario.soundFrom = 30'000;
	checkScenario(scenario);
}

Test(crashfleet, bad_requests_that_wait_at_their_upstreams_are_refused)
{
	Scenario scenario;
	scenario.crashDelayMs = 3'000;
	for (const double perS : {0.5, 1.0, 2.0})
	{
		scenario.badPerS = perS;
		checkScenario(scenario);
	}
}
