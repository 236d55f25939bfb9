#include "archdyke/claim.h"

namespace archdyke
{
	namespace
	{
		constexpr std::string_view kClaimed = "claimed:";
		constexpr std::string_view kRan = "ran:";
	} // namespace

	std::string claimKey(std::string_view _service, std::string_view _organisation, std::string_view _idempotencyKey)
	{
		std::string key = "claim/";
		key.append(_service).append("/").append(_organisation).append("/").append(_idempotencyKey);
		return key;
	}

	std::string encodeClaim(const ClaimRow& _row)
	{
		return std::string(ClaimState::Ran == _row.state ? kRan : kClaimed) + _row.nonce;
	}

	ClaimRow decodeClaim(std::string_view _value)
	{
		if (_value.starts_with(kRan))
		{
			return {ClaimState::Ran, std::string(_value.substr(kRan.size()))};
		}
		if (_value.starts_with(kClaimed))
		{
			return {ClaimState::Claimed, std::string(_value.substr(kClaimed.size()))};
		}
		return {ClaimState::Claimed, ""};
	}

	ClaimVerdict evaluateClaim(const std::optional<ClaimRow>& _row, std::string_view _nonce)
	{
		if (!_row)
		{
			return ClaimVerdict::Free;
		}
		if (ClaimState::Ran == _row->state)
		{
			return ClaimVerdict::AlreadyRan;
		}
		return _nonce == _row->nonce ? ClaimVerdict::Mine : ClaimVerdict::InDoubt;
	}
} // namespace archdyke
