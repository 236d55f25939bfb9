/// Replays one group pass by pass against the switch decision; its streams choose experts by topics that change.
#pragma once

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <vector>

#include "archdyke/map_window.h"
#include "archdyke/random.h"
#include "archdyke/switch_worth.h"

namespace archdyke::tests
{
	constexpr std::uint32_t kRanks = 24;
	constexpr Millis kGapMs = 120;

	inline EngineModel engine()
	{
		EngineModel model;
		model.slots = 10;
		model.stepMs = 5.85;
		model.perSequenceMs = 0.43;
		model.prefillTokensPerMs = 61.0;
		model.stride = 6;
		model.sets = 4;
		model.experts = 96;
		model.places = 5;
		model.spare = 2;
		model.expertShare = 0.85;
		model.expertCopyMs = 27.0;
		model.usualPromptTokens = 800;
		model.usualAnswerTokens = 138;
		return model;
	}

	/// @returns Cumulative shares for sampling; an expert's share decreases with its position in a random order.
	inline std::vector<double> cumulativeShares(std::uint32_t _experts, std::uint64_t _seed)
	{
		constexpr double kSteepness = 0.92;
		Random random(_seed);
		std::vector<double> shares(_experts);
		std::vector<std::uint32_t> order(_experts);
		std::iota(order.begin(), order.end(), 0);
		for (std::uint32_t place = 0; place < _experts; ++place)
		{
			std::swap(order[place], order[place + randomBelow(random, _experts - place)]);
			shares[order[place]] = 1.0 / std::pow(double(place + 1), kSteepness);
		}
		std::partial_sum(shares.begin(), shares.end(), shares.begin());
		return shares;
	}

	/// Parameters of a replay.
	struct ReplayConfig
	{
		double shiftEveryMs = 0.0; ///< Interval between topic changes; 0: no change.
		double firstShiftMs = 0.0;
		double lengthMs = 40'000.0;
		double basePassMs = 32.0; ///< Duration of a pass without skew and prompts.
		double holdMs = 45.0;     ///< Stall of the group in a switch.
		int choicesPerSet = 6;    ///< Choices per stream, pass and set; fewer choices make skew more random.
		bool useEstimate = true;  ///< Decide by chooseSwitch, else by planMap alone.
	};

	struct ReplayResult
	{
		int switches = 0;
		int streams = 0;
		int inTime = 0;
		double finalSkew = 0.0;     ///< Mean over the last 2 s.
		int secondHalfSwitches = 0; ///< In the second half.
		double maxFollowMs = 0.0;   ///< From the first shift until a switch planned after it is in force; maximum over the replays.

		double share() const
		{
			return double(this->inTime) / double(std::max(1, this->streams));
		}
	};

	/// Simulates one group pass by pass. Each stream chooses experts of its topic until it ends.
	class ReplayedGroup
	{
	public:
		ReplayedGroup(const ReplayConfig& _config, std::uint64_t _seed)
		    : config(_config)
		    , random(_seed)
		    , hosts(roundRobinMap(this->model.sets, this->model.experts, kRanks))
		    , streams(std::size_t(kRanks) * this->model.slots)
		    , nextShiftMs(0.0 < _config.shiftEveryMs ? _config.firstShiftMs : 1e12)
		{
			for (Stream& stream : this->streams)
			{
				stream.left = 1 + int(randomBelow(this->random, kPasses));
			}
		}

		ReplayResult replay()
		{
			int samples = 0;
			while (this->nowMs < this->config.lengthMs)
			{
				const ExpertLoad load = this->pass();
				if (this->nowMs > this->config.lengthMs - 2'000.0)
				{
					samples += 1;
					this->result.finalSkew += skewOf(this->hosts, load, kRanks);
				}
				if (this->next.empty())
				{
					this->decide();
				}
			}
			this->result.finalSkew /= double(std::max(1, samples));
			return this->result;
		}

	private:
		static constexpr int kPasses = 23;
		static constexpr double kPromptMs = 13.0; ///< Time to read one prompt; all ranks wait for the rank with the most prompts.
		static constexpr double kTopicShare = 0.6;

		struct Stream
		{
			bool topical = false;
			std::uint64_t topic = 0;
			int left = 0;
			bool late = false;
		};

		double uniform()
		{
			return double(randomBelow(this->random, 1'000'000)) / 1e6;
		}

		const std::vector<double>& sharesOf(std::uint64_t _topic, std::uint32_t _set)
		{
			const std::size_t index = std::size_t(_topic) * this->model.sets + _set;
			while (this->profiles.size() <= index)
			{
				this->profiles.push_back(cumulativeShares(this->model.experts, 7 + this->profiles.size()));
			}
			return this->profiles[index];
		}

		ExpertLoad drawChoices()
		{
			ExpertLoad load(this->model.sets, std::vector<double>(this->model.experts, 0.0));
			for (const Stream& stream : this->streams)
			{
				for (std::uint32_t set = 0; set < this->model.sets; ++set)
				{
					const std::vector<double>& shares = this->sharesOf(stream.topic, set);
					for (int pick = 0; pick < this->config.choicesPerSet; ++pick)
					{
						const auto found = std::lower_bound(shares.begin(), shares.end(), this->uniform() * shares.back());
						load[set][std::size_t(found - shares.begin())] += 1.0;
					}
				}
			}
			return load;
		}

		/// Simulates one pass.
		/// @returns The choices of the streams in the pass.
		ExpertLoad pass()
		{
			if (this->nextShiftMs <= this->nowMs)
			{
				this->topic += 1;
				this->nextShiftMs += this->config.shiftEveryMs;
			}
			const ExpertLoad load = this->drawChoices();
			const double share = this->model.expertShare;
			double passMs = this->config.basePassMs * (1.0 + share * skewOf(this->hosts, load, kRanks));
			passMs += kPromptMs * double(*std::max_element(this->startedStreams.begin(), this->startedStreams.end()));
			const double fromMs = this->nowMs;
			passMs *= fromMs < this->copiedAtMs ? 1.15 : 1.0;
			const bool atBoundary = !this->next.empty() && this->inForceAtMs <= fromMs;
			double heldMs = 0.0;
			if (atBoundary)
			{
				heldMs = this->config.holdMs;
				this->hosts = std::move(this->next);
				this->next.clear();
				this->result.switches += 1;
				const bool follows = 0.0 == this->result.maxFollowMs && this->config.firstShiftMs <= this->plannedAtMs;
				this->result.maxFollowMs = follows ? fromMs - this->config.firstShiftMs : this->result.maxFollowMs;
				this->result.secondHalfSwitches += fromMs > this->config.lengthMs / 2.0 ? 1 : 0;
				recordSwitch(this->model, this->switches, {heldMs, fromMs + heldMs - this->plannedAtMs - this->copyMs}, Millis(this->nowMs));
				this->passes.clear();
			}
			this->nowMs += passMs + heldMs;
			this->passes.push_back(passMs);
			this->endPass(passMs + heldMs);
			std::vector<std::uint32_t> choices;
			for (const std::vector<double>& set : load)
			{
				choices.insert(choices.end(), set.begin(), set.end());
			}
			addChoiceSample(this->window, {Millis(fromMs), Millis(this->nowMs), 1, std::move(choices)}, kCountWindowMs);
			return load;
		}

		void endPass(double _pauseMs)
		{
			std::fill(this->startedStreams.begin(), this->startedStreams.end(), 0);
			for (std::size_t index = 0; index < this->streams.size(); ++index)
			{
				Stream& stream = this->streams[index];
				stream.late = stream.late || _pauseMs > double(kGapMs);
				stream.left -= 1;
				if (0 < stream.left)
				{
					continue;
				}
				this->result.streams += 1;
				this->result.inTime += stream.late ? 0 : 1;
				const bool topical = this->uniform() < kTopicShare;
				stream = {topical, topical ? this->topic : 0, kPasses / 2 + int(randomBelow(this->random, kPasses)), false};
				this->startedStreams[index / this->model.slots] += 1;
			}
		}

		void decide()
		{
			const std::optional<ExpertLoad> load = loadOf(this->window, this->model.experts, kCountWindowMs);
			if (!load || this->passes.size() < 3)
			{
				return;
			}
			const std::size_t meanCount = std::min<std::size_t>(5, this->passes.size());
			const double passMs = std::accumulate(this->passes.end() - std::ptrdiff_t(meanCount), this->passes.end(), 0.0) / double(meanCount);
			const PassTiming passes{passMs, kGapMs};
			MapDecision plan;
			if (this->config.useEstimate)
			{
				SwitchChoice choice = chooseSwitch(this->model, kRanks, this->hosts, *load, {passes, double(this->model.slots), 0.0, false}, {}, this->switches, this->savings, Millis(this->nowMs));
				plan = std::move(choice.plan);
				plan.worthwhile = SwitchRejection::None == choice.doubt;
			}
			else
			{
				plan = planMap(this->model, kRanks, this->hosts, *load, passes);
			}
			if (plan.worthwhile)
			{
				this->begin(plan);
			}
		}

		void begin(const MapDecision& _plan)
		{
			this->copyMs = std::min(kCopyBudgetMs, this->model.expertCopyMs * std::ceil(2.0 * double(_plan.copies) / double(kRanks)));
			this->plannedAtMs = this->nowMs;
			this->copiedAtMs = this->nowMs + this->copyMs;
			this->inForceAtMs = this->copiedAtMs + 4.0 * this->config.basePassMs;
			this->next = _plan.hosts;
		}

		EngineModel model = engine();
		ReplayConfig config;
		Random random;
		ExpertHosts hosts;
		ExpertHosts next; ///< Map of the open switch; empty: none.
		std::vector<Stream> streams;
		std::vector<std::vector<double>> profiles;
		std::uint64_t topic = 0;
		double nextShiftMs;
		double nowMs = 0.0;
		double copyMs = 0.0;
		double plannedAtMs = 0.0;
		double copiedAtMs = 0.0;
		double inForceAtMs = 0.0;
		std::vector<int> startedStreams = std::vector<int>(kRanks, 0); ///< Streams that began in the pass, by rank.
		std::vector<double> passes;                                    ///< Since the last switch, ms.
		ChoiceWindow window;
		SwitchDurationStats switches;
		SavingStats savings;
		ReplayResult result;
	};
} // namespace archdyke::tests
