/// Lease on a row of the platform's table, without synchronized clocks: another process takes over
/// once the row has been unchanged for the lease time on its local clock. Each holder gets a higher
/// fencing token, which receivers of its orders check.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "archdyke/types.h"

namespace archdyke
{
	/// The row as stored.
	struct LeaseRow
	{
		std::uint64_t holder = 0;  ///< Incarnation of the holder; 0 when released.
		std::uint64_t fence = 0;   ///< Fencing token; increases with each new holder.
		std::uint64_t renewal = 0; ///< Increases with each renewal.

		bool operator==(const LeaseRow&) const = default;
	};

	/// State of the lease as known to one process.
	struct LeaseView
	{
		std::uint64_t self = 0;
		std::optional<LeaseRow> seen;
		Millis seenSince = 0;   ///< When the current state of the row was first seen, local clock.
		Millis mayActUntil = 0; ///< Until when this process may act as holder.
	};

	/// Next write to the row, if any.
	struct LeaseStep
	{
		bool write = false;
		LeaseRow row;

		bool operator==(const LeaseStep&) const = default;
	};

	/// Decides whether to acquire or renew the lease after a read of the row.
	/// @param[in] _row The row; none if it doesn't exist.
	LeaseStep decideLease(LeaseView& _view, const std::optional<LeaseRow>& _row, Millis _now);

	/// Records that a write started at _begunAt took effect. The time to act counts from the start of
	/// the write, so that a pause during it shortens that time.
	void recordLeaseWrite(LeaseView& _view, const LeaseRow& _row, Millis _begunAt, Millis _now);

	/// @returns The fencing token while this process may act as holder, else none.
	std::optional<std::uint64_t> actingFence(const LeaseView& _view, Millis _now);
} // namespace archdyke
