/// Replica of a store table that one process keeps on behalf of many: its rows, the changes since a
/// version, and up to which time of the store it is known to be current.
#pragma once

#include <deque>
#include <map>

#include "store/table_store.h"

namespace archdyke::store
{
	/// A row sent as the difference from an earlier value that the receiver has.
	struct RowDifference
	{
		std::string key;
		std::uint64_t version = 0; ///< Version of the current row.
		std::uint64_t base = 0;    ///< Version of the row that the receiver has.
		std::string difference;    ///< Difference between the two values, see archdyke/text_difference.h.

		bool operator==(const RowDifference&) const = default;
	};

	/// Update of a table that one process sends to another.
	struct TableNews
	{
		std::optional<Millis> storeTime; ///< The store's clock at which the table was current; none: nothing is known.
		std::uint64_t version = 0;       ///< All changes up to this version are included.
		bool whole = false;              ///< Full snapshot; otherwise only the changed rows.
		std::vector<Row> rows;           ///< In no particular order; without the table name, and without the value if the receiver has it.
		std::vector<RowDifference> differences;

		bool operator==(const TableNews&) const = default;
	};

	/// Replica of a followed table, including removed rows.
	struct FollowedTable
	{
		std::map<std::string, Row> rows;                      ///< By key; removed rows are kept and marked as gone.
		std::map<std::string, std::deque<Row>> earlierValues; ///< By key: the latest earlier long values of a row, oldest first.
		std::uint64_t fullReadVersion = 0;                    ///< Version of the last full read; removals before it aren't known.
		std::uint64_t version = 0;                            ///< 0: not read yet.
		std::optional<Millis> storeTime;                      ///< The store's clock at its last response.
		std::map<std::string, std::uint64_t> unusable;        ///< By key: version of a row that was found unusable.
	};

	/// Proof about the operators' table that processes send to each other: at the time storeTime of the store, the
	/// table had no change newer than version changedAt. It uses the store's clock, so that transmission delays don't
	/// matter. Of two proofs the later one is stronger.
	struct ConfigurationProof
	{
		Millis storeTime = 0;        ///< The store's clock.
		std::uint64_t changedAt = 0; ///< 0: nothing is known.

		auto operator<=>(const ConfigurationProof&) const = default;
	};

	/// One value for each table that coordinators follow on behalf of all gateways.
	template <typename Table>
	struct PerTable
	{
		Table operators{}; ///< Requests of operators: the configuration, zones to evacuate.
		Table crashes{};   ///< Upstreams that crashed while running requests.
		Table upstreams{};

		bool operator==(const PerTable&) const = default;
	};

	using FollowedTables = PerTable<FollowedTable>;
	using TablesNews = PerTable<TableNews>;
	using TableVersions = PerTable<std::uint64_t>; ///< Newest known version of each table; 0: not read yet.

	/// Applies a response of the store: a full table, or the changes since a known version.
	void mergeRows(FollowedTable& _table, const Rows& _rows, bool _whole);

	/// Applies an update from another process. Updates older than the replica are ignored.
	/// @returns false when a difference can't be applied: the replica is then cleared, so that the next update is a
	/// full snapshot.
	bool mergeNews(FollowedTable& _table, const TableNews& _news);

	/// @returns The update for a receiver that knows the table up to a version, 0 for none.
	TableNews newsSince(const FollowedTable& _table, std::uint64_t _since);

	/// @returns The rows that were written or removed after a version; all existing rows if the version is older than the
	/// last full read.
	Rows rowsSince(const FollowedTable& _table, std::uint64_t _since);

	/// @returns The configuration proof given by the operators' table. Removals before its full read aren't known, so
	/// that read counts as a change: processes with older data must apply the table first.
	ConfigurationProof proofOf(const FollowedTable& _operators);

	/// @returns The newest known version of each table.
	TableVersions versionsOf(const FollowedTables& _tables);

	/// Records that a row is unusable.
	/// @returns Whether this version of the row wasn't recorded yet. A row is logged once, however often it is read.
	bool recordUnusable(FollowedTable& _table, const Row& _row);

	/// @returns The rows ordered by their last write. A full read is ordered by key, where the row of a killed
	/// process may come after that of its successor.
	std::vector<Row> sortedByVersion(std::vector<Row> _rows);
} // namespace archdyke::store
