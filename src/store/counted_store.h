/// Store decorator that counts calls by table and kind, to show which calls a fleet makes too often.
#pragma once

#include <memory>

#include "base/metrics.h"
#include "store/table_store.h"

namespace archdyke::store
{
	class CountedStore final : public TableStore
	{
	public:
		/// @param[in] _metrics Metrics of this process; must outlive the store.
		CountedStore(std::unique_ptr<TableStore> _store, Metrics& _metrics);

		aio::Task<Rows> read(std::string _table, std::string _part, std::string _from) override;
		aio::Task<Rows> follow(std::string _table, std::uint64_t _since, Millis _waitMs) override;
		aio::Task<WriteResult> write(ConditionalWrite _write) override;
		aio::Task<void> change(RowChanges _changes) override;

	private:
		/// Counts a call, and counts a failure when it ends without a usable response.
		template <typename T>
		kj::Promise<T> counted(const char* _call, const std::string& _table, aio::Task<T> _response);

		std::unique_ptr<TableStore> store;
		Metrics& metrics;
	};
} // namespace archdyke::store
