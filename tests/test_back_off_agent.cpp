/// Processes: an agent in front of a service that rejects requests with a back-off duration.
#include "office.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	const lab::UpstreamStub& shopStub(lab::Office& _office)
	{
		for (const lab::UpstreamStub& stub : _office.stubs())
		{
			if ("shop" == stub.service)
			{
				return stub;
			}
		}
		cr_assert_fail("the office has no shop");
		std::abort();
	}

	int rejectedCalls(const lab::UpstreamStub& _stub)
	{
		return lab::sendJson(_stub.address, "GET", "/record")["turnedAway"].get<int>();
	}
} // namespace

/// Guards against an agent that ignores the Retry-After of a 503. The agent kept only status and body of a response, so
/// it went on sending all requests to a service that had asked for three seconds without them, and forwarded each 503,
/// though the same service in the other zone accepted requests: 100 of 200 calls were rejected in a second.
Test(backoffagent, a_service_that_asks_to_be_sent_nothing_gets_no_more_than_what_is_under_way)
{
	lab::Office office(smallOffice());
	makeReady(office);
	const lab::UpstreamStub& stub = shopStub(office);
	lab::sendJson(stub.address, "POST", "/control", {{"restS", 3.0}});
	const lab::LoadOptions load = loadOptionsOf(office);
	constexpr int kCalls = 200; // sequential, over more than half a second
	int served = 0;
	for (int call = 0; call < kCalls; ++call)
	{
		const std::string token = "call-" + std::to_string(call);
		const std::string& entry = load.entries[std::size_t(call) % load.entries.size()];
		served += 200 == lab::sendCall(load, lab::CallKind::Lookup, token, entry, "alpha").status ? 1 : 0;
		lab::pauseMs(5);
	}
	// One call is in flight at a time: only the first is rejected, then the agent knows of the back-off.
	cr_assert(1 == rejectedCalls(stub), "%d of %d calls rejected", rejectedCalls(stub), kCalls);
	cr_assert(kCalls - 1 <= served, "%d of %d served", served, kCalls);
}
