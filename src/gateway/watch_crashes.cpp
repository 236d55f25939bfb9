// Applies the crashes that other gateways have published.
#include "base/log.h"
#include "base/process.h"
#include "gateway/watch.h"

namespace archdyke::gateway
{
	void StoreWatch::applyCrashes(const store::Rows& _rows, std::uint64_t /*_known*/, bool _whole)
	{
		CrashRecord& record = this->state.crashes;
		if (_whole)
		{
			dropPublished(record);
		}
		for (const store::Row& row : _rows.rows)
		{
			const std::optional<CrashRow> read = readCrashRow(row);
			if (!read)
			{
				logWarning("crash_unreadable", {{"key", row.key.key}});
			}
			else if (row.gone)
			{
				removeCrash(record.table, read->crash);
			}
			else
			{
				recordRemoteCrash(record, read->crash, toLocalTime(this->state.freshness, read->storeTime).value_or(nowMs()));
			}
		}
	}
} // namespace archdyke::gateway
