/// Answers of an upstream that aren't whole, aren't of the run that reads them, or never end.
#include "agent/upstream_call.h"
#include "base/config.h"
#include "raw_answers.h"

#include <criterion/criterion.h>

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr Millis kBudgetMs = 300;

	/// What a caller gets of a run.
	struct Ending
	{
		CallResult result = CallResult::Broken;
		int status = 0;
		std::string body;

		bool operator==(const Ending&) const = default;
	};

	UpstreamSettings settingsFor(const RawServer& _server)
	{
		UpstreamSettings settings;
		settings.address = _server.address();
		return settings;
	}

	UpstreamCall callerOf(const RawServer& _server)
	{
		return makeUpstreamCall(settingsFor(_server), [](const RunKey&) {
		});
	}

	Ending callWith(const UpstreamCall& _call, const std::string& _method = "POST")
	{
		RunSpec run;
		run.key = {"r", 0};
		run.method = _method;
		run.path = "/x";
		run.body = "POST" == _method ? "question" : "";
		run.budgetMs = kBudgetMs;
		ResponseBuffer buffer(run.key);
		const CallResult result = _call(run, buffer);
		const ResponseFrame frame = buffer.frameAt(0);
		return {result, frame.status, frame.bytes};
	}
} // namespace

// A second copy of an answer, cut anywhere and late, on the connection of the next run.
Test(officeanswers, bytes_behind_an_answer_are_no_part_of_the_next_runs_answer)
{
	const std::string first = rawAnswer("500 Internal Server Error", "first");
	const std::string failing = failingCuts(first.size(), [&](std::size_t _cut) {
		const RawServer server(stutter(first, rawAnswer("200 OK", "second"), _cut));
		const UpstreamCall call = callerOf(server);
		return Ending{CallResult::Completed, 500, "first"} == callWith(call) && Ending{CallResult::Completed, 200, "second"} == callWith(call);
	});
	cr_assert(failing.empty(), "late bytes changed the next answer at cuts%s", failing.c_str());
}

Test(officeanswers, bytes_behind_a_stream_are_no_part_of_the_next_runs_answer)
{
	const std::string first = rawStream("first");
	const std::string failing = failingCuts(first.size(), [&](std::size_t _cut) {
		const RawServer server(stutter(first, rawAnswer("500 No", "second"), _cut));
		const UpstreamCall call = callerOf(server);
		return Ending{CallResult::Completed, 200, "data: first\n\n"} == callWith(call) && Ending{CallResult::Completed, 500, "second"} == callWith(call);
	});
	cr_assert(failing.empty(), "late bytes changed the next answer at cuts%s", failing.c_str());
}

// The status of the first and the body of the second: an answer is cut in its head, and a whole one follows.
Test(officeanswers, a_head_that_is_joined_of_two_is_no_answer)
{
	const std::string first = rawAnswer("500 Internal Server Error", "first");
	const std::string second = rawAnswer("200 OK", "second");
	const std::string failing = failingCuts(headBytes(first) - 1, [&](std::size_t _cut) {
		const RawServer server([&](const RawExchange& _exchange) {
			return answersHealth(_exchange) || (_exchange.send(first.substr(0, _cut) + second) && false);
		});
		const Ending ending = callWith(callerOf(server));
		return 0 == _cut ? Ending{CallResult::Completed, 200, "second"} == ending : CallResult::Completed != ending.result;
	});
	cr_assert(failing.empty(), "two heads were taken for one at cuts%s", failing.c_str());
}

Test(officeanswers, an_answer_that_stops_at_any_byte_is_not_complete)
{
	const std::string answer = rawAnswer("200 OK", "whole");
	const std::string failing = failingCuts(answer.size() - 1, [&](std::size_t _cut) {
		const RawServer server(cutAt(answer, _cut));
		return CallResult::Broken == callWith(callerOf(server)).result;
	});
	cr_assert(failing.empty(), "a cut answer was taken for whole at cuts%s", failing.c_str());
}

Test(officeanswers, a_stream_that_stops_at_any_byte_is_not_complete)
{
	const std::string answer = rawStream("whole");
	const std::string failing = failingCuts(answer.size() - 1, [&](std::size_t _cut) {
		const RawServer server(cutAt(answer, _cut));
		return CallResult::Broken == callWith(callerOf(server)).result;
	});
	cr_assert(failing.empty(), "a cut stream was taken for whole at cuts%s", failing.c_str());
}

// Without a length the end of the connection ends the body; its head must be whole all the same.
Test(officeanswers, a_head_without_a_length_that_stops_at_any_byte_is_not_complete)
{
	const std::string answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nServer: x\r\n\r\nbody";
	const std::string failing = failingCuts(headBytes(answer) - 1, [&](std::size_t _cut) {
		const RawServer server(cutAt(answer, _cut));
		return CallResult::Broken == callWith(callerOf(server)).result;
	});
	cr_assert(failing.empty(), "a cut head was taken for whole at cuts%s", failing.c_str());
	const RawServer server(cutAt(answer, answer.size()));
	cr_assert((Ending{CallResult::Completed, 200, "body"} == callWith(callerOf(server))));
}

Test(officeanswers, a_length_that_is_no_number_is_no_answer)
{
	for (const std::string length : {"4x", "x4", "-1", "4, 5", "99999999999999999999", "", "4 HTTP/1.1"})
	{
		const RawServer server(cutAt("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nbody", 1'000));
		cr_assert(CallResult::Broken == callWith(callerOf(server)).result, "length %s", length.c_str());
	}
}

Test(officeanswers, chunks_that_other_bytes_shift_are_no_answer)
{
	const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
	for (const std::string body : {"4\r\nbodyHT4\r\nbody\r\n0\r\n\r\n", "x\r\nbody\r\n0\r\n\r\n", "4\r\nHTTP/1.1 200 OK\r\n\r\n"})
	{
		const RawServer server(cutAt(head + body, 1'000));
		cr_assert(CallResult::Broken == callWith(callerOf(server)).result, "%s", body.c_str());
	}
}

Test(officeanswers, a_second_answer_behind_a_body_without_a_length_is_no_part_of_it)
{
	const std::string answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nbody";
	const RawServer server(cutAt(answer + answer, 1'000));
	cr_assert(CallResult::Broken == callWith(callerOf(server)).result);
}

Test(officeanswers, an_interim_response_is_not_the_answer)
{
	const RawServer server(cutAt("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + rawAnswer("200 OK", "body"), 1'000));
	cr_assert((Ending{CallResult::Completed, 200, "body"} == callWith(callerOf(server))));
}

Test(officeanswers, the_answer_to_a_head_request_has_no_body)
{
	const RawServer server([](const RawExchange& _exchange) {
		return _exchange.send("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n");
	});
	cr_assert((Ending{CallResult::Completed, 200, ""} == callWith(callerOf(server), "HEAD")));
}

// A byte now and then keeps a limit of each read from passing.
Test(officeanswers, a_run_ends_although_its_answer_drips_without_end)
{
	const std::string failing = failingKinds(false, 4'000, [](const RawServer& _server) {
		return CallResult::Broken == callWith(callerOf(_server)).result;
	});
	cr_assert(failing.empty(), "not ended as broken in time:%s", failing.c_str());
}

Test(officeanswers, a_run_ends_within_its_memory_although_its_answer_has_no_end)
{
	const std::size_t before = peakMemory();
	const std::string failing = failingKinds(true, 4'000, [](const RawServer& _server) {
		return CallResult::Broken == callWith(callerOf(_server)).result;
	});
	const std::size_t grownBytes = peakMemory() - before;
	cr_assert(failing.empty(), "not ended as broken in time:%s", failing.c_str());
	cr_assert(grownBytes < 24 * kMaxBufferedResponseBytes, "%zu bytes for ten answers", grownBytes);
}

// The agent's sweeper waits for the probe.
Test(officeanswers, a_probe_ends_although_its_answer_drips_without_end)
{
	for (EndlessBytes bytes : {endlessAnswers()[0], endlessAnswers()[2], endlessAnswers()[5]})
	{
		bytes.name = "health";
		const RawServer server(endless(bytes, false));
		const Millis since = nowMs();
		cr_assert(!probeUpstream(settingsFor(server)));
		cr_assert(nowMs() - since < 2'000, "after %lld ms", static_cast<long long>(nowMs() - since));
	}
}

// A pattern that recurses for each byte would end the agent.
Test(officeanswers, a_long_status_line_is_no_answer)
{
	const RawServer server(cutAt("HTTP/1.1 200 " + std::string(1'000'000, 'x') + "\r\nContent-Length: 0\r\n\r\n", 2'000'000));
	cr_assert(CallResult::Broken == callWith(callerOf(server)).result);
}
