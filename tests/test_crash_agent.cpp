/// Processes: entries and agents in front of services that a call crashes.
#include "office.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr std::size_t kCrashes = 3;
	constexpr Millis kRecoveryMs = 2'500; ///< Time until agents have detected that their services are reachable again.

	/// Sends a call that crashes services through the entries in turn.
	/// @returns Number of services that crashed.
	std::size_t sendCrashingCalls(lab::Office& _office, int _calls)
	{
		const lab::LoadOptions load = loadOptionsOf(_office);
		std::size_t crashed = 0;
		for (int call = 0; call < _calls; ++call)
		{
			lab::sendCall(load, lab::CallKind::Lookup, "crash-it", load.entries[std::size_t(call) % load.entries.size()], "alpha");
			lab::pauseMs(300);
			crashed += _office.restartStoppedStubs();
			lab::pauseMs(kRecoveryMs);
		}
		return crashed;
	}
} // namespace

/// Guards against a call that crashes one service after another. The call crashes each service that runs it, and its
/// caller retries it through both entries; each entry resends a repeatable call to the next agent, however many services
/// it crashed before.
Test(crashagent, a_call_that_ended_three_services_reaches_no_more)
{
	lab::Office office(smallOffice());
	makeReady(office);
	const std::size_t first = sendCrashingCalls(office, 3);
	cr_assert(kCrashes <= first, "%zu crashed", first);
	const std::size_t more = sendCrashingCalls(office, 4);
	cr_assert(0 == more, "%zu more services crashed after the first %zu", more, first);
}
