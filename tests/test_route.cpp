/// Routing: never to an unusable agent, own zone first, deterministic subsets.
#include <algorithm>
#include <map>

#include "archdyke/route.h"
#include "check.h"

using namespace archdyke;

namespace
{
	AgentCandidate candidate(std::uint64_t _id, bool _ownZone, std::uint32_t _reported, bool _usable = true)
	{
		return {_id, _usable, _ownZone, _ownZone ? 0.0 : 1.5, 16, _reported, 0, 100.0};
	}
} // namespace

Test(route, stays_in_the_zone_while_slots_are_free)
{
	Random random(1);
	const std::vector<AgentCandidate> candidates{candidate(1, true, 10), candidate(2, false, 0)};
	for (int index = 0; index < 100; ++index)
	{
		cr_assert(0 == chooseAgent(candidates, std::nullopt, random));
	}
}

Test(route, leaves_the_zone_when_the_wait_exceeds_the_distance)
{
	Random random(1);
	const std::vector<AgentCandidate> candidates{candidate(1, true, 40), candidate(2, false, 0)};
	cr_assert(1 == chooseAgent(candidates, std::nullopt, random));
}

Test(route, a_prefix_stays_with_its_holder_up_to_the_load_bound)
{
	Random random(1);
	std::vector<AgentCandidate> candidates{candidate(1, true, 2), candidate(2, true, 2), candidate(3, true, 2)};
	const std::size_t holder = *chooseAgent(candidates, 42, random);
	for (int index = 0; index < 50; ++index)
	{
		cr_assert(holder == *chooseAgent(candidates, 42, random));
	}
	candidates[holder].reported = 15;
	int elsewhere = 0;
	for (int index = 0; index < 50; ++index)
	{
		elsewhere += holder != *chooseAgent(candidates, 42, random) ? 1 : 0;
	}
	cr_assert(50 == elsewhere, "%d of 50 left the loaded holder", elsewhere);
}

Test(route, chooses_a_usable_one_exactly_when_there_is_one)
{
	tests::checkProperty("choice against a search of all", [] {
		Random random(*rc::gen::arbitrary<std::uint64_t>());
		std::vector<AgentCandidate> candidates;
		const int count = *rc::gen::inRange(0, 12);
		for (int index = 0; index < count; ++index)
		{
			candidates.push_back(candidate(std::uint64_t(index), *rc::gen::arbitrary<bool>(), std::uint32_t(*rc::gen::inRange(0, 64)), *rc::gen::arbitrary<bool>()));
		}
		const std::optional<std::uint64_t> prefix = *rc::gen::arbitrary<bool>() ? std::optional<std::uint64_t>(5) : std::nullopt;
		const std::optional<std::size_t> chosen = chooseAgent(candidates, prefix, random);
		const bool any = std::any_of(candidates.begin(), candidates.end(), [](const AgentCandidate& _c) {
			return _c.usable;
		});
		RC_ASSERT(chosen.has_value() == any);
		RC_ASSERT(!chosen || candidates[*chosen].usable);
		const bool roomAtHome = std::any_of(candidates.begin(), candidates.end(), [](const AgentCandidate& _c) {
			                        return _c.usable && _c.ownZone;
		                        }) &&
		                        std::all_of(candidates.begin(), candidates.end(), [](const AgentCandidate& _c) {
			                        return !_c.usable || !_c.ownZone || 0.0 == expectedWaitMs(_c);
		                        });
		RC_ASSERT(!roomAtHome || candidates[*chosen].ownZone);
	});
}

Test(route, subsets_cover_each_agent_as_often_as_configured)
{
	tests::checkProperty("coverage of subsets", [] {
		std::vector<std::string> entries;
		std::vector<std::string> agents;
		const int entryCount = *rc::gen::inRange(1, 30);
		const int agentCount = *rc::gen::inRange(1, 200);
		for (int index = 0; index < entryCount; ++index)
		{
			entries.push_back("e" + std::to_string(index));
		}
		for (int index = 0; index < agentCount; ++index)
		{
			agents.push_back("a" + std::to_string(index));
		}
		std::map<std::size_t, int> covered;
		for (const std::string& entry : entries)
		{
			for (const std::size_t agent : chooseSubset(entry, entries, agents, 3))
			{
				covered[agent] += 1;
			}
		}
		for (int index = 0; index < agentCount; ++index)
		{
			RC_ASSERT(covered[std::size_t(index)] == std::min(3, entryCount));
		}
	});
}
