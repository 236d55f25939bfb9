/// Acceptance of configuration versions: a version is staged in every zone, then accepted, and never
/// rolled back to an older number.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/types.h"

namespace archdyke
{
	/// Identifies one version of the configuration. Version 0 stands for none.
	struct ConfigMark
	{
		std::uint64_t version = 0;
		std::string digest; ///< SHA-256 of the document's bytes, hex.

		auto operator<=>(const ConfigMark&) const = default;
	};

	/// Configuration versions that one entry holds.
	struct HeldConfig
	{
		ConfigMark head;   ///< Version in force on this entry.
		ConfigMark staged; ///< Version held but not in force; version 0 for none.

		bool operator==(const HeldConfig&) const = default;
	};

	/// The table's row for the version being staged.
	struct StageRow
	{
		ConfigMark mark;
		std::string nonce; ///< ID of the apply that staged it.

		bool operator==(const StageRow&) const = default;
	};

	/// The table's row for the accepted version.
	struct HeadRow
	{
		ConfigMark mark;
		std::string nonce; ///< ID of the apply that accepted it; resolves a lost confirmation.

		bool operator==(const HeadRow&) const = default;
	};

	/// @returns Whether an accepted version is newer than the one in force, so that the entry should
	/// fetch it and put it in force.
	bool isNewer(const HeldConfig& _held, const ConfigMark& _head);

	/// Puts a version in force if it is newer than the one in force.
	/// @returns Whether anything changed.
	bool adoptHead(HeldConfig& _held, const ConfigMark& _head);

	/// Records a staged version whose bytes are held. Ignores a version that isn't newer than the head.
	/// @returns Whether anything changed.
	bool recordStaged(HeldConfig& _held, const ConfigMark& _staged);

	/// Versions that a peer of the same zone reports to hold.
	struct PeerConfig
	{
		std::string name;
		ConfigMark head;
		ConfigMark staged;

		bool operator==(const PeerConfig&) const = default;
	};

	/// @returns Whether a zone may confirm a staged version: this entry holds it, and every reachable
	/// entry of its zone holds it or has it or a newer one in force.
	bool mayConfirmStaged(const HeldConfig& _held, const std::vector<PeerConfig>& _zonePeers, const ConfigMark& _staged);

	/// Result of a check of the confirmations.
	struct AcceptanceStatus
	{
		std::vector<std::string> missing; ///< Zones that have not confirmed yet.

		bool operator==(const AcceptanceStatus&) const = default;
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
	AcceptanceStatus checkAcceptance(const StageRow& _stage, const std::vector<std::string>& _zonesWithEntries, const std::vector<ZoneConfirmation>& _confirmations);

	/// How an apply ended.
	enum class ApplyEnd
	{
		Accepted,
		Conflict,    ///< Another apply accepted or staged a version.
		NotAccepted, ///< Nothing changed.
		Count
	};

	/// Resolves an update of the head whose response was lost.
	/// @param[in] _accepted Nonce of the apply that accepted the staged version's number, if any did.
	/// Written together with the head in one transaction.
	/// @returns Accepted or Conflict; none if the update has not taken effect.
	std::optional<ApplyEnd> resolveHeadUpdate(const StageRow& _stage, const std::optional<std::string>& _accepted);
} // namespace archdyke
