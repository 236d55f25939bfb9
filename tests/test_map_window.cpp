/// Expert choices, computed from cumulative counts of the ranks.
#include "archdyke/map_window.h"

#include <criterion/criterion.h>

using namespace archdyke;

namespace
{
	using Counts = std::vector<std::uint32_t>;

	std::optional<Counts> between(const Counts& _before, const Counts& _after)
	{
		return choicesBetween(_before, _after);
	}
} // namespace

Test(mapwindow, choices_are_what_was_counted_between)
{
	const Counts expected{1, 0, 4};
	cr_assert(expected == between({5, 7, 0}, {6, 7, 4}));
	cr_assert(!between({5, 7}, {6, 7, 4}), "another number of experts");
}

/// A restarted rank counts from zero. An unsigned difference would then be four billion choices per expert and would
/// dominate the placement for the whole window.
Test(mapwindow, counts_that_went_back_are_no_choices)
{
	cr_assert(!between({5'120, 88, 940}, {3, 90, 1'000}));
}

Test(mapwindow, hosts_by_expert_are_the_inverse_of_experts_by_rank)
{
	const ExpertHosts hosts{{{0, 2}, {1}, {0}, {2}}, {{1}, {1}, {2}, {0, 1}}};
	cr_assert(hosts == hostsOf(expertsByRank(hosts, 3), 4));
}
