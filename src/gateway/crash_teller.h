/// Writes what one gateway sees of crashes to the store, where the other gateways read it: one row for each request
/// and upstream.
#pragma once

#include "gateway/state.h"
#include "store/table_store.h"

namespace archdyke::gateway
{
	/// A row's crash and when it was, the store's clock; 0 when the row is gone.
	struct CrashRow
	{
		Crash crash;
		Millis storeTime = 0;
	};

	/// @returns none when the row can't be read.
	std::optional<CrashRow> readCrashRow(const store::Row& _row);

	class CrashTeller
	{
	public:
		CrashTeller(GatewayState& _state, store::TableStore& _store);

		/// Begins a write if it is time for one. To be called every now and then.
		void step();

	private:
		/// Writes what is being told, and removes what was cleared.
		aio::Task<void> write(std::vector<Crash> _cleared);

		GatewayState& state;
		store::TableStore& store;
		Millis writeAt = 0;  ///< Not before then: after a failure.
		Millis forgetAt = 0; ///< When to look for old crashes next.
		bool isWriting = false;
		kj::Promise<void> writing = nullptr; ///< The last write.
	};
} // namespace archdyke::gateway
