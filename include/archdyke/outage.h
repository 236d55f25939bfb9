/// Decides which callers wait while no group of a service is serving. This happens when all ranks of a
/// group stall and form again, or all processes were killed: callers whose streams broke retry before the
/// group opens. Most callers retry once, so one that is refused then is lost.
#pragma once

#include <optional>

#include "archdyke/types.h"

namespace archdyke
{
	/// Outage of a service, as observed by one gateway when requests arrive.
	struct Outage
	{
		Millis since = 0;  ///< 0: no outage.
		Millis seenAt = 0; ///< When a request last observed it.

		bool operator==(const Outage&) const = default;
	};

	/// A caller of a service during an outage.
	struct WaitingCaller
	{
		bool isReturningCaller = false; ///< It was refused before, or its response broke off.
		Millis patienceMs = 0;          ///< Time until it gives up, as of its arrival.
		Millis waitedMs = 0;

		bool operator==(const WaitingCaller&) const = default;
	};

	/// Records whether any group is serving.
	void recordOutage(Outage& _outage, bool _serves, Millis _now);

	/// @returns Whether a caller may keep waiting: it is a returning caller, a group is expected to open
	/// soon, and enough time is left then before it gives up. Others get a retry delay.
	bool mayWaitForRecovery(const Outage& _outage, const WaitingCaller& _caller, Millis _now);

	/// @returns Expected time until a group opens, ms; none if there is no outage or it has lasted too long for
	/// an estimate. Callers that retry slightly early wait.
	std::optional<Millis> expectedRecoveryMs(const Outage& _outage, Millis _now);
} // namespace archdyke
