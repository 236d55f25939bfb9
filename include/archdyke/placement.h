/// Which ranks host which experts: as few moves as needed to keep the slowest rank near
/// the mean, by two numbers that the operator sets.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "archdyke/document.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// hosts[layer][expert]: ranks that hold the expert. An expert's tokens are shared
	/// evenly among its hosts.
	using ExpertHosts = std::vector<std::vector<std::vector<std::uint32_t>>>;

	/// tokens[layer][expert] of a window.
	using ExpertLoad = std::vector<std::vector<double>>;

	/// What a plan starts from.
	struct PlacementInput
	{
		std::uint32_t ranks = 1;
		std::uint32_t slots = 1;            ///< Experts of a layer that one rank can hold.
		ExpertHosts hosts;                  ///< As they are.
		ExpertLoad load;                    ///< Expected for the time to come.
		double budget = 0.0;                ///< Experts that may be staged now.
		std::uint32_t arrivalsPerRank = 0;  ///< New experts of a rank over all layers, at most; 0: any number.
		std::uint32_t arrivalsPerLayer = 0; ///< New experts of a rank in one layer, at most; 0: any number.
		std::vector<double> paces;          ///< By rank, time of a step against the usual one; empty: all 1.

		bool operator==(const PlacementInput&) const = default;
	};

	/// A plan.
	struct PlacementPlan
	{
		ExpertHosts hosts;
		std::uint32_t staged = 0; ///< Experts that ranks must load for it.
		double skewBefore = 0.0;  ///< See skewOf.
		double skewAfter = 0.0;

		bool operator==(const PlacementPlan&) const = default;
	};

	/// @param[in] _paces As in PlacementInput: a slow rank's load counts that much more.
	/// @returns How far the slowest rank trails the mean, over all layers: sum of the
	/// layers' greatest rank loads, by the sum of what all ranks would have if each took the
	/// same time, minus 1.
	double skewOf(const ExpertHosts& _hosts, const ExpertLoad& _load, std::uint32_t _ranks, const std::vector<double>& _paces = {});

	/// Plans moves, most skew saved for each staged expert first, within the budget, until
	/// the skew is half of what the policy tolerates.
	PlacementPlan planMoves(const PlacementInput& _input, double _skewTolerance);

	/// Naive version: places everything anew, hottest experts first.
	PlacementPlan planAnew(const PlacementInput& _input);

	/// What a planner remembers of one group between windows.
	struct PlacementState
	{
		ExpertLoad smoothed;    ///< Moving mean of the windows' loads.
		double allowance = 0.0; ///< Experts that may be staged; grows with time.
		Millis grownAt = 0;
		bool started = false;
		std::uint32_t windowsOver = 0; ///< Consecutive ones above the tolerance.
	};

	/// Takes in the load of a window and decides whether to move.
	/// @param[in] _input Its budget is set from the allowance; its load is the window's.
	/// @returns A plan with staged 0 to keep everything as it is.
	PlacementPlan decidePlacement(PlacementState& _state, PlacementInput _input, const PlacementPolicy& _policy, Millis _now);

	/// @returns Tokens counted since an earlier count; none when an engine started anew in
	/// between, or the sizes differ.
	std::optional<ExpertLoad> countsSince(const ExpertLoad& _before, const ExpertLoad& _now);

	/// @returns Tokens of a window, mean over layers.
	double tokensOf(const ExpertLoad& _window);

	/// @returns Experts that ranks must load to get from one map to another.
	std::uint32_t countStaged(const ExpertHosts& _from, const ExpertHosts& _to);
} // namespace archdyke
