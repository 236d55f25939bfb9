#include "archdyke/map_window.h"

namespace archdyke
{
	void addSample(CountWindow& _window, CountSample _sample, Millis _windowMs)
	{
		if (!_window.samples.empty() && (_window.samples.back().epoch != _sample.epoch || _window.samples.back().counts.size() != _sample.counts.size()))
		{
			_window.samples.clear();
		}
		_window.samples.push_back(std::move(_sample));
		// One sample from before the window stays: the window's counts are told from it.
		while (2 < _window.samples.size() && _window.samples[1].at <= _window.samples.back().at - _windowMs)
		{
			_window.samples.pop_front();
		}
	}

	std::optional<ExpertLoad> loadOf(const CountWindow& _window, std::uint32_t _experts, Millis _windowMs)
	{
		if (2 > _window.samples.size() || 0 == _experts || _window.samples.back().at - _window.samples.front().at < _windowMs)
		{
			return std::nullopt;
		}
		const std::vector<std::uint32_t>& before = _window.samples.front().counts;
		const std::vector<std::uint32_t>& now = _window.samples.back().counts;
		ExpertLoad load;
		for (std::size_t index = 0; index < now.size(); ++index)
		{
			if (0 == index % _experts)
			{
				load.emplace_back();
			}
			load.back().push_back(double(now[index] - before[index]));
		}
		return load;
	}

	ExpertHosts dealtInTurn(std::uint32_t _sets, std::uint32_t _experts, std::uint32_t _ranks)
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
					result.back()[rank].push_back(expert);
				}
			}
		}
		return result;
	}
} // namespace archdyke
