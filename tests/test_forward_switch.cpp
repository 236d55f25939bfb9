/// Tests single decisions of the forward-only map switch.
#include "archdyke/errors.h"
#include "archdyke/forward_switch.h"
#include "archdyke/map_window.h"
#include "check.h"

using namespace archdyke;

namespace
{
	/// @returns A switch to version 5 at step 10.
	SwitchIntent switchingIntent()
	{
		SwitchIntent intent;
		intent.phase = SwitchPhase::Switching;
		intent.epoch = 1;
		intent.version = 5;
		intent.boundary = 10;
		return intent;
	}
} // namespace

Test(forward, a_row_is_read_as_it_was_written)
{
	SwitchIntent intent;
	intent.term = 7;
	intent.coordinator = "10.0.0.1:70";
	intent.phase = SwitchPhase::Holding;
	intent.epoch = 2;
	intent.version = 700'001;
	intent.boundary = 90;
	intent.map = {{{0, 1}, {1}}, {{0}, {1}}};
	intent.inForceVersion = 600'004;
	intent.inForce = {{{0}, {1}}, {{0}, {1}}};
	cr_assert(decodeIntent(encodeIntent(intent)) == intent);
	intent.last = 1;
	cr_assert(decodeIntent(encodeIntent(intent)) == intent);
	cr_assert_throw(decodeIntent("no row"), InvalidInputError);
	const std::string whole = encodeIntent(intent);
	cr_assert_throw(decodeIntent(whole.substr(0, whole.size() - 1)), InvalidInputError);
	cr_assert_throw(decodeIntent(whole.substr(0, whole.find('\n') + 1) + "\x7f\x7f"), InvalidInputError);
}

/// A rank beyond 32 bits would be cut off, and a process that writes the row again would divide by zero.
Test(forward, a_row_with_ranks_that_no_group_has_is_rejected)
{
	SwitchIntent intent;
	intent.inForce = {{{0}, {1}}};
	const std::string header = encodeIntent(intent).substr(0, encodeIntent(intent).find('\n') + 1);
	const std::string noMap("\0\0", 2);
	const auto rowWithRank = [&](const std::string& _rank) {
		return header + std::string("\x02\x01\x01\x01", 4) + _rank + noMap;
	};
	cr_assert((ExpertHosts{{{5}}}) == decodeIntent(rowWithRank("\x05")).inForce);
	for (const char* rank : {"\xff\xff\xff\xff\x0f", "\x85\x80\x80\x80\x10", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"})
	{
		cr_expect_throw(decodeIntent(rowWithRank(rank)), InvalidInputError);
	}
}

/// A term that is too large would start again at 0 at the next take-over.
Test(forward, a_row_with_numbers_that_are_too_large_or_of_another_kind_is_rejected)
{
	const auto rowWith = [](const std::string& _field, const std::string& _number) {
		std::string row = encodeIntent(SwitchIntent());
		const std::string before = "\"" + _field + "\":0";
		const std::size_t at = row.find(before);
		cr_assert(std::string::npos != at);
		return row.replace(at, before.size(), "\"" + _field + "\":" + _number);
	};
	for (const char* field : {"term", "era", "epoch", "version", "boundary", "inForceVersion"})
	{
		cr_expect(decodeIntent(rowWith(field, "7")) != SwitchIntent(), "%s", field);
		for (const char* number : {"18446744073709551615", "18446744073709551616", "9223372036854775808", "-1", "1.5", "1e308", "1e999", "null", "\"7\""})
		{
			cr_expect_throw(decodeIntent(rowWith(field, number)), InvalidInputError, "%s %s", field, number);
		}
	}
}

Test(forward, a_map_with_ranks_that_a_group_lacks_is_split_over_those_that_it_has)
{
	const ExpertHosts hosts{{{0, 7}, {1}, {999'999}}};
	const auto experts = expertsByRank(hosts, 2);
	cr_assert((std::vector<std::vector<std::vector<std::uint32_t>>>{{{0}, {1}}}) == experts);
}

Test(forward, the_row_of_a_large_group_is_small)
{
	SwitchIntent intent;
	intent.phase = SwitchPhase::Switching;
	intent.inForceVersion = 1;
	intent.inForce = ExpertHosts(8, std::vector<std::vector<std::uint32_t>>(252, {7, 62}));
	intent.map = intent.inForce;
	intent.map[3][17] = {1, 2, 3};
	cr_assert(decodeIntent(encodeIntent(intent)) == intent);
	// Three bytes per expert for the map in force, one per unchanged expert, and the head.
	cr_assert(encodeIntent(intent).size() < 8 * 252 * 4 + 300);
}

Test(forward, a_hold_that_comes_late_moves_the_boundary)
{
	SwitchIntent intent = switchingIntent();
	const RankView past{true, 1, true, 10, 0, 5, {}, {}};
	const SwitchDecision step = decideSwitch(intent, {past, past}, {3, false});
	cr_assert(step.next && step.store && 13 == step.next->boundary && SwitchPhase::Switching == step.next->phase);
	RankView armed = past;
	armed.armed = 5;
	cr_assert(!decideSwitch(intent, {past, armed}, {3, false}).next);
	cr_assert(!decideSwitch(intent, {past, RankView()}, {3, false}).next);
}

/// The row must contain everything needed before the hold. If a write were needed during the hold, the group
/// would stall for as long as the store is unreachable.
Test(forward, the_row_says_that_it_switches_before_the_group_is_held)
{
	SwitchIntent intent;
	intent.phase = SwitchPhase::Preparing;
	intent.epoch = 1;
	intent.version = 5;
	const RankView copied{true, 1, true, 9, 0, 5, {}, {}};
	const SwitchDecision step = decideSwitch(intent, {copied, copied}, {3, false});
	cr_assert(step.next && step.store && step.orders.empty());
	cr_assert(SwitchPhase::Switching == step.next->phase && 12 == step.next->boundary);
	RankView holding = copied;
	holding.held = 12;
	const SwitchDecision arms = decideSwitch(*step.next, {holding, copied}, {3, false});
	cr_assert(!arms.next && 2 == arms.orders.size() && RankOrderKind::Arm == arms.orders.front().kind);
}

/// A write that abandons the switch may take effect after the store reported a failure. Arms sent in between
/// would belong to a switch that the row no longer contains.
Test(forward, a_switch_that_was_given_up_gives_no_arms)
{
	SwitchIntent intent = switchingIntent();
	const RankView holding{true, 1, true, 9, 0, 5, {}, 10};
	const SwitchConditions timedOut{3, true, false, {}};
	const SwitchDecision abandons = decideSwitch(intent, {holding, RankView()}, applyHistory(timedOut, intent, {}));
	const SwitchHistory history = historyAfter({}, intent, abandons);
	const SwitchDecision repeated = decideSwitch(intent, {holding, holding}, applyHistory({3, false}, intent, history));
	cr_assert(repeated.next && repeated.orders.empty() && SwitchPhase::Idle == repeated.next->phase);
	// A coordinator that takes over the row continues the switch.
	const SwitchDecision next = decideSwitch(intent, {holding, holding}, applyHistory({3, true}, intent, initialHistory(intent)));
	cr_assert(!next.next && 2 == next.orders.size());
}

/// Once one rank is armed the switch can't be abandoned, and the group stalls until the unreachable rank is armed
/// too. Before that the hold can be abandoned.
Test(forward, a_hold_with_a_rank_out_of_reach_is_given_up_before_any_rank_is_armed)
{
	SwitchIntent intent = switchingIntent();
	const std::vector<RankView> ranks{{true, 1, true, 9, 0, 5, {}, 10}, RankView()};
	const SwitchDecision waits = decideSwitch(intent, ranks, applyHistory({3, false, false, {}}, intent, {}));
	cr_assert(!waits.next && waits.orders.empty());
	const SwitchDecision abandons = decideSwitch(intent, ranks, applyHistory({3, true, false, {}}, intent, {}));
	cr_assert(abandons.next && abandons.store && SwitchPhase::Idle == abandons.next->phase && 10 == abandons.next->boundary);
	cr_assert(1 == releaseStrayHolds(*abandons.next, ranks).size());
}

/// The last rank to be armed is on the coordinator's VM. If that VM is unreachable, the group would stall until it
/// returns. Instead the switch is voided on the other ranks: as they are unarmed, the last one is too.
Test(forward, a_switch_whose_last_rank_is_out_of_reach_is_voided)
{
	SwitchIntent intent = switchingIntent();
	intent.term = 2;
	intent.last = 2;
	const std::uint64_t voids = voidingVersion(intent);
	RankView holding{true, 1, true, 9, 0, 5, {}, 10};
	RankView copied{true, 1, true, 9, 0, 5, {}, {}};
	const SwitchConditions timedOut = applyHistory({3, true, false, {}}, intent, initialHistory(intent));
	const SwitchDecision startsVoiding = decideSwitch(intent, {holding, copied, RankView()}, timedOut);
	const std::vector<RankOrderPlan> preparesAgain{{0, RankOrderKind::Prepare, 1, voids, 0}, {1, RankOrderKind::Prepare, 1, voids, 0}};
	cr_assert(!startsVoiding.next && preparesAgain == startsVoiding.orders);
	SwitchIntent idle;
	idle.term = intent.term;
	cr_assert(voids + 1 == beginSwitch(idle, 1, {}, historyAfter({}, intent, startsVoiding).version)->version);
	// A delayed arm order took effect: the rank is disarmed, since another rank can't be armed any more.
	RankView armed = copied;
	armed.armed = 5;
	holding.prepared = voids;
	const SwitchDecision disarms = decideSwitch(intent, {holding, armed, RankView()}, timedOut);
	cr_assert(1 == disarms.orders.size() && RankOrderKind::Disarm == disarms.orders.front().kind && 1 == disarms.orders.front().rank);
	copied.prepared = voids;
	const SwitchDecision finishes = decideSwitch(intent, {holding, copied, RankView()}, timedOut);
	cr_assert(finishes.next && finishes.store && SwitchPhase::Idle == finishes.next->phase && voids == finishes.next->version);
	cr_assert(1 == releaseStrayHolds(*finishes.next, {holding, copied, RankView()}).size());
}

/// After the first arm the switch can't be voided any more. If it is sent while a rank is unreachable, the group
/// stalls until that rank returns.
Test(forward, a_coordinator_that_takes_over_gives_no_first_arm_while_a_rank_is_out_of_reach)
{
	SwitchIntent intent = switchingIntent();
	intent.term = 2;
	intent.last = 2;
	const RankView holding{true, 1, true, 9, 0, 5, {}, 10};
	RankView copied{true, 1, true, 9, 0, 5, {}, {}};
	const SwitchConditions afterTakeOver = applyHistory({3, false, false, {}}, intent, initialHistory(intent));
	cr_assert(decideSwitch(intent, {holding, copied, RankView()}, afterTakeOver) == SwitchDecision());
	cr_assert(decideSwitch(intent, {holding, RankView(), RankView()}, afterTakeOver) == SwitchDecision(), "nor to the first one seen");
	const SwitchConditions all = applyHistory({3, false, true, {}}, intent, initialHistory(intent));
	cr_assert(2 == decideSwitch(intent, {holding, copied, copied}, all).orders.size());
	copied.armed = 5;
	cr_assert(1 == decideSwitch(intent, {holding, copied, RankView()}, afterTakeOver).orders.size(), "one is armed: the switch can't be abandoned");
}

Test(forward, a_switch_with_an_armed_rank_is_not_voided)
{
	SwitchIntent intent = switchingIntent();
	intent.last = 1;
	const RankView armed{true, 1, true, 9, 0, 5, 5, 10};
	const SwitchConditions timedOut = applyHistory({3, true, false, {}}, intent, initialHistory(intent));
	cr_assert(decideSwitch(intent, {armed, RankView()}, timedOut) == SwitchDecision());
}

Test(forward, the_last_rank_is_armed_once_all_others_are_seen_to_be)
{
	SwitchIntent intent = switchingIntent();
	intent.last = 0;
	const RankView holding{true, 1, true, 9, 0, 5, {}, 10};
	RankView armed{true, 1, true, 9, 0, 5, 5, {}};
	const RankView copied{true, 1, true, 9, 0, 5, {}, {}};
	const SwitchDecision others = decideSwitch(intent, {copied, holding, copied}, {3, false});
	cr_assert(2 == others.orders.size() && 1 == others.orders.front().rank);
	const SwitchDecision last = decideSwitch(intent, {holding, armed, armed}, {3, false});
	cr_assert(1 == last.orders.size() && 0 == last.orders.front().rank && RankOrderKind::Arm == last.orders.front().kind);
}

Test(forward, a_rank_that_is_unseen_stops_the_release)
{
	SwitchIntent intent = switchingIntent();
	const RankView holding{true, 1, true, 9, 0, 5, 5, 10};
	const SwitchDecision step = decideSwitch(intent, {holding, RankView()}, {3, false});
	cr_assert(!step.next && step.orders.empty());
}

/// Guards against a term that is given out twice because the row that showed its first use is lost.
Test(forward, a_take_over_after_a_restoration_has_a_term_above_all_that_may_be_lost)
{
	SwitchIntent row;
	row.term = 7;
	row.era = 2;
	cr_assert(8 == takeOver(row, "a", 2).term && 8 == takeOver(row, "a", 1).term);
	const SwitchIntent later = takeOver(row, "a", 4);
	cr_assert(2'008 == later.term && 2 == later.era, "it may still be older than what was done");
	cr_assert(decodeIntent(encodeIntent(later)) == later);
	const SwitchIntent rewritten = rewrittenRow(row, 2, 3);
	cr_assert(1'007 == rewritten.term && 3 == rewritten.era && rewritten.term < takeOver(row, "b", 3).term);
	cr_assert(2 == rewrittenRow(later, 4, 5).era);
}

Test(forward, a_hold_of_a_lost_switch_is_released_only_when_no_rank_can_be_armed_alone)
{
	constexpr Millis kExpiredMs = 15'000;
	const SwitchIntent idle;
	std::vector<RankView> ranks(3);
	for (RankView& rank : ranks)
	{
		rank = {true, 1, true, 9, 5, 6, std::nullopt, std::nullopt};
	}
	cr_assert(endLostSwitch(idle, ranks, kExpiredMs).empty(), "nothing is held or armed");
	ranks[1].held = 10;
	cr_assert(endLostSwitch(idle, ranks, kExpiredMs - 1).empty(), "an arm order may be under way");
	const RankOrderPlan release{1, RankOrderKind::Release, 1, 0, 10};
	cr_assert(std::vector{release} == endLostSwitch(idle, ranks, kExpiredMs));
	ranks[0].armed = 6;
	cr_assert(endLostSwitch(idle, ranks, 0).empty());
	cr_assert((std::vector{RankOrderPlan{0, RankOrderKind::Disarm, 1, 6, 0}} == endLostSwitch(idle, ranks, kExpiredMs)));
	ranks[2].seen = false;
	cr_assert(endLostSwitch(idle, ranks, kExpiredMs).empty(), "the rank that isn't seen may be armed");
	ranks[2].seen = true;
	ranks[1].armed = 6;
	ranks[2].armed = 6;
	cr_assert(std::vector{release} == endLostSwitch(idle, ranks, 0), "all are armed for one map");
	SwitchIntent own;
	own.phase = SwitchPhase::Switching;
	own.boundary = 10;
	own.version = 6;
	cr_assert(endLostSwitch(own, ranks, kExpiredMs).empty(), "the hold belongs to the row's own switch");
}
