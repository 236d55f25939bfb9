/// Distinguishes an upstream that stopped responding from one whose requests just take long.
#pragma once

#include <cstdint>

#include "archdyke/types.h"

namespace archdyke
{
	/// Activity of an upstream and of the others in its group.
	struct UpstreamActivity
	{
		std::uint32_t inFlight = 0;  ///< Requests that wait for data from it.
		Millis silentSince = 0;      ///< When it last sent data, or the first of these requests was sent, whichever is later.
		Millis groupLastHeardAt = 0; ///< When any upstream of its group last sent data.
		double passMs = 0.0;         ///< Current pass time of its group; 0 when unknown.
		bool hasQueue = false;       ///< It has more requests than it runs at once, so queued ones get no data.

		bool operator==(const UpstreamActivity&) const = default;
	};

	/// @returns Whether it is silent while others of its group respond. When the whole group is silent,
	/// its ranks wait for each other and the cause is unknown.
	bool isSilent(const UpstreamActivity& _hearing, Millis _now);

	/// @returns Whether a request should be moved away from a silent upstream.
	/// @param[in] _waitedMs Time since this request last got data, or was sent.
	bool shouldAbandonSilent(const UpstreamActivity& _hearing, Millis _waitedMs, Millis _now);
} // namespace archdyke
