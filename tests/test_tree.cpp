/// A group that is too large to be polled by one process: relays between its coordinator and its ranks, all
/// as processes, and relays that crash, freeze or restart.
#include <algorithm>
#include <csignal>

#include "group_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Larger than the fan-out of a branch, so that the group has two relays.
	constexpr std::size_t kLargeGroupRanks = 34;

	/// @returns The dump of the group's coordinator; null if there is none.
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

	/// @returns The ranks whose daemons are relays: those with the lowest engine addresses.
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
	GroupRig rig(std::vector<std::size_t>{kLargeGroupRanks});
	const RigGroup& group = rig.groups.front();
	cr_assert(group.switchesAgain(2, kSwitchMs));
	group.expectNoSplit();
	const Json dump = coordinatorDump(rig, group);
	cr_assert(dump.is_object() && 2 == dump["branches"].get<int>(), "%s", dump.dump().c_str());
	cr_assert(kLargeGroupRanks == dump["ranks"].size());
}

Test(tree, relays_that_crash_freeze_or_restart_are_replaced)
{
	GroupRig rig(std::vector<std::size_t>{kLargeGroupRanks});
	RigGroup& group = rig.groups.front();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	const std::vector<std::size_t> relaying = relays(group);
	group.sidecars[relaying[0]]->kill();
	cr_assert(group.switchesAgain(1, kSwitchMs), "a relay was killed");
	group.sidecars[relaying[1]]->signal(SIGSTOP);
	cr_assert(group.switchesAgain(1, kSwitchMs), "the other relay is frozen too");
	rig.start(group, relaying[0]);
	cr_assert(group.switchesAgain(1, kSwitchMs), "the first relay has restarted");
	group.sidecars[relaying[1]]->signal(SIGCONT);
	cr_assert(group.switchesAgain(1, kSwitchMs), "the second relay has resumed");
	group.expectNoSplit();
}

Test(tree, a_gateway_learns_a_large_group_from_any_daemon)
{
	GroupRig rig(std::vector<std::size_t>{kLargeGroupRanks});
	rig.startGateway("gateway-a");
	cr_assert(rig.waitForGroup("gateway-a", rig.groups.front()), "%s", rig.gatewayDump("gateway-a")["groups"].dump().c_str());
	for (int call = 0; call < 20; ++call)
	{
		cr_assert(200 == rig.call("gateway-a", fmt::format("call-{}", call)).status);
	}
}

/// The daemons of a large group agree on one coordinator and keep it while there are no faults.
Test(tree, one_coordinator_from_start_to_end)
{
	GroupRig rig(std::vector<std::size_t>{kLargeGroupRanks});
	const RigGroup& group = rig.groups.front();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	const std::uint64_t term = coordinatorDump(rig, group)["term"].get<std::uint64_t>();
	cr_assert(group.switchesAgain(3, kSwitchMs));
	cr_assert(term == coordinatorDump(rig, group)["term"].get<std::uint64_t>());
	cr_assert(1 == term, "term %lu", static_cast<unsigned long>(term));
}
