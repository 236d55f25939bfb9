/// Decides whether a group should switch to another expert map, and plans that map.
#pragma once

#include <cstdint>

#include "archdyke/catalog.h"
#include "archdyke/placement.h"

namespace archdyke
{
	/// Length of the window of counts that a map is planned from, ms. An expert stays hot for 1 to 4 s, so
	/// counts from 0.5 s ago are less relevant than current ones.
	constexpr Millis kCountWindowMs = 200;

	/// Maximum copying time of one rank in a switch, ms; the rank with the most copies determines the copying
	/// time of the group. The rest of a switch takes about 380 ms. With 76 ms per expert and a new topic every
	/// 3.5 s, three copies per rank need 14 switches in 48 s and one copy needs 23 to 38, each of which may stall
	/// the group; with six copies skew exceeds 1 for a quarter of the time instead of a fifth.
	constexpr double kCopyBudgetMs = 240.0;

	/// Duration of the passes of a group, and its objective.
	struct PassTiming
	{
		double passMs = 0.0;       ///< Mean of the last passes; 0 when unknown.
		Millis gapObjectiveMs = 0; ///< Longest pause between events of a stream; 0 when none is declared.

		bool operator==(const PassTiming&) const = default;
	};

	/// A decision on the map of a group.
	struct MapDecision
	{
		bool worthwhile = false;
		ExpertHosts hosts;
		double skewBefore = 0.0; ///< See skewOf.
		double skewAfter = 0.0;
		std::uint32_t copies = 0; ///< Number of experts that ranks must copy.

		bool operator==(const MapDecision&) const = default;
	};

	/// Plans a map within the copy limits of a switch, and decides whether the switch is worthwhile.
	/// @param[in] _hosts The map in use.
	/// @param[in] _load Expert choices counted in the last window.
	/// @param[in] _paces By rank, step time relative to the declared one; empty: all 1. All ranks wait for the
	/// slowest, so a slow rank gets less load.
	/// @param[in] _copyBudgetMs Maximum copying time of one rank.
	MapDecision planMap(const EngineModel& _model, std::uint32_t _ranks, const ExpertHosts& _hosts, const ExpertLoad& _load, const PassTiming& _pressure, const std::vector<double>& _paces = {}, double _copyBudgetMs = kCopyBudgetMs);

	/// @returns The tolerated skew. It increases as passes get shorter relative to the objective, since copies have
	/// a cost and passes within the objective bring no benefit by being shorter.
	double toleratedSkew(const PassTiming& _pressure);
} // namespace archdyke
