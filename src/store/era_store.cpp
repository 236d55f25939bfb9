#include "store/era_store.h"

#include <algorithm>
#include <fmt/format.h>

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke::store
{
	namespace
	{
		[[noreturn]] void failOfEarlierEra(std::uint64_t _expected, std::uint64_t _era)
		{
			const std::string reason = fmt::format("the expected version is of era {}, and the store is in era {}; read the row again", _expected, _era);
			kj::throwFatalException(kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(reason.c_str())));
		}
	} // namespace

	EraStore::EraStore(std::unique_ptr<TableStore> _store, Metrics& _metrics)
	    : store(std::move(_store))
	    , metrics(_metrics)
	{
	}

	void EraStore::recordEra(const Rows& _rows)
	{
		if (!this->era || *this->era < _rows.era)
		{
			logWarning("store_era", {{"era", _rows.era}, {"before", this->era ? std::to_string(*this->era) : "-"}, {"version", versionText(_rows.version)}});
			this->metrics.gauge("archdyke_store_era", "Era of the metadata store; rises each time it comes back from an earlier copy").Set(double(_rows.era));
			this->era = _rows.era;
		}
	}

	aio::Task<Rows> EraStore::read(std::string _table, std::string _part, std::string _from)
	{
		Rows rows = co_await this->store->read(std::move(_table), std::move(_part), std::move(_from));
		this->recordEra(rows);
		co_return rows;
	}

	aio::Task<Rows> EraStore::follow(std::string _table, std::uint64_t _since, Millis _waitMs)
	{
		const bool hasBase = 0 != _since;
		if (hasBase && eraOf(_since) < this->era.value_or(0))
		{
			Rows truncated;
			truncated.sentAt = nowMs();
			truncated.era = *this->era;
			truncated.historyTruncated = true;
			co_return truncated;
		}
		Rows rows = co_await this->store->follow(std::move(_table), _since, _waitMs);
		this->recordEra(rows);
		rows.historyTruncated = rows.historyTruncated || (hasBase && eraOf(_since) != rows.era);
		co_return rows;
	}

	aio::Task<WriteResult> EraStore::write(ConditionalWrite _write)
	{
		const std::uint64_t expected = _write.expectedVersion;
		if (0 != expected && eraOf(expected) < this->era.value_or(0))
		{
			failOfEarlierEra(eraOf(expected), *this->era);
		}
		const WriteResult result = co_await this->store->write(std::move(_write));
		if (0 != expected && eraOf(expected) != eraOf(result.version))
		{
			failOfEarlierEra(eraOf(expected), eraOf(result.version));
		}
		co_return result;
	}

	aio::Task<void> EraStore::change(RowChanges _changes)
	{
		return this->store->change(std::move(_changes));
	}
} // namespace archdyke::store
