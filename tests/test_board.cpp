/// Groups in the upstream registry: members, loads, failures and silence; and evacuated zones.
#include "board_rig.h"

using namespace archdyke;
using namespace archdyke::gateway;
using namespace archdyke::tests;

Test(board, upstreams_move_to_the_group_that_reports_them)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "2"), 0);
	registry.learn(recordOf("c", "3", "there"), 0);
	cr_assert(3 == groupNamed(registry, "")->members.size());
	registry.report(reportOf("g", {"1", "3"}), 10);
	cr_assert(2 == groupNamed(registry, "g")->members.size() && 1 == groupNamed(registry, "")->members.size());
	cr_assert(1 == groupNamed(registry, "g")->availableInZone);
	// A renamed group is a new one; the old one is removed with its last member.
	registry.report(reportOf("h", {"1", "3"}), 20);
	cr_assert(nullptr == groupNamed(registry, "g") && 2 == groupNamed(registry, "h")->members.size());
}

Test(board, a_groups_load_is_the_reported_one_plus_what_was_sent_since)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "2"), 0);
	registry.report(reportOf("g", {"1", "2"}, 3), 10);
	const GroupRef group = groupNamed(registry, "g");
	cr_assert(3.0 == meanLoad(*group, 20));
	{
		const InFlight first(group->members[0], 20);
		const InFlight second(group->members[0], 20);
		cr_assert(4.0 == meanLoad(*group, 20));
		// The report is too old, so only the requests of this gateway count.
		cr_assert(1.0 == meanLoad(*group, 10'000));
	}
	cr_assert(3.0 == meanLoad(*group, 20));
}

Test(board, a_request_in_flight_moves_with_its_upstream)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	{
		const InFlight request(groupNamed(registry, "")->members[0], 0);
		registry.report(reportOf("g", {"1"}), 10);
		cr_assert(1 == groupNamed(registry, "g")->inFlight);
	}
	cr_assert(0 == groupNamed(registry, "g")->inFlight);
}

Test(board, a_group_is_down_when_its_coordinator_or_an_upstream_says_so)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	GroupReport report = reportOf("g", {"1"});
	report.open = false;
	registry.report(report, 10);
	const GroupRef group = groupNamed(registry, "g");
	cr_assert(isDown(*group, 20));
	cr_assert(!isDown(*group, 10'000) && !hasFreshReport(*group, 10'000));
	group->view.faultUntil = 10'100;
	cr_assert(isDown(*group, 10'000));
}

Test(board, only_upstreams_of_unreported_groups_are_searched)
{
	UpstreamRegistry registry("here");
	Random random(1);
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "2"), 0);
	registry.report(reportOf("g", {"1"}), 10);
	for (int draw = 0; draw < 20; ++draw)
	{
		cr_assert("b" == registry.pickUnreportedUpstream(kService, random, 20)->record.incarnation);
	}
	registry.report(reportOf("h", {"2"}), 20);
	cr_assert(nullptr == registry.pickUnreportedUpstream(kService, random, 30));
	cr_assert(nullptr != registry.pickUnreportedUpstream(kService, random, 10'000));
}

Test(board, a_silent_upstream_is_avoided_while_others_respond)
{
	UpstreamRegistry registry("here");
	Random random(1);
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "2"), 0);
	const GroupRef group = groupNamed(registry, "");
	const UpstreamRef silent = group->members[0];
	const UpstreamRef other = group->members[1];
	const InFlight unanswered(silent, 1'000);
	recordActivity(*other, 1'900);
	for (int draw = 0; draw < 20; ++draw)
	{
		cr_assert(other == registry.choose(*group, {}, random, 2'000));
	}
	// When the whole group is silent, its ranks wait for each other, and none of them counts as silent.
	recordActivity(*silent, 1'950);
	cr_assert(!isSilent(activityOf(*silent, 4'000), 4'000));
}

Test(board, an_evacuated_zone_gets_no_requests_until_the_evacuation_ends)
{
	UpstreamRegistry registry("here");
	registry.setColdTerms(kService, ColdCapacity{18.0, 32.0, 1, 3'000});
	Random random(1);
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "2", "there"), 0);
	registry.evacuate("here");
	registry.learn(recordOf("c", "3"), 0); // learned during the evacuation
	const GroupRef group = groupNamed(registry, "");
	cr_assert(1 == group->availableMembers && 0 == group->availableInZone);
	for (int draw = 0; draw < 20; ++draw)
	{
		cr_assert("b" == registry.choose(*group, {}, random, 10)->record.incarnation);
	}
	registry.report(reportOf("g", {"1", "2"}, 4), 10);
	cr_assert(4.0 == meanLoad(*groupNamed(registry, "g"), 10), "only members that accept requests count");
	cr_assert(!registry.isEvacuated(kService));
	registry.endEvacuation("here", 700);
	cr_assert(1 == groupNamed(registry, "")->availableMembers && 2 == groupNamed(registry, "g")->availableMembers);
	for (const UpstreamRef& upstream : registry.all())
	{
		cr_assert(("there" == upstream->record.zone ? 0 : 3'000) == remainingColdMs(upstream->cold, 700), "they may have become cold meanwhile");
	}
}

Test(board, a_service_is_evacuated_when_only_evacuation_makes_its_upstreams_unavailable)
{
	UpstreamRegistry registry("here");
	cr_assert(!registry.isEvacuated(kService));
	registry.learn(recordOf("a", "1"), 0);
	UpstreamRecord leaving = recordOf("b", "2", "there");
	leaving.leaving = true;
	registry.learn(leaving, 0);
	registry.evacuate("here");
	cr_assert(registry.isEvacuated(kService) && !registry.isEvacuated("other"));
	registry.learn(recordOf("c", "3", "there"), 0);
	cr_assert(!registry.isEvacuated(kService));
	registry.forget("a", 0);
	registry.forget("c", 0);
	cr_assert(!registry.isEvacuated(kService), "the only upstream left is leaving");
}

Test(board, requests_in_an_evacuated_zone_dont_count_in_the_mean_load)
{
	UpstreamRegistry registry("here");
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOf("b", "2", "there"), 0);
	registry.report(reportOf("g", {"1", "2"}, 4), 10);
	const UpstreamRef emptied = registry.choose(*groupNamed(registry, "g"), {"b"}, *std::make_unique<Random>(1), 10);
	std::vector<std::unique_ptr<InFlight>> running;
	for (int request = 0; request < 8; ++request)
	{
		running.push_back(std::make_unique<InFlight>(emptied, 10));
	}
	registry.evacuate("here");
	cr_assert(4.0 == meanLoad(*groupNamed(registry, "g"), 10), "at once, not only after the next report");
	registry.report(reportOf("g", {"1", "2"}, 4), 20);
	running.clear();
	cr_assert(4.0 == meanLoad(*groupNamed(registry, "g"), 20), "unchanged when its requests end");
}
