/// The blocking calls of agent, entry and operators' command, to servers that answer before they have read the request, or whose heads
/// aren't valid.
#include <atomic>
#include <future>

#include "base/http_call.h"
#include "early_server.h"
#include "invalid_heads.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	const std::string kBody = std::string(500, 'a');
	const HttpCallLimits kLimits{1'000, 5'000, {16'384, 65'536}};

	struct UploadOutcome
	{
		HttpCallResult result;
		std::optional<HttpResponse> response;
	};

	UploadOutcome upload(const EarlyServer& _server)
	{
		UploadOutcome outcome;
		outcome.response = fetchHttp(parseAddress(_server.address), {"POST", "/x", {}, std::string(kUploadBytes, 'u')}, kLimits, &outcome.result);
		return outcome;
	}

	/// Makes calls at each moment of the upload, some at once.
	/// @returns Descriptions of the outcomes that aren't as they should be.
	std::string failingMoments(const std::string& _answer, EarlyEnd _end, const std::function<bool(const UploadOutcome&)>& _holds)
	{
		constexpr int kCallers = 6;
		std::string failing;
		for (const std::size_t moment : uploadMoments())
		{
			for (const Millis pauseMs : {0, 1, 5})
			{
				const EarlyServer server([&](const std::string&) {
					return EarlyAnswer{_answer, _end, moment, pauseMs};
				});
				std::vector<std::future<UploadOutcome>> calls;
				for (int caller = 0; caller < kCallers; ++caller)
				{
					calls.push_back(std::async(std::launch::async, [&] {
						return upload(server);
					}));
				}
				for (std::future<UploadOutcome>& call : calls)
				{
					const UploadOutcome outcome = call.get();
					failing += _holds(outcome) ? "" : fmt::format("\n{} bytes read, {} ms: {}", moment, pauseMs, toString(outcome.result));
				}
			}
		}
		return failing;
	}

	/// @returns The names of the responses that are taken for complete.
	std::string takenResponses(const std::vector<InvalidResponse>& _responses)
	{
		std::string taken;
		for (const InvalidResponse& response : _responses)
		{
			const EarlyServer server([&](const std::string&) {
				return EarlyAnswer{response.bytes, EarlyEnd::FinAndRead, kWholeUpload};
			});
			HttpCallResult result;
			const bool complete = fetchHttp(parseAddress(server.address), {"GET", "/x", {}, ""}, kLimits, &result).has_value();
			taken += complete || HttpCallEnd::Broken != result.end ? "\n" + response.name : "";
		}
		return taken;
	}
} // namespace

/// Guards against a part of a body being taken for a complete response because a write of the request was told of the reset.
Test(earlycalls, a_body_without_length_that_is_reset_during_the_upload_is_not_complete)
{
	const std::string failing = failingMoments("HTTP/1.1 200 OK\r\n\r\n" + kBody, EarlyEnd::Reset, [](const UploadOutcome& _outcome) {
		return HttpCallEnd::Broken == _outcome.result.end && !_outcome.response;
	});
	cr_assert(failing.empty(), "%s", failing.c_str());
}

/// Guards against losing responses of servers that refuse a request before they have read it.
Test(earlycalls, a_whole_response_before_the_end_of_the_upload_is_complete)
{
	for (const EarlyEnd end : {EarlyEnd::FinAndRead, EarlyEnd::FinAndReset})
	{
		const std::string failing = failingMoments("HTTP/1.1 413 Too Large\r\n\r\n" + kBody, end, [](const UploadOutcome& _outcome) {
			return _outcome.response && 413 == _outcome.response->head.status && kBody == _outcome.response->body;
		});
		cr_assert(failing.empty(), "end %d:%s", int(end), failing.c_str());
	}
}

/// Guards against a status or a header name that isn't one being passed on.
Test(earlycalls, a_head_that_is_not_valid_is_no_response)
{
	const std::string taken = takenResponses(invalidHeads());
	cr_assert(taken.empty(), "%s", taken.c_str());
}

/// The same for names in trailers.
Test(earlycalls, a_trailer_that_is_not_valid_is_no_response)
{
	const std::string taken = takenResponses(invalidTrailers());
	cr_assert(taken.empty(), "%s", taken.c_str());
}
