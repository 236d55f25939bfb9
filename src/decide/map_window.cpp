#include "archdyke/map_window.h"

#include <algorithm>

namespace archdyke
{
	std::optional<std::vector<std::uint32_t>> choicesBetween(const std::vector<std::uint32_t>& _before, const std::vector<std::uint32_t>& _after)
	{
		if (_before.size() != _after.size())
		{
			return std::nullopt;
		}
		std::vector<std::uint32_t> choices;
		for (std::size_t index = 0; index < _after.size(); ++index)
		{
			if (_after[index] < _before[index])
			{
				return std::nullopt;
			}
			choices.push_back(_after[index] - _before[index]);
		}
		return choices;
	}

	void addChoiceSample(ChoiceWindow& _window, ChoiceSample _piece, Millis _windowMs)
	{
		const bool differentShape = !_window.pieces.empty() && (_window.pieces.back().epoch != _piece.epoch || _window.pieces.back().choices.size() != _piece.choices.size());
		if (differentShape)
		{
			_window.pieces.clear();
		}
		const Millis now = _piece.to;
		_window.pieces.push_back(std::move(_piece));
		while (_window.pieces.front().to <= now - _windowMs)
		{
			_window.pieces.pop_front();
		}
	}

	std::optional<ExpertLoad> loadOf(const ChoiceWindow& _window, std::uint32_t _experts, Millis _windowMs)
	{
		if (_window.pieces.empty() || 0 == _experts)
		{
			return std::nullopt;
		}
		const Millis newest = _window.pieces.back().to;
		Millis oldest = newest;
		ExpertLoad load((_window.pieces.front().choices.size() + _experts - 1) / _experts, std::vector<double>(_experts, 0.0));
		for (const ChoiceSample& piece : _window.pieces)
		{
			oldest = std::min(oldest, piece.from);
			for (std::size_t index = 0; index < piece.choices.size(); ++index)
			{
				load[index / _experts][index % _experts] += piece.choices[index];
			}
		}
		return newest - oldest < _windowMs ? std::nullopt : std::optional(load);
	}

	ExpertHosts roundRobinMap(std::uint32_t _sets, std::uint32_t _experts, std::uint32_t _ranks)
	{
		std::vector<std::vector<std::uint32_t>> set;
		for (std::uint32_t expert = 0; expert < _experts; ++expert)
		{
			set.push_back({expert % _ranks});
		}
		return ExpertHosts(_sets, set);
	}

	std::vector<std::vector<std::vector<std::uint32_t>>> expertsByRank(const ExpertHosts& _hosts, std::uint32_t _ranks)
	{
		std::vector<std::vector<std::vector<std::uint32_t>>> result;
		for (const auto& set : _hosts)
		{
			result.emplace_back(_ranks);
			for (std::uint32_t expert = 0; expert < set.size(); ++expert)
			{
				for (const std::uint32_t rank : set[expert])
				{
					if (rank < _ranks)
					{
						result.back()[rank].push_back(expert);
					}
				}
			}
		}
		return result;
	}

	ExpertHosts hostsOf(const std::vector<std::vector<std::vector<std::uint32_t>>>& _experts, std::uint32_t _expertsPerSet)
	{
		ExpertHosts hosts(_experts.size(), std::vector<std::vector<std::uint32_t>>(_expertsPerSet));
		for (std::size_t set = 0; set < _experts.size(); ++set)
		{
			for (std::uint32_t rank = 0; rank < _experts[set].size(); ++rank)
			{
				for (const std::uint32_t expert : _experts[set][rank])
				{
					if (expert < _expertsPerSet)
					{
						hosts[set][expert].push_back(rank);
					}
				}
			}
		}
		return hosts;
	}
} // namespace archdyke
