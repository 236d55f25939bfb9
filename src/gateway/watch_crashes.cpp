// Applies the crashes that other gateways have published.
#include "base/log.h"
#include "base/process.h"
#include "gateway/watch.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Maximum time by which a crash may seem to be in the future, ms: several times the error of the store's clock as known
		/// here. A later one is another writer's, and would never expire.
		constexpr Millis kMaxAheadMs = 60'000;
	} // namespace

	std::optional<CrashedRun> StoreWatch::crashedRunOf(const CrashRow& _row) const
	{
		const Millis now = nowMs();
		const Millis at = toLocalTime(this->state.freshness, _row.storeTime).value_or(now);
		return now + kMaxAheadMs < at ? std::nullopt : std::optional(CrashedRun{at - _row.runMs, at});
	}

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
			const std::optional<CrashedRun> run = read && !row.gone ? this->crashedRunOf(*read) : std::nullopt;
			if (!read || (!row.gone && !run))
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
				recordRemoteCrash(record, read->crash, *run);
			}
		}
	}
} // namespace archdyke::gateway
