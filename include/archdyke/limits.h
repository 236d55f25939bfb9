/// Limits of organisations: a token bucket each, its rate divided among the entries.
#pragma once

#include <cstdint>
#include <optional>

#include "archdyke/types.h"

namespace archdyke
{
	/// What one entry lets an organisation do.
	struct RateLimit
	{
		double perSecond = 0.0; ///< Requests a second.
		double burst = 0.0;     ///< Requests at once.

		bool operator==(const RateLimit&) const = default;
	};

	/// State of a bucket. A new one is full.
	struct Bucket
	{
		double tokens = 0.0;
		Millis updatedAt = 0;
		bool used = false;

		bool operator==(const Bucket&) const = default;
	};

	/// @returns The part of a limit that one of _entries entries may give out. The sum
	/// over all entries is the limit; a burst is at least one request an entry.
	RateLimit shareOf(const RateLimit& _limit, std::uint32_t _entries);

	/// Takes a token.
	/// @returns Nothing when there was one; else the time until there is one, ms.
	std::optional<Millis> takeToken(Bucket& _bucket, const RateLimit& _limit, Millis _now);
} // namespace archdyke
