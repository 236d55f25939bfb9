/// Whether a map switch is worth its copies and its hold: replays demand shifts against the decision, including
/// the randomness of small samples.
#include <algorithm>
#include <numeric>

#include "switch_replay.h" // before Criterion, whose macros break headers of others

#include "check.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// @returns The results of replays with several seeds, summed.
	ReplayResult replay(ReplayConfig _config, bool _useEstimate)
	{
		ReplayResult sum;
		_config.useEstimate = _useEstimate;
		for (std::uint64_t seed = 1; seed <= 3; ++seed)
		{
			const ReplayResult one = ReplayedGroup(_config, seed).replay();
			sum.switches += one.switches;
			sum.streams += one.streams;
			sum.inTime += one.inTime;
			sum.finalSkew += one.finalSkew / 3.0;
			sum.secondHalfSwitches += one.secondHalfSwitches;
			sum.maxFollowMs = std::max(sum.maxFollowMs, one.maxFollowMs);
		}
		return sum;
	}

	std::string show(const ReplayResult& _result)
	{
		return std::to_string(_result.switches) + " switches, " + std::to_string(_result.secondHalfSwitches) + " in the second half, " + std::to_string(_result.share()) + " in time, skew at the end " + std::to_string(_result.finalSkew);
	}
} // namespace

/// Topics that change twice a second end before a map for them is in force, and each hold of 45 ms makes the
/// running streams late. By skew alone there are about 140 switches in 120 s, and a sixth of the streams is in
/// time.
Test(switchworth, short_lived_topics_are_not_followed)
{
	ReplayConfig config;
	config.shiftEveryMs = 500.0;
	config.firstShiftMs = 3'000.0;
	const ReplayResult before = replay(config, false);
	const ReplayResult now = replay(config, true);
	cr_assert(before.share() < 0.5, "%s", show(before).c_str());
	cr_assert(now.switches <= 12 && now.share() > 0.85, "%s", show(now).c_str());
}

/// Topics of one to ten seconds, on groups with some and with little free capacity.
Test(switchworth, topics_of_some_seconds_keep_more_streams_in_time_with_fewer_switches)
{
	for (const double basePassMs : {32.0, 40.0})
	{
		for (const double everyMs : {1'000.0, 2'000.0, 4'000.0, 10'000.0})
		{
			ReplayConfig config;
			config.shiftEveryMs = everyMs;
			config.firstShiftMs = 3'000.0;
			config.basePassMs = basePassMs;
			const ReplayResult before = replay(config, false);
			const ReplayResult now = replay(config, true);
			cr_assert(now.share() > before.share() && now.switches < before.switches, "every %.0f ms, passes %.0f ms: %s before, %s", everyMs, basePassMs, show(before).c_str(), show(now).c_str());
		}
	}
}

Test(switchworth, a_lasting_shift_is_followed)
{
	ReplayConfig config;
	config.shiftEveryMs = 1e9;
	config.firstShiftMs = 12'000.0;
	const ReplayResult now = replay(config, true);
	cr_assert(0.0 < now.maxFollowMs && now.maxFollowMs < 3'500.0, "%f", now.maxFollowMs);
	cr_assert(now.finalSkew < 0.7 && now.share() > 0.85, "%s", show(now).c_str());
}

/// With one choice per stream, pass and set, a skew of 0.6 is random: no map removes it.
Test(switchworth, random_skew_is_not_followed)
{
	ReplayConfig config;
	config.choicesPerSet = 1;
	const ReplayResult before = replay(config, false);
	const ReplayResult now = replay(config, true);
	cr_assert(before.secondHalfSwitches >= 5, "%s", show(before).c_str());
	cr_assert(5 * now.secondHalfSwitches <= before.secondHalfSwitches && now.share() > before.share() - 0.01, "%s before, %s", show(before).c_str(), show(now).c_str());
}

namespace
{
	/// @returns A load in which one expert of each set receives a third as many choices as all others together.
	ExpertLoad oneHot(std::uint32_t _expert)
	{
		const EngineModel model = engine();
		ExpertLoad load(model.sets, std::vector<double>(model.experts, 1.0));
		for (std::uint32_t set = 0; set < model.sets; ++set)
		{
			load[set][(_expert + 5 * set) % model.experts] = double(model.experts) / 3.0;
		}
		return load;
	}

	SwitchEstimate worthAt(double _passMs, double _stoodMs)
	{
		MapDecision plan;
		plan.skewBefore = 0.6;
		plan.skewAfter = 0.2;
		return estimateSwitch(engine(), {{_passMs, kGapMs}, 10.0, 0.0, false}, plan, 81.0, {}, {_stoodMs, 300.0});
	}

	SwitchChoice choose(const ExpertLoad& _load, const GroupLoad& _group, SavingStats& _record, Millis _now = 0)
	{
		const ExpertHosts dealt = roundRobinMap(engine().sets, engine().experts, kRanks);
		return chooseSwitch(engine(), kRanks, dealt, _load, _group, {}, {}, _record, _now);
	}
} // namespace

Test(switchworth, a_pass_within_the_gap_saves_nothing_by_being_shorter)
{
	const SwitchEstimate idle = worthAt(40.0, 20.0);
	cr_assert(idle.savedMs < 1.0 && idle.costMs < 1.0 && idle.lateStreamProbability < 0.01, "%f %f %f", idle.savedMs, idle.costMs, idle.lateStreamProbability);
	const SwitchEstimate tight = worthAt(110.0, 20.0);
	cr_assert(tight.savedMs > 300.0 && tight.savedMs > tight.costMs, "%f %f", tight.savedMs, tight.costMs);
}

Test(switchworth, a_hold_past_the_gap_makes_all_running_streams_late)
{
	const SwitchEstimate brief = worthAt(85.0, 5.0);
	const SwitchEstimate lengthy = worthAt(85.0, 100.0);
	cr_assert(lengthy.costMs > brief.costMs + 500.0 && lengthy.costMs > lengthy.savedMs, "%f %f", brief.costMs, lengthy.costMs);
	cr_assert(brief.lateStreamProbability < 0.1 && lengthy.lateStreamProbability > 0.95);
}

/// Passes are far longer than the gap, and one switch isn't enough to bring them below it.
Test(switchworth, a_map_that_takes_several_switches_is_begun)
{
	SavingStats record;
	const SwitchChoice choice = choose(oneHot(3), {{400.0, kGapMs}, 10.0, 0.0, false}, record);
	cr_assert(SwitchRejection::None == choice.doubt, "%s", std::string(toString(choice.doubt)).c_str());
}

Test(switchworth, without_a_longest_pause_skew_alone_decides)
{
	SavingStats record;
	cr_assert(SwitchRejection::None == choose(oneHot(3), {{80.0, 0}, 10.0, 0.0, false}, record).doubt);
	cr_assert(SwitchRejection::LittleSkew == choose(ExpertLoad(engine().sets, std::vector<double>(engine().experts, 1.0)), {{80.0, 0}, 10.0, 0.0, false}, record).doubt);
}

/// Slots may fill up during a switch, so a switch that makes hardly any stream late isn't delayed.
Test(switchworth, a_harmless_switch_is_made_before_it_is_needed)
{
	SavingStats record;
	const SwitchChoice choice = choose(oneHot(3), {{50.0, kGapMs}, 10.0, 0.0, false}, record);
	cr_assert(choice.worth.savedMs < 1.0 && choice.worth.lateStreamProbability < 0.02, "%f %f", choice.worth.savedMs, choice.worth.lateStreamProbability);
	cr_assert(SwitchRejection::None == choice.doubt);
}

/// The chosen map is complete, whether the large or the small switch is chosen.
Test(switchworth, a_chosen_map_hosts_every_expert)
{
	EngineModel model = engine();
	model.sets = 16;
	const ExpertHosts dealt = roundRobinMap(model.sets, model.experts, kRanks);
	bool large = false;
	bool small = false;
	for (std::uint64_t topic = 1; topic <= 4; ++topic)
	{
		for (const double passMs : {90.0, 115.0, 400.0})
		{
			ExpertLoad load;
			for (std::uint32_t set = 0; set < model.sets; ++set)
			{
				std::vector<double> tokens = cumulativeShares(model.experts, 100 * topic + set);
				std::adjacent_difference(tokens.begin(), tokens.end(), tokens.begin());
				load.push_back(std::move(tokens));
			}
			SavingStats record;
			const SwitchChoice choice = chooseSwitch(model, kRanks, dealt, load, {{passMs, kGapMs}, 10.0, 0.0, false}, {}, {}, record, 0);
			large = large || choice.plan.copies > 72;
			small = small || choice.plan.copies <= 72;
			cr_assert(choice.plan.hosts.size() == model.sets, "topic %d, passes of %.0f ms", int(topic), passMs);
			cr_assert(countStaged(dealt, choice.plan.hosts) == choice.plan.copies);
			cr_assert(std::all_of(choice.plan.hosts.begin(), choice.plan.hosts.end(), [](const auto& _set) {
				return std::none_of(_set.begin(), _set.end(), [](const auto& _ranks) {
					return _ranks.empty();
				});
			}));
		}
	}
	cr_assert(large && small, "one of the sizes was never chosen");
}

/// A long stall while the store was slow must not prevent all later switches.
Test(switchworth, a_long_hold_is_forgotten)
{
	SwitchDurationStats switches;
	const SwitchDurations guess = expectedDurations(engine(), switches, 0);
	recordSwitch(engine(), switches, {3'000.0, 3'300.0}, 1'000);
	cr_assert(expectedDurations(engine(), switches, 1'000).stoodMs > 500.0);
	cr_assert(expectedDurations(engine(), switches, 21'000).stoodMs < guess.stoodMs + 60.0);
}

Test(switchworth, the_kept_share_of_plans_is_learned)
{
	const GroupLoad group{{100.0, kGapMs}, 10.0, 0.0, false};
	SavingStats lasting;
	SavingStats passing;
	for (Millis now = 0; now < 20'000; now += 100)
	{
		choose(oneHot(3), group, lasting, now);
		choose(oneHot(std::uint32_t(now / 200 * 7)), group, passing, now);
	}
	const SavingForecast kept = forecastSaving(lasting, 2'000.0, 400.0);
	const SavingForecast gone = forecastSaving(passing, 2'000.0, 400.0);
	cr_assert(kept.keptShare > 0.95 && kept.lastsMs > 7'000.0, "%f %f", kept.keptShare, kept.lastsMs);
	cr_assert(gone.keptShare < 0.2, "%f", gone.keptShare);
}

Test(switchworth, a_group_with_a_draining_rank_gains_for_a_short_time)
{
	MapDecision plan;
	plan.skewBefore = 0.6;
	plan.skewAfter = 0.2;
	const SwitchDurations times{20.0, 300.0};
	const SwitchEstimate staying = estimateSwitch(engine(), {{110.0, kGapMs}, 10.0, 0.0, false}, plan, 81.0, {}, times);
	const SwitchEstimate leaving = estimateSwitch(engine(), {{110.0, kGapMs}, 10.0, 0.0, true}, plan, 81.0, {}, times);
	cr_assert(leaving.expectedMs < staying.expectedMs && leaving.savedMs < staying.savedMs);
}

Test(switchworth, a_plan_of_a_larger_group_is_not_compared_with_the_counts_of_a_smaller_one)
{
	const EngineModel model = engine();
	SavingStats record;
	MapDecision plan;
	plan.hosts = roundRobinMap(model.sets, model.experts, kRanks);
	plan.skewBefore = 1.0;
	trackPlan(record, plan.hosts, plan, 0);
	evaluateTrackedPlans(record, ExpertLoad(model.sets, std::vector<double>(model.experts, 1.0)), kRanks / 2, {}, 500);
	evaluateTrackedPlans(record, ExpertLoad(model.sets, std::vector<double>(model.experts / 2, 1.0)), kRanks, {}, 1'000);
	const double compared = std::accumulate(record.planned.begin(), record.planned.end(), 0.0);
	cr_assert(0.0 == compared);
}

Test(switchworth, with_fast_copies_skew_alone_decides)
{
	const ExpertHosts dealt = roundRobinMap(engine().sets, engine().experts, kRanks);
	const auto choiceAt = [&](double _copyMs) {
		EngineModel model = engine();
		model.expertCopyMs = _copyMs;
		SavingStats record;
		return chooseSwitch(model, kRanks, dealt, oneHot(3), {{100.0, kGapMs}, 10.0, 0.0, false}, {}, {}, record, 1'000);
	};
	const SwitchChoice fast = choiceAt(double(kGapMs) / 10.0);
	cr_assert(SwitchRejection::None == fast.doubt && SwitchEstimate() == fast.worth, "no estimate was made");
	cr_assert(SwitchEstimate() != choiceAt(double(kGapMs) / 5.0).worth);
}
