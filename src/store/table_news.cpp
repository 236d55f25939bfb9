#include "store/table_news.h"

#include <algorithm>
#include <utility>

namespace archdyke::store
{
	void takeRows(FollowedTable& _table, const Rows& _rows, bool _whole)
	{
		if (_whole)
		{
			_table.rows.clear();
			_table.wholeAt = _rows.version;
		}
		for (const Row& row : _rows.rows)
		{
			_table.rows[row.key.key] = row;
		}
		_table.version = _rows.version;
		_table.storeTime = _rows.storeTime;
	}

	void takeNews(FollowedTable& _table, const TableNews& _news)
	{
		const bool fits = _news.whole || 0 != _table.version; // changes alone don't make a table
		if (!_news.storeTime || _news.version < _table.version || !fits)
		{
			return;
		}
		if (_news.whole)
		{
			// Rows that are known already come without their value.
			std::map<std::string, Row> known = std::exchange(_table.rows, {});
			for (const Row& row : _news.rows)
			{
				const auto before = known.find(row.key.key);
				const bool same = row.value.empty() && known.end() != before && before->second.version == row.version;
				_table.rows[row.key.key] = same ? before->second : row;
			}
			_table.wholeAt = _news.version;
		}
		else
		{
			for (const Row& row : _news.rows)
			{
				_table.rows[row.key.key] = row;
			}
		}
		_table.version = _news.version;
		_table.storeTime = std::max(_table.storeTime.value_or(0), *_news.storeTime);
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
			if (news.whole ? !row.gone : row.version > _since)
			{
				news.rows.push_back({{"", "", key}, row.version > _since ? row.value : "", row.version, row.gone});
			}
		}
		return news;
	}

	std::vector<Row> inOrderOfWriting(std::vector<Row> _rows)
	{
		std::sort(_rows.begin(), _rows.end(), [](const Row& _a, const Row& _b) {
			return _a.version < _b.version;
		});
		return _rows;
	}
} // namespace archdyke::store
