/// Decides which ranks host which experts: moves as few experts as needed to keep the slowest rank near the mean,
/// within two limits set by the operator (PlacementPolicy).
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "archdyke/document.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// hosts[layer][expert]: ranks that host the expert. Its tokens are split evenly among them.
	using ExpertHosts = std::vector<std::vector<std::vector<std::uint32_t>>>;

	/// tokens[layer][expert] in a window.
	using ExpertLoad = std::vector<std::vector<double>>;

	/// Input of a plan.
	struct PlacementInput
	{
		std::uint32_t ranks = 1;
		std::uint32_t slots = 1;                 ///< Experts of one layer that a rank can host.
		ExpertHosts hosts;                       ///< Current hosts.
		ExpertLoad load;                         ///< Expected load.
		double budget = 0.0;                     ///< Maximum number of experts to stage.
		std::uint32_t maxNewExpertsPerRank = 0;  ///< Maximum new experts of a rank over all layers; 0: unlimited.
		std::uint32_t maxNewExpertsPerLayer = 0; ///< Maximum new experts of a rank per layer; 0: unlimited.
		std::vector<double> paces;               ///< By rank, step time relative to the usual one; empty: all 1.

		bool operator==(const PlacementInput&) const = default;
	};

	/// A planned placement.
	struct PlacementPlan
	{
		ExpertHosts hosts;
		std::uint32_t staged = 0; ///< Experts that ranks must load for the plan.
		double skewBefore = 0.0;  ///< See skewOf.
		double skewAfter = 0.0;

		bool operator==(const PlacementPlan&) const = default;
	};

	/// @param[in] _paces As in PlacementInput; the load of a rank is multiplied by its pace.
	/// @returns Skew, the relative excess of the slowest rank over all layers: the sum of each layer's maximum
	/// rank load, divided by the sum of the rank loads if all ranks took the same time, minus 1.
	double skewOf(const ExpertHosts& _hosts, const ExpertLoad& _load, std::uint32_t _ranks, const std::vector<double>& _paces = {});

	/// Plans moves within the budget, those with the largest skew reduction per staged expert first, until the skew
	/// is half of the tolerance.
	PlacementPlan planMoves(const PlacementInput& _input, double _skewTolerance);

	/// Baseline: places all experts from scratch, hottest experts first.
	PlacementPlan planFromScratch(const PlacementInput& _input);

	/// State of a planner for one group between windows.
	struct PlacementState
	{
		ExpertLoad smoothed;    ///< Exponential moving mean of the load.
		double allowance = 0.0; ///< Experts that may be staged; increases over time.
		Millis allowanceUpdatedAt = 0;
		bool started = false;
		std::uint32_t windowsAboveTolerance = 0; ///< Consecutive windows above the tolerance.
	};

	/// Records the load of a window and decides whether to move experts.
	/// @param[in] _input Its load is that of the window; its budget is overwritten by the allowance.
	/// @returns The plan; staged is 0 if the placement stays unchanged.
	PlacementPlan decidePlacement(PlacementState& _state, PlacementInput _input, const PlacementPolicy& _policy, Millis _now);

	/// @returns Tokens counted since an earlier count; none when an engine restarted in between or the sizes
	/// differ.
	std::optional<ExpertLoad> countsSince(const ExpertLoad& _before, const ExpertLoad& _now);

	/// @returns Tokens in a window, mean over layers.
	double meanTokensPerLayer(const ExpertLoad& _window);

	/// @returns Number of experts that ranks must load to change from one map to another.
	std::uint32_t countStaged(const ExpertHosts& _from, const ExpertHosts& _to);
} // namespace archdyke
