/// Load limits of upstreams that are cold or name a limit, computed from the configuration, the settings and the number of gateways.
#pragma once

#include "gateway/state.h"

namespace archdyke::gateway
{
	/// Updates the limits for cold upstreams of each service.
	void refreshColdLimits(GatewayState& _state, Millis _now);

	/// Updates the terms of the limits that upstreams name.
	void refreshNamedLimits(GatewayState& _state, Millis _now);

	/// @returns How long an upstream of a service is cold after its start, ms; 0 when the service declares no cold time.
	Millis coldAfterStartMs(const GatewayState& _state, const std::string& _service);
} // namespace archdyke::gateway
