/// Explores the forward-only map switch with the production decision functions: no state visited
/// splits the group, that is, has ranks on different maps, and disabling any one rule leads to a split.
#include <cstdio>

#include "check.h"
#include "switch_explorer.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr std::size_t kMaxStates = 1'200'000;

	Explorer explored(Bounds _bounds, DisabledRule _disabledRule, std::size_t _limit = kMaxStates)
	{
		Explorer explorer(_bounds, _disabledRule);
		explorer.explore(_limit);
		std::printf("ranks %u, steps %d, epochs %d, coordinators %u, disabled rule %d: %zu states, split %d, switched %d\n", _bounds.ranks, int(_bounds.steps), int(_bounds.epochs), _bounds.coordinators, int(_disabledRule), explorer.states, int(explorer.violated), int(explorer.switched));
		return explorer;
	}

	void expectSafe(Bounds _bounds)
	{
		const Explorer explorer = explored(_bounds, DisabledRule::None);
		cr_assert(!explorer.violated);
		cr_assert(explorer.states < kMaxStates, "the exploration was cut short");
		cr_assert(explorer.switched);
	}

	/// Checks that the exploration finds the fault that the rule prevents.
	void expectSplitWithout(DisabledRule _rule, Bounds _bounds)
	{
		cr_assert(explored(_bounds, _rule).violated);
	}
} // namespace

Test(forward, one_coordinator_never_splits_two_ranks)
{
	expectSafe({2, 3, 1, 1});
}

Test(forward, two_coordinators_never_split_two_ranks)
{
	expectSafe({2, 2, 1, 2});
}

/// Reusing a boundary split the group: a delayed release of the abandoned hold arrived when the next switch
/// held the group at the same step.
Test(forward, an_abandoned_boundary_is_not_used_again)
{
	expectSafe({2, 3, 1, 2});
}

Test(forward, one_coordinator_never_splits_three_ranks)
{
	expectSafe({3, 3, 1, 1});
}

Test(forward, two_coordinators_never_split_three_ranks)
{
	expectSafe({3, 2, 1, 2});
}

Test(forward, two_coordinators_never_split_a_group_over_four_steps)
{
	expectSafe({2, 4, 1, 2});
}

/// The full state space exceeds kMaxStates, so only the states nearest to the start are visited.
Test(forward, three_coordinators_split_two_ranks_in_none_of_the_nearest_states)
{
	constexpr std::size_t kNearestStates = 500'000;
	cr_assert(!explored({2, 2, 1, 3}, DisabledRule::None, kNearestStates).violated);
}

Test(forward, two_coordinators_never_split_a_group_that_forms_anew)
{
	expectSafe({2, 3, 2, 2});
}

Test(forward, one_coordinator_that_sees_ranks_late_never_splits_them)
{
	expectSafe({2, 3, 1, 1, true});
}

/// The full state space exceeds kMaxStates, so only the states nearest to the start are visited.
Test(forward, two_coordinators_that_see_ranks_late_split_them_in_none_of_the_nearest_states)
{
	constexpr std::size_t kNearestStates = 500'000;
	cr_assert(!explored({2, 2, 1, 2, true}, DisabledRule::None, kNearestStates).violated);
}

Test(forward, a_row_of_an_earlier_release_is_carried_on_without_a_split)
{
	expectSafe({2, 3, 1, 2, false, true});
}

Test(forward, a_group_that_forms_anew_is_never_split)
{
	expectSafe({2, 2, 2, 1});
}

Test(forward, arms_before_the_hold_is_seen_split_the_group)
{
	expectSplitWithout(DisabledRule::HoldSeenBeforeArm, {2, 3, 1, 1});
}

Test(forward, a_release_before_all_are_armed_splits_the_group)
{
	expectSplitWithout(DisabledRule::AllArmedBeforeRelease, {2, 3, 1, 1});
}

Test(forward, abandoning_while_switching_splits_the_group)
{
	expectSplitWithout(DisabledRule::NoAbandonWhileSwitching, {2, 3, 1, 1});
}

Test(forward, abandoning_by_another_coordinator_splits_the_group)
{
	expectSplitWithout(DisabledRule::OnlyWriterAbandons, {2, 3, 1, 2});
}

Test(forward, arms_after_abandoning_split_the_group)
{
	expectSplitWithout(DisabledRule::NoArmsAfterAbandon, {2, 3, 1, 2});
}

Test(forward, abandoning_after_an_arm_splits_the_group)
{
	expectSplitWithout(DisabledRule::NoAbandonAfterArm, {2, 3, 1, 1});
}

Test(forward, a_boundary_moved_before_it_is_passed_splits_the_group)
{
	expectSplitWithout(DisabledRule::BoundaryMovedOnlyOncePassed, {2, 4, 1, 1});
}

/// The writer may have armed any rank, also one that is out of reach of the coordinator that voids the switch.
Test(forward, arms_in_any_order_split_the_group)
{
	expectSplitWithout(DisabledRule::DesignatedRankArmedLast, {2, 3, 1, 2});
}

Test(forward, a_stray_hold_released_by_an_old_row_splits_the_group)
{
	expectSplitWithout(DisabledRule::RowReadAfterStrayHoldSeen, {2, 3, 1, 2});
}

Test(forward, versions_without_a_term_split_the_group)
{
	expectSplitWithout(DisabledRule::VersionsContainTerm, {2, 3, 1, 2});
}
