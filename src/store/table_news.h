/// A table as one process follows it for many: its rows, what changed since a version, and when
/// the store had nothing newer.
#pragma once

#include <map>

#include "store/table_store.h"

namespace archdyke::store
{
	/// What one process tells another of a table.
	struct TableNews
	{
		std::optional<Millis> storeTime; ///< The store's clock when it had no more; none: nothing is known.
		std::uint64_t version = 0;       ///< Up to which all changes are there.
		bool whole = false;              ///< The rows are all there are; else those that changed.
		std::vector<Row> rows;           ///< In no order; without their table, and without the value if known already.

		bool operator==(const TableNews&) const = default;
	};

	/// The rows of a followed table, those that went too.
	struct FollowedTable
	{
		std::map<std::string, Row> rows; ///< By key; a row that went stays, as gone.
		std::uint64_t wholeAt = 0;       ///< Version of the whole read; what went before isn't known.
		std::uint64_t version = 0;       ///< 0: not read yet.
		std::optional<Millis> storeTime; ///< The store's clock at its last answer.
	};

	/// A proof of what operators have asked for, configuration and evacuations, as processes tell it to
	/// each other. In the store's time, so that it doesn't matter how long it was on its way.
	struct ConfigurationProof
	{
		std::uint64_t changedAt = 0; ///< Version in the store: no change that the teller knows is newer; 0: nothing is known.
		Millis storeTime = 0;        ///< The store's clock when it had no more.

		auto operator<=>(const ConfigurationProof&) const = default;
	};

	/// Takes in an answer of the store: a whole table, or the changes since table.version.
	void takeRows(FollowedTable& _table, const Rows& _rows, bool _whole);

	/// Takes in what another process told of the table; of two the one that knows more counts.
	void takeNews(FollowedTable& _table, const TableNews& _news);

	/// @returns What is told to one who knows the table up to a version, 0 for none.
	TableNews newsSince(const FollowedTable& _table, std::uint64_t _since);

	/// @returns The rows in the order in which they were last written. A whole table comes by its keys,
	/// where the row of a process that was killed may stand behind that of the one after it.
	std::vector<Row> inOrderOfWriting(std::vector<Row> _rows);
} // namespace archdyke::store
