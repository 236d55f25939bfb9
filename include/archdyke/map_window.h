/// Expert choices in a sliding window, collected from samples of the ranks of a group.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "archdyke/placement.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// Expert choices of the requests of one rank in an interval, set by set.
	struct ChoiceSample
	{
		Millis from = 0;
		Millis to = 0;
		std::uint64_t epoch = 0;
		std::vector<std::uint32_t> choices;

		bool operator==(const ChoiceSample&) const = default;
	};

	/// Samples of the window, oldest first.
	struct ChoiceWindow
	{
		std::deque<ChoiceSample> pieces;
	};

	/// @returns The choices between two cumulative counts of a rank; none if a count decreased: the rank has
	/// restarted, so its count doesn't cover the interval.
	std::optional<std::vector<std::uint32_t>> choicesBetween(const std::vector<std::uint32_t>& _before, const std::vector<std::uint32_t>& _after);

	/// Adds a sample. Removes all samples of another epoch, and those that ended before the window.
	void addChoiceSample(ChoiceWindow& _window, ChoiceSample _piece, Millis _windowMs);

	/// @param[in] _experts Experts per set.
	/// @returns Choices in about the last _windowMs, by set and expert; none until the samples span the window.
	std::optional<ExpertLoad> loadOf(const ChoiceWindow& _window, std::uint32_t _experts, Millis _windowMs);

	/// @returns The initial map of a group: experts assigned to the ranks round-robin.
	ExpertHosts roundRobinMap(std::uint32_t _sets, std::uint32_t _experts, std::uint32_t _ranks);

	/// @returns The experts by set and rank. Hosts that the group doesn't have are left out.
	std::vector<std::vector<std::vector<std::uint32_t>>> expertsByRank(const ExpertHosts& _hosts, std::uint32_t _ranks);

	/// @returns The hosts of each expert in a map given by rank; the inverse of expertsByRank().
	ExpertHosts hostsOf(const std::vector<std::vector<std::vector<std::uint32_t>>>& _experts, std::uint32_t _expertsPerSet);
} // namespace archdyke
