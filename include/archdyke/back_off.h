/// Back-off that an upstream requests from the process that calls it, a gateway or its agent.
///
/// Handles an upstream that rejects requests with a Retry-After. Each calling process gets such a response
/// itself and keeps its own state; gateways don't exchange it.
#pragma once

#include <optional>
#include <string_view>

#include "archdyke/types.h"

namespace archdyke
{
	/// Back-off that an upstream requested from this process.
	struct BackOff
	{
		Millis until = 0; ///< Local clock; 0 if it never requested any.

		bool operator==(const BackOff&) const = default;
	};

	/// @param[in] _seconds Value of a Retry-After header (RFC 9110, 10.2.3): "3", "1.5".
	/// @returns The delay in ms, a year at most; none when it isn't a number of seconds. The date form that HTTP allows isn't supported.
	std::optional<Millis> parseRetryAfter(std::string_view _seconds);

	/// Records a back-off requested by an upstream. A later, shorter request doesn't end an active back-off earlier.
	/// @returns Whether no back-off was active before.
	bool recordBackOff(BackOff& _backOff, Millis _askedMs, Millis _now);

	/// @returns Remaining back-off of the upstream, ms.
	Millis remainingBackOffMs(const BackOff& _backOff, Millis _now);
} // namespace archdyke
