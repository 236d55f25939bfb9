/// Bench of the size of a map switch: skew over time while topics change, by the number of copies per
/// rank and switch. A model without a group: a switch takes a fixed time plus the time of its copies.
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <numeric>
#include <utility>

#include "archdyke/map_policy.h"
#include "archdyke/map_window.h"
#include "archdyke/random.h"
#include "bench.h"

namespace archdyke::bench
{
	namespace
	{
		constexpr std::uint32_t kRanks = 24;
		constexpr double kCopyMs = 76.0;
		/// A switch with n copies per rank took 380 + 55 n ms in a group of 24 (450 ms with 1, 600 ms with 4).
		constexpr double kSwitchBaseMs = 380.0;
		constexpr double kSwitchMsPerCopy = 55.0;
		/// Delay until the counts show a new topic: the window that maps are planned from.
		constexpr double kDetectionDelayMs = 200.0;
		constexpr double kTickMs = 50.0;
		constexpr double kShiftIntervalMs = 3'500.0;
		constexpr double kWarmUpMs = 12'000.0;
		constexpr double kDurationMs = 60'000.0;
		/// Duration of a pass without skew, and the share of it that experts take.
		constexpr double kPassMs = 44.0;
		constexpr double kExpertShare = 0.85;
		constexpr Millis kGapObjectiveMs = 150;
		/// Skew above which passes exceed the objective with this batch, prompts included.
		constexpr double kExcessiveSkew = 1.0;

		enum class Demand
		{
			FourTopics, ///< A few recurring topics.
			NineTopics,
			NewTopics, ///< No topic recurs.
			Drift,     ///< Nine topics; each change takes 3 s.
			Count
		};

		std::string_view toString(Demand _demand)
		{
			constexpr std::array<std::string_view, std::size_t(Demand::Count)> kNames{"4 topics", "9 topics", "new topics", "drift"};
			return kNames[std::size_t(_demand)];
		}

		EngineModel model()
		{
			EngineModel result;
			result.sets = 16;
			result.experts = 96;
			result.places = 5;
			result.spare = 2;
			result.expertCopyMs = kCopyMs;
			return result;
		}

		/// Loads that follow a power law over a random order of the experts of each set, by the seed.
		ExpertLoad profileOf(const EngineModel& _model, std::uint64_t _seed)
		{
			constexpr double kSteepness = 0.92;
			Random random(_seed);
			ExpertLoad load;
			for (std::uint32_t set = 0; set < _model.sets; ++set)
			{
				std::vector<double> tokens(_model.experts);
				std::vector<std::uint32_t> order(_model.experts);
				std::iota(order.begin(), order.end(), 0);
				for (std::uint32_t position = 0; position < _model.experts; ++position)
				{
					std::swap(order[position], order[position + randomBelow(random, _model.experts - position)]);
					tokens[order[position]] = 1'000.0 / std::pow(double(position + 1), kSteepness);
				}
				load.push_back(std::move(tokens));
			}
			return load;
		}

		ExpertLoad blend(const ExpertLoad& _a, const ExpertLoad& _b, double _shareOfB)
		{
			ExpertLoad result = _a;
			for (std::size_t set = 0; set < _a.size(); ++set)
			{
				for (std::size_t expert = 0; expert < _a[set].size(); ++expert)
				{
					result[set][expert] += _shareOfB * (_b[set][expert] - _a[set][expert]);
				}
			}
			return result;
		}

		/// Expert load over time as topics change.
		class Topics
		{
		public:
			Topics(Demand _demand, const EngineModel& _model, std::uint64_t _seed)
			    : demand(_demand)
			    , model(_model)
			    , seed(_seed)
			    , random(_seed)
			    , common(profileOf(_model, _seed * 1'000))
			    , currentLoad(this->common)
			{
			}

			ExpertLoad at(double _ms)
			{
				if (this->nextChangeMs <= _ms)
				{
					this->previousLoad = std::move(this->currentLoad);
					this->currentLoad = blend(this->common, profileOf(this->model, this->nextTopic()), kTopicShare);
					this->changedAtMs = _ms;
					this->nextChangeMs = _ms + kShiftIntervalMs;
				}
				const double progress = Demand::Drift == this->demand ? std::min(1.0, (_ms - this->changedAtMs) / kDriftMs) : 1.0;
				return blend(this->previousLoad, this->currentLoad, progress);
			}

			double changedAtMs = 0.0;

		private:
			static constexpr double kTopicShare = 0.7;
			static constexpr double kDriftMs = 3'000.0;

			std::uint64_t nextTopic()
			{
				const std::uint64_t topics = Demand::FourTopics == this->demand ? 4 : 9;
				const std::uint64_t previous = this->topic;
				while (previous == this->topic)
				{
					this->topic = this->seed * 100 + (Demand::NewTopics == this->demand ? 1'000'000 + ++this->drawn : randomBelow(this->random, topics));
				}
				return this->topic;
			}

			Demand demand;
			EngineModel model;
			std::uint64_t seed;
			Random random;
			ExpertLoad common;
			ExpertLoad previousLoad;
			ExpertLoad currentLoad;
			std::uint64_t topic = 0;
			std::uint64_t drawn = 0;
			double nextChangeMs = 0.0;
		};

		struct Outcome
		{
			double meanSkew = 0.0;
			double excessiveShare = 0.0; ///< Share of the time with more than kExcessiveSkew.
			double switches = 0.0;
		};

		Outcome simulate(Demand _demand, std::uint32_t _copies, std::uint64_t _seed)
		{
			const EngineModel engine = model();
			Topics topics(_demand, engine, _seed);
			ExpertHosts hosts = roundRobinMap(engine.sets, engine.experts, kRanks);
			ExpertHosts next;
			double activeAtMs = 0.0;
			Outcome outcome;
			int samples = 0;
			for (double ms = 0.0; ms < kDurationMs; ms += kTickMs)
			{
				const ExpertLoad load = topics.at(ms);
				if (!next.empty() && activeAtMs <= ms)
				{
					hosts = std::exchange(next, {});
				}
				const double skew = skewOf(hosts, load, kRanks);
				if (kWarmUpMs <= ms)
				{
					samples += 1;
					outcome.meanSkew += skew;
					outcome.excessiveShare += kExcessiveSkew < skew ? 1.0 : 0.0;
				}
				if (!next.empty() || ms - topics.changedAtMs < kDetectionDelayMs)
				{
					continue;
				}
				const double passMs = kPassMs * (1.0 - kExpertShare + kExpertShare * (1.0 + skew));
				MapDecision decision = planMap(engine, kRanks, hosts, load, {passMs, kGapObjectiveMs}, {}, double(_copies) * kCopyMs);
				if (decision.worthwhile)
				{
					next = std::move(decision.hosts);
					activeAtMs = ms + kSwitchBaseMs + kSwitchMsPerCopy * double(_copies);
					outcome.switches += kWarmUpMs <= ms ? 1.0 : 0.0;
				}
			}
			outcome.meanSkew /= double(samples);
			outcome.excessiveShare /= double(samples);
			return outcome;
		}

		std::vector<std::string> row(Demand _demand, std::uint32_t _copies)
		{
			std::vector<double> skew;
			std::vector<double> excessiveShare;
			std::vector<double> switches;
			for (int seed = 1; seed <= kSeeds; ++seed)
			{
				const Outcome outcome = simulate(_demand, _copies, std::uint64_t(seed));
				skew.push_back(outcome.meanSkew);
				excessiveShare.push_back(outcome.excessiveShare);
				switches.push_back(outcome.switches);
			}
			return {fmt::format("{}, {} per rank", toString(_demand), _copies), formatSpread(spreadOf(skew), 2), formatSpread(spreadOf(excessiveShare), 2), formatSpread(spreadOf(switches), 0)};
		}
	} // namespace

	std::vector<Table> benchShifts()
	{
		Table table;
		table.title = "skew while topics change every 3.5 s, by copies per rank and switch; 24 ranks, 76 ms per copy, 48 s";
		table.columns = {"demand", "mean skew", "share of time over 1", "switches"};
		for (std::size_t demand = 0; demand < std::size_t(Demand::Count); ++demand)
		{
			for (const std::uint32_t copies : {1U, 2U, 3U, 4U, 6U})
			{
				table.rows.push_back(row(Demand(demand), copies));
			}
		}
		return {table};
	}
} // namespace archdyke::bench
