/// Who waits while no group of a service serves. The load pattern: all ranks of a group stand still and
/// form anew, or all processes were killed, and callers whose streams broke come back before it opens.
/// Most callers come back once, so one that is refused then is lost.
#pragma once

#include <optional>

#include "archdyke/types.h"

namespace archdyke
{
	/// Since when no group of a service serves, as one gateway sees it when requests come.
	struct Outage
	{
		Millis since = 0; ///< 0: none is under way.
		Millis seenAt = 0;

		bool operator==(const Outage&) const = default;
	};

	/// A caller of a service that nobody serves just now.
	struct WaitingCaller
	{
		bool cameBack = false; ///< It was refused before, or its answer broke.
		Millis patienceMs = 0; ///< What it had left when it came.
		Millis waitedMs = 0;

		bool operator==(const WaitingCaller&) const = default;
	};

	/// Notes whether any group serves.
	void noteOutage(Outage& _outage, bool _serves, Millis _now);

	/// @returns Whether a caller may wait on: it is here for the second time, a group is expected to open
	/// soon, and enough of its patience is left then. Others are told when to come back.
	bool mayAwaitOpening(const Outage& _outage, const WaitingCaller& _caller, Millis _now);

	/// @returns When a group is expected to open, ms from now; none when the outage has lasted too long to
	/// tell. Who comes back a little early waits.
	std::optional<Millis> expectedOpeningMs(const Outage& _outage, Millis _now);
} // namespace archdyke
