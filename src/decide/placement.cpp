#include "archdyke/placement.h"

#include <algorithm>
#include <numeric>

#include "decide/placement_layer.h"

namespace archdyke
{
	using namespace placement;

	namespace
	{
		constexpr double kLeastGain = 1e-9;
		/// Share of a layer's greatest load that placing it anew must save.
		constexpr double kClearGain = 0.02;

		struct Totals
		{
			double greatest = 0.0;
			double mean = 0.0;

			double skew() const
			{
				return 0.0 < this->mean ? this->greatest / this->mean - 1.0 : 0.0;
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
			totals.greatest += *std::max_element(rankLoad.begin(), rankLoad.end());
			totals.mean += evenLoad(rankLoad, paces);
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
		/// Places one layer anew: as many copies as slots allow, given to the experts with
		/// the most tokens a copy, then the hottest copies to the coldest ranks.
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
		/// Moves one by one end where no single one helps; a layer placed anew may be better
		/// still. Taken where it is clearly better and the budget allows it.
		double placeAnewWhereBetter(const PlacementInput& _input, std::vector<Layer>& _layers, double _left)
		{
			double gained = 0.0;
			for (std::size_t index = 0; index < _layers.size(); ++index)
			{
				PlacementInput one;
				one.ranks = _input.ranks;
				one.slots = _input.slots;
				one.hosts = {placeLayer(_layers[index].tokens, _input.ranks, _input.slots)};
				one.load = {_layers[index].tokens};
				one.paces = _input.paces;
				const Layer anew = makeLayer(one, 0);
				const double cost = countStaged({_input.hosts[index]}, one.hosts);
				const double saved = countStaged({_input.hosts[index]}, {_layers[index].hosts});
				const double gain = greatest(_layers[index]) - greatest(anew);
				if (gain > kClearGain * greatest(_layers[index]) && cost - saved <= _left)
				{
					_left -= cost - saved;
					gained += gain;
					_layers[index] = anew;
				}
			}
			return gained;
		}
	} // namespace

	PlacementPlan planMoves(const PlacementInput& _input, double _skewTolerance)
	{
		std::vector<Layer> layers;
		std::vector<Move> best;
		Totals totals;
		ArrivalLimits limits{_input.arrivalsPerRank, _input.arrivalsPerLayer, std::vector<std::uint32_t>(_input.ranks, 0)};
		const bool limited = 0 < limits.perRank || 0 < limits.perLayer;
		for (std::size_t index = 0; index < _input.hosts.size(); ++index)
		{
			layers.push_back(makeLayer(_input, index));
			best.push_back(bestMove(layers.back(), limits, _input.slots));
			totals.greatest += greatest(layers.back());
			totals.mean += meanLoad(layers.back());
		}
		PlacementPlan plan;
		plan.skewBefore = totals.skew();
		double left = _input.budget;
		while (totals.skew() > _skewTolerance / 2.0)
		{
			const auto layer = std::size_t(std::max_element(best.begin(), best.end(), [](const Move& _a, const Move& _b) {
				                               return _a.gain < _b.gain;
			                               }) -
			                               best.begin());
			if (best[layer].gain <= kLeastGain || best[layer].cost > left)
			{
				break;
			}
			totals.greatest -= greatest(layers[layer]);
			applyMove(layers[layer], best[layer]);
			totals.greatest += greatest(layers[layer]);
			left -= best[layer].cost;
			if (!limited)
			{
				best[layer] = bestMove(layers[layer], limits, _input.slots);
				continue;
			}
			// What a rank has taken in one layer bounds what it may take in the others.
			countArrivals(limits, layers);
			for (std::size_t other = 0; other < layers.size(); ++other)
			{
				if (other == layer || !isAllowed(layers[other], limits, best[other]))
				{
					best[other] = bestMove(layers[other], limits, _input.slots);
				}
			}
		}
		if (!limited && totals.skew() > _skewTolerance)
		{
			totals.greatest -= placeAnewWhereBetter(_input, layers, left);
		}
		for (const Layer& layer : layers)
		{
			plan.hosts.push_back(layer.hosts);
		}
		plan.staged = countStaged(_input.hosts, plan.hosts);
		plan.skewAfter = totals.skew();
		return plan;
	}

	PlacementPlan planAnew(const PlacementInput& _input)
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
