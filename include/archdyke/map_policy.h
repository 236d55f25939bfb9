/// When another expert map pays for a group, and which.
#pragma once

#include <cstdint>

#include "archdyke/catalog.h"
#include "archdyke/placement.h"

namespace archdyke
{
	/// Length of the window of counts that a map is planned from, ms. A hot expert lasts 1 to
	/// 4 s, and what it drew 0.5 s ago tells less than what it draws now.
	constexpr Millis kCountWindowMs = 200;

	/// Time that the copies of one rank may take in a switch, ms; the rank with most of them is the time of
	/// the copying. Beside its copies a switch takes some 380: where an expert takes 76 ms, three a rank
	/// follow topics that come up every 3.5 s with 14 switches in 48 s, and one with 23 to 38, each of which
	/// may leave the group standing; with six skew is over 1 for a quarter of the time, not a fifth.
	constexpr double kCopyBudgetMs = 240.0;

	/// How long the passes of a group are, and how long they may be.
	struct PassPressure
	{
		double passMs = 0.0;       ///< Mean of the last ones; 0 when unknown.
		Millis gapObjectiveMs = 0; ///< Longest pause between events of a stream; 0 when none is declared.

		bool operator==(const PassPressure&) const = default;
	};

	/// What was decided on the map of a group.
	struct MapDecision
	{
		bool worthwhile = false;
		ExpertHosts hosts;
		double skewBefore = 0.0; ///< See skewOf.
		double skewAfter = 0.0;
		std::uint32_t copies = 0; ///< Experts that ranks must copy.

		bool operator==(const MapDecision&) const = default;
	};

	/// Plans a map within what ranks can copy at once, and tells whether the switch pays.
	/// @param[in] _hosts The map in use.
	/// @param[in] _load Choices of the last window.
	/// @param[in] _paces By rank, time of a step against the declared one; empty: all 1. All
	/// ranks wait for the slowest, so a slow one is given less.
	/// @param[in] _copyBudgetMs Time that the copies of one rank may take.
	MapDecision decideMap(const EngineModel& _model, std::uint32_t _ranks, const ExpertHosts& _hosts, const ExpertLoad& _load, const PassPressure& _pressure, const std::vector<double>& _paces = {}, double _copyBudgetMs = kCopyBudgetMs);

	/// @returns Skew that is tolerated: the more, the shorter the passes are against the
	/// objective, since copies are paid for and short passes serve nobody better.
	double toleratedSkew(const PassPressure& _pressure);
} // namespace archdyke
