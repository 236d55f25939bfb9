/// What the parts of the coordinator share.
#pragma once

#include "archdyke/types.h"

namespace archdyke::group
{
	/// Between two looks at the ranks while no switch is open, ms: a hot expert lasts 1 to 4 s.
	constexpr Millis kIdleLookMs = 60;
	/// What a rank last said counts for this long, ms: several looks, and a lost answer.
	constexpr Millis kViewMaxAgeMs = 600;
	/// Between two direct questions while no switch is open, ms, so that the rank counts as seen
	/// all the time; each one is paid for.
	constexpr Millis kDirectEveryMs = 200;
	/// The same while a switch is open: it waits for what the rank says.
	constexpr Millis kDirectSwitchingMs = 25;
	/// The time of a pass is the mean over about this long, ms: some passes.
	constexpr Millis kPassWindowMs = 500;
} // namespace archdyke::group
