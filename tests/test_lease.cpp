/// Lease without synchronized clocks: fencing tokens increase, and no two holders act at once as long
/// as their clocks run at the same rate.
#include <map>
#include <optional>

#include "archdyke/lease.h"
#include "base/config.h"
#include "check.h"

using namespace archdyke;

Test(lease, expired_holder_does_not_act)
{
	LeaseView view;
	view.self = 1;
	const LeaseStep step = decideLease(view, std::nullopt, 0);
	cr_assert(step.write);
	recordLeaseWrite(view, step.row, 0, 10);
	cr_assert(1u == actingFence(view, 100).value());
	cr_assert(!actingFence(view, kLeaseHolderTimeoutMs));
}

Test(lease, fences_increase_and_holders_do_not_overlap)
{
	tests::checkProperty("three candidates with pauses", [] {
		std::optional<LeaseRow> row;
		std::map<std::uint64_t, LeaseView> views;
		std::map<std::uint64_t, Millis> pausedUntil;
		std::map<std::uint64_t, std::uint64_t> holderOfFence;
		for (std::uint64_t self = 1; self <= 3; ++self)
		{
			views[self].self = self;
		}
		for (Millis now = 0; now < 60'000; now += 100)
		{
			for (std::uint64_t self = 1; self <= 3; ++self)
			{
				if (now < pausedUntil[self] || 0 != (now / 100 + Millis(self)) % 7)
				{
					continue;
				}
				const LeaseStep step = decideLease(views[self], row, now);
				if (step.write)
				{
					const bool pausedInBetween = 0 == *rc::gen::inRange(0, 8);
					row = step.row;
					const auto [holder, isNew] = holderOfFence.emplace(step.row.fence, self);
					RC_ASSERT(isNew || holder->second == self);
					const Millis wroteAt = now;
					const Millis pause = pausedInBetween ? *rc::gen::inRange<Millis>(100, 8'000) : 0;
					pausedUntil[self] = now + pause;
					recordLeaseWrite(views[self], step.row, wroteAt, now);
				}
			}
			int acting = 0;
			for (std::uint64_t self = 1; self <= 3; ++self)
			{
				acting += actingFence(views[self], now) ? 1 : 0;
			}
			RC_ASSERT(acting <= 1);
		}
	});
}
