/// How long an upstream wants nothing from the process that calls it, a gateway or its agent, as it said itself.
///
/// Answers the load of an upstream that turns requests away and says for how long. Each caller is told by
/// itself, so each keeps what it was told; nothing passes between gateways.
#pragma once

#include <optional>
#include <string_view>

#include "archdyke/types.h"

namespace archdyke
{
	/// What an upstream asked of this process.
	struct BackOff
	{
		Millis until = 0; ///< Own clock; 0: it never asked.

		bool operator==(const BackOff&) const = default;
	};

	/// @param[in] _seconds Value of a Retry-After header (RFC 9110, 10.2.3): "3", "1.5".
	/// @returns The time in ms, a year at most; none when it is no time. A date, which HTTP allows there, isn't read.
	std::optional<Millis> parseBackOff(std::string_view _seconds);

	/// Takes in that an upstream asked for some time. A shorter one that is asked for later ends nothing.
	/// @returns Whether none was under way.
	bool noteBackOff(BackOff& _backOff, Millis _askedMs, Millis _now);

	/// @returns How much longer the upstream wants nothing, ms.
	Millis backOffLeftMs(const BackOff& _backOff, Millis _now);
} // namespace archdyke
