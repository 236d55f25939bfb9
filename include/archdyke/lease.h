/// A lease on a row of the platform's table, without a common clock: a watcher takes
/// over once the row has stood still for the lease time on its own clock, and each
/// holder gets a higher fence, which those that act on its orders check.
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
		std::uint64_t holder = 0;  ///< Incarnation; 0 when given back.
		std::uint64_t fence = 0;   ///< Rises with each new holder.
		std::uint64_t renewal = 0; ///< Rises with each renewal.

		bool operator==(const LeaseRow&) const = default;
	};

	/// What one process knows of the lease.
	struct LeaseView
	{
		std::uint64_t self = 0;
		std::optional<LeaseRow> seen;
		Millis seenSince = 0; ///< When the row was first seen as it stands.
		Millis actUntil = 0;  ///< Until when this process may act as holder.
	};

	/// What to write next.
	struct LeaseStep
	{
		bool write = false;
		LeaseRow row;

		bool operator==(const LeaseStep&) const = default;
	};

	/// Decides after a read of the row.
	/// @param[in] _row The row; none when there is none.
	LeaseStep decideLease(LeaseView& _view, const std::optional<LeaseRow>& _row, Millis _now);

	/// Notes that a write that was begun at _begunAt took effect. The time to act counts
	/// from before the write, so that a pause in between shortens it.
	void leaseWritten(LeaseView& _view, const LeaseRow& _row, Millis _begunAt, Millis _now);

	/// @returns The fence to act with, while this process may act as holder.
	std::optional<std::uint64_t> actingFence(const LeaseView& _view, Millis _now);
} // namespace archdyke
