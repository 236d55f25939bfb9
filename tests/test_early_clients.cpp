/// The clients of the embedded office: a response that is reset, or whose head or trailers aren't valid, is none.
#include "agent/rank_control.h"
#include "agent/upstream_call.h"
#include "archdyke/errors.h"
#include "base/config.h"
#include "base/platform_client.h"
#include "early_clients.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr Millis kTimeoutMs = 5'000;

	/// @returns Whether a call ends without an error.
	bool returns(const std::function<void()>& _call)
	{
		try
		{
			_call();
			return true;
		}
		catch (const ArchdykeError&)
		{
			return false;
		}
	}

	UpstreamSettings settingsFor(const std::string& _address)
	{
		UpstreamSettings settings;
		settings.address = _address;
		return settings;
	}

	bool runCompletes(const std::string& _address)
	{
		RunSpec run;
		run.key = {"r", 0};
		run.method = "POST";
		run.path = "/x";
		run.body = std::string(kUploadBytes, 'u');
		run.budgetMs = kTimeoutMs;
		ResponseBuffer buffer(run.key);
		const UpstreamCall call = makeUpstreamCall(settingsFor(_address), [](const RunKey&) {
		});
		return CallResult::Completed == call(run, buffer);
	}

	std::vector<ClientCall> clientCalls()
	{
		const std::string rank = R"({"formation":1,"epoch":1,"step":1,"fence":0,"staged":0,"armed":0,"floor":0,"decided":0,"decidedCommit":false})";
		const std::string rows = R"({"rows":[{"key":"k","version":1,"value":"v"}]})";
		return {
		    {"agent: run", "", "answer", runCompletes, true},
		    {"agent: stream", "Content-Type: text/event-stream\r\n", "data: event\n\n", runCompletes, true},
		    {"agent: probe", "", "{}", [](const std::string& _address) {
			     return probeUpstream(settingsFor(_address));
		     }},
		    {"agent: rank", "", rank, [](const std::string& _address) {
			     return returns([&] {
				     RankEngine(_address).read(nullptr, nullptr, nullptr);
			     });
		     }},
		    {"platform: rows", "", rows, [](const std::string& _address) {
			     return returns([&] {
				     PlatformClient(_address, "", kTimeoutMs).transact({{"k"}, {}, {}});
			     });
		     }},
		    {"platform: object", "", "object", [](const std::string& _address) {
			     return returns([&] {
				     PlatformClient(_address, "", kTimeoutMs).getObject("x");
			     });
		     }},
		    {"platform: upload", "", "", [](const std::string& _address) {
			     return returns([&] {
				     PlatformClient(_address, "", kTimeoutMs).putObject("x", std::string(kUploadBytes, 'u'));
			     });
		     }},
		};
	}
} // namespace

/// Guards against a response being taken for whole because a write of the request was told of the reset.
Test(earlyclients, a_response_without_length_that_is_reset_is_none)
{
	for (const ClientCall& call : clientCalls())
	{
		const std::string wrong = wronglyTaken(call, answersAtAllMoments(call, EarlyEnd::Reset), false);
		cr_expect(wrong.empty(), "taken:%s", wrong.c_str());
	}
}

/// Guards against sound responses being lost, and against clients that take nothing at all.
Test(earlyclients, a_response_without_length_that_a_fin_ends_is_taken)
{
	for (const ClientCall& call : clientCalls())
	{
		const std::string wrong = wronglyTaken(call, answersAtAllMoments(call, EarlyEnd::FinAndRead), true);
		cr_expect(wrong.empty(), "not taken:%s", wrong.c_str());
	}
}

/// Guards against a status or a name of a header that isn't one.
Test(earlyclients, a_response_whose_head_is_not_valid_is_none)
{
	for (const ClientCall& call : clientCalls())
	{
		const std::string wrong = wronglyTaken(call, invalidAnswers(call), false);
		cr_expect(wrong.empty(), "taken:%s", wrong.c_str());
	}
}
