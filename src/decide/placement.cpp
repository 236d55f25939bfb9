#include "archdyke/placement.h"

#include <algorithm>
#include <numeric>

#include "decide/placement_layer.h"

namespace archdyke
{
	using namespace placement;

	namespace
	{
		constexpr double kMinGain = 1e-9;
		/// Minimum reduction of a layer's maximum load for placing it from scratch, as a share of that load.
		constexpr double kMinFromScratchGainShare = 0.02;

		struct Totals
		{
			double maxLoadSum = 0.0;
			double meanLoadSum = 0.0;

			double skew() const
			{
				return 0.0 < this->meanLoadSum ? this->maxLoadSum / this->meanLoadSum - 1.0 : 0.0;
			}
		};
	} // namespace

	double skewOf(const ExpertHosts& _hosts, const ExpertLoad& _load, std::uint32_t _ranks, const std::vector<double>& _paces)
	{
		const std::vector<double> paces = pacesOf(_paces, _ranks);
		Totals totals;
		std::vector<double> rankLoad(_ranks);
		for (std::size_t layer = 0; layer < _hosts.size(); ++layer)
		{
			std::fill(rankLoad.begin(), rankLoad.end(), 0.0);
			for (std::size_t expert = 0; expert < _hosts[layer].size(); ++expert)
			{
				for (const std::uint32_t host : _hosts[layer][expert])
				{
					rankLoad[host] += paces[host] * _load[layer][expert] / double(_hosts[layer][expert].size());
				}
			}
			totals.maxLoadSum += *std::max_element(rankLoad.begin(), rankLoad.end());
			totals.meanLoadSum += evenLoad(rankLoad, paces);
		}
		return totals.skew();
	}

	std::uint32_t countStaged(const ExpertHosts& _from, const ExpertHosts& _to)
	{
		std::uint32_t staged = 0;
		for (std::size_t layer = 0; layer < _to.size(); ++layer)
		{
			for (std::size_t expert = 0; expert < _to[layer].size(); ++expert)
			{
				for (const std::uint32_t host : _to[layer][expert])
				{
					const std::vector<std::uint32_t>& before = _from[layer][expert];
					staged += before.end() == std::find(before.begin(), before.end(), host) ? 1 : 0;
				}
			}
		}
		return staged;
	}

	namespace
	{
		/// Places one layer from scratch: uses all slots, giving copies to the experts with the most tokens per
		/// copy, then assigns the hottest copies to the least loaded ranks.
		std::vector<std::vector<std::uint32_t>> placeLayer(const std::vector<double>& _tokens, std::uint32_t _ranks, std::uint32_t _slots)
		{
			const std::size_t experts = _tokens.size();
			std::vector<std::uint32_t> copies(experts, 1);
			for (std::size_t spare = std::size_t(_ranks) * _slots - std::min(std::size_t(_ranks) * _slots, experts); 0 < spare; --spare)
			{
				std::size_t hottest = 0;
				for (std::size_t expert = 0; expert < experts; ++expert)
				{
					const bool hotter = _tokens[expert] / copies[expert] > _tokens[hottest] / copies[hottest];
					hottest = copies[expert] < _ranks && (hotter || copies[hottest] >= _ranks) ? expert : hottest;
				}
				copies[hottest] += copies[hottest] < _ranks ? 1 : 0;
			}
			std::vector<std::size_t> order(experts);
			std::iota(order.begin(), order.end(), 0);
			std::sort(order.begin(), order.end(), [&](std::size_t _a, std::size_t _b) {
				return _tokens[_a] / copies[_a] > _tokens[_b] / copies[_b];
			});
			std::vector<std::vector<std::uint32_t>> result(experts);
			std::vector<double> load(_ranks, 0.0);
			std::vector<std::uint32_t> used(_ranks, 0);
			for (const std::size_t expert : order)
			{
				for (std::uint32_t copy = 0; copy < copies[expert]; ++copy)
				{
					std::uint32_t coldest = _ranks;
					for (std::uint32_t rank = 0; rank < _ranks; ++rank)
					{
						const bool free = used[rank] < _slots && result[expert].end() == std::find(result[expert].begin(), result[expert].end(), rank);
						coldest = free && (_ranks == coldest || load[rank] < load[coldest]) ? rank : coldest;
					}
					if (_ranks != coldest)
					{
						result[expert].push_back(coldest);
						used[coldest] += 1;
						load[coldest] += _tokens[expert] / copies[expert];
					}
				}
			}
			return result;
		}
	} // namespace

	namespace
	{
		/// Single moves can end in a local optimum. Places a layer from scratch where that is clearly better and
		/// within the budget.
		/// @returns Reduction of the sum of maximum loads.
		double placeFromScratchWhereBetter(const PlacementInput& _input, std::vector<Layer>& _layers, double _budgetLeft)
		{
			double gained = 0.0;
			for (std::size_t index = 0; index < _layers.size(); ++index)
			{
				PlacementInput layerInput;
				layerInput.ranks = _input.ranks;
				layerInput.slots = _input.slots;
				layerInput.hosts = {placeLayer(_layers[index].tokens, _input.ranks, _input.slots)};
				layerInput.load = {_layers[index].tokens};
				layerInput.paces = _input.paces;
				const Layer fromScratch = makeLayer(layerInput, 0);
				const double cost = countStaged({_input.hosts[index]}, layerInput.hosts);
				const double saved = countStaged({_input.hosts[index]}, {_layers[index].hosts});
				const double gain = maxLoad(_layers[index]) - maxLoad(fromScratch);
				if (gain > kMinFromScratchGainShare * maxLoad(_layers[index]) && cost - saved <= _budgetLeft)
				{
					_budgetLeft -= cost - saved;
					gained += gain;
					_layers[index] = fromScratch;
				}
			}
			return gained;
		}
	} // namespace

	PlacementPlan planMoves(const PlacementInput& _input, double _skewTolerance)
	{
		std::vector<Layer> layers;
		std::vector<Move> bestMoves;
		Totals totals;
		NewExpertLimits limits{_input.maxNewExpertsPerRank, _input.maxNewExpertsPerLayer, std::vector<std::uint32_t>(_input.ranks, 0)};
		const bool limited = 0 < limits.perRank || 0 < limits.perLayer;
		for (std::size_t index = 0; index < _input.hosts.size(); ++index)
		{
			layers.push_back(makeLayer(_input, index));
			bestMoves.push_back(bestMove(layers.back(), limits, _input.slots));
			totals.maxLoadSum += maxLoad(layers.back());
			totals.meanLoadSum += meanLoad(layers.back());
		}
		PlacementPlan plan;
		plan.skewBefore = totals.skew();
		double budgetLeft = _input.budget;
		while (totals.skew() > _skewTolerance / 2.0)
		{
			const auto layer = std::size_t(std::max_element(bestMoves.begin(), bestMoves.end(), [](const Move& _a, const Move& _b) {
				                               return _a.gain < _b.gain;
			                               }) -
			                               bestMoves.begin());
			if (bestMoves[layer].gain <= kMinGain || bestMoves[layer].cost > budgetLeft)
			{
				break;
			}
			totals.maxLoadSum -= maxLoad(layers[layer]);
			applyMove(layers[layer], bestMoves[layer]);
			totals.maxLoadSum += maxLoad(layers[layer]);
			budgetLeft -= bestMoves[layer].cost;
			if (!limited)
			{
				bestMoves[layer] = bestMove(layers[layer], limits, _input.slots);
				continue;
			}
			// New experts of a rank in one layer reduce what it may receive in the others.
			countNewExperts(limits, layers);
			for (std::size_t other = 0; other < layers.size(); ++other)
			{
				if (other == layer || !isAllowed(layers[other], limits, bestMoves[other]))
				{
					bestMoves[other] = bestMove(layers[other], limits, _input.slots);
				}
			}
		}
		if (!limited && totals.skew() > _skewTolerance)
		{
			totals.maxLoadSum -= placeFromScratchWhereBetter(_input, layers, budgetLeft);
		}
		for (const Layer& layer : layers)
		{
			plan.hosts.push_back(layer.hosts);
		}
		plan.staged = countStaged(_input.hosts, plan.hosts);
		plan.skewAfter = totals.skew();
		return plan;
	}

	PlacementPlan planFromScratch(const PlacementInput& _input)
	{
		PlacementPlan plan;
		plan.skewBefore = skewOf(_input.hosts, _input.load, _input.ranks);
		for (const std::vector<double>& tokens : _input.load)
		{
			plan.hosts.push_back(placeLayer(tokens, _input.ranks, _input.slots));
		}
		plan.staged = countStaged(_input.hosts, plan.hosts);
		plan.skewAfter = skewOf(plan.hosts, _input.load, _input.ranks);
		return plan;
	}
} // namespace archdyke
