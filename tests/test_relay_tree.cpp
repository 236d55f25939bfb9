/// Relay tree: each rank occurs once, no process sends many messages, and failed relays are replaced.
#include "archdyke/relay_tree.h"
#include "check.h"

#include <criterion/criterion.h>
#include <map>
#include <set>
#include <string>

using namespace archdyke;
using archdyke::tests::checkProperty;

namespace
{
	std::vector<TreeMember> group(std::size_t _ranks, std::size_t _zones)
	{
		std::vector<TreeMember> members;
		for (std::size_t rank = 0; rank < _ranks; ++rank)
		{
			members.push_back({"10.0.0." + std::to_string(rank) + ":1", "zone-" + std::to_string(rank % _zones), 0});
		}
		return members;
	}

	bool hasEachOnce(const std::vector<TreeBranch>& _tree, std::size_t _members)
	{
		std::multiset<std::size_t> seen;
		for (const TreeBranch& branch : _tree)
		{
			seen.insert(branch.members.begin(), branch.members.end());
		}
		return seen.size() == _members && std::set<std::size_t>(seen.begin(), seen.end()).size() == _members;
	}
} // namespace

Test(relaytree, a_small_group_is_one_branch_of_the_coordinator)
{
	for (const std::size_t ranks : {std::size_t(1), std::size_t(12), std::size_t(24), kTreeFanOut})
	{
		const std::vector<TreeBranch> tree = makeTree(group(ranks, 3));
		cr_assert(1 == tree.size() && !tree.front().relay && hasEachOnce(tree, ranks));
	}
}

Test(relaytree, each_process_sends_few_messages_for_any_group)
{
	checkProperty("ranks and zones of any number", [](std::uint64_t _seed) {
		const std::size_t ranks = 1 + _seed % 410;
		const std::size_t zones = 1 + _seed / 410 % 17;
		std::vector<TreeMember> members = group(ranks, zones);
		for (std::size_t index = 0; index < members.size(); ++index)
		{
			members[index].doubt = Millis((_seed >> (index % 40)) % 3);
		}
		const std::vector<TreeBranch> tree = makeTree(members);
		bool fits = hasEachOnce(tree, ranks) && tree.size() <= std::max<std::size_t>(kTreeFanOut, 2 * zones);
		for (const TreeBranch& branch : tree)
		{
			fits = fits && !branch.members.empty() && branch.members.size() <= kTreeFanOut;
			fits = fits && (!branch.relay || members[*branch.relay].zone == members[branch.members.back()].zone);
		}
		return fits;
	});
}

Test(relaytree, two_relays_a_zone_share_its_ranks)
{
	const std::vector<TreeMember> members = group(129, 5);
	const std::vector<TreeBranch> tree = makeTree(members);
	cr_assert(10 == tree.size());
	for (const TreeBranch& branch : tree)
	{
		cr_assert(branch.relay && 12 <= branch.members.size() && branch.members.size() <= 13);
	}
}

Test(relaytree, a_relay_that_failed_is_replaced_and_the_others_stay)
{
	std::vector<TreeMember> members = group(129, 5);
	const std::vector<TreeBranch> before = makeTree(members);
	const std::size_t failed = *before.front().relay;
	members[failed].doubt = 5'000;
	const std::vector<TreeBranch> after = makeTree(members);
	std::size_t same = 0;
	for (const TreeBranch& branch : after)
	{
		cr_assert(failed != *branch.relay);
		same += std::any_of(before.begin(), before.end(), [&](const TreeBranch& _branch) {
			return _branch.relay == branch.relay;
		});
	}
	cr_assert(9 == same && hasEachOnce(after, 129));
}

/// The coordinator never polls all ranks of a large group itself: if all failed, those that failed first relay.
Test(relaytree, when_all_failed_the_ones_that_failed_first_relay)
{
	std::vector<TreeMember> members = group(129, 5);
	for (std::size_t index = 0; index < members.size(); ++index)
	{
		members[index].doubt = Millis(10'000 - index);
	}
	const std::vector<TreeBranch> tree = makeTree(members);
	cr_assert(10 == tree.size());
	for (const TreeBranch& branch : tree)
	{
		cr_assert(branch.relay && 119 <= *branch.relay);
	}
}
