/// The stage before dispatch: lets a request in, makes it wait a little, or refuses it.
#pragma once

#include "gateway/request.h"

namespace archdyke::gateway
{
	/// @returns A refusal; none when the request may be sent.
	aio::Task<std::optional<Refusal>> admit(RequestContext& _context);

	/// Notes that an upstream said that its group is at fault.
	void noteGroupFault(GatewayState& _state, const std::string& _service, Millis _now);
} // namespace archdyke::gateway
