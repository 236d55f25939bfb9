/// Reads complete tables across several responses.
#pragma once

#include "store/table_store.h"

namespace archdyke::store
{
	/// @returns All rows of a table's unnamed part, at least as new as the first response.
	/// @throws kj::Exception When a call fails.
	aio::Task<Rows> readFullTable(TableStore& _store, std::string _table);
} // namespace archdyke::store
