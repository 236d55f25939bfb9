/// The admission stage: admits a request to dispatch, delays it briefly, or refuses it.
#pragma once

#include "gateway/request.h"

namespace archdyke::gateway
{
	/// Admits a request once a group of its service has room, and chooses that group for the first attempt.
	/// @returns A refusal; none when the request may be sent.
	aio::Task<std::optional<Refusal>> admit(RequestContext& _context);

	/// Chooses a group for a further attempt: preferably one that has room and hasn't failed the request,
	/// otherwise any group that isn't down.
	/// @returns null when there is none.
	GroupRef chooseGroupForRetry(RequestContext& _context);

	/// Records that an upstream reported a fault of its group.
	void recordGroupFault(UpstreamGroup& _group, Millis _now);
} // namespace archdyke::gateway
