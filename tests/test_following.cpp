/// Gateways get the store's tables from the daemons of their groups, so that the number of calls to the store doesn't
/// grow with the number of gateways.
#include <csignal>

#include "group_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr std::size_t kGateways = 12;
	/// Maximum time until a change reaches all gateways, ms; less than the deployment's limit.
	constexpr Millis kMaxPropagationMs = 1'500;

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
			lab::pauseMs(kMaxPropagationMs); // until each gateway has all tables
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

		/// @returns Whether a condition soon holds for the dumps of all gateways.
		template <typename Holds>
		bool waitForAll(Holds _holds) const
		{
			return lab::waitUntil(kMaxPropagationMs, [&] {
				return std::all_of(this->names.begin(), this->names.end(), [&](const std::string& _name) {
					return _holds(this->gatewayDump(_name));
				});
			});
		}

		bool waitForVersion(std::uint64_t _version) const
		{
			return this->waitForAll([&](const Json& _dump) {
				return _version == _dump.value("catalog", std::uint64_t(0));
			});
		}

		std::vector<std::string> names;
	};
} // namespace

/// Guards against polling by each gateway: 531 gateways each called the store for crashes, 53 calls a second without any
/// news.
Test(following, idle_gateways_make_no_calls)
{
	FollowingRig rig;
	const double before = rig.calls();
	lab::pauseMs(5'000);
	cr_assert(rig.calls() - before <= 2.0, "%g calls of %zu gateways", rig.calls() - before, kGateways);
}

/// Guards against each gateway reading each change of the configuration from the store itself.
Test(following, changes_reach_all_gateways_without_calls_of_theirs)
{
	constexpr std::uint64_t kLast = 6;
	FollowingRig rig;
	const double before = rig.calls();
	for (std::uint64_t version = 2; version <= kLast; ++version)
	{
		rig.configure(version);
		cr_assert(rig.waitForVersion(version));
	}
	cr_assert(rig.calls() - before <= 5.0, "%g calls of %zu gateways for %lu changes", rig.calls() - before, kGateways, static_cast<unsigned long>(kLast - 1));
}

/// The store drops its history before each change, so that only full reads are possible.
Test(following, changes_reach_all_gateways_though_the_store_forgets_its_history)
{
	FollowingRig rig;
	for (std::uint64_t version = 2; version <= 5; ++version)
	{
		rig.store.control({{"forget", true}});
		rig.configure(version);
		cr_assert(rig.waitForVersion(version));
	}
	cr_assert(rig.waitForAll([](const Json& _dump) {
		return _dump.value("ready", false);
	}));
}

Test(following, a_crash_reaches_all_gateways_without_calls)
{
	FollowingRig rig;
	const double before = rig.calls();
	rig.store.putIn("archdyke_crashes", "", "0123456789abcdef/another", "1000000000000");
	cr_assert(rig.waitForAll([](const Json& _dump) {
		return _dump["crashes"].contains("0123456789abcdef");
	}));
	cr_assert(rig.calls() - before <= 2.0, "%g calls", rig.calls() - before);
}

/// Its one call reads some upstreams; their daemons relay the rest.
Test(following, a_gateway_that_starts_makes_one_call)
{
	FollowingRig rig;
	rig.startGateway("late");
	lab::pauseMs(kMaxPropagationMs);
	cr_assert(1.0 == rig.storeCalls("late"), "%g calls", rig.storeCalls("late"));
	cr_assert(rig.gatewayDump("late").value("ready", false));
}

/// Daemons without updates, as after a restart of all processes, must not delay the start of a gateway.
Test(following, a_gateway_whose_daemons_have_no_updates_reads_the_store)
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

/// While the store is unreachable for all, the gateways' total rate of calls must not grow with their number.
Test(following, an_unreachable_store_is_not_flooded)
{
	FollowingRig rig;
	rig.store.control({{"mode", "busy"}});
	lab::pauseMs(1'500); // until the relayed state is too old
	const double before = rig.calls();
	lab::pauseMs(4'000);
	// One call in 70 ms for each of three tables.
	cr_assert(rig.calls() - before <= 3.0 * 4'000.0 / 70.0 + 3.0 * double(kGateways), "%g calls", rig.calls() - before);
	rig.store.control({{"mode", "up"}});
	rig.configure(2);
	cr_assert(rig.waitForVersion(2));
}
