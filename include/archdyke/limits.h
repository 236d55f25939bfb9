/// Rate limits of organisations: one token bucket each, its rate divided among the entries.
#pragma once

#include <cstdint>
#include <optional>

#include "archdyke/types.h"

namespace archdyke
{
	/// Rate limit of an organisation.
	struct RateLimit
	{
		double perSecond = 0.0; ///< Requests per second.
		double burst = 0.0;     ///< Capacity of the bucket, requests.

		bool operator==(const RateLimit&) const = default;
	};

	/// State of a token bucket. A new bucket is full.
	struct TokenBucket
	{
		double tokens = 0.0;
		Millis updatedAt = 0;
		bool used = false;

		bool operator==(const TokenBucket&) const = default;
	};

	/// @returns The share of a limit that each of _entries entries enforces. The shares add up to
	/// the limit, except that each entry allows a burst of at least one request.
	RateLimit rateLimitPerEntry(const RateLimit& _limit, std::uint32_t _entries);

	/// Takes a token.
	/// @returns None if a token was taken, else the time until the next token, ms.
	std::optional<Millis> takeToken(TokenBucket& _bucket, const RateLimit& _limit, Millis _now);
} // namespace archdyke
