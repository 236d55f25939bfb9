#include "store/table_news.h"

#include <algorithm>
#include <utility>

#include "archdyke/text_difference.h"

namespace archdyke::store
{
	namespace
	{
		/// Minimum length of values that are sent as differences from a value that the receiver has, bytes.
		constexpr std::size_t kMinDifferenceValueBytes = 1'024;
		/// Maximum number of earlier values kept of a row. Receivers that have none of them get the full value.
		constexpr std::size_t kMaxEarlierValues = 4;
		/// A difference is sent only if its length is at most this share of the value's length.
		constexpr double kMaxDifferenceShare = 0.5;

		void put(FollowedTable& _table, const Row& _row)
		{
			Row& known = _table.rows[_row.key.key];
			if (0 != known.version && _row.version <= known.version)
			{
				return;
			}
			if (kMinDifferenceValueBytes <= known.value.size())
			{
				std::deque<Row>& earlierValues = _table.earlierValues[_row.key.key];
				earlierValues.push_back(std::move(known));
				while (kMaxEarlierValues < earlierValues.size())
				{
					earlierValues.pop_front();
				}
			}
			known = _row;
		}

		/// Drops the rows that a full snapshot no longer contains.
		void keepOnly(FollowedTable& _table, const std::map<std::string, Row>& _rows)
		{
			std::erase_if(_table.rows, [&](const auto& _entry) {
				return !_rows.contains(_entry.first);
			});
			std::erase_if(_table.earlierValues, [&](const auto& _entry) {
				return !_rows.contains(_entry.first);
			});
			std::erase_if(_table.unusable, [&](const auto& _entry) {
				return !_rows.contains(_entry.first);
			});
		}

		/// @returns The row as it was at a version; null when its value at that version isn't known.
		const Row* valueAt(const FollowedTable& _table, const Row& _row, std::uint64_t _version)
		{
			const auto earlierValues = _table.earlierValues.find(_row.key.key);
			if (_table.earlierValues.end() == earlierValues)
			{
				return nullptr;
			}
			const auto later = std::find_if(earlierValues->second.begin(), earlierValues->second.end(), [&](const Row& _candidate) {
				return _candidate.version > _version;
			});
			return earlierValues->second.begin() == later ? nullptr : &*(later - 1);
		}

		/// @returns The row as the difference from its value at a version that the receiver knows; none when the full value
		/// must be sent.
		std::optional<RowDifference> differenceSince(const FollowedTable& _table, const Row& _row, std::uint64_t _since)
		{
			const Row* base = kMinDifferenceValueBytes <= _row.value.size() ? valueAt(_table, _row, _since) : nullptr;
			if (nullptr == base)
			{
				return std::nullopt;
			}
			RowDifference difference{_row.key.key, _row.version, base->version, makeTextDifference(base->value, _row.value)};
			const bool isWorthwhile = double(difference.difference.size()) <= kMaxDifferenceShare * double(_row.value.size());
			return isWorthwhile ? std::optional(std::move(difference)) : std::nullopt;
		}

		/// The full rows of an update, resolved with the rows of the replica.
		struct ResolvedRows
		{
			std::map<std::string, Row> rows; ///< By key.
			bool baseDiffers = false;        ///< A difference is based on another value than the replica has: the update is skipped, the next one fits.
			bool isInvalid = false;          ///< A difference can't be applied to the value that it is based on.
		};

		ResolvedRows resolveRows(const FollowedTable& _table, const TableNews& _news)
		{
			ResolvedRows resolved;
			for (const Row& row : _news.rows)
			{
				const auto known = _table.rows.find(row.key.key);
				const bool same = row.value.empty() && _table.rows.end() != known && known->second.version == row.version;
				resolved.rows[row.key.key] = same ? known->second : row;
			}
			for (const RowDifference& difference : _news.differences)
			{
				const auto found = _table.rows.find(difference.key);
				const std::uint64_t known = _table.rows.end() == found ? 0 : found->second.version;
				if (known == difference.version)
				{
					resolved.rows[difference.key] = found->second;
					continue;
				}
				std::optional<std::string> value = known == difference.base && 0 != known ? applyTextDifference(found->second.value, difference.difference) : std::nullopt;
				resolved.baseDiffers = resolved.baseDiffers || known != difference.base;
				resolved.isInvalid = resolved.isInvalid || (known == difference.base && !value);
				if (value)
				{
					resolved.rows[difference.key] = Row{{"", "", difference.key}, std::move(*value), difference.version, false};
				}
			}
			return resolved;
		}
	} // namespace

	void mergeRows(FollowedTable& _table, const Rows& _rows, bool _whole)
	{
		if (_rows.version < _table.version)
		{
			return;
		}
		if (_whole)
		{
			std::map<std::string, Row> rows;
			for (const Row& row : _rows.rows)
			{
				rows[row.key.key] = row;
			}
			keepOnly(_table, rows);
			_table.fullReadVersion = _rows.version;
		}
		for (const Row& row : _rows.rows)
		{
			put(_table, row);
		}
		_table.version = _rows.version;
		_table.storeTime = std::max(_table.storeTime, _rows.storeTime);
	}

	bool mergeNews(FollowedTable& _table, const TableNews& _news)
	{
		const bool fits = _news.whole || 0 != _table.version; // changes can't be applied to an empty replica
		if (!_news.storeTime || _news.version < _table.version || !fits)
		{
			return true;
		}
		const ResolvedRows resolved = resolveRows(_table, _news);
		if (resolved.isInvalid)
		{
			std::map<std::string, std::uint64_t> unusable = std::move(_table.unusable);
			_table = {};
			_table.unusable = std::move(unusable);
			return false;
		}
		if (resolved.baseDiffers)
		{
			return true;
		}
		if (_news.whole)
		{
			keepOnly(_table, resolved.rows);
			_table.fullReadVersion = _news.version;
		}
		for (const auto& [key, row] : resolved.rows)
		{
			put(_table, row);
		}
		_table.version = _news.version;
		_table.storeTime = std::max(_table.storeTime, _news.storeTime);
		return true;
	}

	TableNews newsSince(const FollowedTable& _table, std::uint64_t _since)
	{
		TableNews news;
		if (0 == _table.version || !_table.storeTime)
		{
			return news;
		}
		news.storeTime = _table.storeTime;
		news.version = _table.version;
		news.whole = _since < _table.fullReadVersion;
		for (const auto& [key, row] : _table.rows)
		{
			if (news.whole ? row.gone : row.version <= _since)
			{
				continue;
			}
			std::optional<RowDifference> difference = _since < row.version ? differenceSince(_table, row, _since) : std::nullopt;
			if (difference)
			{
				news.differences.push_back(std::move(*difference));
				continue;
			}
			news.rows.push_back({{"", "", key}, row.version > _since ? row.value : "", row.version, row.gone});
		}
		return news;
	}

	Rows rowsSince(const FollowedTable& _table, std::uint64_t _since)
	{
		Rows rows;
		rows.version = _table.version;
		rows.storeTime = _table.storeTime;
		const bool whole = _since < _table.fullReadVersion;
		for (const auto& [key, row] : _table.rows)
		{
			if (whole ? !row.gone : _since < row.version)
			{
				rows.rows.push_back(row);
			}
		}
		return rows;
	}

	ConfigurationProof proofOf(const FollowedTable& _operators)
	{
		if (0 == _operators.version || !_operators.storeTime)
		{
			return {};
		}
		std::uint64_t changedAt = _operators.fullReadVersion;
		for (const auto& [key, row] : _operators.rows)
		{
			changedAt = std::max(changedAt, row.version);
		}
		return {*_operators.storeTime, changedAt};
	}

	TableVersions versionsOf(const FollowedTables& _tables)
	{
		return {_tables.operators.version, _tables.crashes.version, _tables.upstreams.version};
	}

	bool recordUnusable(FollowedTable& _table, const Row& _row)
	{
		std::uint64_t& recorded = _table.unusable[_row.key.key];
		return _row.version != std::exchange(recorded, _row.version);
	}

	std::vector<Row> sortedByVersion(std::vector<Row> _rows)
	{
		std::sort(_rows.begin(), _rows.end(), [](const Row& _a, const Row& _b) {
			return _a.version < _b.version;
		});
		return _rows;
	}
} // namespace archdyke::store
