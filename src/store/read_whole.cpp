#include "store/read_whole.h"

namespace archdyke::store
{
	aio::Task<Rows> readFullTable(TableStore& _store, std::string _table)
	{
		const std::string none;
		Rows all = co_await _store.read(_table, none, none);
		while (all.more && !all.rows.empty())
		{
			const std::string after = all.rows.back().key.key + '\0';
			Rows next = co_await _store.read(_table, none, after);
			if (next.era != all.era)
			{
				kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "the store came back from an earlier copy between two parts of a table"));
			}
			all.rows.insert(all.rows.end(), next.rows.begin(), next.rows.end());
			all.more = next.more;
		}
		co_return all;
	}
} // namespace archdyke::store
