/// Configuration versions: staged in every zone first, then accepted, never taken back.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/types.h"

namespace archdyke
{
	/// Names one version of the configuration. Version 0 is none.
	struct ConfigMark
	{
		std::uint64_t version = 0;
		std::string digest; ///< SHA-256 of the document's bytes, hex.

		auto operator<=>(const ConfigMark&) const = default;
	};

	/// What one entry holds.
	struct HeldConfig
	{
		ConfigMark head;   ///< In force here.
		ConfigMark staged; ///< Held, not in force. Version 0 for none.

		bool operator==(const HeldConfig&) const = default;
	};

	/// The table's row of the version being staged.
	struct StageRow
	{
		ConfigMark mark;
		std::string nonce; ///< Of the apply that staged it.

		bool operator==(const StageRow&) const = default;
	};

	/// The table's row of the accepted version.
	struct HeadRow
	{
		ConfigMark mark;
		std::string nonce; ///< Of the apply that moved it; settles a lost confirmation.

		bool operator==(const HeadRow&) const = default;
	};

	/// @returns Whether the entry should fetch and put in force the accepted version it
	/// hears of. Never an older one.
	bool isNewer(const HeldConfig& _held, const ConfigMark& _head);

	/// Puts a version in force, if it is newer than what is.
	/// @returns Whether anything changed.
	bool adoptHead(HeldConfig& _held, const ConfigMark& _head);

	/// Notes a staged version whose bytes are held.
	/// @returns Whether anything changed. A version not above the head is not staged.
	bool holdStaged(HeldConfig& _held, const ConfigMark& _staged);

	/// What one peer of the same zone says it holds.
	struct PeerHolding
	{
		std::string name;
		ConfigMark head;
		ConfigMark staged;

		bool operator==(const PeerHolding&) const = default;
	};

	/// @returns Whether a zone may confirm a staged version: this entry and every
	/// reachable entry of its zone hold it or have a newer one in force.
	bool zoneHolds(const HeldConfig& _held, const std::vector<PeerHolding>& _zonePeers, const ConfigMark& _staged);

	/// Result of one look at the confirmations.
	struct AcceptanceView
	{
		std::vector<std::string> missing; ///< Zones that have not confirmed.

		bool operator==(const AcceptanceView&) const = default;
	};

	/// A zone's confirmation, from the table.
	struct ZoneConfirmation
	{
		std::string zone;
		ConfigMark mark;
		std::string nonce;

		bool operator==(const ZoneConfirmation&) const = default;
	};

	/// @returns The zones with live entries that have not confirmed the staged row.
	AcceptanceView viewAcceptance(const StageRow& _stage, const std::vector<std::string>& _zonesWithEntries, const std::vector<ZoneConfirmation>& _confirmations);

	/// How an apply ended.
	enum class ApplyEnd
	{
		Accepted,
		Conflict,    ///< Another apply moved the head or took the stage.
		NotAccepted, ///< Nothing changed.
		Count
	};

	/// Settles a move of the head whose answer was lost.
	/// @param[in] _accepted Nonce of the apply that made the staged version's number the
	/// accepted one, if any did. Written with the head in one transaction.
	/// @returns Accepted or Conflict; none when the move has not taken effect.
	std::optional<ApplyEnd> settleMove(const StageRow& _stage, const std::optional<std::string>& _accepted);
} // namespace archdyke
