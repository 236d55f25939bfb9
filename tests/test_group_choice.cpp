/// Choice of the group for a request, and a coordinator's search for the ranks of its group.
#include <algorithm>
#include <array>
#include <criterion/criterion.h>

#include "archdyke/group_choice.h"
#include "archdyke/rank_search.h"

using namespace archdyke;

namespace
{
	GroupCandidate inTime(double _fullness, double _ownZoneShare = 0.0)
	{
		return {GroupStatus::InTime, true, _fullness, 100.0 * (1.0 - _fullness), _ownZoneShare, false};
	}

	/// @returns How often each candidate is chosen.
	std::vector<int> countChoices(const std::vector<GroupCandidate>& _candidates, int _draws = 1'000)
	{
		Random random(5);
		std::vector<int> counts(_candidates.size(), 0);
		for (int draw = 0; draw < _draws; ++draw)
		{
			counts[*chooseGroup(_candidates, random)] += 1;
		}
		return counts;
	}

	/// @returns Maximum number of requests that one of three similar groups gets while all gateways use
	/// the same loads.
	template <typename Choose>
	int maxPerGroup(Choose _choose)
	{
		std::vector<GroupCandidate> seen{inTime(0.50), inTime(0.52), inTime(0.54)};
		std::array<int, 3> arrivals{};
		Random random(11);
		for (int request = 0; request < 90; ++request)
		{
			arrivals[*_choose(seen, random)] += 1;
		}
		return *std::max_element(arrivals.begin(), arrivals.end());
	}
} // namespace

Test(groupchoice, a_group_that_is_down_or_full_gets_nothing)
{
	std::vector<GroupCandidate> candidates{inTime(0.2, 1.0), inTime(0.2), inTime(0.2)};
	candidates[0].standing = GroupStatus::Down;
	candidates[1].hasCapacity = false;
	cr_assert(1'000 == countChoices(candidates)[2]);
	candidates[2].standing = GroupStatus::Down;
	Random random(1);
	cr_assert(!chooseGroup(candidates, random));
	cr_assert(!chooseGroup({}, random));
}

Test(groupchoice, the_own_zone_is_preferred_until_it_is_much_more_loaded)
{
	cr_assert(1'000 == countChoices({inTime(0.6, 1.0), inTime(0.4)})[0]);
	const std::vector<int> spilled = countChoices({inTime(0.9, 1.0), inTime(0.3)});
	cr_assert(spilled[1] > spilled[0]);
}

Test(groupchoice, a_late_or_unknown_group_gets_requests_once_groups_in_time_are_full)
{
	std::vector<GroupCandidate> candidates{inTime(0.1, 1.0), inTime(0.9)};
	for (const GroupStatus standing : {GroupStatus::Late, GroupStatus::Unknown})
	{
		candidates[0].standing = standing;
		candidates[1].hasCapacity = true;
		cr_assert(1'000 == countChoices(candidates)[1]);
		candidates[1].hasCapacity = false;
		cr_assert(1'000 == countChoices(candidates)[0]);
	}
}

Test(groupchoice, a_retry_goes_to_another_group_if_possible)
{
	std::vector<GroupCandidate> candidates{inTime(0.1, 1.0), inTime(0.9)};
	candidates[0].failedRequest = true;
	cr_assert(1'000 == countChoices(candidates)[1]);
	candidates[1].standing = GroupStatus::Down;
	cr_assert(1'000 == countChoices(candidates)[0]);
}

/// All gateways see the same loads: choosing the least utilized group would send all requests there.
Test(groupchoice, gateways_with_the_same_loads_avoid_herding)
{
	const int drawn = maxPerGroup([](const std::vector<GroupCandidate>& _seen, Random& _random) {
		return chooseGroup(_seen, _random);
	});
	const int emptiest = maxPerGroup([](const std::vector<GroupCandidate>& _seen, Random&) {
		return chooseLeastUtilizedGroup(_seen);
	});
	cr_assert(90 == emptiest && drawn < 45, "emptiest: %d at one, drawn: %d", emptiest, drawn);
}

Test(ranksearch, a_complete_group_polls_no_other_ranks)
{
	const std::vector<SearchCandidate> others(1'000);
	cr_assert(selectCandidatesToPoll(others, {24, 24}, 10'000).empty());
	cr_assert(!selectCandidatesToPoll(others, {23, 24}, 10'000).empty());
	cr_assert(!selectCandidatesToPoll(others, {0, 0}, 10'000).empty());
}

Test(ranksearch, the_nearest_ranks_are_polled_first_and_few_at_a_time)
{
	std::vector<SearchCandidate> others(200);
	for (std::size_t index = 100; index < 110; ++index)
	{
		others[index].ownZone = true;
	}
	const std::vector<std::size_t> asked = selectCandidatesToPoll(others, {1, 24}, 10'000);
	cr_assert(asked.size() <= 32);
	for (std::size_t index = 0; index < 10; ++index)
	{
		cr_assert(100 + index == asked[index]);
	}
}

Test(ranksearch, all_ranks_are_polled_in_turn)
{
	std::vector<SearchCandidate> others(100);
	for (int look = 1; look <= 4; ++look)
	{
		for (const std::size_t index : selectCandidatesToPoll(others, {1, 24}, 10'000 + look))
		{
			others[index].askedAt = 10'000 + look;
		}
	}
	cr_assert(std::none_of(others.begin(), others.end(), [](const SearchCandidate& _candidate) {
		return 0 == _candidate.askedAt;
	}));
}

Test(ranksearch, ranks_of_other_groups_are_polled_again_rarely)
{
	SearchCandidate elsewhere;
	elsewhere.askedAt = 10'000;
	elsewhere.otherGroupAt = 10'000;
	cr_assert(selectCandidatesToPoll({elsewhere}, {23, 24}, 11'000).empty());
	cr_assert(1 == selectCandidatesToPoll({elsewhere}, {23, 24}, 20'000).size());
	SearchCandidate gone;
	gone.listed = false;
	gone.askedAt = 10'000;
	cr_assert(selectCandidatesToPoll({gone}, {23, 24}, 11'000).empty());
}
