/// An agent before a service that turns calls away and says for how long, as processes.
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

	int turnedAway(const lab::UpstreamStub& _stub)
	{
		return lab::sendJson(_stub.address, "GET", "/record")["turnedAway"].get<int>();
	}
} // namespace

/// A service turned calls away with 503 and asked for three seconds without them. Its agent went on sending it all that
/// came, and handed each 503 on as the service's answer, though the same service in the other zone took work: of a
/// service's answer it kept status and body, and 100 of 200 calls were turned away in a second.
Test(backoffagent, a_service_that_asks_to_be_sent_nothing_gets_no_more_than_what_is_under_way)
{
	lab::Office office(smallOffice());
	makeReady(office);
	const lab::UpstreamStub& stub = shopStub(office);
	lab::sendJson(stub.address, "POST", "/control", {{"restS", 3.0}});
	const lab::LoadOptions load = loadOn(office);
	constexpr int kCalls = 200; // one after the other, over half a second and more
	int served = 0;
	for (int call = 0; call < kCalls; ++call)
	{
		const std::string token = "call-" + std::to_string(call);
		const std::string& entry = load.entries[std::size_t(call) % load.entries.size()];
		served += 200 == lab::sendCall(load, lab::CallKind::Lookup, token, entry, "alpha").status ? 1 : 0;
		lab::pauseMs(5);
	}
	// One is under way at a time: it is turned away, and the agent knows.
	cr_assert(1 == turnedAway(stub), "%d of %d calls turned away", turnedAway(stub), kCalls);
	cr_assert(kCalls - 1 <= served, "%d of %d served", served, kCalls);
}
