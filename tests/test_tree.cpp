/// A group that is larger than one process speaks with: relays between its coordinator and its ranks, in
/// processes of their own, and what happens when they die, freeze or start anew.
#include <algorithm>
#include <csignal>

#include "group_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// More than the fan-out of a branch, so that two relays stand between.
	constexpr std::size_t kLarge = 34;

	/// @returns What the group's coordinator says of itself; none when nobody coordinates.
	Json coordinatorDump(const GroupRig& _rig, const RigGroup& _group)
	{
		for (std::size_t rank = 0; rank < _group.sidecars.size(); ++rank)
		{
			const httplib::Result result = clientOf(_rig.ipOf(_group, rank) + ":7341").Get("/dump");
			const Json dump = result ? Json::parse(result->body) : Json::object();
			if (dump.contains("term"))
			{
				return dump;
			}
		}
		return Json();
	}

	/// @returns Ranks whose daemons relay: those whose engines' addresses come first.
	std::vector<std::size_t> relays(const RigGroup& _group)
	{
		std::vector<std::size_t> ranks(_group.engines.size());
		for (std::size_t rank = 0; rank < ranks.size(); ++rank)
		{
			ranks[rank] = rank;
		}
		std::sort(ranks.begin(), ranks.end(), [&](std::size_t _a, std::size_t _b) {
			return _group.engines[_a] < _group.engines[_b];
		});
		return {ranks[0], ranks[1]};
	}
} // namespace

Test(tree, a_large_group_switches_maps_through_two_relays)
{
	GroupRig rig(std::vector<std::size_t>{kLarge});
	const RigGroup& group = rig.groups.front();
	cr_assert(group.switchesAgain(2, kSwitchMs));
	group.expectNoSplit();
	const Json dump = coordinatorDump(rig, group);
	cr_assert(dump.is_object() && 2 == dump["branches"].get<int>(), "%s", dump.dump().c_str());
	cr_assert(kLarge == dump["ranks"].size());
}

Test(tree, relays_that_die_freeze_and_start_anew_are_replaced)
{
	GroupRig rig(std::vector<std::size_t>{kLarge});
	RigGroup& group = rig.groups.front();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	const std::vector<std::size_t> relaying = relays(group);
	group.sidecars[relaying[0]]->kill();
	cr_assert(group.switchesAgain(1, kSwitchMs), "a relay was killed");
	group.sidecars[relaying[1]]->signal(SIGSTOP);
	cr_assert(group.switchesAgain(1, kSwitchMs), "the other relay is frozen too");
	rig.start(group, relaying[0]);
	cr_assert(group.switchesAgain(1, kSwitchMs), "the first one started anew");
	group.sidecars[relaying[1]]->signal(SIGCONT);
	cr_assert(group.switchesAgain(1, kSwitchMs), "the second one woke");
	group.expectNoSplit();
}

Test(tree, a_gateway_learns_a_large_group_from_any_daemon)
{
	GroupRig rig(std::vector<std::size_t>{kLarge});
	rig.startGateway("gateway-a");
	cr_assert(rig.waitForGroup("gateway-a", rig.groups.front()), "%s", rig.gatewayDump("gateway-a")["groups"].dump().c_str());
	for (int call = 0; call < 20; ++call)
	{
		cr_assert(200 == rig.call("gateway-a", fmt::format("call-{}", call)).status);
	}
}

/// The daemons of a large group agree on one coordinator, and keep it while nothing happens.
Test(tree, one_coordinator_from_start_to_end)
{
	GroupRig rig(std::vector<std::size_t>{kLarge});
	const RigGroup& group = rig.groups.front();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	const std::uint64_t term = coordinatorDump(rig, group)["term"].get<std::uint64_t>();
	cr_assert(group.switchesAgain(3, kSwitchMs));
	cr_assert(term == coordinatorDump(rig, group)["term"].get<std::uint64_t>());
	cr_assert(1 == term, "term %lu", static_cast<unsigned long>(term));
}
