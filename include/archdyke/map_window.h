/// Counts of chosen experts over the last moments, from the counters of all ranks of a group.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "archdyke/placement.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// Sum of all ranks' counters at one moment, set by set.
	struct CountSample
	{
		Millis at = 0;
		std::uint64_t epoch = 0;
		std::vector<std::uint32_t> counts;

		bool operator==(const CountSample&) const = default;
	};

	/// Samples of the last moments, oldest first.
	struct CountWindow
	{
		std::deque<CountSample> samples;
	};

	/// Adds a sample; samples of another epoch are forgotten, and those that are older than
	/// what a window needs.
	void addSample(CountWindow& _window, CountSample _sample, Millis _windowMs);

	/// @param[in] _experts Experts of a set.
	/// @returns Choices in about the last _windowMs, by set and expert; none before the
	/// window is full.
	std::optional<ExpertLoad> loadOf(const CountWindow& _window, std::uint32_t _experts, Millis _windowMs);

	/// @returns The map that a group forms with: experts dealt to the ranks in turn.
	ExpertHosts dealtInTurn(std::uint32_t _sets, std::uint32_t _experts, std::uint32_t _ranks);

	/// @returns By set and rank, the experts.
	std::vector<std::vector<std::vector<std::uint32_t>>> expertsByRank(const ExpertHosts& _hosts, std::uint32_t _ranks);
} // namespace archdyke
