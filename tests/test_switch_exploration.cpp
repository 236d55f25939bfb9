/// The forward-only map switch never splits a group, and does once a rule is taken out: explored with
/// the real decisions.
#include <cstdio>

#include "check.h"
#include "switch_explorer.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr std::size_t kLimit = 1'200'000;

	Explorer explored(Bounds _bounds, WithoutRule _without, std::size_t _limit = kLimit)
	{
		Explorer explorer(_bounds, _without);
		explorer.explore(_limit);
		std::printf("ranks %u, steps %d, epochs %d, coordinators %u, rule taken out %d: %zu states, split %d, switched %d\n", _bounds.ranks, int(_bounds.steps), int(_bounds.epochs), _bounds.coordinators, int(_without), explorer.states, int(explorer.violated), int(explorer.switched));
		return explorer;
	}

	void expectSafe(Bounds _bounds)
	{
		const Explorer explorer = explored(_bounds, WithoutRule::None);
		cr_assert(!explorer.violated);
		cr_assert(explorer.states < kLimit, "the exploration was cut short");
		cr_assert(explorer.switched);
	}

	/// The exploration finds the fault that a rule prevents.
	void expectSplitWithout(WithoutRule _rule, Bounds _bounds)
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

/// A boundary that was used again split the group: a release of the abandoned hold came late, when
/// the next switch held the group at the same step.
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

/// A whole exploration is cut short at kLimit; only the nearest states are visited.
Test(forward, three_coordinators_split_two_ranks_in_none_of_the_nearest_states)
{
	constexpr std::size_t kNearest = 500'000;
	cr_assert(!explored({2, 2, 1, 3}, WithoutRule::None, kNearest).violated);
}

Test(forward, two_coordinators_never_split_a_group_that_forms_anew)
{
	expectSafe({2, 3, 2, 2});
}

Test(forward, one_coordinator_that_sees_ranks_late_never_splits_them)
{
	expectSafe({2, 3, 1, 1, true});
}

/// A whole exploration is cut short at kLimit; only the nearest states are visited.
Test(forward, two_coordinators_that_see_ranks_late_split_them_in_none_of_the_nearest_states)
{
	constexpr std::size_t kNearest = 500'000;
	cr_assert(!explored({2, 2, 1, 2, true}, WithoutRule::None, kNearest).violated);
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
	expectSplitWithout(WithoutRule::HoldSeenBeforeArm, {2, 3, 1, 1});
}

Test(forward, a_release_before_all_are_armed_splits_the_group)
{
	expectSplitWithout(WithoutRule::AllArmedBeforeRelease, {2, 3, 1, 1});
}

Test(forward, a_way_back_while_switching_splits_the_group)
{
	expectSplitWithout(WithoutRule::NoWayBackWhileSwitching, {2, 3, 1, 1});
}

Test(forward, a_way_back_behind_the_writer_splits_the_group)
{
	expectSplitWithout(WithoutRule::OnlyTheWriterGoesBack, {2, 3, 1, 2});
}

Test(forward, arms_after_a_way_back_split_the_group)
{
	expectSplitWithout(WithoutRule::NoArmsOnceGoneBack, {2, 3, 1, 2});
}

Test(forward, a_way_back_after_an_arm_splits_the_group)
{
	expectSplitWithout(WithoutRule::NoWayBackOnceArmed, {2, 3, 1, 1});
}

Test(forward, a_boundary_moved_before_it_is_passed_splits_the_group)
{
	expectSplitWithout(WithoutRule::MovedOnlyOncePassed, {2, 4, 1, 1});
}

/// The writer may have armed the last rank: whoever voids the switch behind it can't tell.
Test(forward, arms_in_any_order_split_the_group)
{
	expectSplitWithout(WithoutRule::OneArmedLast, {2, 3, 1, 2});
}

Test(forward, a_stray_hold_released_by_an_old_row_splits_the_group)
{
	expectSplitWithout(WithoutRule::RowReadAfterStrayHold, {2, 3, 1, 2});
}

Test(forward, versions_without_a_term_split_the_group)
{
	expectSplitWithout(WithoutRule::VersionsBearTheTerm, {2, 3, 1, 2});
}
