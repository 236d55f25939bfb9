/// A table as one process follows it for many: its rows, what changed since a version, and when
/// the store had nothing newer.
#pragma once

#include <deque>
#include <map>

#include "store/table_store.h"

namespace archdyke::store
{
	/// A row whose receiver has a value that it had before.
	struct RowDifference
	{
		std::string key;
		std::uint64_t version = 0; ///< Of the row as it is now.
		std::uint64_t base = 0;    ///< Of the row as the receiver has it.
		std::string difference;    ///< Between their values: archdyke/text_difference.h.

		bool operator==(const RowDifference&) const = default;
	};

	/// What one process tells another of a table.
	struct TableNews
	{
		std::optional<Millis> storeTime; ///< The store's clock when it had no more; none: nothing is known.
		std::uint64_t version = 0;       ///< Up to which all changes are there.
		bool whole = false;              ///< The rows are all there are; else those that changed.
		std::vector<Row> rows;           ///< In no order; without their table, and without the value if known already.
		std::vector<RowDifference> differences;

		bool operator==(const TableNews&) const = default;
	};

	/// The rows of a followed table, those that went too.
	struct FollowedTable
	{
		std::map<std::string, Row> rows;                ///< By key; a row that went stays, as gone.
		std::map<std::string, std::deque<Row>> earlier; ///< By key: long values that it had before, the oldest first; some of each.
		std::uint64_t wholeAt = 0;                      ///< Version of the whole read; what went before isn't known.
		std::uint64_t version = 0;                      ///< 0: not read yet.
		std::optional<Millis> storeTime;                ///< The store's clock at its last answer.
	};

	/// A statement on the table of what operators have asked for, as processes tell it to each other: up to a moment
	/// of the store no change was newer than a version. In the store's time, so that it doesn't matter how long it was
	/// on its way. Of two the later one says more.
	struct ConfigurationProof
	{
		Millis storeTime = 0;        ///< The store's clock.
		std::uint64_t changedAt = 0; ///< 0: nothing is known.

		auto operator<=>(const ConfigurationProof&) const = default;
	};

	/// The tables that coordinators follow for all gateways, and what is done with one after the other.
	template <typename Table>
	struct PerTable
	{
		Table operators{}; ///< What operators have asked for: the configuration, zones to evacuate.
		Table crashes{};   ///< Upstreams that ended under requests.
		Table upstreams{};

		bool operator==(const PerTable&) const = default;
	};

	using FollowedTables = PerTable<FollowedTable>;
	using TablesNews = PerTable<TableNews>;
	using TableVersions = PerTable<std::uint64_t>; ///< Up to which each is known; 0: not read yet.

	/// Takes in an answer of the store: a whole table, or the changes since a version that is known.
	void takeRows(FollowedTable& _table, const Rows& _rows, bool _whole);

	/// Takes in what another process told of the table; of two the one that knows more counts.
	/// @returns false when it can't be used with what is known here: the table is forgotten, and so told anew.
	bool takeNews(FollowedTable& _table, const TableNews& _news);

	/// @returns What is told to one who knows the table up to a version, 0 for none.
	TableNews newsSince(const FollowedTable& _table, std::uint64_t _since);

	/// @returns The rows that were written or removed after a version; all, as a whole table, for one before its whole read.
	Rows rowsSince(const FollowedTable& _table, std::uint64_t _since);

	/// @returns What the table says of the operators. What went before its whole read isn't known, so that read
	/// counts as a change: whoever knows less must take the table in first.
	ConfigurationProof proofOf(const FollowedTable& _operators);

	/// @returns Up to which versions the tables are known.
	TableVersions versionsOf(const FollowedTables& _tables);

	/// @returns The rows in the order in which they were last written. A whole table comes by its keys,
	/// where the row of a process that was killed may stand behind that of the one after it.
	std::vector<Row> inOrderOfWriting(std::vector<Row> _rows);
} // namespace archdyke::store
