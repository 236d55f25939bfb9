#include "decide/placement_layer.h"

#include <algorithm>
#include <numeric>

namespace archdyke::placement
{
	namespace
	{
		/// Number of least loaded ranks that are tried as the new host of an expert.
		constexpr std::size_t kMaxTargetRanks = 4;

		void addLoad(Layer& _layer, std::uint32_t _expert, double _sign)
		{
			const std::vector<std::uint32_t>& hosts = _layer.hosts[_expert];
			for (const std::uint32_t host : hosts)
			{
				_layer.rankLoad[host] += _sign * _layer.paces[host] * _layer.tokens[_expert] / double(hosts.size());
			}
		}

		/// @returns Whether a rank would have to copy an expert in order to host it.
		bool needsCopy(const Layer& _layer, std::uint32_t _expert, std::uint32_t _rank)
		{
			const std::vector<std::uint32_t>& before = _layer.initialHosts[_expert];
			return before.end() == std::find(before.begin(), before.end(), _rank);
		}

		bool mayReceive(const Layer& _layer, const NewExpertLimits& _limits, std::uint32_t _expert, std::uint32_t _rank)
		{
			if (!needsCopy(_layer, _expert, _rank))
			{
				return true;
			}
			const bool rankHasRoom = 0 == _limits.perRank || _limits.newExperts[_rank] < _limits.perRank;
			const bool layerHasRoom = 0 == _limits.perLayer || _layer.newExperts[_rank] < _limits.perLayer;
			return rankHasRoom && layerHasRoom;
		}

		void addHost(Layer& _layer, std::uint32_t _expert, std::uint32_t _rank)
		{
			_layer.newExperts[_rank] += needsCopy(_layer, _expert, _rank) ? 1 : 0;
			addLoad(_layer, _expert, -1.0);
			_layer.hosts[_expert].push_back(_rank);
			_layer.expertsOnRank[_rank].push_back(_expert);
			addLoad(_layer, _expert, 1.0);
		}

		void removeHost(Layer& _layer, std::uint32_t _expert, std::uint32_t _rank)
		{
			_layer.newExperts[_rank] -= needsCopy(_layer, _expert, _rank) ? 1 : 0;
			addLoad(_layer, _expert, -1.0);
			std::erase(_layer.hosts[_expert], _rank);
			std::erase(_layer.expertsOnRank[_rank], _expert);
			addLoad(_layer, _expert, 1.0);
		}

		void undoMove(Layer& _layer, const Move& _move)
		{
			if (_move.evicts)
			{
				addHost(_layer, _move.evicted, _move.to);
			}
			if (_move.dropsSource)
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

		/// @returns The experts of a rank, sorted by the load that they cause on it, highest first.
		std::vector<std::uint32_t> expertsByLoad(const Layer& _layer, std::uint32_t _rank)
		{
			std::vector<std::uint32_t> experts = _layer.expertsOnRank[_rank];
			std::sort(experts.begin(), experts.end(), [&](std::uint32_t _a, std::uint32_t _b) {
				const double a = _layer.tokens[_a] / double(_layer.hosts[_a].size());
				const double b = _layer.tokens[_b] / double(_layer.hosts[_b].size());
				return a != b ? a > b : _a < _b;
			});
			return experts;
		}

		/// @returns The least loaded ranks that may receive an expert.
		std::vector<std::uint32_t> coldestRanks(const Layer& _layer, const NewExpertLimits& _limits, std::uint32_t _expert)
		{
			std::vector<std::uint32_t> ranks(_layer.rankLoad.size());
			std::iota(ranks.begin(), ranks.end(), 0);
			std::erase_if(ranks, [&](std::uint32_t _rank) {
				return !mayReceive(_layer, _limits, _expert, _rank);
			});
			const std::size_t count = std::min(kMaxTargetRanks, ranks.size());
			std::partial_sort(ranks.begin(), ranks.begin() + std::ptrdiff_t(count), ranks.end(), [&](std::uint32_t _a, std::uint32_t _b) {
				return _layer.rankLoad[_a] != _layer.rankLoad[_b] ? _layer.rankLoad[_a] < _layer.rankLoad[_b] : _a < _b;
			});
			ranks.resize(count);
			return ranks;
		}

		/// @returns Sum of the squared loads above the mean. Unlike the maximum load it also decreases when one of
		/// several equally hot ranks is relieved.
		double squaredExcess(const Layer& _layer)
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
			_move.gain = (_before - squaredExcess(_layer)) / _move.cost;
			undoMove(_layer, _move);
			if (_move.gain > _best.gain)
			{
				_best = _move;
			}
		}

		/// Tries all moves that shift load of one expert from a hot rank to a cold rank.
		void tryTargetRank(Layer& _layer, const NewExpertLimits& _limits, std::uint32_t _hot, std::uint32_t _expert, std::uint32_t _cold, std::uint32_t _slots, double _before, Move& _best)
		{
			if (_hot == _cold || hosts(_layer, _expert, _cold))
			{
				return;
			}
			if (_layer.expertsOnRank[_cold].size() < _slots)
			{
				tryMove(_layer, {_expert, _cold, false, 0, false, _hot, false, 0.0, 1.0}, _before, _best);
				tryMove(_layer, {_expert, _cold, false, 0, false, _hot, true, 0.0, 1.0}, _before, _best);
				return;
			}
			const std::vector<std::uint32_t> experts = _layer.expertsOnRank[_cold];
			for (const std::uint32_t evicted : experts)
			{
				if (1 < _layer.hosts[evicted].size())
				{
					tryMove(_layer, {_expert, _cold, true, evicted, false, _hot, false, 0.0, 1.0}, _before, _best);
				}
				if (!hosts(_layer, evicted, _hot) && mayReceive(_layer, _limits, evicted, _hot))
				{
					tryMove(_layer, {_expert, _cold, true, evicted, true, _hot, true, 0.0, 2.0}, _before, _best);
				}
			}
		}
	} // namespace

	std::vector<double> pacesOf(const std::vector<double>& _paces, std::uint32_t _ranks)
	{
		return _paces.size() == _ranks ? _paces : std::vector<double>(_ranks, 1.0);
	}

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

	Layer makeLayer(const PlacementInput& _input, std::size_t _index)
	{
		Layer layer{_input.hosts[_index], std::vector<std::vector<std::uint32_t>>(_input.ranks), _input.load[_index], std::vector<double>(_input.ranks, 0.0), 0.0, _input.hosts[_index], std::vector<std::uint32_t>(_input.ranks, 0), pacesOf(_input.paces, _input.ranks)};
		for (std::uint32_t expert = 0; expert < layer.hosts.size(); ++expert)
		{
			for (const std::uint32_t host : layer.hosts[expert])
			{
				layer.expertsOnRank[host].push_back(expert);
			}
			addLoad(layer, expert, 1.0);
		}
		return layer;
	}

	double maxLoad(const Layer& _layer)
	{
		return *std::max_element(_layer.rankLoad.begin(), _layer.rankLoad.end());
	}

	double meanLoad(const Layer& _layer)
	{
		return evenLoad(_layer.rankLoad, _layer.paces);
	}

	bool isAllowed(const Layer& _layer, const NewExpertLimits& _limits, const Move& _move)
	{
		return mayReceive(_layer, _limits, _move.expert, _move.to) && (!_move.swaps || mayReceive(_layer, _limits, _move.evicted, _move.from));
	}

	void applyMove(Layer& _layer, const Move& _move)
	{
		addHost(_layer, _move.expert, _move.to);
		if (_move.swaps)
		{
			addHost(_layer, _move.evicted, _move.from);
		}
		if (_move.dropsSource)
		{
			removeHost(_layer, _move.expert, _move.from);
		}
		if (_move.evicts)
		{
			removeHost(_layer, _move.evicted, _move.to);
		}
		_layer.staged += _move.cost;
	}

	Move bestMove(Layer& _layer, const NewExpertLimits& _limits, std::uint32_t _slots)
	{
		constexpr std::size_t kMaxMovedExperts = 2;
		const auto hot = std::uint32_t(std::max_element(_layer.rankLoad.begin(), _layer.rankLoad.end()) - _layer.rankLoad.begin());
		const double before = squaredExcess(_layer);
		Move best;
		std::vector<std::uint32_t> experts = expertsByLoad(_layer, hot);
		experts.resize(std::min(kMaxMovedExperts, experts.size()));
		for (const std::uint32_t expert : experts)
		{
			for (const std::uint32_t cold : coldestRanks(_layer, _limits, expert))
			{
				tryTargetRank(_layer, _limits, hot, expert, cold, _slots, before, best);
			}
		}
		return best;
	}

	void countNewExperts(NewExpertLimits& _limits, const std::vector<Layer>& _layers)
	{
		std::fill(_limits.newExperts.begin(), _limits.newExperts.end(), 0);
		for (const Layer& layer : _layers)
		{
			for (std::size_t rank = 0; rank < _limits.newExperts.size(); ++rank)
			{
				_limits.newExperts[rank] += layer.newExperts[rank];
			}
		}
	}
} // namespace archdyke::placement
