#include "archdyke/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace archdyke
{
	namespace
	{
		/// Coldest ranks that are tried as the new host of an expert.
		constexpr std::size_t kColdestTried = 4;
		constexpr double kLeastGain = 1e-9;
		/// Share of a layer's greatest load that placing it anew must save.
		constexpr double kClearGain = 0.02;

		/// One layer while it is being planned.
		struct Layer
		{
			std::vector<std::vector<std::uint32_t>> hosts;  ///< By expert.
			std::vector<std::vector<std::uint32_t>> guests; ///< Experts by rank.
			std::vector<double> tokens;                     ///< By expert.
			std::vector<double> rankLoad;                   ///< By rank: tokens times its pace.
			double staged = 0.0;
			std::vector<std::vector<std::uint32_t>> before; ///< Hosts at the start, by expert.
			std::vector<std::uint32_t> arrivals;            ///< New experts, by rank.
			std::vector<double> paces;                      ///< By rank.
		};

		std::vector<double> pacesOf(const std::vector<double>& _paces, std::uint32_t _ranks)
		{
			return _paces.size() == _ranks ? _paces : std::vector<double>(_ranks, 1.0);
		}

		/// @returns Load of each rank if all took the same time.
		double evenLoad(const std::vector<double>& _rankLoad, const std::vector<double>& _paces)
		{
			double tokens = 0.0;
			double speed = 0.0;
			for (std::size_t rank = 0; rank < _rankLoad.size(); ++rank)
			{
				tokens += _rankLoad[rank] / _paces[rank];
				speed += 1.0 / _paces[rank];
			}
			return tokens / speed;
		}

		/// Limits on the new experts of a rank; what all layers together have taken so far.
		struct ArrivalLimits
		{
			std::uint32_t perRank = 0; ///< 0: any number.
			std::uint32_t perLayer = 0;
			std::vector<std::uint32_t> taken; ///< By rank.
		};

		/// A change of one layer: an expert gets a host, and another may lose one.
		struct Move
		{
			std::uint32_t expert = 0;
			std::uint32_t to = 0;
			bool evicts = false;
			std::uint32_t evicted = 0; ///< Leaves rank `to`.
			bool swaps = false;        ///< The evicted one goes to `from` in turn.
			std::uint32_t from = 0;    ///< The hot rank, which gives up its copy if leaves.
			bool leaves = false;
			double gain = 0.0; ///< Of the layer's greatest rank load.
			double cost = 1.0; ///< Experts to be staged.
		};

		void addLoad(Layer& _layer, std::uint32_t _expert, double _sign)
		{
			const std::vector<std::uint32_t>& hosts = _layer.hosts[_expert];
			for (const std::uint32_t host : hosts)
			{
				_layer.rankLoad[host] += _sign * _layer.paces[host] * _layer.tokens[_expert] / double(hosts.size());
			}
		}

		Layer makeLayer(const PlacementInput& _input, std::size_t _index)
		{
			Layer layer{_input.hosts[_index], std::vector<std::vector<std::uint32_t>>(_input.ranks), _input.load[_index], std::vector<double>(_input.ranks, 0.0), 0.0, _input.hosts[_index], std::vector<std::uint32_t>(_input.ranks, 0), pacesOf(_input.paces, _input.ranks)};
			for (std::uint32_t expert = 0; expert < layer.hosts.size(); ++expert)
			{
				for (const std::uint32_t host : layer.hosts[expert])
				{
					layer.guests[host].push_back(expert);
				}
				addLoad(layer, expert, 1.0);
			}
			return layer;
		}

		double greatest(const Layer& _layer)
		{
			return *std::max_element(_layer.rankLoad.begin(), _layer.rankLoad.end());
		}

		double meanLoad(const Layer& _layer)
		{
			return evenLoad(_layer.rankLoad, _layer.paces);
		}

		/// Whether a rank must copy an expert that it would host.
		bool arrives(const Layer& _layer, std::uint32_t _expert, std::uint32_t _rank)
		{
			const std::vector<std::uint32_t>& before = _layer.before[_expert];
			return before.end() == std::find(before.begin(), before.end(), _rank);
		}

		bool mayArrive(const Layer& _layer, const ArrivalLimits& _limits, std::uint32_t _expert, std::uint32_t _rank)
		{
			if (!arrives(_layer, _expert, _rank))
			{
				return true;
			}
			const bool rankHasRoom = 0 == _limits.perRank || _limits.taken[_rank] < _limits.perRank;
			const bool layerHasRoom = 0 == _limits.perLayer || _layer.arrivals[_rank] < _limits.perLayer;
			return rankHasRoom && layerHasRoom;
		}

		/// Whether a move that was found before is still within the limits.
		bool isAllowed(const Layer& _layer, const ArrivalLimits& _limits, const Move& _move)
		{
			return mayArrive(_layer, _limits, _move.expert, _move.to) && (!_move.swaps || mayArrive(_layer, _limits, _move.evicted, _move.from));
		}

		void addHost(Layer& _layer, std::uint32_t _expert, std::uint32_t _rank)
		{
			_layer.arrivals[_rank] += arrives(_layer, _expert, _rank) ? 1 : 0;
			addLoad(_layer, _expert, -1.0);
			_layer.hosts[_expert].push_back(_rank);
			_layer.guests[_rank].push_back(_expert);
			addLoad(_layer, _expert, 1.0);
		}

		void removeHost(Layer& _layer, std::uint32_t _expert, std::uint32_t _rank)
		{
			_layer.arrivals[_rank] -= arrives(_layer, _expert, _rank) ? 1 : 0;
			addLoad(_layer, _expert, -1.0);
			std::erase(_layer.hosts[_expert], _rank);
			std::erase(_layer.guests[_rank], _expert);
			addLoad(_layer, _expert, 1.0);
		}

		/// Order matters: an expert gets its new host before it loses the old one.
		void applyMove(Layer& _layer, const Move& _move)
		{
			addHost(_layer, _move.expert, _move.to);
			if (_move.swaps)
			{
				addHost(_layer, _move.evicted, _move.from);
			}
			if (_move.leaves)
			{
				removeHost(_layer, _move.expert, _move.from);
			}
			if (_move.evicts)
			{
				removeHost(_layer, _move.evicted, _move.to);
			}
			_layer.staged += _move.cost;
		}

		void undoMove(Layer& _layer, const Move& _move)
		{
			if (_move.evicts)
			{
				addHost(_layer, _move.evicted, _move.to);
			}
			if (_move.leaves)
			{
				addHost(_layer, _move.expert, _move.from);
			}
			if (_move.swaps)
			{
				removeHost(_layer, _move.evicted, _move.from);
			}
			removeHost(_layer, _move.expert, _move.to);
			_layer.staged -= _move.cost;
		}

		bool hosts(const Layer& _layer, std::uint32_t _expert, std::uint32_t _rank)
		{
			return _layer.hosts[_expert].end() != std::find(_layer.hosts[_expert].begin(), _layer.hosts[_expert].end(), _rank);
		}

		/// @returns The hottest expert of a rank by what the rank does for it.
		std::vector<std::uint32_t> hottestGuests(const Layer& _layer, std::uint32_t _rank)
		{
			std::vector<std::uint32_t> guests = _layer.guests[_rank];
			std::sort(guests.begin(), guests.end(), [&](std::uint32_t _a, std::uint32_t _b) {
				const double a = _layer.tokens[_a] / double(_layer.hosts[_a].size());
				const double b = _layer.tokens[_b] / double(_layer.hosts[_b].size());
				return a != b ? a > b : _a < _b;
			});
			return guests;
		}

		/// @returns The coldest ranks that may take an expert.
		std::vector<std::uint32_t> coldestRanks(const Layer& _layer, const ArrivalLimits& _limits, std::uint32_t _expert)
		{
			std::vector<std::uint32_t> ranks(_layer.rankLoad.size());
			std::iota(ranks.begin(), ranks.end(), 0);
			std::erase_if(ranks, [&](std::uint32_t _rank) {
				return !mayArrive(_layer, _limits, _expert, _rank);
			});
			const std::size_t count = std::min(kColdestTried, ranks.size());
			std::partial_sort(ranks.begin(), ranks.begin() + std::ptrdiff_t(count), ranks.end(), [&](std::uint32_t _a, std::uint32_t _b) {
				return _layer.rankLoad[_a] != _layer.rankLoad[_b] ? _layer.rankLoad[_a] < _layer.rankLoad[_b] : _a < _b;
			});
			ranks.resize(count);
			return ranks;
		}

		/// Load above the mean, squared and summed: falls also when one of several equally
		/// hot ranks is relieved, where the greatest load doesn't.
		double excess(const Layer& _layer)
		{
			const double mean = meanLoad(_layer);
			double sum = 0.0;
			for (const double load : _layer.rankLoad)
			{
				sum += load > mean ? (load - mean) * (load - mean) : 0.0;
			}
			return sum;
		}

		void tryMove(Layer& _layer, Move _move, double _before, Move& _best)
		{
			applyMove(_layer, _move);
			_move.gain = (_before - excess(_layer)) / _move.cost;
			undoMove(_layer, _move);
			if (_move.gain > _best.gain)
			{
				_best = _move;
			}
		}

		/// All ways to relieve a hot rank of one expert through one cold rank.
		void tryRank(Layer& _layer, const ArrivalLimits& _limits, std::uint32_t _hot, std::uint32_t _expert, std::uint32_t _cold, std::uint32_t _slots, double _before, Move& _best)
		{
			if (_hot == _cold || hosts(_layer, _expert, _cold))
			{
				return;
			}
			if (_layer.guests[_cold].size() < _slots)
			{
				tryMove(_layer, {_expert, _cold, false, 0, false, _hot, false, 0.0, 1.0}, _before, _best);
				tryMove(_layer, {_expert, _cold, false, 0, false, _hot, true, 0.0, 1.0}, _before, _best);
				return;
			}
			const std::vector<std::uint32_t> guests = _layer.guests[_cold];
			for (const std::uint32_t evicted : guests)
			{
				if (1 < _layer.hosts[evicted].size())
				{
					tryMove(_layer, {_expert, _cold, true, evicted, false, _hot, false, 0.0, 1.0}, _before, _best);
				}
				if (!hosts(_layer, evicted, _hot) && mayArrive(_layer, _limits, evicted, _hot))
				{
					tryMove(_layer, {_expert, _cold, true, evicted, true, _hot, true, 0.0, 2.0}, _before, _best);
				}
			}
		}

		/// @returns The best move of a layer; gain 0 when none helps.
		Move bestMove(Layer& _layer, const ArrivalLimits& _limits, std::uint32_t _slots)
		{
			constexpr std::size_t kGuestsTried = 2;
			const auto hot = std::uint32_t(std::max_element(_layer.rankLoad.begin(), _layer.rankLoad.end()) - _layer.rankLoad.begin());
			const double before = excess(_layer);
			Move best;
			std::vector<std::uint32_t> guests = hottestGuests(_layer, hot);
			guests.resize(std::min(kGuestsTried, guests.size()));
			for (const std::uint32_t expert : guests)
			{
				for (const std::uint32_t cold : coldestRanks(_layer, _limits, expert))
				{
					tryRank(_layer, _limits, hot, expert, cold, _slots, before, best);
				}
			}
			return best;
		}

		void countArrivals(ArrivalLimits& _limits, const std::vector<Layer>& _layers)
		{
			std::fill(_limits.taken.begin(), _limits.taken.end(), 0);
			for (const Layer& layer : _layers)
			{
				for (std::size_t rank = 0; rank < _limits.taken.size(); ++rank)
				{
					_limits.taken[rank] += layer.arrivals[rank];
				}
			}
		}

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
