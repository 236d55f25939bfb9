// Applies the crashes that other gateways have published.
#include "base/log.h"
#include "base/process.h"
#include "gateway/watch.h"

namespace archdyke::gateway
{
	void StoreWatch::recordLost(const store::Rows& _rows)
	{
		std::set<Crash> read;
		for (const store::Row& row : _rows.rows)
		{
			const std::optional<CrashRow> crash = row.gone ? std::nullopt : readCrashRow(row);
			if (crash)
			{
				read.insert(crash->crash);
			}
		}
		recordLostCrashes(this->state.crashes, read);
		// One gateway publishes them for all: the others see its rows during their delay.
		this->lostCrashesDueAt = nowMs() + this->sharedRetryDelayMs();
	}

	void StoreWatch::applyCrashes(const store::Rows& _rows, std::uint64_t _known, bool _whole)
	{
		CrashRecord& record = this->state.crashes;
		if (isFromCopy(_rows, _known))
		{
			this->recordLost(_rows);
		}
		else if (_whole)
		{
			dropPublished(record);
		}
		for (const store::Row& row : _rows.rows)
		{
			const std::optional<CrashRow> read = readCrashRow(row);
			if (!read)
			{
				if (store::recordUnusable(this->tables.crashes, row))
				{
					logWarning("crash_unreadable", {{"key", row.key.key}});
				}
			}
			else if (row.gone)
			{
				recordRemovedCrash(record, read->crash);
			}
			else
			{
				const Millis at = toLocalTime(this->state.freshness, read->storeTime).value_or(nowMs());
				recordRemoteCrash(record, read->crash, {at - read->runMs, at});
			}
		}
	}
} // namespace archdyke::gateway
