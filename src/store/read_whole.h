/// Reads of a whole table, however many answers it takes.
#pragma once

#include "store/table_store.h"

namespace archdyke::store
{
	/// @returns All rows of a table's unnamed part, as of the first answer at least.
	/// @throws kj::Exception When a call has no answer.
	aio::Task<Rows> readWhole(TableStore& _store, std::string _table);
} // namespace archdyke::store
