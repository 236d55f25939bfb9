/// What cold upstreams bear, by the configuration, the settings and the number of gateways.
#pragma once

#include "gateway/state.h"

namespace archdyke::gateway
{
	/// Tells the board what cold upstreams of each service bear now.
	void refreshColdLimits(GatewayState& _state, Millis _now);

	/// @returns How long an upstream of a service is cold after a start, ms; 0 when it isn't.
	Millis coldAfterStartMs(const GatewayState& _state, const std::string& _service);
} // namespace archdyke::gateway
