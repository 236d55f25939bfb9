/// Store decorator that keeps calls of one era of the store from being taken for calls of another. After a restoration
/// from a copy a number means another content: a call for the changes since it would wait or return a part, and a
/// conditional write that expects it would overwrite the row.
#pragma once

#include <memory>

#include "base/metrics.h"
#include "store/table_store.h"

namespace archdyke::store
{
	class EraStore final : public TableStore
	{
	public:
		/// @param[in] _metrics Metrics of this process; must outlive the store.
		EraStore(std::unique_ptr<TableStore> _store, Metrics& _metrics);

		aio::Task<Rows> read(std::string _table, std::string _part, std::string _from) override;
		aio::Task<Rows> follow(std::string _table, std::uint64_t _since, Millis _waitMs) override;
		aio::Task<WriteResult> write(ConditionalWrite _write) override;
		aio::Task<void> change(RowChanges _changes) override;

	private:
		/// Logs a new era and publishes it as a metric.
		void recordEra(const Rows& _rows);

		std::unique_ptr<TableStore> store;
		Metrics& metrics;
		std::optional<std::uint64_t> era; ///< Latest one that a response named.
	};
} // namespace archdyke::store
