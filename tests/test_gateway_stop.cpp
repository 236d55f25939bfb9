/// A planned stop of a gateway takes nothing that it can't finish, and ends nothing without an answer.
#include <future>
#include <thread>
#include <vector>

#include "gateway_rig.h"
#include "raw_caller.h"
#include "suspend.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr Millis kGraceMs = 4'000;
	/// By then a gateway must have stopped taking requests that may last beyond the end.
	constexpr Millis kTakenUntilMs = kGraceMs / 3;
	constexpr Millis kPatienceMs = 20'000;

	/// A gateway with a short grace period, and routes whose requests may last longer than it.
	struct StopRig
	{
		GatewayRig rig{{"a", "b"}};
		Millis stoppedAt = 0;

		StopRig()
		{
			this->rig.moreSettings = {{"graceS", double(kGraceMs) / 1'000.0}};
			Json safe = GatewayRig::route("/slowsafe/", "idempotent");
			Json once = GatewayRig::route("/slowonce/", "non_idempotent");
			Json stream = GatewayRig::route("/stream/slow/", "streaming");
			for (Json* route : {&safe, &once, &stream})
			{
				(*route)["timeoutMs"] = kPatienceMs;
			}
			stream["resumable"] = true;
			this->rig.configure(2, "key-one", Json::array({safe, once, stream}));
			this->rig.startGateway();
			this->rig.waitReady();
		}

		void stop()
		{
			this->rig.gateway.process->signal(SIGTERM);
			this->stoppedAt = nowMs();
		}

		/// Waits until a time after the stop signal.
		void waitUntil(Millis _afterMs) const
		{
			lab::pauseMs(std::max<Millis>(0, this->stoppedAt + _afterMs - nowMs()));
		}

		/// @returns Whether the process ended in order before it would have been killed.
		bool endedInTime()
		{
			return 0 == this->rig.gateway.process->waitForExit(std::max<Millis>(0, this->stoppedAt + kGraceMs - nowMs()));
		}

		/// Calls in a thread.
		std::future<RigResponse> callLater(const std::string& _target, const std::string& _request, Millis _patienceMs = kPatienceMs) const
		{
			return std::async(std::launch::async, [this, _target, _request, _patienceMs] {
				return this->rig.call(_target, GatewayRig::headersFor(_request, _patienceMs));
			});
		}

		void waitForRun(const std::string& _request) const
		{
			cr_assert(lab::waitUntil(kRigWaitMs, [&] {
				return 1 <= runsOf(this->rig, _request);
			}));
		}
	};

	std::string startOfPost(const std::string& _target, const std::string& _request, std::size_t _bodyBytes)
	{
		return fmt::format("POST {} HTTP/1.1\r\nHost: office.example\r\nX-Archdyke-Request-Id: {}\r\nX-Archdyke-Deadline-Ms: {}\r\nX-Api-Key: key-one\r\nContent-Length: {}\r\n\r\n", _target, _request, kPatienceMs, _bodyBytes);
	}

	bool isRefusedForStop(const std::string& _answer)
	{
		return 503 == lab::RawCaller::statusOf(_answer) && std::string::npos != _answer.find("\r\nRetry-After: ") && _answer.ends_with("leaving\n");
	}

	/// A caller whose body is sent in two parts.
	struct LateBody
	{
		std::string request;
		Millis endsAfterMs = 0; ///< After the stop signal.
		lab::RawCaller caller;
		std::string answer{};

		LateBody(const std::string& _address, std::string _request, Millis _endsAfterMs)
		    : request(std::move(_request))
		    , endsAfterMs(_endsAfterMs)
		    , caller(_address)
		{
		}
	};

	constexpr std::string_view kBody = "0123456789";

	/// Starts requests whose bodies end later.
	std::unique_ptr<LateBody> startBody(const StopRig& _rig, const std::string& _route, const std::string& _request, Millis _endsAfterMs)
	{
		auto body = std::make_unique<LateBody>(_rig.rig.gateway.callers, _request, _endsAfterMs);
		cr_assert(body->caller.send(startOfPost(fmt::format("/{}/x?do=ok&afterMs=1500", _route), _request, kBody.size())));
		cr_assert(body->caller.send(kBody.substr(0, kBody.size() / 2)));
		return body;
	}
} // namespace

/// Guards against requests that are passed on late in the grace period, when their bodies end, and are cut without an answer.
Test(plannedstop, bodies_that_end_late_are_refused_as_not_run)
{
	StopRig rig;
	std::vector<std::unique_ptr<LateBody>> bodies;
	for (const Millis endsAfterMs : {kTakenUntilMs + 200, kTakenUntilMs + 1'000, kTakenUntilMs + 1'800, kGraceMs - 200})
	{
		for (const char* route : {"slowsafe", "slowonce"})
		{
			bodies.push_back(startBody(rig, route, fmt::format("{}-{}", route, endsAfterMs), endsAfterMs));
		}
	}
	// Keeps the process until it has to end.
	std::future<RigResponse> longest = rig.callLater("/slowsafe/x?do=ok&afterMs=10000", "longest");
	rig.waitForRun("longest");
	rig.stop();
	for (const std::unique_ptr<LateBody>& body : bodies)
	{
		rig.waitUntil(body->endsAfterMs);
		body->caller.send(kBody.substr(kBody.size() / 2));
	}
	for (const std::unique_ptr<LateBody>& body : bodies)
	{
		body->answer = body->caller.receive(kGraceMs);
		cr_expect(isRefusedForStop(body->answer), "%s: %s", body->request.c_str(), body->answer.c_str());
		cr_expect(0 == runsOf(rig.rig, body->request), "%s ran", body->request.c_str());
	}
	longest.get();
	cr_expect(rig.endedInTime());
}

/// Guards against connections that just end under requests which are at work when the process has to end.
Test(plannedstop, requests_at_work_at_the_end_are_answered)
{
	StopRig rig;
	std::vector<std::future<RigResponse>> calls;
	for (const char* route : {"slowsafe", "slowonce"})
	{
		calls.push_back(rig.callLater(fmt::format("/{}/x?do=ok&afterMs=10000", route), route));
		rig.waitForRun(route);
	}
	rig.stop();
	calls.push_back(rig.callLater("/slowonce/x?do=ok&afterMs=10000", "after-the-signal"));
	for (std::future<RigResponse>& call : calls)
	{
		const RigResponse answer = call.get();
		cr_expect(502 == answer.status && "leaving\n" == answer.body, "%d %s", answer.status, answer.body.c_str());
	}
	cr_expect(nowMs() - rig.stoppedAt >= kGraceMs * 3 / 4, "ended after %d ms", int(nowMs() - rig.stoppedAt));
	cr_expect(rig.endedInTime());
}

/// Guards against resends that may last beyond the end of the process.
Test(plannedstop, a_resend_that_may_not_end_in_time_is_not_made)
{
	constexpr Millis kFirstAttemptMs = kTakenUntilMs + 500;
	constexpr Millis kEndsInTimeMs = kGraceMs - 1'000;
	StopRig rig;
	const std::string target = fmt::format("/slowsafe/x?do=fail&afterMs={}", kFirstAttemptMs);
	std::future<RigResponse> lasting = rig.callLater(target, "lasting");
	std::future<RigResponse> ending = rig.callLater(fmt::format("/slowsafe/y?do=fail&afterMs={}&only=a", kFirstAttemptMs), "ending", kEndsInTimeMs);
	rig.waitForRun("lasting");
	rig.waitForRun("ending");
	rig.stop();
	const RigResponse answer = lasting.get();
	cr_expect(500 == answer.status && 1 == runsOf(rig.rig, "lasting"), "%d after %d runs", answer.status, runsOf(rig.rig, "lasting"));
	cr_expect(200 == ending.get().status, "a resend that ends in time is made");
	cr_expect(rig.endedInTime());
}

/// Guards against a stream that is resumed although it may last beyond the end of the process, and looks whole when it isn't.
Test(plannedstop, a_stream_is_resumed_only_if_it_ends_in_time)
{
	constexpr Millis kFirstEventMs = kTakenUntilMs + 500;
	constexpr Millis kEndsInTimeMs = kGraceMs - 1'000;
	StopRig rig;
	const std::string target = fmt::format("/stream/slow/x?do=break&afterMs={}", kFirstEventMs);
	std::future<RigResponse> lasting = rig.callLater(target, "lasting");
	std::future<RigResponse> ending = rig.callLater(target, "ending", kEndsInTimeMs);
	std::future<RigResponse> sound = rig.callLater(fmt::format("/stream/slow/x?do=stream&afterMs={}", kFirstEventMs), "sound");
	for (const char* request : {"lasting", "ending", "sound"})
	{
		rig.waitForRun(request);
	}
	rig.stop();
	const RigResponse cut = lasting.get();
	cr_expect(0 == cut.status && 1 == runsOf(rig.rig, "lasting"), "%d after %d runs: %s", cut.status, runsOf(rig.rig, "lasting"), cut.body.c_str());
	const RigResponse resumed = ending.get();
	cr_expect(200 == resumed.status && allEvents() == resumed.body && 2 == runsOf(rig.rig, "ending"), "%d after %d runs", resumed.status, runsOf(rig.rig, "ending"));
	const RigResponse whole = sound.get();
	cr_expect(200 == whole.status && allEvents() == whole.body, "%d", whole.status);
	cr_expect(rig.endedInTime());
}

/// Guards against new connections that are closed unread while the process still lives.
Test(plannedstop, who_connects_late_is_told_to_go_elsewhere)
{
	StopRig rig;
	std::future<RigResponse> longest = rig.callLater("/slowsafe/x?do=ok&afterMs=10000", "longest");
	rig.waitForRun("longest");
	rig.stop();
	int refused = 0;
	constexpr int kCallers = 10;
	for (int call = 0; call < kCallers; ++call)
	{
		rig.waitUntil(kTakenUntilMs + 200 + 100 * call);
		const std::string request = fmt::format("late-{}", call);
		lab::RawCaller caller(rig.rig.gateway.callers);
		caller.send(startOfPost("/slowonce/x?do=ok", request, 0));
		refused += isRefusedForStop(caller.receive(1'000)) ? 1 : 0;
		cr_expect(0 == runsOf(rig.rig, request));
	}
	cr_expect(kCallers == refused, "%d of %d", refused, kCallers);
	longest.get();
	cr_expect(rig.endedInTime());
}

/// Guards against a stop that goes by the time which the process has seen, and against other signals that change its course.
Test(plannedstop, holds_after_a_suspension_and_with_further_signals)
{
	ScratchDirectory directory;
	SuspendableClock clock(directory.path);
	StopRig rig;
	clock.start([&] {
		rig.rig.startGateway();
	});
	rig.rig.waitReady();
	const std::unique_ptr<LateBody> body = startBody(rig, "slowonce", "body", kTakenUntilMs + 300);
	std::future<RigResponse> longest = rig.callLater("/slowonce/x?do=ok&afterMs=10000", "longest");
	rig.waitForRun("longest");
	rig.stop();
	const std::string settings = rig.rig.directory.path + "/gateway-1.json";
	Json changed = Json::parse(std::ifstream(settings));
	changed["graceS"] = 60;
	std::ofstream(settings) << changed.dump();
	rig.rig.gateway.process->signal(SIGHUP);
	rig.rig.gateway.process->signal(SIGTERM);
	lab::pauseMs(200);
	clock.suspend(*rig.rig.gateway.process, kTakenUntilMs + 500, [&] {
		rig.waitUntil(body->endsAfterMs);
		body->caller.send(kBody.substr(kBody.size() / 2));
	});
	body->answer = body->caller.receive(kGraceMs);
	cr_expect(isRefusedForStop(body->answer), "%s", body->answer.c_str());
	cr_expect(0 == runsOf(rig.rig, "body"));
	const RigResponse answer = longest.get();
	cr_expect(502 == answer.status, "%d", answer.status);
	cr_expect(rig.endedInTime());
}
