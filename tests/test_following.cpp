/// What gateways learn of the store's tables by way of the daemons of their groups, and how few calls that leaves
/// them to make: the calls of a fleet must not grow with its gateways.
#include <csignal>

#include "group_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr std::size_t kGateways = 12;
	/// Less than a change may take, ms.
	constexpr Millis kSoonMs = 1'500;

	/// A group and many gateways.
	class FollowingRig : public GroupRig
	{
	public:
		FollowingRig()
		{
			cr_assert(this->groups.front().switchesAgain(1, kSwitchMs));
			for (std::size_t index = 0; index < kGateways; ++index)
			{
				this->names.push_back(fmt::format("gateway-{}", index));
				this->startGateway(this->names.back());
				cr_assert(this->waitForGroup(this->names.back(), this->groups.front()));
			}
			lab::pauseMs(kSoonMs); // what each still lacks comes now
		}

		double calls() const
		{
			double calls = 0.0;
			for (const std::string& name : this->names)
			{
				calls += this->storeCalls(name);
			}
			return calls;
		}

		/// @returns Whether the dumps of all gateways hold soon.
		template <typename Holds>
		bool all(Holds _holds) const
		{
			return lab::waitUntil(kSoonMs, [&] {
				return std::all_of(this->names.begin(), this->names.end(), [&](const std::string& _name) {
					return _holds(this->gatewayDump(_name));
				});
			});
		}

		bool allHave(std::uint64_t _version) const
		{
			return this->all([&](const Json& _dump) {
				return _version == _dump.value("catalog", std::uint64_t(0));
			});
		}

		std::vector<std::string> names;
	};
} // namespace

/// Each of 531 gateways asked the store for crashes by a call of its own, 53 calls a second in which there was nothing to hear.
Test(following, a_calm_fleet_of_gateways_makes_no_calls)
{
	FollowingRig rig;
	const double before = rig.calls();
	lab::pauseMs(5'000);
	cr_assert(rig.calls() - before <= 2.0, "%g calls of %zu gateways", rig.calls() - before, kGateways);
}

/// Each gateway read each change of the configuration from the store itself.
Test(following, changes_reach_all_gateways_without_calls_of_theirs)
{
	constexpr std::uint64_t kLast = 6;
	FollowingRig rig;
	const double before = rig.calls();
	for (std::uint64_t version = 2; version <= kLast; ++version)
	{
		rig.configure(version);
		cr_assert(rig.allHave(version));
	}
	cr_assert(rig.calls() - before <= 5.0, "%g calls of %zu gateways for %lu changes", rig.calls() - before, kGateways, static_cast<unsigned long>(kLast - 1));
}

/// What changes while the store has forgotten what was before.
Test(following, changes_reach_all_gateways_though_the_store_forgets_its_history)
{
	FollowingRig rig;
	for (std::uint64_t version = 2; version <= 5; ++version)
	{
		rig.store.control({{"forget", true}});
		rig.configure(version);
		cr_assert(rig.allHave(version));
	}
	cr_assert(rig.all([](const Json& _dump) {
		return _dump.value("ready", false);
	}));
}

Test(following, a_crash_is_heard_of_without_calls)
{
	FollowingRig rig;
	const double before = rig.calls();
	rig.store.putIn("archdyke_crashes", "", "0123456789abcdef/another", "1000000000000");
	cr_assert(rig.all([](const Json& _dump) {
		return _dump["crashes"].contains("0123456789abcdef");
	}));
	cr_assert(rig.calls() - before <= 2.0, "%g calls", rig.calls() - before);
}

/// It reads some upstreams, and asks their daemons for the rest.
Test(following, a_gateway_that_starts_makes_one_call)
{
	FollowingRig rig;
	rig.startGateway("late");
	lab::pauseMs(kSoonMs);
	cr_assert(1.0 == rig.storeCalls("late"), "%g calls", rig.storeCalls("late"));
	cr_assert(rig.gatewayDump("late").value("ready", false));
}

/// Neighbours that have nothing to tell, as after a restart of all, delay nobody.
Test(following, a_gateway_whose_neighbours_know_nothing_reads_the_store)
{
	constexpr Millis kStartMs = 1'000;
	FollowingRig rig;
	for (auto& sidecar : rig.groups.front().sidecars)
	{
		sidecar->signal(SIGSTOP);
	}
	const Millis before = nowMs();
	rig.startGateway("alone");
	cr_assert(nowMs() - before < kStartMs, "ready after %lld ms", static_cast<long long>(nowMs() - before));
	for (auto& sidecar : rig.groups.front().sidecars)
	{
		sidecar->signal(SIGCONT);
	}
}

/// A store that is away for everybody is asked by all gateways together at a rate that doesn't grow with them.
Test(following, a_store_that_is_away_is_not_flooded)
{
	FollowingRig rig;
	rig.store.control({{"mode", "busy"}});
	lab::pauseMs(1'500); // what was told is too old
	const double before = rig.calls();
	lab::pauseMs(4'000);
	// Three tables, and one call in 70 ms for each.
	cr_assert(rig.calls() - before <= 3.0 * 4'000.0 / 70.0 + 3.0 * double(kGateways), "%g calls", rig.calls() - before);
	rig.store.control({{"mode", "up"}});
	rig.configure(2);
	cr_assert(rig.allHave(2));
}
