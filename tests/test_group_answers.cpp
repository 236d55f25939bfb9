/// Engines whose answers come twice, stop or don't end: the group of ranks goes on switching maps, all ranks to the same one.
#include "group_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Maximum number of connections that reports and counts of all ranks use, two clients each: calls at the same time, and those
	/// closed as idle.
	constexpr std::uint64_t kConnectionsOfReports = 4 * kRanks;

	/// Starts a group that has switched maps once, then damages answers.
	void stutterAfterASwitch(GroupRig& _rig, const Json& _stutter)
	{
		cr_assert(_rig.groups.front().switchesAgain(1, kSwitchMs), "no switch before");
		_rig.groups.front().control({{"stutter", _stutter}});
	}

	/// @returns What the ranks counted while the group made some switches.
	Json countSwitches(GroupRig& _rig, std::uint64_t _switches)
	{
		const RigGroup& group = _rig.groups.front();
		const Json before = group.record();
		cr_assert(group.switchesAgain(_switches, std::int64_t(_switches) * kSwitchMs), "the group no longer switches maps: %s", group.record().dump().c_str());
		Json counts = group.record();
		for (const char* count : {"connections", "calls", "orders", "passes", "switches"})
		{
			counts[count] = counts[count].get<std::uint64_t>() - before[count].get<std::uint64_t>();
		}
		group.expectNoSplit();
		return counts;
	}

	/// Prints what calls cost.
	void print(const char* _name, const Json& _counts)
	{
		fmt::print("{}: {}\n", _name, _counts.dump());
	}

	/// @returns Whether a sidecar logged that its engine is in no group, as a report of another shape would say.
	bool leftItsGroup(const RigGroup& _group)
	{
		return std::any_of(_group.sidecars.begin(), _group.sidecars.end(), [](const auto& _sidecar) {
			return std::string::npos != _sidecar->output().find("its_group=-") || std::string::npos != _sidecar->output().find("group=- before=g");
		});
	}
} // namespace

/// What the calls to sound engines cost: a connection for each order. Where no answer names its call, also one for each report
/// that equals the one before it.
Test(groupanswers, sound_engines_get_no_connection_for_each_report)
{
	for (const bool givesId : {true, false})
	{
		GroupRig rig;
		stutterAfterASwitch(rig, {{"givesId", givesId}});
		const Json counts = countSwitches(rig, 3);
		print(givesId ? "sound" : "sound, no ids", counts);
		const std::uint64_t reports = givesId ? kConnectionsOfReports : (counts["calls"].get<std::uint64_t>() - counts["orders"].get<std::uint64_t>()) / 2;
		cr_assert(counts["connections"].get<std::uint64_t>() <= counts["orders"].get<std::uint64_t>() + reports, "%s", counts.dump().c_str());
	}
}

/// Guards against a map switch that rests on the copy of an earlier report or of an earlier answer to an order.
Test(groupanswers, whole_late_copies_split_no_group_and_cost_no_connection)
{
	GroupRig rig;
	stutterAfterASwitch(rig, {{"behind", -1}, {"behindWhen", "next"}});
	const Json counts = countSwitches(rig, 4);
	print("whole-next", counts);
	cr_assert(counts["connections"].get<std::uint64_t>() <= counts["orders"].get<std::uint64_t>() + kConnectionsOfReports, "%s", counts.dump().c_str());
	cr_assert(!leftItsGroup(rig.groups.front()));
}

/// The same where no answer names its call.
Test(groupanswers, copies_without_ids_split_no_group)
{
	for (const char* when : {"now", "next"})
	{
		GroupRig rig;
		stutterAfterASwitch(rig, {{"behind", -1}, {"behindWhen", when}, {"givesId", false}});
		print("no ids", countSwitches(rig, 4));
		cr_assert(!leftItsGroup(rig.groups.front()));
	}
}

/// Guards against reports and orders that are read from a joint of two answers.
Test(groupanswers, cut_copies_split_no_group)
{
	for (const char* when : {"now", "next"})
	{
		for (const int bytes : {13, 34, 90, 160})
		{
			GroupRig rig;
			stutterAfterASwitch(rig, {{"behind", bytes}, {"behindWhen", when}});
			countSwitches(rig, 1);
			cr_assert(!leftItsGroup(rig.groups.front()));
		}
	}
}

/// Guards against a sidecar that ends, or hangs, with an answer that stops or has no end; the others go on meanwhile.
Test(groupanswers, a_group_goes_on_after_answers_that_stop_or_have_no_end)
{
	constexpr Millis kBadMs = 2'000;
	constexpr std::uint64_t kMaxEndlessBytesPerS = 512u << 20;
	for (const Json& bad : {Json{{"endless", "head"}}, Json{{"endless", "body"}}, Json{{"stopAt", 0}}, Json{{"stopAt", 20}}, Json{{"stopAt", 120}}})
	{
		GroupRig rig;
		Json stutter = bad;
		stutter["rank"] = 1;
		stutterAfterASwitch(rig, stutter);
		const std::uint64_t passes = rig.groups.front().record()["passes"].get<std::uint64_t>();
		for (const Millis until = nowMs() + kBadMs; nowMs() < until;)
		{
			for (std::size_t rank = 0; rank < kRanks; ++rank)
			{
				const Millis since = nowMs();
				cr_assert(clientOf(rig.ipOf(rig.groups.front(), rank) + ":7341").Get("/dump"), "the sidecar of rank %zu doesn't respond", rank);
				cr_assert(nowMs() - since < 1'000, "the sidecar of rank %zu took %lld ms", rank, static_cast<long long>(nowMs() - since));
			}
			lab::pauseMs(20);
		}
		const Json record = rig.groups.front().record();
		cr_assert(passes < record["passes"].get<std::uint64_t>() && kMaxEndlessBytesPerS * (kBadMs / 1'000) > record["endlessBytes"].get<std::uint64_t>(), "%s", record.dump().c_str());
		rig.groups.front().control({{"stutter", Json::object()}});
		countSwitches(rig, 1);
	}
}
