/// Publishes the crashes that one gateway sees through the store, where the other gateways read them: one row for each
/// suspect and upstream.
#pragma once

#include "gateway/state.h"
#include "store/table_store.h"

namespace archdyke::gateway
{
	/// Crash of a row.
	struct CrashRow
	{
		Crash crash;
		Millis storeTime = 0; ///< Time of the crash by the store's clock; 0 when the row is gone.
		Millis runMs = 0;     ///< How long before it the run was sent.
	};

	/// @returns The row's crash; none when the row can't be read.
	std::optional<CrashRow> readCrashRow(const store::Row& _row);

	class CrashPublisher
	{
	public:
		CrashPublisher(GatewayState& _state, store::TableStore& _store);

		/// Starts a write if one is due. Must be called periodically.
		void step();

	private:
		/// Writes the crashes in `publishing`, and removes those that were cleared.
		aio::Task<void> write(std::vector<Crash> _cleared);

		GatewayState& state;
		store::TableStore& store;
		Millis retryWriteAt = 0; ///< Earliest time of the next write, after a failure.
		Millis nextExpiryAt = 0; ///< When to check for expired crashes next.
		bool isWriting = false;
		kj::Promise<void> writing = nullptr; ///< The current or last write.
	};
} // namespace archdyke::gateway
