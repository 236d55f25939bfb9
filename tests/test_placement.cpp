/// Tests placement: plans keep every expert hosted and stay within slots and budget. Skew is compared with a naive
/// computation.
#include <algorithm>
#include <numeric>
#include <set>

#include "archdyke/placement.h"
#include "check.h"

using namespace archdyke;

namespace
{
	PlacementInput makeInput(std::uint32_t _ranks, std::uint32_t _experts, std::uint32_t _layers)
	{
		PlacementInput input;
		input.ranks = _ranks;
		input.slots = (_experts + _ranks - 1) / _ranks + 1;
		for (std::uint32_t layer = 0; layer < _layers; ++layer)
		{
			input.hosts.emplace_back();
			input.load.emplace_back();
			for (std::uint32_t expert = 0; expert < _experts; ++expert)
			{
				input.hosts.back().push_back({expert % _ranks});
				input.load.back().push_back(double(*rc::gen::inRange(0, 1000)));
			}
		}
		input.budget = double(*rc::gen::inRange(0, 60));
		return input;
	}

	/// @returns Skew computed rank by rank, as a reference.
	double naiveSkew(const ExpertHosts& _hosts, const ExpertLoad& _load, std::uint32_t _ranks)
	{
		double slowest = 0.0;
		double mean = 0.0;
		for (std::size_t layer = 0; layer < _hosts.size(); ++layer)
		{
			double most = 0.0;
			for (std::uint32_t rank = 0; rank < _ranks; ++rank)
			{
				double sum = 0.0;
				for (std::size_t expert = 0; expert < _hosts[layer].size(); ++expert)
				{
					const auto& hosts = _hosts[layer][expert];
					sum += hosts.end() != std::find(hosts.begin(), hosts.end(), rank) ? _load[layer][expert] / double(hosts.size()) : 0.0;
				}
				most = std::max(most, sum);
				mean += sum / double(_ranks);
			}
			slowest += most;
		}
		return 0.0 < mean ? slowest / mean - 1.0 : 0.0;
	}

	void checkHosts(const PlacementInput& _input, const ExpertHosts& _hosts)
	{
		for (const auto& layer : _hosts)
		{
			std::vector<std::uint32_t> used(_input.ranks, 0);
			for (const auto& hosts : layer)
			{
				RC_ASSERT(!hosts.empty());
				RC_ASSERT(std::set<std::uint32_t>(hosts.begin(), hosts.end()).size() == hosts.size());
				for (const std::uint32_t host : hosts)
				{
					RC_ASSERT(++used[host] <= _input.slots);
				}
			}
		}
	}
} // namespace

Test(placement, plans_are_valid)
{
	tests::checkProperty("plans of random loads", [] {
		const PlacementInput input = makeInput(std::uint32_t(*rc::gen::inRange(2, 8)), std::uint32_t(*rc::gen::inRange(8, 20)), std::uint32_t(*rc::gen::inRange(1, 4)));
		const PlacementPlan plan = planMoves(input, 0.05);
		checkHosts(input, plan.hosts);
		RC_ASSERT(double(plan.staged) <= input.budget);
		RC_ASSERT(std::abs(plan.skewBefore - naiveSkew(input.hosts, input.load, input.ranks)) < 1e-6);
		RC_ASSERT(std::abs(plan.skewAfter - naiveSkew(plan.hosts, input.load, input.ranks)) < 1e-6);
		checkHosts(input, planFromScratch(input).hosts);
	});
}

Test(placement, moves_help_and_stay_few)
{
	PlacementInput input;
	input.ranks = 4;
	input.slots = 3;
	input.hosts = {{{0}, {0}, {1}, {1}, {2}, {2}, {3}, {3}}};
	input.load = {{800, 100, 100, 100, 100, 100, 100, 100}};
	input.budget = 10;
	const PlacementPlan plan = planMoves(input, 0.1);
	cr_assert(plan.skewAfter < plan.skewBefore / 3.0, "%f after %f", plan.skewAfter, plan.skewBefore);
	cr_assert(plan.staged <= 5, "%u staged", plan.staged);
}

Test(placement, a_short_burst_moves_nothing)
{
	PlacementState state;
	PlacementInput input;
	input.ranks = 2;
	input.slots = 3;
	input.hosts = {{{0}, {0}, {1}, {1}}};
	input.load = {{100, 100, 100, 100}};
	const PlacementPolicy policy{0.2, 60.0};
	cr_assert(0 == decidePlacement(state, input, policy, 0).staged);
	PlacementInput burst = input;
	burst.load = {{140, 120, 80, 60}};
	cr_assert(0 == decidePlacement(state, burst, policy, 1'000).staged);
	cr_assert(0 == decidePlacement(state, input, policy, 2'000).staged);
}

Test(placement, the_budget_bounds_what_is_staged_over_time)
{
	tests::checkProperty("allowance against a count", [] {
		PlacementState state;
		PlacementInput input = makeInput(4, 16, 2);
		const PlacementPolicy policy{0.01, 12.0};
		double staged = 0.0;
		for (Millis now = 0; now < 600'000; now += 5'000)
		{
			for (auto& layer : input.load)
			{
				std::rotate(layer.begin(), layer.begin() + 1, layer.end());
			}
			const PlacementPlan plan = decidePlacement(state, input, policy, now);
			input.hosts = plan.hosts;
			staged += plan.staged;
			RC_ASSERT(staged <= policy.expertsPerMinute * (1.0 + double(now) / 60'000.0) + 1e-6);
		}
	});
}
