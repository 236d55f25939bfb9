/// When another expert map pays for a group, and which.
#pragma once

#include <cstdint>

#include "archdyke/catalog.h"
#include "archdyke/placement.h"

namespace archdyke
{
	/// Length of the window of counts that a map is planned from, ms. A hot expert lasts 1 to
	/// 4 s, and what it drew 0.5 s ago tells less than what it draws now.
	constexpr Millis kCountWindowMs = 250;

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
	MapDecision decideMap(const EngineModel& _model, std::uint32_t _ranks, const ExpertHosts& _hosts, const ExpertLoad& _load);
} // namespace archdyke
