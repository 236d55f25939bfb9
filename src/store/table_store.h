/// The deployment's metadata store as archdyke uses it: versioned rows in tables,
/// conditional writes, and a feed of changes. An adapter implements it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "aio/task.h"
#include "archdyke/types.h"

namespace archdyke::store
{
	/// Names one row.
	struct RowKey
	{
		std::string table;
		std::string part; ///< Rows of one part can be written together.
		std::string key;

		auto operator<=>(const RowKey&) const = default;
	};

	struct Row
	{
		RowKey key;
		std::string value;
		std::uint64_t version = 0;
		bool gone = false; ///< In a feed: it was removed.

		bool operator==(const Row&) const = default;
	};

	/// Rows as of one moment, or the changes since a version.
	struct Rows
	{
		std::vector<Row> rows;
		std::uint64_t version = 0;       ///< Newest of the store.
		std::optional<Millis> storeTime; ///< The store's steady clock at the answer.
		Millis sentAt = 0;               ///< Own clock when the call was sent.
		bool more = false;               ///< Of a read: there are more rows after these.
		bool historyGone = false;        ///< Of a feed: read anew.

		bool operator==(const Rows&) const = default;
	};

	/// A write of one row on condition that it still has a version.
	struct ConditionalWrite
	{
		RowKey key;
		std::string value;
		std::uint64_t expectedVersion = 0; ///< 0: there is no such row.

		bool operator==(const ConditionalWrite&) const = default;
	};

	/// What became of a conditional write.
	struct WriteResult
	{
		bool written = false;
		std::uint64_t version = 0;  ///< Of the row as written.
		std::optional<Row> current; ///< Why not: the row as it stands; none when there is none.

		bool operator==(const WriteResult&) const = default;
	};

	/// Rows of one part that are written or removed together, whatever their versions.
	struct RowChanges
	{
		std::vector<Row> put;
		std::vector<RowKey> remove;

		bool operator==(const RowChanges&) const = default;
	};

	/// Rows of one such change, at most.
	constexpr std::size_t kMostChanges = 100;

	/// All calls throw kj::Exception when there is no answer; a write may be done then.
	class TableStore
	{
	public:
		virtual ~TableStore() = default;

		virtual aio::Task<Rows> read(std::string _table, std::string _part, std::string _from) = 0;
		virtual aio::Task<Rows> follow(std::string _table, std::uint64_t _since, Millis _waitMs) = 0;
		virtual aio::Task<WriteResult> write(ConditionalWrite _write) = 0;
		virtual aio::Task<void> change(RowChanges _changes) = 0;
	};

	/// Table in which gateways tell each other of crashes.
	constexpr const char* kCrashTable = "archdyke_crashes";

	/// Tables that operators and upstreams keep, by what they hold. The adapter names them.
	struct TableNames
	{
		std::string configuration;
		std::string configurationKey; ///< Row of the newest configuration.
		std::string upstreams;
		std::string evacuationPrefix; ///< In the configuration's table: a row with this before a zone's name evacuates it.

		bool operator==(const TableNames&) const = default;
	};
} // namespace archdyke::store
