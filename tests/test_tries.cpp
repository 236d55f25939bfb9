/// Tests of attempts at upstreams on an in-process event loop, from the choice of an upstream until bytes are sent.
// Included before Criterion, whose macros break the hash headers.
#include "base/address.h"
#include "base/process.h"
#include "gateway/relay.h"
#include "http/http_listener.h"

#include <criterion/criterion.h>
#include <kj/async-io.h>

using namespace archdyke;
using namespace archdyke::gateway;

namespace
{
	constexpr const char* kService = "svc";
	constexpr const char* kIdHeader = "Id";

	CallerRequest decodeRequest(const http::RequestHead&)
	{
		return {};
	}

	http::RequestHead encodeDispatch(const http::RequestHead& _head, const CallerRequest&, const DispatchInfo&)
	{
		return _head;
	}

	ResponseInfo decodeResponse(const http::ResponseHead& _head)
	{
		ResponseInfo info;
		info.requestId = std::string(_head.headers.find(kIdHeader).value_or(""));
		info.signedByUpstream = true;
		return info;
	}

	http::ResponseHead encodeResponse(const http::ResponseHead& _head)
	{
		return _head;
	}

	http::ResponseHead encodeRefusal(const CallerRequest&, const Refusal& _refusal)
	{
		return {_refusal.status, {}, true};
	}

	/// An upstream that responds to each request at once.
	struct AnsweringUpstream
	{
		AnsweringUpstream(http::LoopContext _loop, std::string _name)
		    : name(std::move(_name))
		    , listener(_loop, "127.0.0.1:0", http::serveRequests([this](const http::RequestHead&) {
			               this->arrivals += 1;
			               http::FullResponse answer{{200, {}, true}, "done"};
			               answer.head.headers.add(kIdHeader, "r1");
			               return answer;
		               }))
		{
		}

		UpstreamRecord record()
		{
			return {this->name, kService, "127.0.0.1:" + std::to_string(this->listener.port()), "here", 4, false, std::nullopt, 0};
		}

		std::string name;
		int arrivals = 0;
		http::Listener listener;
	};

	/// A gateway's state with two known upstreams and one caller request.
	struct TryRig
	{
		TryRig()
		{
			this->state.registry.learn(this->first.record(), nowMs());
			this->state.registry.learn(this->second.record(), nowMs());
			Catalog catalog;
			catalog.routes.push_back({});
			catalog.routes.front().maxAttempts = 1;
			this->context.catalog = std::make_shared<const CatalogIndex>(makeIndex(std::move(catalog)));
			this->context.route = &this->context.catalog->catalog.routes.front();
			this->context.caller.id = "r1";
			this->context.service = kService;
			this->context.deadlineAt = nowMs() + 2'000;
			this->context.received.head = {"GET", "/x", {}, true};
			this->context.group = this->state.registry.groupsOf(kService).front();
		}

		UpstreamRef named(const std::string& _incarnation) const
		{
			for (const UpstreamRef& upstream : this->state.registry.all())
			{
				if (_incarnation == upstream->record.incarnation)
				{
					return upstream;
				}
			}
			return nullptr;
		}

		AnsweringUpstream& upstream(const std::string& _name)
		{
			return _name == this->first.name ? this->first : this->second;
		}

		kj::AsyncIoContext io = kj::setupAsyncIo();
		http::LoopContext loop{io.provider->getNetwork(), io.provider->getTimer()};
		Metrics metrics;
		GatewayCounters counters{metrics};
		GatewayState state{GatewaySettings(), Codec{decodeRequest, encodeDispatch, decodeResponse, encodeResponse, encodeRefusal}, loop, counters, 1};
		AnsweringUpstream first{loop, "first"};
		AnsweringUpstream second{loop, "second"};
		kj::TwoWayPipe pipe = io.provider->newTwoWayPipe();
		http::HttpConnection caller{kj::mv(pipe.ends[0]), http::Side::Server, {}};
		RequestContext context{state, caller, {}};
	};
} // namespace

/// Load pattern: a burst of requests waits for connections to an upstream that refuses the first ones and asks callers
/// to back off.
Test(tries, a_request_that_waits_for_its_connection_isnt_sent_to_an_upstream_that_asked_to_back_off)
{
	TryRig rig;
	kj::Promise<AttemptResult> result = attemptUpstream(rig.context, rig.named("first")).take();
	rig.state.registry.applyBackOff(rig.named("first"), 3'000, nowMs());
	const AttemptResult ended = result.wait(rig.io.waitScope);
	cr_assert(ended.withheld && !ended.answered && ExecutionProof::NotRun == ended.proof);
	cr_assert(0 == rig.context.sends && !rig.context.maybeRunning && 0 == rig.first.arrivals);
}

/// A withheld send doesn't count against the route's maximum number of attempts, here one.
Test(tries, a_withheld_request_goes_to_another_upstream_without_using_an_attempt)
{
	TryRig rig;
	kj::Promise<std::optional<Refusal>> refusal = dispatch(rig.context).take();
	const std::string chosen = rig.context.upstream;
	const std::string other = "first" == chosen ? "second" : "first";
	rig.state.registry.applyBackOff(rig.named(chosen), 3'000, nowMs());
	cr_assert(!refusal.wait(rig.io.waitScope));
	cr_assert(Ending::Answered == rig.context.ending && 200 == rig.context.status);
	cr_assert(0 == rig.upstream(chosen).arrivals && 1 == rig.upstream(other).arrivals);
	cr_assert(1 == rig.context.sends && 1.0 == rig.counters.sends.Value() && 0.0 == rig.counters.resends.Value() && 1.0 == rig.counters.withheldSends.Value());
}

Test(tries, a_withheld_request_is_refused_at_once_when_no_upstream_wants_it)
{
	TryRig rig;
	kj::Promise<std::optional<Refusal>> result = dispatch(rig.context).take();
	rig.state.registry.applyBackOff(rig.named("first"), 3'000, nowMs());
	rig.state.registry.applyBackOff(rig.named("second"), 3'000, nowMs());
	const std::optional<Refusal> refusal = result.wait(rig.io.waitScope);
	cr_assert(refusal && 503 == refusal->status && "back_off" == refusal->reason && refusal->comeBackMs);
	cr_assert(0 == rig.first.arrivals + rig.second.arrivals && 0 == rig.context.sends);
}
