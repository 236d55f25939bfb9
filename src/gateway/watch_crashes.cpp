/// The part of the store's watch that takes in the crashes that other gateways saw.
#include <algorithm>

#include "base/log.h"
#include "base/process.h"
#include "gateway/watch.h"
#include "store/read_whole.h"

namespace archdyke::gateway
{
	namespace
	{
		/// How long a call for crashes hangs, ms: each gateway makes its own, so longer where there are many. A crash
		/// ends it at once; the length only bounds how long one that the store has lost goes unnoticed.
		constexpr Millis kWaitMsPerGateway = 300;
		constexpr Millis kLeastWaitMs = 3'000;
		constexpr Millis kMostWaitMs = 10'000;
	} // namespace

	bool StoreWatch::crashesNeedNoCall() const
	{
		return nullptr == this->state.catalog; // nothing runs
	}

	aio::Task<store::Rows> StoreWatch::nextCrashes(std::optional<std::uint64_t> _since)
	{
		if (!_since)
		{
			return store::readWhole(this->store, kCrashTable);
		}
		const Millis waitMs = std::clamp(kWaitMsPerGateway * Millis(this->toldGateways), kLeastWaitMs, kMostWaitMs);
		return this->followLong(kCrashTable, *_since, waitMs, this->crashesInterrupt);
	}

	void StoreWatch::takeCrashes(const store::Rows& _rows, bool _whole)
	{
		CrashRecord& record = this->state.crashes;
		if (_whole)
		{
			forgetTold(record);
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
				dropCrash(record.table, read->crash);
			}
			else
			{
				takeCrash(record, read->crash, ownTimeOf(this->state.freshness, read->storeTime).value_or(nowMs()));
			}
		}
	}
} // namespace archdyke::gateway
