/// Map planning: windows of choices, limits on copies, tolerated skew by pass duration.
#include <cmath>
#include <numeric>

#include "archdyke/map_policy.h"
#include "archdyke/map_window.h"
#include "archdyke/random.h"
#include "check.h"

using namespace archdyke;
using archdyke::tests::checkProperty;

namespace
{
	constexpr std::uint32_t kRanks = 12;
	constexpr std::uint32_t kExperts = 72;

	EngineModel engine()
	{
		EngineModel model;
		model.sets = 4;
		model.experts = kExperts;
		model.places = 8;
		model.spare = 3;
		model.expertCopyMs = 98.0;
		return model;
	}

	/// Passes as long as the objective allows, so that the tolerated skew is at its minimum.
	const PassTiming kFullPressure{120.0, 120};

	/// @returns A load in which one expert of each set receives a quarter of the choices.
	ExpertLoad oneHot(std::uint32_t _expert)
	{
		ExpertLoad load(4, std::vector<double>(kExperts, 1.0));
		for (std::uint32_t set = 0; set < 4; ++set)
		{
			load[set][(_expert + 5 * set) % kExperts] = double(kExperts) / 3.0;
		}
		return load;
	}

	std::uint32_t arrivalsOf(const ExpertHosts& _from, const ExpertHosts& _to, std::uint32_t _rank, std::uint32_t _set)
	{
		std::uint32_t arrivals = 0;
		for (std::uint32_t expert = 0; expert < kExperts; ++expert)
		{
			const auto hosts = [&](const ExpertHosts& _hosts) {
				const std::vector<std::uint32_t>& ranks = _hosts[_set][expert];
				return ranks.end() != std::find(ranks.begin(), ranks.end(), _rank);
			};
			arrivals += hosts(_to) && !hosts(_from) ? 1 : 0;
		}
		return arrivals;
	}

	/// Checks that a switch respects the copy budget and the places of each rank, and leaves every expert a host.
	void checkLimits(const ExpertHosts& _from, const ExpertHosts& _to)
	{
		for (std::uint32_t rank = 0; rank < kRanks; ++rank)
		{
			std::uint32_t arrivals = 0;
			for (std::uint32_t set = 0; set < 4; ++set)
			{
				const std::uint32_t setArrivals = arrivalsOf(_from, _to, rank, set);
				RC_ASSERT(setArrivals <= 3U);
				arrivals += setArrivals;
			}
			RC_ASSERT(double(arrivals) * engine().expertCopyMs <= kCopyBudgetMs);
		}
		for (const auto& set : expertsByRank(_to, kRanks))
		{
			for (const auto& experts : set)
			{
				RC_ASSERT(experts.size() <= 8U);
			}
		}
		for (const auto& set : _to)
		{
			for (const auto& ranks : set)
			{
				RC_ASSERT(!ranks.empty());
			}
		}
	}
} // namespace

Test(mappolicy, a_window_holds_the_last_choices_of_one_epoch)
{
	ChoiceWindow window;
	addChoiceSample(window, {0, 100, 1, {9, 9}}, 200);
	cr_assert(!loadOf(window, 2, 200));
	addChoiceSample(window, {100, 200, 1, {1, 2}}, 200);
	addChoiceSample(window, {200, 300, 1, {3, 4}}, 200);
	const std::optional<ExpertLoad> load = loadOf(window, 2, 200);
	cr_assert(load && (*load)[0][0] == 4.0 && (*load)[0][1] == 6.0);
	addChoiceSample(window, {300, 400, 2, {1, 1}}, 200);
	cr_assert(!loadOf(window, 2, 200));
}

Test(mappolicy, experts_are_assigned_round_robin)
{
	const ExpertHosts hosts = roundRobinMap(2, 5, 3);
	cr_assert(hosts.size() == 2 && hosts[1][4].front() == 1);
	const auto ranks = expertsByRank(hosts, 3);
	cr_assert(ranks[0][0] == (std::vector<std::uint32_t>{0, 3}));
}

/// Two switches remove most of the skew of a hot expert, each within the copy budget, and leave every expert a
/// host.
Test(mappolicy, a_plan_keeps_the_limits_and_removes_the_skew)
{
	checkProperty("limits of a plan", [] {
		const ExpertHosts dealt = roundRobinMap(4, kExperts, kRanks);
		const ExpertLoad load = oneHot(*rc::gen::inRange<std::uint32_t>(0, kExperts));
		const MapDecision first = planMap(engine(), kRanks, dealt, load, kFullPressure);
		RC_ASSERT(first.worthwhile && first.skewBefore > 1.0);
		checkLimits(dealt, first.hosts);
		const MapDecision second = planMap(engine(), kRanks, first.hosts, load, kFullPressure);
		const ExpertHosts& last = second.worthwhile ? second.hosts : first.hosts;
		RC_ASSERT(skewOf(last, load, kRanks) < 0.4);
		checkLimits(first.hosts, last);
	});
}

Test(mappolicy, short_passes_tolerate_more_skew)
{
	cr_assert(toleratedSkew({10.0, 120}) > toleratedSkew({40.0, 120}));
	cr_assert(toleratedSkew({40.0, 120}) > toleratedSkew({100.0, 120}));
	cr_assert(std::abs(toleratedSkew({0.0, 120}) - toleratedSkew(kFullPressure)) < 1e-9);
}

Test(mappolicy, nothing_is_moved_without_requests_or_skew)
{
	const ExpertHosts hosts = roundRobinMap(4, kExperts, kRanks);
	const ExpertLoad none(4, std::vector<double>(kExperts, 0.0));
	const ExpertLoad even(4, std::vector<double>(kExperts, 1.0));
	cr_assert(!planMap(engine(), kRanks, hosts, none, {60.0, 120}).worthwhile);
	cr_assert(!planMap(engine(), kRanks, hosts, even, {60.0, 120}).worthwhile);
}

/// All ranks wait for the slowest, so each switch moves a few experts away from a slow rank.
Test(mappolicy, a_slow_rank_is_given_less)
{
	std::vector<double> paces(kRanks, 1.0);
	paces[3] = 4.0;
	const ExpertLoad even(4, std::vector<double>(kExperts, 1.0));
	ExpertHosts hosts = roundRobinMap(4, kExperts, kRanks);
	const double before = skewOf(hosts, even, kRanks, paces);
	cr_assert(before > 2.0 && std::abs(skewOf(hosts, even, kRanks)) < 1e-9);
	for (int switches = 0; switches < 8; ++switches)
	{
		const MapDecision decision = planMap(engine(), kRanks, hosts, even, kFullPressure, paces);
		hosts = decision.worthwhile ? decision.hosts : hosts;
	}
	const double after = skewOf(hosts, even, kRanks, paces);
	cr_assert(after < 0.6, "%f -> %f", before, after);
}

namespace
{
	/// @returns The demand of one topic: shares decrease with an expert's position in a topic-specific order, on top of
	/// a share common to all topics.
	ExpertLoad topicLoad(const EngineModel& _model, std::uint64_t _topic)
	{
		constexpr double kSteepness = 0.92;
		constexpr double kCommon = 0.01;
		ExpertLoad load;
		Random random(_topic);
		for (std::uint32_t set = 0; set < _model.sets; ++set)
		{
			std::vector<double> tokens(_model.experts, kCommon);
			std::vector<std::uint32_t> order(_model.experts);
			std::iota(order.begin(), order.end(), 0);
			for (std::uint32_t place = 0; place < _model.experts; ++place)
			{
				std::swap(order[place], order[place + randomBelow(random, _model.experts - place)]);
				tokens[order[place]] += 1.0 / std::pow(double(place + 1), kSteepness);
			}
			load.push_back(std::move(tokens));
		}
		return load;
	}
} // namespace

/// Topics change faster than a group of 24 ranks with 76 ms per copied expert can follow with two copies per rank and
/// switch: each shift then took three to five switches.
Test(mappolicy, a_shift_of_demand_ends_in_two_switches)
{
	constexpr std::uint32_t kLargeRanks = 24;
	constexpr double kAcceptedSkew = 0.6;
	EngineModel model;
	model.sets = 16;
	model.experts = 96;
	model.places = 5;
	model.spare = 2;
	model.expertCopyMs = 76.0;
	ExpertHosts hosts = roundRobinMap(model.sets, model.experts, kLargeRanks);
	for (std::uint64_t topic = 1; topic <= 6; ++topic)
	{
		const ExpertLoad load = topicLoad(model, topic);
		const double before = skewOf(hosts, load, kLargeRanks);
		int switches = 0;
		for (; switches < 8 && kAcceptedSkew < skewOf(hosts, load, kLargeRanks); ++switches)
		{
			hosts = planMap(model, kLargeRanks, hosts, load, {150.0, 150}).hosts;
		}
		cr_assert(switches <= 2, "topic %d: %d switches from skew %f to %f", int(topic), switches, before, skewOf(hosts, load, kLargeRanks));
	}
}
