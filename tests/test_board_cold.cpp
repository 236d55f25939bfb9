/// Limits of the requests that one gateway sends to cold upstreams.
#include "board_rig.h"

using namespace archdyke;
using namespace archdyke::gateway;
using namespace archdyke::tests;

namespace
{
	/// @returns How many requests a gateway may send at one time.
	int sendUntilLimit(const UpstreamRegistry& _registry, Random& _random, Millis _now)
	{
		int sends = 0;
		while (const UpstreamRef upstream = _registry.choose(*groupNamed(_registry, ""), {}, _random, _now))
		{
			recordColdSend(upstream->cold, _now);
			sends += 1;
			cr_assert(sends < 100);
		}
		return sends;
	}
} // namespace

Test(board, an_upstream_that_turns_cold_gets_its_share_and_no_more)
{
	UpstreamRegistry registry("here", "gateway-1");
	Random random(1);
	registry.setColdTerms(kService, kTwoSends);
	registry.learn(recordOf("a", "1"), 0);
	const GroupRef group = groupNamed(registry, "");
	cr_assert(1 == countSendableMembers(*group, 0) && !refusalCauseOf(registry.groupsOf(kService), 0));
	UpstreamRecord cold = recordOf("a", "1");
	cold.coldForMs = 3'000;
	registry.learn(cold, 10'000);
	cr_assert(3'000 == registry.nextWarmMs(kService, 10'000));
	cr_assert(2 == sendUntilLimit(registry, random, 10'000));
	cr_assert(RefusalCause::ColdUpstreams == refusalCauseOf(registry.groupsOf(kService), 11'000) && 0 == sendUntilLimit(registry, random, 11'000));
	cr_assert(2 == sendUntilLimit(registry, random, 11'500));
	registry.expireCold(13'000);
	cr_assert(!refusalCauseOf(registry.groupsOf(kService), 13'000) && !registry.nextWarmMs(kService, 13'000));
}

Test(board, a_warm_upstream_gets_what_a_cold_one_cannot_take)
{
	UpstreamRegistry registry("here", "gateway-1");
	Random random(1);
	registry.setColdTerms(kService, kTwoSends);
	UpstreamRecord cold = recordOf("cold", "1");
	cold.coldForMs = 3'000;
	registry.learn(cold, 0);
	registry.learn(recordOf("warm", "2"), 0);
	const GroupRef group = groupNamed(registry, "");
	int atCold = 0;
	for (int request = 0; request < 100; ++request)
	{
		const UpstreamRef chosen = registry.choose(*group, {}, random, 100);
		cr_assert(nullptr != chosen);
		if ("cold" == chosen->record.incarnation)
		{
			recordColdSend(chosen->cold, 100);
			atCold += 1;
		}
	}
	cr_assert(2 == atCold && 1 == countSendableMembers(*group, 100));
}

Test(board, a_new_upstream_without_a_reported_cold_time_counts_as_cold)
{
	UpstreamRegistry registry("here", "gateway-1");
	registry.setColdTerms(kService, kTwoSends);
	registry.learn(recordOf("first", "1"), 0);
	cr_assert(!registry.nextWarmMs(kService, 0));
	registry.learn(recordOf("later", "2"), 1'000, 3'000);
	cr_assert(3'000 == registry.nextWarmMs(kService, 1'000));
	// A later row of the same run doesn't make it cold; a restart of the incarnation does.
	UpstreamRecord row = recordOf("first", "1");
	row.slots = 5;
	registry.learn(row, 2'000, 3'000);
	cr_assert(!isColdLimited(*groupNamed(registry, "")->members.front(), 2'000));
	row.startedAt = 1'700'000'000'000;
	registry.learn(row, 2'000, 3'000);
	cr_assert(isColdLimited(*groupNamed(registry, "")->members.front(), 2'000));
}

Test(board, upstreams_that_restarted_are_counted_once)
{
	UpstreamRegistry registry("here", "gateway-1");
	registry.learn(recordOf("before", "1"), 0);
	registry.learn(recordOf("after", "1"), 0);
	registry.learn(recordOf("other", "2"), 0);
	cr_assert(2 == registry.addresses());
	registry.forget("before", 10);
	cr_assert(2 == registry.addresses());
}

Test(board, without_a_declared_limit_a_cold_upstream_is_not_limited)
{
	UpstreamRegistry registry("here", "gateway-1");
	UpstreamRecord cold = recordOf("a", "1");
	cold.coldForMs = 3'000;
	registry.learn(cold, 0);
	cr_assert(1 == countSendableMembers(*groupNamed(registry, ""), 100));
	registry.setColdTerms(kService, ColdCapacity{20.0, 30.0, 2'048});
	cr_assert(RefusalCause::ColdUpstreams == refusalCauseOf(registry.groupsOf(kService), 100));
	registry.setColdTerms(kService, std::nullopt);
	cr_assert(1 == countSendableMembers(*groupNamed(registry, ""), 100));
}

Test(board, a_cold_zone_beside_an_evacuated_one_leaves_only_cold_upstreams)
{
	UpstreamRegistry registry("here", "gateway-1");
	registry.setColdTerms(kService, ColdCapacity{20.0, 30.0, 2'048});
	registry.learn(recordOf("a", "1"), 0);
	UpstreamRecord cold = recordOf("b", "2", "there");
	cold.coldForMs = 3'000;
	registry.learn(cold, 0);
	registry.report(reportOf("g", {"1"}, 0), 10);
	registry.report(reportOf("h", {"2"}, 0), 10);
	cr_assert(!refusalCauseOf(registry.groupsOf(kService), 10));
	registry.evacuate("here");
	cr_assert(RefusalCause::ColdUpstreams == refusalCauseOf(registry.groupsOf(kService), 10));
}

Test(board, an_upstream_that_reports_no_cold_time_left_is_not_cold)
{
	UpstreamRegistry registry("here", "gateway-1");
	registry.setColdTerms(kService, ColdCapacity{20.0, 30.0, 2'048});
	UpstreamRecord warm = recordOf("a", "1");
	warm.coldForMs = 0;
	registry.learn(warm, 0, 3'000);
	cr_assert(1 == countSendableMembers(*groupNamed(registry, ""), 10));
}

Test(board, limits_of_one_service_leave_those_of_others_alone)
{
	UpstreamRegistry registry("here", "gateway-1");
	registry.setColdTerms(kService, kTwoSends);
	registry.setColdTerms("other", kTwoSends);
	registry.learn(recordOf("a", "1"), 0);
	registry.learn(recordOfService(recordOf("b", "2"), "other"), 0);
	cr_assert(2 == registry.servicesWithColdTerms().size());
	registry.setColdTerms("other", std::nullopt);
	cr_assert(std::vector<std::string>{kService} == registry.servicesWithColdTerms());
	cr_assert(2 == registry.groupsOf(kService).front()->members.front()->coldSends);
	cr_assert(!registry.groupsOf("other").front()->members.front()->coldSends);
}
