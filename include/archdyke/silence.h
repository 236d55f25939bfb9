/// Tells an upstream that has gone silent from one whose requests just take long.
#pragma once

#include <cstdint>

#include "archdyke/types.h"

namespace archdyke
{
	/// What was heard of an upstream, and of those that serve together with it.
	struct Hearing
	{
		std::uint32_t inFlight = 0; ///< Requests that wait for something from it.
		Millis quietSince = 0;      ///< When something was last heard from it, or the first of these was sent.
		Millis othersHeardAt = 0;   ///< When anything was last heard from any of its group.
		double passMs = 0.0;        ///< Of its group now; 0 when unknown.
		bool hasQueue = false;      ///< More requests are there than run at once: one that waits hears nothing.

		bool operator==(const Hearing&) const = default;
	};

	/// @returns Whether it is silent while others answer. When a whole group is silent, its ranks
	/// wait for each other and none is to blame.
	bool isSilent(const Hearing& _hearing, Millis _now);

	/// @returns Whether a request may be taken away from a silent upstream.
	/// @param[in] _waitedMs Since this request last heard anything, or was sent.
	bool shouldLeaveSilent(const Hearing& _hearing, Millis _waitedMs, Millis _now);
} // namespace archdyke
