/// Back-off and leaving state that upstreams report about themselves: it must persist when rows are removed, groups change
/// and processes restart.
#include <map>

#include "board_rig.h"

using namespace archdyke;
using namespace archdyke::gateway;
using namespace archdyke::tests;

namespace
{
	/// @returns How often each upstream of the service's only group was chosen in 100 choices.
	std::map<std::string, int> choices(const UpstreamRegistry& _registry, Millis _now)
	{
		std::map<std::string, int> result;
		Random random(3);
		for (int draw = 0; draw < 100; ++draw)
		{
			const UpstreamRef chosen = _registry.choose(*_registry.groupsOf(kService).front(), {}, random, _now);
			result[nullptr == chosen ? "" : chosen->record.incarnation] += 1;
		}
		return result;
	}
} // namespace

Test(board, an_upstream_that_asked_to_back_off_isnt_chosen_until_that_time_is_over)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "2"), 0);
	registry.applyBackOff(upstreamNamed(registry, "a"), 3'000, 100);
	cr_assert(100 == choices(registry, 101)["b"]);
	cr_assert(1 == countSendableMembers(*upstreamNamed(registry, "a")->group, 101) && !refusalCauseOf(registry.groupsOf(kService), 101));
	cr_assert(!registry.backOffEndsInMs(kService, 101), "another one accepts requests");
	cr_assert(0 < choices(registry, 3'100)["a"] && 2 == countSendableMembers(*upstreamNamed(registry, "a")->group, 3'100));
}

/// Not even when all other upstreams fail or were tried already: it would reject the request at once.
Test(board, a_backed_off_upstream_is_no_last_resort)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "2"), 0);
	registry.applyBackOff(upstreamNamed(registry, "a"), 3'000, 100);
	Random random(3);
	cr_assert(nullptr == registry.choose(*upstreamNamed(registry, "a")->group, {"b"}, random, 101));
	for (int failure = 0; failure < 5; ++failure)
	{
		recordAttempt(upstreamNamed(registry, "b")->health, true, 101);
	}
	cr_assert(100 == choices(registry, 102)["b"], "suspended, but the only one without a back-off");
}

Test(board, when_all_back_off_that_is_the_refusal_cause_until_the_first_back_off_ends)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "2"), 0);
	registry.applyBackOff(upstreamNamed(registry, "a"), 3'000, 0);
	registry.applyBackOff(upstreamNamed(registry, "b"), 2'000, 500);
	cr_assert(RefusalCause::BackOff == refusalCauseOf(registry.groupsOf(kService), 1'000));
	cr_assert(1'500 == registry.backOffEndsInMs(kService, 1'000) && 100 == choices(registry, 1'000)[""]);
	cr_assert(!refusalCauseOf(registry.groupsOf(kService), 2'500));
}

Test(board, cold_upstreams_at_their_limit_take_precedence_as_the_refusal_cause)
{
	UpstreamRegistry registry("here", "gateway-1");
	registry.setColdTerms(kService, ColdCapacity{20.0, 30.0, 2'048}); // no gateway may send any request
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "2"), 0, 5'000);
	registry.applyBackOff(upstreamNamed(registry, "a"), 3'000, 0);
	cr_assert(RefusalCause::ColdUpstreams == refusalCauseOf(registry.groupsOf(kService), 100));
	registry.applyBackOff(upstreamNamed(registry, "b"), 3'000, 0);
	cr_assert(RefusalCause::BackOff == refusalCauseOf(registry.groupsOf(kService), 100));
}

/// Rows expire while the store is unreachable and come back; the upstream rejoins its group with the group's next report.
Test(board, a_back_off_outlasts_its_row_and_its_group)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	registry.applyBackOff(upstreamNamed(registry, "a"), 3'000, 100);
	registry.forget("a", 200);
	registry.learn(recordOf("a", "1"), 300);
	cr_assert(2'700 == remainingBackOffMs(upstreamNamed(registry, "a")->selfReport.backOff, 400));
	cr_assert(0 == countSendableMembers(*upstreamNamed(registry, "a")->group, 400));
	registry.report(reportOf("g", {"1"}, 0), 500);
	cr_assert(0 == countSendableMembers(*upstreamNamed(registry, "a")->group, 500));
	registry.deactivate("a");
	registry.learn(recordOf("a", "1"), 600);
	cr_assert(0 == countSendableMembers(*upstreamNamed(registry, "a")->group, 600) && 1 == countSendableMembers(*upstreamNamed(registry, "a")->group, 3'100));
}

/// The response to a request that was sent before the row was removed may arrive when there is no row or a new one.
Test(board, a_response_counts_though_the_row_of_its_upstream_was_removed_meanwhile)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	const UpstreamRef sentTo = upstreamNamed(registry, "a");
	registry.forget("a", 100);
	registry.applyBackOff(sentTo, 3'000, 200);
	registry.learn(recordOf("a", "1"), 300);
	cr_assert(isBackedOff(*upstreamNamed(registry, "a"), 400));
	registry.applyBackOff(sentTo, 5'000, 500);
	cr_assert(5'000 == remainingBackOffMs(upstreamNamed(registry, "a")->selfReport.backOff, 500));
	registry.forget("a", 6'000);
	registry.learn(recordOf("a", "1"), 6'100);
	cr_assert(!isBackedOff(*upstreamNamed(registry, "a"), 6'200));
}

/// A restarted process may ask for the back-off before its new row arrives.
Test(board, a_back_off_holds_for_a_new_run_of_the_incarnation)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1", "here", 1'000), 0);
	registry.applyBackOff(upstreamNamed(registry, "a"), 3'000, 100);
	registry.learn(recordOf("a", "1", "here", 2'000), 200);
	cr_assert(isBackedOff(*upstreamNamed(registry, "a"), 300) && !isBackedOff(*upstreamNamed(registry, "a"), 3'100));
}

/// Load pattern: most ranks of a group are full and asked to back off, and few remain. Free capacity must be computed from
/// the remaining ones, or they would be overloaded until they ask to back off, too.
Test(board, the_mean_load_counts_only_upstreams_without_back_off)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "2"), 0);
	registry.learn(recordOf("c", "3"), 0);
	GroupReport report = reportOf("g", {"1", "2", "3"});
	report.ranks[0].requests = 9;
	report.ranks[1].requests = 6;
	report.ranks[2].requests = 0;
	registry.report(report, 1);
	const UpstreamGroup& group = *upstreamNamed(registry, "a")->group;
	cr_assert(5.0 == meanLoad(group, 10));
	registry.applyBackOff(upstreamNamed(registry, "a"), 800, 10);
	registry.applyBackOff(upstreamNamed(registry, "c"), 800, 10);
	cr_assert(6.0 == meanLoad(group, 20));
	cr_assert(5.0 == meanLoad(group, 810));
}

Test(board, an_upstream_that_announced_leaving_gets_no_requests_whatever_its_row_says)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "2"), 0);
	registry.recordLeaving(upstreamNamed(registry, "a"), 100);
	cr_assert(100 == choices(registry, 101)["b"] && 1 == upstreamNamed(registry, "a")->group->availableMembers);
	registry.learn(recordOf("a", "1"), 200);
	cr_assert(100 == choices(registry, 201)["b"]);
	registry.forget("a", 300);
	registry.learn(recordOf("a", "1"), 400);
	cr_assert(100 == choices(registry, 401)["b"] && 1 == upstreamNamed(registry, "a")->group->availableMembers);
	registry.forget("a", 500);
	registry.learn(recordOf("a", "1"), 500 + 120'000);
	cr_assert(2 == upstreamNamed(registry, "a")->group->availableMembers, "it would have ended by then");
}

Test(board, a_new_run_of_the_incarnation_isnt_leaving)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1", "here", 1'000), 0);
	const UpstreamRef before = upstreamNamed(registry, "a");
	registry.recordLeaving(before, 100);
	registry.learn(recordOf("a", "1", "here", 2'000), 200);
	cr_assert(1 == upstreamNamed(registry, "a")->group->availableMembers);
	registry.recordLeaving(before, 300); // repeated in a response of the previous run
	cr_assert(1 == upstreamNamed(registry, "a")->group->availableMembers);
}

Test(board, leaving_counts_though_the_row_was_replaced_before_the_response_arrived)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	const UpstreamRef sentTo = upstreamNamed(registry, "a");
	registry.forget("a", 100);
	registry.learn(recordOf("a", "1"), 200);
	registry.recordLeaving(sentTo, 300);
	cr_assert(0 == upstreamNamed(registry, "a")->group->availableMembers);
}

Test(board, an_upstream_that_names_a_limit_gets_the_share_of_this_gateway)
{
	UpstreamRegistry registry("here", "", -60'000);
	registry.setLimitTerms({4'000, 1.5, 5.0, 4}, 0);
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "2"), 0);
	Random random(3);
	registry.recordLimit(upstreamNamed(registry, "a"), 4.0, random, 0); // 4 sends in 4.4 s, of which some may be used
	int sends = 0;
	for (Millis now = 10'000; now < 14'000; now += 10)
	{
		const UpstreamRef chosen = registry.choose(*registry.groupsOf(kService).front(), {}, random, now);
		if ("a" == chosen->record.incarnation)
		{
			recordLimitedSend(*chosen->selfReport.limit, now);
			sends += 1;
		}
	}
	cr_assert(4 <= sends && sends <= 5, "%d sends", sends);
	cr_assert(1 == countSendableMembers(*upstreamNamed(registry, "a")->group, 14'000));
	registry.forget("b", 14'000);
	cr_assert(RefusalCause::UpstreamLimits == refusalCauseOf(registry.groupsOf(kService), 14'000));
}

Test(board, a_limit_outlasts_the_row_and_ends_with_a_later_response_that_names_none)
{
	UpstreamRegistry registry("here", "", -60'000);
	registry.setLimitTerms({4'000, 1.5, 5.0, 500}, 0);
	registry.learn(recordOf("a", "1"), 0);
	Random random(3);
	const UpstreamRef before = upstreamNamed(registry, "a");
	registry.recordLimit(before, 1.0, random, 1'000);
	registry.forget("a", 1'100);
	registry.learn(recordOf("a", "1"), 1'200);
	cr_assert(upstreamNamed(registry, "a")->selfReport.limit && 1 == upstreamNamed(registry, "a")->group->limited);
	registry.recordNoLimit(before, 900);
	cr_assert(upstreamNamed(registry, "a")->selfReport.limit, "the request was sent before the limit was named");
	registry.recordNoLimit(before, 1'300);
	cr_assert(!upstreamNamed(registry, "a")->selfReport.limit && 0 == upstreamNamed(registry, "a")->group->limited);
	cr_assert(1 == countSendableMembers(*upstreamNamed(registry, "a")->group, 1'300));
}

Test(board, a_new_run_has_named_no_limit)
{
	UpstreamRegistry registry("here", "", -60'000);
	registry.learn(recordOf("a", "1", "here", 1'000), 0);
	Random random(3);
	const UpstreamRef before = upstreamNamed(registry, "a");
	registry.recordLimit(before, 1.0, random, 100);
	registry.learn(recordOf("a", "1", "here", 2'000), 200);
	cr_assert(!upstreamNamed(registry, "a")->selfReport.limit);
	registry.recordLimit(before, 1.0, random, 300); // repeated in a response of the previous run
	cr_assert(!upstreamNamed(registry, "a")->selfReport.limit);
}
