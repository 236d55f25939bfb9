/// Claims of idempotency keys: a row in the platform's table that lets one entry alone
/// dispatch a request that may not be repeated.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "archdyke/types.h"

namespace archdyke
{
	enum class ClaimState
	{
		Claimed, ///< Somebody may be running it.
		Ran,     ///< It ran.
		Count
	};

	/// The row of a claim.
	struct ClaimRow
	{
		ClaimState state = ClaimState::Claimed;
		std::string nonce; ///< Of the request that claimed it.

		bool operator==(const ClaimRow&) const = default;
	};

	/// @returns The key of a claim's row in the table.
	std::string claimKey(std::string_view _service, std::string_view _organisation, std::string_view _idempotencyKey);

	/// @returns The row's value as stored.
	std::string encodeClaim(const ClaimRow& _row);

	/// @returns The row of a stored value. What can't be read counts as claimed by an
	/// unknown request, so that nothing runs on it.
	ClaimRow decodeClaim(std::string_view _value);

	enum class ClaimVerdict
	{
		Mine,       ///< This request may be dispatched.
		Free,       ///< Nobody holds it.
		AlreadyRan, ///< It ran before.
		InDoubt,    ///< Another request holds it: it may be running, or have run.
		Count
	};

	/// Reads a row on behalf of the request with _nonce.
	ClaimVerdict readClaim(const std::optional<ClaimRow>& _row, std::string_view _nonce);
} // namespace archdyke
