/// Bench of how large a switch of maps should be: skew over time while other topics come up, by the
/// copies that a rank makes in a switch. Apart from any group: a switch takes the time of its copies
/// and a part of its own.
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
		/// A switch of n copies a rank took 380 + 55 n ms in a group of 24 (450 ms with 1, 600 with 4).
		constexpr double kSwitchMs = 380.0;
		constexpr double kSwitchMsPerCopy = 55.0;
		/// Until counts of a new topic are there, ms: the window that maps are planned from.
		constexpr double kNoticedMs = 200.0;
		constexpr double kTickMs = 50.0;
		constexpr double kShiftEveryMs = 3'500.0;
		constexpr double kWarmMs = 12'000.0;
		constexpr double kLengthMs = 60'000.0;
		/// A pass without skew, ms, and the share of it that experts take.
		constexpr double kPassMs = 44.0;
		constexpr double kExpertShare = 0.85;
		constexpr Millis kGapObjectiveMs = 150;
		/// Skew from which on passes take longer than the objective with this batch, prompts included.
		constexpr double kTooMuch = 1.0;

		enum class Demand
		{
			FourTopics, ///< A few topics that return.
			NineTopics,
			NewTopics, ///< No topic returns.
			Drift,     ///< Nine topics, each coming up over 3 s.
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

		/// Shares that fall with an expert's place in an order that the seed draws, for each set.
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
				for (std::uint32_t place = 0; place < _model.experts; ++place)
				{
					std::swap(order[place], order[place + randomBelow(random, _model.experts - place)]);
					tokens[order[place]] = 1'000.0 / std::pow(double(place + 1), kSteepness);
				}
				load.push_back(std::move(tokens));
			}
			return load;
		}

		ExpertLoad mixed(const ExpertLoad& _a, const ExpertLoad& _b, double _shareOfB)
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

		/// The topics of one sequence, as they come up.
		class Topics
		{
		public:
			Topics(Demand _demand, const EngineModel& _model, std::uint64_t _seed)
			    : demand(_demand)
			    , model(_model)
			    , seed(_seed)
			    , random(_seed)
			    , common(profileOf(_model, _seed * 1'000))
			    , now(this->common)
			{
			}

			ExpertLoad at(double _ms)
			{
				if (this->nextMs <= _ms)
				{
					this->before = std::move(this->now);
					this->now = mixed(this->common, profileOf(this->model, this->draw()), kTopicShare);
					this->sinceMs = _ms;
					this->nextMs = _ms + kShiftEveryMs;
				}
				const double risen = Demand::Drift == this->demand ? std::min(1.0, (_ms - this->sinceMs) / kDriftMs) : 1.0;
				return mixed(this->before, this->now, risen);
			}

			double sinceMs = 0.0;

		private:
			static constexpr double kTopicShare = 0.7;
			static constexpr double kDriftMs = 3'000.0;

			std::uint64_t draw()
			{
				const std::uint64_t topics = Demand::FourTopics == this->demand ? 4 : 9;
				const std::uint64_t last = this->topic;
				while (last == this->topic)
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
			ExpertLoad before;
			ExpertLoad now;
			std::uint64_t topic = 0;
			std::uint64_t drawn = 0;
			double nextMs = 0.0;
		};

		struct Outcome
		{
			double meanSkew = 0.0;
			double tooMuch = 0.0; ///< Share of the time.
			double switches = 0.0;
		};

		Outcome play(Demand _demand, std::uint32_t _copies, std::uint64_t _seed)
		{
			const EngineModel engine = model();
			Topics topics(_demand, engine, _seed);
			ExpertHosts hosts = roundRobinMap(engine.sets, engine.experts, kRanks);
			ExpertHosts next;
			double inForceAt = 0.0;
			Outcome outcome;
			int looks = 0;
			for (double ms = 0.0; ms < kLengthMs; ms += kTickMs)
			{
				const ExpertLoad load = topics.at(ms);
				if (!next.empty() && inForceAt <= ms)
				{
					hosts = std::exchange(next, {});
				}
				const double skew = skewOf(hosts, load, kRanks);
				if (kWarmMs <= ms)
				{
					looks += 1;
					outcome.meanSkew += skew;
					outcome.tooMuch += kTooMuch < skew ? 1.0 : 0.0;
				}
				if (!next.empty() || ms - topics.sinceMs < kNoticedMs)
				{
					continue;
				}
				const double passMs = kPassMs * (1.0 - kExpertShare + kExpertShare * (1.0 + skew));
				MapDecision decision = planMap(engine, kRanks, hosts, load, {passMs, kGapObjectiveMs}, {}, double(_copies) * kCopyMs);
				if (decision.worthwhile)
				{
					next = std::move(decision.hosts);
					inForceAt = ms + kSwitchMs + kSwitchMsPerCopy * double(_copies);
					outcome.switches += kWarmMs <= ms ? 1.0 : 0.0;
				}
			}
			outcome.meanSkew /= double(looks);
			outcome.tooMuch /= double(looks);
			return outcome;
		}

		std::vector<std::string> row(Demand _demand, std::uint32_t _copies)
		{
			std::vector<double> skew;
			std::vector<double> tooMuch;
			std::vector<double> switches;
			for (int seed = 1; seed <= kSeeds; ++seed)
			{
				const Outcome outcome = play(_demand, _copies, std::uint64_t(seed));
				skew.push_back(outcome.meanSkew);
				tooMuch.push_back(outcome.tooMuch);
				switches.push_back(outcome.switches);
			}
			return {fmt::format("{}, {} a rank", toString(_demand), _copies), show(spreadOf(skew), 2), show(spreadOf(tooMuch), 2), show(spreadOf(switches), 0)};
		}
	} // namespace

	std::vector<Table> benchShifts()
	{
		Table table;
		table.title = "skew while other topics come up every 3.5 s, by copies of a switch; 24 ranks, 76 ms a copy, 48 s";
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
