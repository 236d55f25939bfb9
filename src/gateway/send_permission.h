/// Whether a request may be sent to any upstream at this moment. Asked before each act for a caller: the first send, a resend,
/// a resume, and each wait for one of them.
#pragma once

#include "gateway/request.h"

namespace archdyke::gateway
{
	/// Judges all permissions that a send needs, by the clock and the newest configuration held here, and sets in whose name the
	/// request may be sent.
	/// @returns Why the request must not be sent; none if it may.
	std::optional<Refusal> refuseSend(RequestContext& _context);

	/// @returns The refusal of a request that this gateway can't finish because it is stopping.
	Refusal refuseStopped(RequestContext& _context);

	/// @returns The refusal of a request whose deadline has passed.
	Refusal deadlineRefusal(RequestContext& _context);
} // namespace archdyke::gateway
