/// What cold upstreams get of one gateway, by what it knows of them.
#include "board_rig.h"

using namespace archdyke;
using namespace archdyke::gateway;
using namespace archdyke::tests;

namespace
{
	/// @returns How many requests a gateway that has more than it may send gets out at one time.
	int sendsNow(const Board& _board, Random& _random, Millis _now)
	{
		int sends = 0;
		while (const UpstreamRef upstream = _board.choose(*groupNamed(_board, ""), {}, _random, _now))
		{
			noteColdSend(upstream->cold, _now);
			sends += 1;
			cr_assert(sends < 100);
		}
		return sends;
	}
} // namespace

Test(board, an_upstream_that_turns_cold_gets_its_share_and_no_more)
{
	Board board("here", "gateway-1");
	Random random(1);
	board.limitCold(kService, kTwoSends);
	board.learn(recordOf("a", "1"), 0);
	const GroupRef group = groupNamed(board, "");
	cr_assert(1 == membersThatMayGet(*group, 0) && !whyNoneMayGet(board.groupsOf(kService), 0));
	UpstreamRecord cold = recordOf("a", "1");
	cold.coldForMs = 3'000;
	board.learn(cold, 10'000);
	cr_assert(3'000 == board.nextWarmMs(kService, 10'000));
	cr_assert(2 == sendsNow(board, random, 10'000));
	cr_assert(RefusalCause::ColdUpstreams == whyNoneMayGet(board.groupsOf(kService), 11'000) && 0 == sendsNow(board, random, 11'000));
	cr_assert(2 == sendsNow(board, random, 11'500));
	board.endCold(13'000);
	cr_assert(!whyNoneMayGet(board.groupsOf(kService), 13'000) && !board.nextWarmMs(kService, 13'000));
}

Test(board, a_warm_upstream_gets_what_a_cold_one_cannot_take)
{
	Board board("here", "gateway-1");
	Random random(1);
	board.limitCold(kService, kTwoSends);
	UpstreamRecord cold = recordOf("cold", "1");
	cold.coldForMs = 3'000;
	board.learn(cold, 0);
	board.learn(recordOf("warm", "2"), 0);
	const GroupRef group = groupNamed(board, "");
	int atCold = 0;
	for (int request = 0; request < 100; ++request)
	{
		const UpstreamRef chosen = board.choose(*group, {}, random, 100);
		cr_assert(nullptr != chosen);
		if ("cold" == chosen->record.incarnation)
		{
			noteColdSend(chosen->cold, 100);
			atCold += 1;
		}
	}
	cr_assert(2 == atCold && 1 == membersThatMayGet(*group, 100));
}

Test(board, a_new_upstream_that_does_not_say_counts_as_cold)
{
	Board board("here", "gateway-1");
	board.limitCold(kService, kTwoSends);
	board.learn(recordOf("first", "1"), 0);
	cr_assert(!board.nextWarmMs(kService, 0));
	board.learn(recordOf("later", "2"), 1'000, 3'000);
	cr_assert(3'000 == board.nextWarmMs(kService, 1'000));
	// A later row of the same process says nothing new of it; a restart under its name does.
	UpstreamRecord row = recordOf("first", "1");
	row.slots = 5;
	board.learn(row, 2'000, 3'000);
	cr_assert(!isLimitedCold(*groupNamed(board, "")->members.front(), 2'000));
	row.startedAt = 1'700'000'000'000;
	board.learn(row, 2'000, 3'000);
	cr_assert(isLimitedCold(*groupNamed(board, "")->members.front(), 2'000));
}

Test(board, upstreams_that_restarted_are_counted_once)
{
	Board board("here", "gateway-1");
	board.learn(recordOf("before", "1"), 0);
	board.learn(recordOf("after", "1"), 0);
	board.learn(recordOf("other", "2"), 0);
	cr_assert(2 == board.addresses());
	board.forget("before", 10);
	cr_assert(2 == board.addresses());
}

Test(board, where_nothing_is_declared_a_cold_upstream_gets_as_much_as_any)
{
	Board board("here", "gateway-1");
	UpstreamRecord cold = recordOf("a", "1");
	cold.coldForMs = 3'000;
	board.learn(cold, 0);
	cr_assert(1 == membersThatMayGet(*groupNamed(board, ""), 100));
	board.limitCold(kService, ColdTerms{20.0, 30.0, 2'048});
	cr_assert(RefusalCause::ColdUpstreams == whyNoneMayGet(board.groupsOf(kService), 100));
	board.limitCold(kService, std::nullopt);
	cr_assert(1 == membersThatMayGet(*groupNamed(board, ""), 100));
}

Test(board, a_cold_zone_beside_an_evacuated_one_leaves_only_cold_upstreams)
{
	Board board("here", "gateway-1");
	board.limitCold(kService, ColdTerms{20.0, 30.0, 2'048});
	board.learn(recordOf("a", "1"), 0);
	UpstreamRecord cold = recordOf("b", "2", "there");
	cold.coldForMs = 3'000;
	board.learn(cold, 0);
	board.report(reportOf("g", {"1"}, 0), 10);
	board.report(reportOf("h", {"2"}, 0), 10);
	cr_assert(!whyNoneMayGet(board.groupsOf(kService), 10));
	board.evacuate("here");
	cr_assert(RefusalCause::ColdUpstreams == whyNoneMayGet(board.groupsOf(kService), 10));
}

Test(board, an_upstream_that_says_it_is_warm_is_not_taken_for_cold)
{
	Board board("here", "gateway-1");
	board.limitCold(kService, ColdTerms{20.0, 30.0, 2'048});
	UpstreamRecord warm = recordOf("a", "1");
	warm.coldForMs = 0;
	board.learn(warm, 0, 3'000);
	cr_assert(1 == membersThatMayGet(*groupNamed(board, ""), 10));
}

Test(board, limits_of_one_service_leave_those_of_others_alone)
{
	Board board("here", "gateway-1");
	board.limitCold(kService, kTwoSends);
	board.limitCold("other", kTwoSends);
	board.learn(recordOf("a", "1"), 0);
	board.learn(recordOfService(recordOf("b", "2"), "other"), 0);
	cr_assert(2 == board.servicesLimitedCold().size());
	board.limitCold("other", std::nullopt);
	cr_assert(std::vector<std::string>{kService} == board.servicesLimitedCold());
	cr_assert(2 == board.groupsOf(kService).front()->members.front()->coldSends);
	cr_assert(!board.groupsOf("other").front()->members.front()->coldSends);
}
