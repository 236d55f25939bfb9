#include "store/counted_store.h"

namespace archdyke::store
{
	CountedStore::CountedStore(std::unique_ptr<TableStore> _store, Metrics& _metrics)
	    : store(std::move(_store))
	    , metrics(_metrics)
	{
	}

	template <typename T>
	kj::Promise<T> CountedStore::counted(const char* _call, const std::string& _table, aio::Task<T> _response)
	{
		const MetricLabels labels{{"table", _table}, {"call", _call}};
		this->metrics.counter("archdyke_store_calls_total", "Calls to the metadata store", labels).Increment();
		prometheus::Counter& failures = this->metrics.counter("archdyke_store_failures_total", "Calls to the metadata store without a usable answer", labels);
		return _response.take().catch_([&failures](kj::Exception&& _error) -> kj::Promise<T> {
			failures.Increment();
			return kj::mv(_error);
		});
	}

	aio::Task<Rows> CountedStore::read(std::string _table, std::string _part, std::string _from)
	{
		std::string table = _table;
		return this->counted("read", table, this->store->read(std::move(_table), std::move(_part), std::move(_from)));
	}

	aio::Task<Rows> CountedStore::follow(std::string _table, std::uint64_t _since, Millis _waitMs)
	{
		std::string table = _table;
		return this->counted("follow", table, this->store->follow(std::move(_table), _since, _waitMs));
	}

	aio::Task<WriteResult> CountedStore::write(ConditionalWrite _write)
	{
		const std::string table = _write.key.table;
		return this->counted("write", table, this->store->write(std::move(_write)));
	}

	aio::Task<void> CountedStore::change(RowChanges _changes)
	{
		const RowKey key = _changes.put.empty() ? _changes.remove.front() : _changes.put.front().key;
		return this->counted("change", key.table, this->store->change(std::move(_changes)));
	}
} // namespace archdyke::store
