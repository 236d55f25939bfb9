#include "store/table_news.h"

#include <algorithm>
#include <utility>

#include "archdyke/text_difference.h"

namespace archdyke::store
{
	namespace
	{
		/// Values from this length on are told by their difference from one that the receiver has, bytes.
		constexpr std::size_t kLongValueBytes = 1'024;
		/// Earlier values that are kept of a row. Whoever has none of them is told the whole value.
		constexpr std::size_t kEarlierKept = 4;
		/// A difference that is longer than this part of the value isn't worth its while.
		constexpr double kMostDifferenceShare = 0.5;

		void put(FollowedTable& _table, const Row& _row)
		{
			Row& known = _table.rows[_row.key.key];
			if (0 != known.version && _row.version <= known.version)
			{
				return;
			}
			if (kLongValueBytes <= known.value.size())
			{
				std::deque<Row>& earlier = _table.earlier[_row.key.key];
				earlier.push_back(std::move(known));
				while (kEarlierKept < earlier.size())
				{
					earlier.pop_front();
				}
			}
			known = _row;
		}

		/// Drops rows that a whole table doesn't have any more.
		void keepOnly(FollowedTable& _table, const std::map<std::string, Row>& _rows)
		{
			std::erase_if(_table.rows, [&](const auto& _entry) {
				return !_rows.contains(_entry.first);
			});
			std::erase_if(_table.earlier, [&](const auto& _entry) {
				return !_rows.contains(_entry.first);
			});
		}

		/// @returns The row as known at a version; null when its value then isn't known.
		const Row* valueAt(const FollowedTable& _table, const Row& _row, std::uint64_t _version)
		{
			const auto earlier = _table.earlier.find(_row.key.key);
			if (_table.earlier.end() == earlier)
			{
				return nullptr;
			}
			const auto later = std::find_if(earlier->second.begin(), earlier->second.end(), [&](const Row& _earlier) {
				return _earlier.version > _version;
			});
			return earlier->second.begin() == later ? nullptr : &*(later - 1);
		}

		/// @returns The row as its difference from what one has who knows the table up to a version; none when it is told whole.
		std::optional<RowDifference> differenceSince(const FollowedTable& _table, const Row& _row, std::uint64_t _since)
		{
			const Row* base = kLongValueBytes <= _row.value.size() ? valueAt(_table, _row, _since) : nullptr;
			if (nullptr == base)
			{
				return std::nullopt;
			}
			RowDifference difference{_row.key.key, _row.version, base->version, differenceBetween(base->value, _row.value)};
			const bool pays = double(difference.difference.size()) <= kMostDifferenceShare * double(_row.value.size());
			return pays ? std::optional(std::move(difference)) : std::nullopt;
		}

		/// What news tell, made of what is known here.
		struct ToldRows
		{
			std::map<std::string, Row> rows; ///< By key.
			bool passed = false;             ///< They build on a value that has been replaced here: what is held now is told next.
			bool broken = false;             ///< A difference doesn't fit the value that it names.
		};

		ToldRows rowsOf(const FollowedTable& _table, const TableNews& _news)
		{
			ToldRows told;
			for (const Row& row : _news.rows)
			{
				const auto known = _table.rows.find(row.key.key);
				const bool same = row.value.empty() && _table.rows.end() != known && known->second.version == row.version;
				told.rows[row.key.key] = same ? known->second : row;
			}
			for (const RowDifference& difference : _news.differences)
			{
				const auto found = _table.rows.find(difference.key);
				const std::uint64_t known = _table.rows.end() == found ? 0 : found->second.version;
				if (known == difference.version)
				{
					told.rows[difference.key] = found->second;
					continue;
				}
				std::optional<std::string> value = known == difference.base && 0 != known ? applyTextDifference(found->second.value, difference.difference) : std::nullopt;
				told.passed = told.passed || known != difference.base;
				told.broken = told.broken || (known == difference.base && !value);
				if (value)
				{
					told.rows[difference.key] = Row{{"", "", difference.key}, std::move(*value), difference.version, false};
				}
			}
			return told;
		}
	} // namespace

	void takeRows(FollowedTable& _table, const Rows& _rows, bool _whole)
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
			_table.wholeAt = _rows.version;
		}
		for (const Row& row : _rows.rows)
		{
			put(_table, row);
		}
		_table.version = _rows.version;
		_table.storeTime = std::max(_table.storeTime, _rows.storeTime);
	}

	bool takeNews(FollowedTable& _table, const TableNews& _news)
	{
		const bool fits = _news.whole || 0 != _table.version; // changes alone don't make a table
		if (!_news.storeTime || _news.version < _table.version || !fits)
		{
			return true;
		}
		const ToldRows told = rowsOf(_table, _news);
		if (told.broken)
		{
			_table = {};
			return false;
		}
		if (told.passed)
		{
			return true;
		}
		if (_news.whole)
		{
			keepOnly(_table, told.rows);
			_table.wholeAt = _news.version;
		}
		for (const auto& [key, row] : told.rows)
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
		news.whole = _since < _table.wholeAt;
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
		const bool whole = _since < _table.wholeAt;
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
		std::uint64_t changedAt = _operators.wholeAt;
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

	std::vector<Row> inOrderOfWriting(std::vector<Row> _rows)
	{
		std::sort(_rows.begin(), _rows.end(), [](const Row& _a, const Row& _b) {
			return _a.version < _b.version;
		});
		return _rows;
	}
} // namespace archdyke::store
