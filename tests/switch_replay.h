/// One group whose streams ask for experts of topics that change, pass by pass, against the decision.
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

	/// Shares that fall with an expert's place in an order that the topic draws, added up for drawing.
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

	/// How one load is replayed.
	struct Script
	{
		double shiftEveryMs = 0.0; ///< Another topic comes up; 0: never.
		double firstShiftMs = 0.0;
		double lengthMs = 40'000.0;
		double evenPassMs = 32.0; ///< A pass without skew and prompts.
		double holdMs = 45.0;     ///< A group stands so long in a switch.
		int picks = 6;            ///< Choices of a stream in a pass and set; the fewer, the more chance.
		bool weighed = true;      ///< By chooseSwitch, else by decideMap alone.
	};

	struct Played
	{
		int switches = 0;
		int streams = 0;
		int inTime = 0;
		double lastSkew = 0.0;         ///< Mean of the last 2 s.
		int lastSwitches = 0;          ///< In the second half.
		double latestFollowedMs = 0.0; ///< From the first shift until a switch after it is in force; the longest of the plays.

		double share() const
		{
			return double(this->inTime) / double(std::max(1, this->streams));
		}
	};

	/// One group, pass by pass: streams that each ask for experts of their topic until they end.
	class Group
	{
	public:
		Group(const Script& _script, std::uint64_t _seed)
		    : script(_script)
		    , random(_seed)
		    , hosts(dealtInTurn(this->model.sets, this->model.experts, kRanks))
		    , streams(std::size_t(kRanks) * this->model.slots)
		    , nextShiftMs(0.0 < _script.shiftEveryMs ? _script.firstShiftMs : 1e12)
		{
			for (Stream& stream : this->streams)
			{
				stream.left = 1 + int(randomBelow(this->random, kPasses));
			}
		}

		Played play()
		{
			int looks = 0;
			while (this->nowMs < this->script.lengthMs)
			{
				const ExpertLoad load = this->pass();
				if (this->nowMs > this->script.lengthMs - 2'000.0)
				{
					looks += 1;
					this->played.lastSkew += skewOf(this->hosts, load, kRanks);
				}
				if (this->next.empty())
				{
					this->decide();
				}
			}
			this->played.lastSkew /= double(std::max(1, looks));
			return this->played;
		}

	private:
		static constexpr int kPasses = 23;
		static constexpr double kPromptMs = 13.0; ///< To read one; the rank with most of them is waited for.
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
					for (int pick = 0; pick < this->script.picks; ++pick)
					{
						const auto found = std::lower_bound(shares.begin(), shares.end(), this->uniform() * shares.back());
						load[set][std::size_t(found - shares.begin())] += 1.0;
					}
				}
			}
			return load;
		}

		/// @returns What the streams chose in it.
		ExpertLoad pass()
		{
			if (this->nextShiftMs <= this->nowMs)
			{
				this->topic += 1;
				this->nextShiftMs += this->script.shiftEveryMs;
			}
			const ExpertLoad load = this->drawChoices();
			const double share = this->model.expertShare;
			double passMs = this->script.evenPassMs * (1.0 + share * skewOf(this->hosts, load, kRanks));
			passMs += kPromptMs * double(*std::max_element(this->begun.begin(), this->begun.end()));
			const double fromMs = this->nowMs;
			passMs *= fromMs < this->copiedAtMs ? 1.15 : 1.0;
			const bool atBoundary = !this->next.empty() && this->inForceAtMs <= fromMs;
			double heldMs = 0.0;
			if (atBoundary)
			{
				heldMs = this->script.holdMs;
				this->hosts = std::move(this->next);
				this->next.clear();
				this->played.switches += 1;
				const bool follows = 0.0 == this->played.latestFollowedMs && this->script.firstShiftMs <= this->plannedAtMs;
				this->played.latestFollowedMs = follows ? fromMs - this->script.firstShiftMs : this->played.latestFollowedMs;
				this->played.lastSwitches += fromMs > this->script.lengthMs / 2.0 ? 1 : 0;
				noteSwitch(this->model, this->switches, {heldMs, fromMs + heldMs - this->plannedAtMs - this->copyMs}, Millis(this->nowMs));
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
			addPiece(this->window, {Millis(fromMs), Millis(this->nowMs), 1, std::move(choices)}, kCountWindowMs);
			return load;
		}

		void endPass(double _pauseMs)
		{
			std::fill(this->begun.begin(), this->begun.end(), 0);
			for (std::size_t index = 0; index < this->streams.size(); ++index)
			{
				Stream& stream = this->streams[index];
				stream.late = stream.late || _pauseMs > double(kGapMs);
				stream.left -= 1;
				if (0 < stream.left)
				{
					continue;
				}
				this->played.streams += 1;
				this->played.inTime += stream.late ? 0 : 1;
				const bool topical = this->uniform() < kTopicShare;
				stream = {topical, topical ? this->topic : 0, kPasses / 2 + int(randomBelow(this->random, kPasses)), false};
				this->begun[index / this->model.slots] += 1;
			}
		}

		void decide()
		{
			const std::optional<ExpertLoad> load = loadOf(this->window, this->model.experts, kCountWindowMs);
			if (!load || this->passes.size() < 3)
			{
				return;
			}
			const std::size_t some = std::min<std::size_t>(5, this->passes.size());
			const double passMs = std::accumulate(this->passes.end() - std::ptrdiff_t(some), this->passes.end(), 0.0) / double(some);
			const PassPressure passes{passMs, kGapMs};
			MapDecision plan;
			if (this->script.weighed)
			{
				SwitchChoice choice = chooseSwitch(this->model, kRanks, this->hosts, *load, {passes, double(this->model.slots), 0.0, false}, {}, this->switches, this->savings, Millis(this->nowMs));
				plan = std::move(choice.plan);
				plan.worthwhile = SwitchDoubt::None == choice.doubt;
			}
			else
			{
				plan = decideMap(this->model, kRanks, this->hosts, *load, passes);
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
			this->inForceAtMs = this->copiedAtMs + 4.0 * this->script.evenPassMs;
			this->next = _plan.hosts;
		}

		EngineModel model = engine();
		Script script;
		Random random;
		ExpertHosts hosts;
		ExpertHosts next; ///< Of the open switch; empty: none.
		std::vector<Stream> streams;
		std::vector<std::vector<double>> profiles;
		std::uint64_t topic = 0;
		double nextShiftMs;
		double nowMs = 0.0;
		double copyMs = 0.0;
		double plannedAtMs = 0.0;
		double copiedAtMs = 0.0;
		double inForceAtMs = 0.0;
		std::vector<int> begun = std::vector<int>(kRanks, 0); ///< Streams, by rank, in the pass.
		std::vector<double> passes;                           ///< Since the last switch, ms.
		ChoiceWindow window;
		SwitchRecord switches;
		SavingRecord savings;
		Played played;
	};
} // namespace archdyke::tests
