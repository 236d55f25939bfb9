/// The clients of gateway and sidecar for store and engine: a response that is reset, or whose head or trailers aren't valid, is none.
#include "engine.h"
#include "store_client.h"

#include <kj/async-io.h>

#include "early_clients.h"
#include "group/engine.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// @returns Whether a call on an event loop of its own ends without an error.
	bool returns(const std::function<void(http::LoopContext, kj::WaitScope&)>& _call)
	{
		kj::AsyncIoContext io = kj::setupAsyncIo();
		return nullptr == kj::runCatchingExceptions([&] {
			       _call({io.provider->getNetwork(), io.provider->getTimer()}, io.waitScope);
		       });
	}

	std::vector<ClientCall> clientCalls()
	{
		const std::string storeLine = "Store-Era: 1\r\n";
		const std::string rows = R"({"rows":[{"table":"t","part":"","key":"k","value":"dg==","ver":1}],"more":false,"ver":1,"now_ms":1007})";
		const std::string report = R"({"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":4,"queued":0,"active":2,"step":1,"map":0,"prepared":null,"armed":null,"held":null})";
		return {
		    {"store: rows", storeLine, rows, [](const std::string& _address) {
			     return returns([&](http::LoopContext _loop, kj::WaitScope& _wait) {
				     const std::unique_ptr<store::TableStore> store = platform::makeTableStore(_loop, _address);
				     store->read("t", "", "").take().wait(_wait);
			     });
		     }},
		    {"store: long write", storeLine, R"({"ver":2,"now_ms":1014})", [](const std::string& _address) {
			     return returns([&](http::LoopContext _loop, kj::WaitScope& _wait) {
				     const std::unique_ptr<store::TableStore> store = platform::makeTableStore(_loop, _address);
				     store->write({{"t", "", "k"}, std::string(kUploadBytes, 'u'), store::makeVersion(1, 1)}).take().wait(_wait);
			     });
		     }},
		    {"engine: report", "", report, [](const std::string& _address) {
			     return returns([&](http::LoopContext _loop, kj::WaitScope& _wait) {
				     group::Engine engine(_loop, platform::makeEngineCodec(), _address);
				     engine.report().take().wait(_wait);
			     });
		     }},
		    {"engine: counts", "", R"({"step":1,"epoch":1,"counts":[1,2]})", [](const std::string& _address) {
			     return returns([&](http::LoopContext _loop, kj::WaitScope& _wait) {
				     group::Engine engine(_loop, platform::makeEngineCodec(), _address);
				     engine.counts().take().wait(_wait);
			     });
		     }},
		};
	}
} // namespace

/// Guards against a response being taken for whole because a write of the request was told of the reset.
Test(earlyplatform, a_response_without_length_that_is_reset_is_none)
{
	for (const ClientCall& call : clientCalls())
	{
		const std::string wrong = wronglyTaken(call, answersAtAllMoments(call, EarlyEnd::Reset), false);
		cr_expect(wrong.empty(), "taken:%s", wrong.c_str());
	}
}

/// Guards against sound responses being lost, and against clients that take nothing at all.
Test(earlyplatform, a_response_without_length_that_a_fin_ends_is_taken)
{
	for (const ClientCall& call : clientCalls())
	{
		const std::string wrong = wronglyTaken(call, answersAtAllMoments(call, EarlyEnd::FinAndRead), true);
		cr_expect(wrong.empty(), "not taken:%s", wrong.c_str());
	}
}

/// Guards against a status or a name of a header that isn't one.
Test(earlyplatform, a_response_whose_head_is_not_valid_is_none)
{
	for (const ClientCall& call : clientCalls())
	{
		const std::string wrong = wronglyTaken(call, invalidAnswers(call), false);
		cr_expect(wrong.empty(), "taken:%s", wrong.c_str());
	}
}
