/// Interface to the deployment's metadata store: tables of versioned rows, conditional writes and a change
/// feed. Implemented by an adapter.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "aio/task.h"
#include "archdyke/types.h"

namespace archdyke::store
{
	/// A version of a row or table: the store's era in the high bits, its counter in the low ones. When the store comes back
	/// from an earlier copy, its counter goes back and gives out the same numbers again, and its era rises. With the
	/// era first, versions are ordered as they were given out, and no two contents share one.
	constexpr unsigned kCounterBits = 40;

	constexpr std::uint64_t makeVersion(std::uint64_t _era, std::uint64_t _counter)
	{
		return (_era << kCounterBits) | (_counter & ((std::uint64_t(1) << kCounterBits) - 1));
	}

	constexpr std::uint64_t eraOf(std::uint64_t _version)
	{
		return _version >> kCounterBits;
	}

	constexpr std::uint64_t counterOf(std::uint64_t _version)
	{
		return makeVersion(0, _version);
	}

	/// @returns "ERA.COUNTER", for logs.
	inline std::string versionText(std::uint64_t _version)
	{
		return std::to_string(eraOf(_version)) + "." + std::to_string(counterOf(_version));
	}

	/// Identifies one row.
	struct RowKey
	{
		std::string table;
		std::string part; ///< Rows of the same part can be written atomically.
		std::string key;

		auto operator<=>(const RowKey&) const = default;
	};

	struct Row
	{
		RowKey key;
		std::string value;
		std::uint64_t version = 0; ///< See makeVersion().
		bool gone = false;         ///< In a change feed: the row was removed.

		bool operator==(const Row&) const = default;
	};

	/// Rows at one point in time, or the changes since a version.
	struct Rows
	{
		std::vector<Row> rows;
		std::uint64_t version = 0;       ///< Newest version in the store, see makeVersion().
		std::uint64_t era = 0;           ///< Rises each time the store comes back from an earlier copy.
		std::optional<Millis> storeTime; ///< The store's steady clock at the time of the response.
		Millis sentAt = 0;               ///< Local clock when the call was sent.
		bool more = false;               ///< For reads: there are more rows after these.
		bool historyTruncated = false;   ///< For change feeds: the store lacks the changes since that version, and the table must be read again.

		bool operator==(const Rows&) const = default;
	};

	/// A write of one row that succeeds only if the row still has the expected version.
	struct ConditionalWrite
	{
		RowKey key;
		std::string value;
		std::uint64_t expectedVersion = 0; ///< 0: the row must not exist.

		bool operator==(const ConditionalWrite&) const = default;
	};

	/// Result of a conditional write.
	struct WriteResult
	{
		bool written = false;
		std::uint64_t version = 0;  ///< Version of the written row.
		std::optional<Row> current; ///< If not written: the current row; none when it doesn't exist.

		bool operator==(const WriteResult&) const = default;
	};

	/// Rows of one part that are written or removed atomically, regardless of their versions.
	struct RowChanges
	{
		std::vector<Row> put;
		std::vector<RowKey> remove;

		bool operator==(const RowChanges&) const = default;
	};

	/// Maximum number of rows in one RowChanges.
	constexpr std::size_t kMaxRowChanges = 100;

	/// All calls throw kj::Exception when there is no response; a write may have been done nevertheless. With an
	/// EraStore around it, a write that expects a version of an earlier era throws, too.
	class TableStore
	{
	public:
		virtual ~TableStore() = default;

		virtual aio::Task<Rows> read(std::string _table, std::string _part, std::string _from) = 0;
		virtual aio::Task<Rows> follow(std::string _table, std::uint64_t _since, Millis _waitMs) = 0;
		virtual aio::Task<WriteResult> write(ConditionalWrite _write) = 0;
		virtual aio::Task<void> change(RowChanges _changes) = 0;
	};

	/// Table in which gateways share crashes of upstreams.
	constexpr const char* kCrashTable = "archdyke_crashes";

	/// Names of the tables and rows written by operators and upstreams, as given by the adapter.
	struct TableNames
	{
		std::string configuration;
		std::string configurationKey; ///< Key of the row with the newest configuration.
		std::string upstreams;
		std::string evacuationPrefix; ///< Key prefix in the configuration's table: a row whose key is this prefix and a zone's name evacuates the zone.

		bool operator==(const TableNames&) const = default;
	};
} // namespace archdyke::store
