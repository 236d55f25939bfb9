/// Machines that are suspended for seconds: their steady clock doesn't count that time, so nothing that lapses may go by it.
#include <thread>

#include "group_rig.h"
#include "suspend.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Longer than a withdrawn key may work.
	constexpr Millis kLongMs = 3'000;
	constexpr Millis kShortMs = 300;

	/// A gateway that can be suspended, in place of the rig's own.
	struct SuspendRig
	{
		SuspendRig()
		    : rig({"a", "b", "c", "d"})
		    , clock(this->rig.directory.path)
		{
			this->clock.start([this] {
				this->gateway = this->rig.startGatewayNamed("gateway-that-sleeps");
			});
			this->gateway.waitReady(this->rig.workers.size());
			this->rig.waitReady();
		}

		RigResponse call(const std::string& _request, const std::string& _target = "/safe/x?do=ok") const
		{
			return this->gateway.call(_target, GatewayRig::headersFor(_request));
		}

		GatewayRig rig;
		SuspendableClock clock;
		RigGateway gateway;
	};
} // namespace

/// A key holds by the age of a proof. Were it told by the steady clock, a proof from before the sleep would
/// look young, and a key that was withdrawn meanwhile would work.
Test(suspend, keys_hold_no_longer_after_a_sleep)
{
	SuspendRig rig;
	cr_assert(200 == rig.call("before").status);
	rig.rig.store.control({{"mode", "silent"}}); // no newer proof comes after the sleep
	rig.clock.suspend(*rig.gateway.process, kShortMs, [] {});
	cr_assert(200 == rig.call("short").status, "a short sleep ends no key");
	rig.clock.suspend(*rig.gateway.process, kLongMs, [] {});
	const RigResponse answer = rig.call("after");
	cr_assert(503 == answer.status && "stale_proof\n" == answer.body, "%d %s", answer.status, answer.body.c_str());
	cr_assert(0 == runsOf(rig.rig, "after"));
	cr_assert(200 == rig.call("public", "/open/x?do=ok").status);
	rig.rig.store.control({{"mode", "up"}});
	cr_assert(lab::waitUntil(kRigWaitMs, [&] {
		return 200 == rig.call("again").status;
	}));
}

/// A caller whose deadline passed while the machine slept was held after it, for what the timer of the deadline had left when the
/// machine fell asleep: timers go by the steady clock. In this test 1,301 ms of 1,500 ("held for 1301 ms"); now the clock is looked at.
Test(suspend, a_request_whose_deadline_passes_in_a_sleep_ends_when_the_machine_wakes)
{
	constexpr Millis kBeforeMs = 200; // of the 1,500 that its caller waits
	constexpr Millis kSoonMs = 600;
	SuspendRig rig;
	RigResponse answer;
	Millis answeredAt = 0;
	std::thread caller([&] {
		answer = rig.call("under-way", "/once/x?do=hang");
		answeredAt = nowMs();
	});
	lab::pauseMs(kBeforeMs);
	rig.clock.suspend(*rig.gateway.process, kLongMs, [] {});
	const Millis wokeAt = nowMs();
	caller.join();
	cr_assert(504 == answer.status, "%d %s", answer.status, answer.body.c_str());
	cr_assert(answeredAt - wokeAt < kSoonMs, "held for %lld ms", static_cast<long long>(answeredAt - wokeAt));
}

/// The time for which an upstream asked to be sent nothing goes on during a sleep, and not after it.
Test(suspend, an_asked_back_off_ends_during_a_sleep)
{
	SuspendRig rig;
	bool allAsked = false;
	for (int call = 0; call < 40 && !allAsked; ++call)
	{
		const RigResponse answer = rig.call("ask-" + std::to_string(call), "/once/x?do=shed&restS=2");
		allAsked = 503 == answer.status && "back_off\n" == answer.body;
	}
	cr_assert(allAsked);
	rig.clock.suspend(*rig.gateway.process, kLongMs, [] {});
	cr_assert(lab::waitUntil(1'000, [&] {
		return 200 == rig.call("after-back-off").status;
	}));
}

/// Other gateways have seen a request crash three upstreams while this one slept: it refuses it soon after.
Test(suspend, a_gateway_that_slept_learns_of_crashes)
{
	SuspendRig rig;
	const std::string target = "/open/x?do=crash";
	rig.clock.suspend(*rig.gateway.process, kLongMs, [&] {
		for (int call = 0; call < 3; ++call)
		{
			rig.rig.call(target, GatewayRig::headersFor("crash-" + std::to_string(call)));
			lab::pauseMs(300);
		}
	});
	lab::pauseMs(2'000);
	const RigResponse answer = rig.call("slept", target);
	cr_assert(503 == answer.status && "crashes_upstreams\n" == answer.body, "%d %s", answer.status, answer.body.c_str());
	cr_assert(0 == runsOf(rig.rig, "slept"));
}

/// A coordinator wakes up after its group has been led by another one for seconds.
Test(suspend, a_coordinator_that_slept_does_no_harm)
{
	std::unique_ptr<GroupRig> rig;
	ScratchDirectory directory;
	SuspendableClock clock(directory.path);
	clock.start([&] {
		rig = std::make_unique<GroupRig>();
	});
	RigGroup& group = rig->groups.front();
	cr_assert(group.switchesAgain(1, kSwitchMs));
	for (int round = 0; round < 2; ++round)
	{
		const std::size_t first = rig->coordinator();
		cr_assert(first < kRanks);
		clock.suspend(*group.sidecars[first], kLongMs, [&] {
			cr_assert(group.switchesAgain(1, kSwitchMs), "another one leads");
		});
		cr_assert(group.switchesAgain(2, kSwitchMs));
		group.expectNoSplit();
	}
}
