/// Constants shared by the coordinator's source files.
#pragma once

#include "archdyke/types.h"

namespace archdyke::group
{
	/// Interval between polls of the ranks while no switch is open, ms: a hot expert lasts 1 to 4 s.
	constexpr Millis kIdlePollIntervalMs = 60;
	/// Maximum age of a rank's report, ms: several polls, so that one lost response doesn't matter.
	constexpr Millis kViewMaxAgeMs = 600;
	/// Interval between direct polls of an engine while no switch is open, ms: short enough that the
	/// rank always counts as seen, and no shorter because each poll has a cost.
	constexpr Millis kDirectPollIntervalMs = 200;
	/// The same while a switch is open, which waits for the rank's report.
	constexpr Millis kDirectSwitchingPollIntervalMs = 25;
	/// Period over which the time of a pass is averaged, ms: several passes.
	constexpr Millis kPassWindowMs = 500;
} // namespace archdyke::group
