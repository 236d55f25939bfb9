/// The stage before dispatch: lets a request in, makes it wait a little, or refuses it.
#pragma once

#include "gateway/request.h"

namespace archdyke::gateway
{
	/// Chooses the group of a request's service that it goes to first, when one has room.
	/// @returns A refusal; none when the request may be sent.
	aio::Task<std::optional<Refusal>> admit(RequestContext& _context);

	/// Chooses a group for a further try: one that has room and didn't fail the request, else any
	/// that isn't down.
	/// @returns null when there is none.
	GroupRef chooseGroupAgain(RequestContext& _context);

	/// Notes that an upstream said that its group is at fault.
	void noteGroupFault(UpstreamGroup& _group, Millis _now);
} // namespace archdyke::gateway
