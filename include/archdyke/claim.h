/// Claims of idempotency keys: a row in the platform's table ensures that only one entry dispatches
/// a request that may not be repeated.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "archdyke/types.h"

namespace archdyke
{
	enum class ClaimState
	{
		Claimed, ///< The request may be running.
		Ran,     ///< The request ran.
		Count
	};

	/// The row of a claim.
	struct ClaimRow
	{
		ClaimState state = ClaimState::Claimed;
		std::string nonce; ///< ID of the request that claimed the key.

		bool operator==(const ClaimRow&) const = default;
	};

	/// @returns The table key of a claim's row.
	std::string claimKey(std::string_view _service, std::string_view _organisation, std::string_view _idempotencyKey);

	/// @returns The row's value as stored.
	std::string encodeClaim(const ClaimRow& _row);

	/// @returns The row of a stored value. An unreadable value counts as claimed by an unknown
	/// request, so that no request runs on it.
	ClaimRow decodeClaim(std::string_view _value);

	enum class ClaimVerdict
	{
		Mine,       ///< Claimed by this request, which may be dispatched.
		Free,       ///< Not claimed.
		AlreadyRan, ///< A request with this key already ran.
		InDoubt,    ///< Claimed by another request, which may be running or have run.
		Count
	};

	/// Evaluates a claim's row for the request with _nonce.
	ClaimVerdict evaluateClaim(const std::optional<ClaimRow>& _row, std::string_view _nonce);
} // namespace archdyke
