/// Entries and agents before services that end under a call, as processes.
#include "office.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr std::size_t kCrashes = 3;
	constexpr Millis kUpMs = 2'500; ///< Until agents have seen that their services are back.

	/// Sends a call that ends services through one of the entries after the other.
	/// @returns How many services ended.
	std::size_t sendAll(lab::Office& _office, int _calls)
	{
		const lab::LoadOptions load = loadOn(_office);
		std::size_t ended = 0;
		for (int call = 0; call < _calls; ++call)
		{
			lab::sendCall(load, lab::CallKind::Lookup, "crash-it", load.entries[std::size_t(call) % load.entries.size()], "alpha");
			lab::pauseMs(300);
			ended += _office.reviveStubs();
			lab::pauseMs(kUpMs);
		}
		return ended;
	}
} // namespace

/// A call ended each service that began to run it, and its caller sent it again through both entries. An entry sends a call
/// that may be repeated to the next agent, and so does the other one, whatever ended before.
Test(crashagent, a_call_that_ended_three_services_reaches_no_more)
{
	lab::Office office(smallOffice());
	makeReady(office);
	const std::size_t first = sendAll(office, 3);
	cr_assert(kCrashes <= first, "%zu ended", first);
	const std::size_t more = sendAll(office, 4);
	cr_assert(0 == more, "%zu more services ended after the first %zu", more, first);
}
