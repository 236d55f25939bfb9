/// The store comes back from a copy some seconds old: versions are given out again, and what was written since is gone until
/// its writers write it again.
#include <csignal>

#include "group_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr Millis kChangeMs = 2'000;   ///< Until a confirmed change is in force.
	constexpr Millis kOldCopyMs = 1'200;  ///< Age of the copy.
	constexpr Millis kSettleMs = 600;     ///< Until all processes have followed the store.
	constexpr std::uint64_t kWrites = 40; ///< Writes after the copy, so that new ones get versions that were given out before.

	/// Writes rows that nobody reads, so that the store's versions rise.
	void raiseVersions(RigStore& _store, std::uint64_t _writes)
	{
		for (std::uint64_t write = 0; write < _writes; ++write)
		{
			_store.put("filler", "row", {{"write", write}});
		}
	}

	int requestsAt(const RigWorker& _worker, const std::string& _prefix)
	{
		const httplib::Result result = clientOf(_worker.address).Get("/record");
		int count = 0;
		for (const auto& [request, record] : Json::parse(result->body).items())
		{
			count += request.starts_with(_prefix) ? 1 : 0;
		}
		return count;
	}

	/// Removes the row of the first upstream, then brings the store back from a copy that has it.
	/// @returns Time of the copy.
	Millis removeUpstreamAndRestore(GatewayRig& _rig)
	{
		_rig.waitReady();
		const Millis copyAt = nowMs();
		lab::pauseMs(kOldCopyMs);
		_rig.store.remove("servers", _rig.workers.front().id);
		cr_assert(lab::waitUntil(2 * kChangeMs, [&] {
			return _rig.workers.size() - 1 == _rig.dump()["upstreams"].size();
		}));
		_rig.store.restore(copyAt);
		return copyAt;
	}

	bool isLeaving(const Json& _dump, const std::string& _incarnation)
	{
		const Json& upstreams = _dump["upstreams"];
		return std::none_of(upstreams.begin(), upstreams.end(), [&](const Json& _upstream) {
			return _upstream["incarnation"] == _incarnation && !_upstream["leaving"].get<bool>();
		});
	}
} // namespace

/// Guards against versions that are compared across a restoration: changes written after it got versions that were known
/// before, and were dropped.
Test(restored, changes_confirmed_after_a_restoration_are_in_force_in_time)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	const Millis copyAt = nowMs();
	lab::pauseMs(kOldCopyMs);
	raiseVersions(rig.store, kWrites);
	rig.configure(2);
	cr_assert(lab::waitUntil(kChangeMs, [&] {
		return 2 == rig.dump()["catalog"].get<int>();
	}));
	rig.store.restore(copyAt);
	lab::pauseMs(kSettleMs);
	rig.configure(5, "key-two");
	rig.announce(rig.workers[0], "draining");
	const Millis confirmedAt = nowMs();
	cr_assert(lab::waitUntil(kChangeMs, [&] {
		          return 5 == rig.dump()["catalog"].get<int>() && isLeaving(rig.dump(), "a");
	          }),
	          "catalog %s after %lld ms", rig.dump()["catalog"].dump().c_str(), static_cast<long long>(nowMs() - confirmedAt));
	cr_assert(200 == rig.call("/safe/x", GatewayRig::headersFor("new-key", 1'500, "key-two")).status);
	cr_assert(401 == rig.call("/safe/x", GatewayRig::headersFor("old-key")).status);
	for (int call = 0; call < 20; ++call)
	{
		cr_assert(200 == rig.call("/safe/x", GatewayRig::headersFor(fmt::format("after-{}", call), 1'500, "key-two")).status);
	}
	cr_assert(0 == requestsAt(rig.workers[0], "after-"));
}

/// The versions have passed the known one before the gateway asks again: the changes since then lack what was written
/// under versions that are known with another content.
Test(restored, changes_under_versions_that_were_given_out_before_are_not_missed)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	const Millis copyAt = nowMs();
	lab::pauseMs(kOldCopyMs);
	raiseVersions(rig.store, kWrites);
	rig.configure(2);
	cr_assert(lab::waitUntil(kChangeMs, [&] {
		return 2 == rig.dump()["catalog"].get<int>();
	}));
	rig.store.control({{"mode", "silent"}});
	rig.store.restore(copyAt);
	rig.configure(5, "key-two");
	rig.announce(rig.workers[0], "draining");
	raiseVersions(rig.store, 2 * kWrites);
	rig.store.control({{"mode", "up"}});
	cr_assert(lab::waitUntil(2 * kChangeMs, [&] {
		          return 5 == rig.dump()["catalog"].get<int>() && isLeaving(rig.dump(), "a");
	          }),
	          "catalog %s", rig.dump()["catalog"].dump().c_str());
}

/// Guards against a gateway that goes back with the store: to an older configuration, a withdrawn key, or an upstream
/// that has said that it leaves.
Test(restored, nothing_goes_back_with_the_store)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	const Millis copyAt = nowMs();
	lab::pauseMs(kOldCopyMs);
	rig.configure(3, "key-two");
	rig.announce(rig.workers[0], "draining");
	cr_assert(lab::waitUntil(kChangeMs, [&] {
		return 3 == rig.dump()["catalog"].get<int>() && isLeaving(rig.dump(), "a");
	}));
	rig.store.restore(copyAt);
	const Millis until = nowMs() + 4'000;
	int served = 0;
	for (int call = 0; nowMs() < until; ++call)
	{
		cr_assert(3 == rig.dump()["catalog"].get<int>());
		cr_assert(401 == rig.call("/safe/x", GatewayRig::headersFor(fmt::format("old-key-{}", call))).status);
		served += 200 == rig.call("/safe/x", GatewayRig::headersFor(fmt::format("after-{}", call), 1'500, "key-two")).status ? 1 : 0;
		lab::pauseMs(50);
	}
	cr_assert(0 == requestsAt(rig.workers[0], "after-") && 0 == requestsAt(rig.workers[0], "old-key-"));
	cr_assert(20 < served, "%d calls served", served);
}

/// The same for a leaving upstream whose row was removed before: the copy has a row that says ready.
Test(restored, an_upstream_that_left_gets_nothing_though_its_row_is_back)
{
	GatewayRig rig({"a", "b"});
	removeUpstreamAndRestore(rig);
	const Millis until = nowMs() + 3'500; // its row expires after three heartbeats
	for (int call = 0; nowMs() < until; ++call)
	{
		cr_assert(200 == rig.call("/safe/x", GatewayRig::headersFor(fmt::format("after-{}", call))).status);
		lab::pauseMs(20);
	}
	cr_assert(0 == requestsAt(rig.workers[0], "after-"), "%d requests", requestsAt(rig.workers[0], "after-"));
}

/// Rows that are still there after that time belong to upstreams that live.
Test(restored, an_upstream_whose_row_stays_gets_requests_again)
{
	GatewayRig rig({"a", "b"});
	const Millis copyAt = removeUpstreamAndRestore(rig);
	cr_assert(lab::waitUntil(8'000, [&] {
		return 2 == rig.dump()["upstreams"].size();
	}));
	rig.store.restore(copyAt);
	rig.announce(rig.workers[0], "ready");
	cr_assert(lab::waitUntil(kChangeMs, [&] {
		          return 2 == rig.dump()["upstreams"].size();
	          }),
	          "a row that was written again counts at once");
}

/// Guards against a zone that gets requests again while the operator has not repeated its evacuation.
Test(restored, an_evacuated_zone_stays_evacuated_until_the_operator_can_have_repeated_it)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	const Millis copyAt = nowMs();
	lab::pauseMs(kOldCopyMs);
	rig.store.put("op", "evacuate/here", Json::object());
	const auto isEvacuated = [&] {
		return 1 == rig.dump()["evacuatedZones"].size();
	};
	cr_assert(lab::waitUntil(kChangeMs, isEvacuated));
	rig.store.restore(copyAt);
	for (const Millis until = nowMs() + 3'500; nowMs() < until;)
	{
		cr_assert(isEvacuated());
		lab::pauseMs(50);
	}
	rig.store.rewriteLost();
	lab::pauseMs(3'000);
	cr_assert(isEvacuated());
	rig.store.remove("op", "evacuate/here");
	cr_assert(lab::waitUntil(kChangeMs, [&] {
		return !isEvacuated();
	}));
}

/// Gateways that get the tables from a coordinator, and one that is cut off from the store: all get what is written after the
/// restoration, and the group goes on switching maps.
Test(restored, coordinators_and_the_gateways_that_follow_them_get_what_is_written_after_a_restoration)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	for (const char* name : {"gateway-1", "gateway-2"})
	{
		rig.startGateway(name);
		cr_assert(rig.waitForGroup(name, rig.groups.front()));
	}
	rig.cutFromStore("gateway-2", true);
	const Millis copyAt = nowMs();
	lab::pauseMs(kOldCopyMs);
	raiseVersions(rig.store, kWrites);
	rig.configure(2);
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	rig.store.restore(copyAt);
	lab::pauseMs(kSettleMs);
	for (const std::uint64_t version : {5, 6})
	{
		rig.configure(version);
		cr_assert(lab::waitUntil(kChangeMs, [&] {
			          return version == rig.gatewayDump("gateway-1").value("catalog", std::uint64_t(0)) && version == rig.gatewayDump("gateway-2").value("catalog", std::uint64_t(0));
		          }),
		          "catalogs %s and %s", rig.gatewayDump("gateway-1")["catalog"].dump().c_str(), rig.gatewayDump("gateway-2")["catalog"].dump().c_str());
	}
	cr_assert(rig.groups.front().switchesAgain(2, kSwitchMs), "the group no longer switches maps");
	rig.groups.front().expectNoSplit();
}

/// A coordinator that takes over after a restoration, with the row of an older term.
Test(restored, a_group_whose_coordinator_is_killed_after_a_restoration_goes_on_without_a_split)
{
	GroupRig rig;
	cr_assert(rig.groups.front().switchesAgain(1, kSwitchMs));
	const Millis copyAt = nowMs();
	cr_assert(rig.groups.front().switchesAgain(2, kSwitchMs));
	rig.store.restore(copyAt);
	const std::size_t coordinator = rig.coordinator();
	cr_assert(coordinator < kRanks);
	rig.groups.front().sidecars[coordinator]->kill();
	cr_assert(rig.groups.front().switchesAgain(2, kSwitchMs), "the group no longer switches maps");
	rig.start(rig.groups.front(), coordinator);
	rig.groups.front().expectNoSplit();
}

/// Guards against a coordinator that takes the row of a copy over its own knowledge: the copy has the row of its predecessor.
Test(restored, a_coordinator_goes_on_though_the_copy_has_the_row_of_its_predecessor)
{
	constexpr Millis kRowCheckMs = 5'000; // several reads of the row
	GroupRig rig;
	RigGroup& group = rig.groups.front();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	const Millis copyAt = nowMs();
	const std::size_t predecessor = rig.coordinator();
	cr_assert(predecessor < kRanks);
	group.sidecars[predecessor]->kill();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	rig.start(group, predecessor);
	const std::size_t coordinator = rig.coordinator();
	cr_assert(coordinator < kRanks && coordinator != predecessor);
	rig.store.restore(copyAt);
	lab::pauseMs(kRowCheckMs);
	const std::string log = group.sidecars[coordinator]->output();
	cr_assert(coordinator == rig.coordinator() && std::string::npos == log.find("coordinator_ends"), "it lost its term: %s", log.c_str());
	cr_assert(std::string::npos != log.find("reason=store_restored written=true"), "its row is not written again: %s", log.c_str());
	cr_assert(group.switchesAgain(1, kSwitchMs));
	group.expectNoSplit();
}

/// Guards against a term that is given out twice: daemons reject it, and two coordinators use it for different maps.
Test(restored, a_take_over_has_a_term_above_those_that_the_copy_lacks)
{
	GroupRig rig;
	RigGroup& group = rig.groups.front();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	const auto termOf = [&](std::size_t _coordinator) {
		const httplib::Result result = clientOf(rig.ipOf(group, _coordinator) + ":7341").Get("/dump");
		return result ? Json::parse(result->body).value("term", std::uint64_t(0)) : 0;
	};
	const Millis copyAt = nowMs();
	std::uint64_t newest = 0;
	std::size_t coordinator = rig.coordinator();
	for (int takeOver = 0; takeOver < 2; ++takeOver)
	{
		cr_assert(coordinator < kRanks);
		group.sidecars[coordinator]->kill();
		cr_assert(group.switchesAgain(1, kSwitchMs));
		rig.start(group, coordinator);
		coordinator = rig.coordinator();
		newest = termOf(coordinator);
	}
	cr_assert(3 <= newest);
	rig.store.restore(copyAt);
	group.sidecars[coordinator]->kill();
	std::uint64_t later = 0;
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		const std::size_t next = rig.coordinator();
		later = next < kRanks ? termOf(next) : 0;
		return 0 != later;
	}));
	cr_assert(newest < later, "term %lu after %lu", static_cast<unsigned long>(later), static_cast<unsigned long>(newest));
	cr_assert(group.switchesAgain(1, kSwitchMs));
	group.expectNoSplit();
}

/// A coordinator ends while it holds the group for a switch, and the row that shows the switch is lost: the next one can't tell
/// which ranks are armed, and must not release the hold before it can.
Test(restored, a_hold_whose_row_is_lost_splits_no_group)
{
	constexpr Millis kCleanUpMs = 25'000; // orders may take effect up to 15 s late
	GroupRig rig;
	RigGroup& group = rig.groups.front();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	const Millis copyAt = nowMs();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	const std::size_t coordinator = rig.coordinator();
	cr_assert(coordinator < kRanks);
	std::uint32_t expert = 0;
	cr_assert(lab::waitUntil(kSwitchMs, [&] {
		expert += 1;
		group.control({{"hot", Json::array({expert / 400 % 8, (3 + expert / 400) % 8})}});
		return group.isHeld();
	}));
	group.sidecars[coordinator]->kill();
	rig.store.restore(copyAt);
	cr_assert(group.switchesAgain(1, kCleanUpMs + kSwitchMs), "the group no longer switches maps");
	cr_assert(!group.isHeld() || group.switchesAgain(1, kSwitchMs));
	group.expectNoSplit();
}
