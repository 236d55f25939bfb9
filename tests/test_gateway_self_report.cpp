/// A gateway process with upstreams that report about themselves in their responses: for how long to back off, or that they
/// are shutting down.
#include <thread>
#include <vector>

#include "gateway_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr Millis kBackOffMs = 3'000;

	/// Sends requests until an upstream has rejected one and asked for a back-off of three seconds.
	/// @returns The time of the rejection.
	Millis triggerBackOff(const GatewayRig& _rig, const RigWorker& _worker)
	{
		constexpr int kCalls = 100; // each goes there with a probability of at least one third
		for (int call = 0; call < kCalls; ++call)
		{
			const std::string request = fmt::format("ask-{}-{}", _worker.id, call);
			_rig.call(fmt::format("/once/x?do=shed&restS=3&only={}", _worker.id), GatewayRig::headersFor(request));
			const Json record = _worker.recordOf(request);
			if (record.is_object() && 0 < record["turnedAway"].get<int>())
			{
				return record["cameAt"].get<Millis>();
			}
		}
		cr_assert_fail("no request in %d went to upstream %s", kCalls, _worker.id.c_str());
		return 0;
	}

	/// Requests of a caller that sends one after the other.
	struct Calls
	{
		std::vector<std::string> requests;
		int unanswered = 0;
	};

	Calls callFor(const GatewayRig& _rig, const std::string& _target, Millis _until)
	{
		constexpr Millis kPauseMs = 10;
		Calls calls;
		while (nowMs() < _until)
		{
			calls.requests.push_back(fmt::format("call-{}-{}", _until, calls.requests.size()));
			calls.unanswered += 200 == _rig.call(_target, GatewayRig::headersFor(calls.requests.back())).status ? 0 : 1;
			lab::pauseMs(kPauseMs);
		}
		return calls;
	}

	int countArrivals(const RigWorker& _worker, const std::vector<std::string>& _requests)
	{
		const httplib::Result result = clientOf(_worker.address).Get("/record");
		const Json record = Json::parse(result->body);
		return int(std::count_if(_requests.begin(), _requests.end(), [&](const std::string& _request) {
			return record.contains(_request);
		}));
	}
} // namespace

/// Guards against a gateway that ignores the back-off an upstream asks for. An upstream rejected a request with 503 and asked
/// for three seconds without requests. It got more in that time, though two others accepted requests, and some callers were
/// refused. The gateway dropped the requested time when it read the response: the rejection counted as one failure, and only
/// three failures in a row suspended the upstream, for half a second. Three runs logged 80 such choices:
///   event=upstream_asks_back_off upstream=a service=svc asked_ms=3000
///   event=sent_in_back_off upstream=a left_ms=2979 asked_ago_ms=21 chosen_ago_ms=0 suspended=false other_upstreams=2
Test(gateway, an_upstream_that_asks_to_be_sent_nothing_gets_nothing_for_so_long)
{
	GatewayRig rig({"a", "b", "c"});
	rig.waitReady();
	const Millis askedAt = triggerBackOff(rig, rig.workers[0]);
	const Calls during = callFor(rig, "/once/x?do=ok", askedAt + kBackOffMs);
	const int arrivals = countArrivals(rig.workers[0], during.requests);
	cr_assert(50 < during.requests.size() && 0 == during.unanswered, "%d of %zu not answered", during.unanswered, during.requests.size());
	cr_assert(0 == arrivals, "%d of %zu requests reached it during its back-off", arrivals, during.requests.size());
	const Calls after = callFor(rig, "/once/x?do=ok", nowMs() + 1'000);
	cr_assert(0 < countArrivals(rig.workers[0], after.requests), "it gets requests again after the back-off");
}

/// When all upstreams of a service asked to back off, callers are refused at once, with a retry delay.
Test(gateway, callers_are_refused_at_once_while_no_upstream_wants_requests)
{
	constexpr Millis kCallerTimeoutMs = 9'000;
	constexpr Millis kMaxRefusalMs = 250;
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	triggerBackOff(rig, rig.workers[0]);
	const Millis askedAt = triggerBackOff(rig, rig.workers[1]);
	const Millis begun = nowMs();
	const RigResponse refusal = rig.call("/once/x?do=ok", GatewayRig::headersFor("refused", kCallerTimeoutMs));
	cr_assert(503 == refusal.status && "back_off\n" == refusal.body, "%d %s", refusal.status, refusal.body.c_str());
	cr_assert(nowMs() - begun < kMaxRefusalMs);
	cr_assert(0 == countArrivals(rig.workers[0], {"refused"}) + countArrivals(rig.workers[1], {"refused"}));
	const double retryAfterS = std::stod(refusal.headers.find("Retry-After")->second);
	cr_assert(0.0 < retryAfterS && retryAfterS <= double(kCallerTimeoutMs) / 3'000.0, "told %f s", retryAfterS);
	// The first one asked earlier, so its back-off is over by then, too.
	lab::pauseMs(std::max<Millis>(0, askedAt + kBackOffMs - nowMs()));
	cr_assert(200 == rig.call("/once/x?do=ok", GatewayRig::headersFor("back")).status);
}

/// Guards against requests to an upstream that announced in a response that it is shutting down, while its row still said
/// ready. It got 48 of 94 requests, with one other upstream, because only the row was checked. Some upstreams never write
/// that they leave; their row is just removed seconds later.
Test(gateway, an_upstream_that_says_in_an_answer_that_it_leaves_gets_nothing_new)
{
	GatewayRig rig({"a", "b"});
	rig.waitReady();
	std::string announcedIn;
	for (int call = 0; call < 100 && announcedIn.empty(); ++call)
	{
		const std::string request = fmt::format("tell-{}", call);
		cr_assert(200 == rig.call("/once/x?do=ok&leaving=1&only=a", GatewayRig::headersFor(request)).status);
		announcedIn = rig.workers[0].recordOf(request).is_object() ? request : "";
	}
	cr_assert(!announcedIn.empty());
	const Calls calls = callFor(rig, "/once/x?do=ok", nowMs() + 1'000);
	cr_assert(20 < calls.requests.size() && 0 == calls.unanswered);
	cr_assert(0 == countArrivals(rig.workers[0], calls.requests), "%d of %zu came", countArrivals(rig.workers[0], calls.requests), calls.requests.size());
	rig.announce(rig.workers[0], "ready"); // a late write
	const Calls later = callFor(rig, "/once/x?do=ok", nowMs() + 500);
	cr_assert(0 == countArrivals(rig.workers[0], later.requests));
}
