#include "store/table_news.h"

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
} // namespace archdyke::store
