/// Which zones are evacuated, by the newest rows of the operators' table that are known.
///
/// Load answered: an operator empties a zone and takes it back while the configuration changes, the
/// store forgets its history, and answers of it come directly or by way of others, in any order. A zone
/// must not get work again by an answer that was late, nor stay empty by one that was never sent: a
/// table that is read whole doesn't say when a row went.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace archdyke
{
	/// A row that evacuates a zone while it is there.
	struct EvacuationRow
	{
		std::string zone;
		std::uint64_t version = 0; ///< When it was last written or removed.
		bool gone = false;         ///< It was removed.

		bool operator==(const EvacuationRow&) const = default;
	};

	/// What is known of one zone's row.
	struct ZoneEvacuation
	{
		std::uint64_t version = 0; ///< Up to which it is known.
		bool inForce = false;

		bool operator==(const ZoneEvacuation&) const = default;
	};

	/// What is known of the operators' table, apart from the configuration itself.
	struct OperatorTable
	{
		std::map<std::string, ZoneEvacuation> zones; ///< Those that were taken back too, so that an older row doesn't undo it.
		std::uint64_t knownUpTo = 0;                 ///< All changes up to this version are in.

		bool operator==(const OperatorTable&) const = default;
	};

	/// A zone that is evacuated or taken back from now on.
	struct ZoneChange
	{
		std::string zone;
		std::uint64_t version = 0;
		bool evacuated = false;

		bool operator==(const ZoneChange&) const = default;
	};

	/// Takes in an answer of the store.
	/// @param[in] _rows Those of zones.
	/// @param[in] _version Up to which the answer tells all changes.
	/// @param[in] _whole The rows are all there are: a zone that isn't named isn't evacuated.
	/// @returns What has changed by it.
	std::vector<ZoneChange> takeEvacuations(OperatorTable& _table, const std::vector<EvacuationRow>& _rows, std::uint64_t _version, bool _whole);

	/// @returns Whether others know a change that isn't known here, by a proof of theirs: a proof that tells of
	/// none holds for what is known here.
	/// @param[in] _changedAt No change up to the proof is newer.
	bool isBehind(const OperatorTable& _table, std::uint64_t _changedAt);

	/// @returns Whether a zone's upstreams get nothing.
	bool isEvacuated(const OperatorTable& _table, const std::string& _zone);

	/// @returns The evacuated zones, by name.
	std::vector<std::string> evacuatedZones(const OperatorTable& _table);
} // namespace archdyke
