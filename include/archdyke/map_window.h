/// Choices of experts over the last moments, gathered from samples of the ranks of a group.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "archdyke/placement.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// What the requests of one rank chose between two moments, set by set.
	struct ChoicePiece
	{
		Millis from = 0;
		Millis to = 0;
		std::uint64_t epoch = 0;
		std::vector<std::uint32_t> choices;

		bool operator==(const ChoicePiece&) const = default;
	};

	/// Pieces of the last moments, oldest first.
	struct ChoiceWindow
	{
		std::deque<ChoicePiece> pieces;
	};

	/// @returns What was chosen between two counts of a rank, that each begin with its start; none when one
	/// went back: the rank has started anew, and its choices since then aren't those of the time between.
	std::optional<std::vector<std::uint32_t>> choicesBetween(const std::vector<std::uint32_t>& _before, const std::vector<std::uint32_t>& _after);

	/// Adds a piece; pieces of another epoch are forgotten, and those that ended before the window.
	void addPiece(ChoiceWindow& _window, ChoicePiece _piece, Millis _windowMs);

	/// @param[in] _experts Experts of a set.
	/// @returns Choices in about the last _windowMs, by set and expert; none before pieces
	/// span the window.
	std::optional<ExpertLoad> loadOf(const ChoiceWindow& _window, std::uint32_t _experts, Millis _windowMs);

	/// @returns The map that a group forms with: experts dealt to the ranks in turn.
	ExpertHosts dealtInTurn(std::uint32_t _sets, std::uint32_t _experts, std::uint32_t _ranks);

	/// @returns By set and rank, the experts.
	std::vector<std::vector<std::vector<std::uint32_t>>> expertsByRank(const ExpertHosts& _hosts, std::uint32_t _ranks);
} // namespace archdyke
