/// Tracks which zones are evacuated, from the newest known rows of the operators' table.
///
/// Handles an operator who starts and ends an evacuation while the configuration changes, the store
/// loses its history, and its responses arrive directly or relayed by others, in any order. A late
/// response must not end an evacuation, and a missing one must not keep a zone evacuated: a full read
/// of the table doesn't report when a row was removed.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace archdyke
{
	/// A row of the operators' table; a zone is evacuated while its row exists.
	struct EvacuationRow
	{
		std::string zone;
		std::uint64_t version = 0; ///< Version at which it was last written or removed.
		bool gone = false;         ///< It was removed.

		bool operator==(const EvacuationRow&) const = default;
	};

	/// Known state of a zone's row.
	struct ZoneEvacuation
	{
		std::uint64_t version = 0; ///< Version up to which the state is known.
		bool inForce = false;      ///< The zone is evacuated.

		bool operator==(const ZoneEvacuation&) const = default;
	};

	/// Known state of the operators' table, apart from the configuration itself.
	struct OperatorTable
	{
		std::map<std::string, ZoneEvacuation> zones; ///< Includes zones whose evacuation ended, so that an older row doesn't start it again.
		std::uint64_t knownVersion = 0;              ///< All changes up to this version are applied.

		bool operator==(const OperatorTable&) const = default;
	};

	/// Start or end of a zone's evacuation.
	struct ZoneChange
	{
		std::string zone;
		std::uint64_t version = 0;
		bool evacuated = false;

		bool operator==(const ZoneChange&) const = default;
	};

	/// Applies a response of the store.
	/// @param[in] _rows The rows of zones in it.
	/// @param[in] _version Version up to which it includes all changes.
	/// @param[in] _whole It is a full read: a zone without a row isn't evacuated.
	/// @returns The resulting changes.
	std::vector<ZoneChange> applyEvacuationRows(OperatorTable& _table, const std::vector<EvacuationRow>& _rows, std::uint64_t _version, bool _whole);

	/// @returns Whether another process's proof covers a change that isn't known here. Otherwise the proof also
	/// holds for the state known here.
	/// @param[in] _changedAt Version of the newest change up to the proof.
	bool isMissingChange(const OperatorTable& _table, std::uint64_t _changedAt);

	/// @returns Whether a zone is evacuated: its upstreams get no requests.
	bool isEvacuated(const OperatorTable& _table, const std::string& _zone);

	/// @returns The names of the evacuated zones, sorted.
	std::vector<std::string> evacuatedZones(const OperatorTable& _table);
} // namespace archdyke
