/// Answers that stop at any byte of their head, at a gateway process and at a call of one process to another.
// Included before Criterion, whose macros break the hash headers.
#include "http/exchange.h"

#include <mutex>

#include "gateway_rig.h"
#include "raw_sockets.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr Millis kPatienceMs = 1'000;

	std::string headerOf(const std::string& _head, const std::string& _name)
	{
		const std::size_t begin = _head.find(_name + ": ") + _name.size() + 2;
		return _head.substr(begin, _head.find("\r\n", begin) - begin);
	}

	/// @param[in] _framing Header line that tells where the body ends; empty if its connection's end does.
	std::string answerHead(const std::string& _request, const std::string& _framing)
	{
		return "HTTP/1.1 200 OK\r\n" + _framing + "X-Archdyke-Request-Id: " + _request + "\r\nX-Archdyke-Server-Stamp: stamp-a\r\n\r\n";
	}

	const std::vector<std::string>& framings()
	{
		static const std::vector<std::string> all{"Content-Length: 0\r\n", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", ""};
		return all;
	}

	/// A server whose answers stop after some bytes of their head.
	class StoppingServer
	{
	public:
		StoppingServer()
		    : server([this](const std::string& _head) {
			    const std::lock_guard<std::mutex> lock(this->mutex);
			    const std::string request = std::string::npos == _head.find("X-Archdyke-Request-Id: ") ? "000-0" : headerOf(_head, "X-Archdyke-Request-Id");
			    return RawServer::Reply{answerHead(request, this->framing).substr(0, this->bytes), this->end};
		    })
		{
		}

		void stopAfter(const std::string& _framing, std::size_t _bytes, SocketEnd _end)
		{
			const std::lock_guard<std::mutex> lock(this->mutex);
			this->framing = _framing;
			this->bytes = _bytes;
			this->end = _end;
		}

	private:
		std::mutex mutex;
		std::string framing;
		std::size_t bytes = 0;
		SocketEnd end = SocketEnd::Close;

	public:
		RawServer server; ///< Last, since its thread uses the others.
	};

	/// Stops at each byte of a head, by each kind of end.
	/// @param[in] _call Makes a request. @returns Whether it failed as it must.
	std::string findFalseSuccess(StoppingServer& _server, const std::string& _framing, const std::function<bool(const std::string&)>& _call)
	{
		std::string wrong;
		for (const SocketEnd end : {SocketEnd::Close, SocketEnd::CloseSending, SocketEnd::Reset})
		{
			for (std::size_t bytes = 0; bytes < answerHead("000-0", _framing).size(); ++bytes)
			{
				_server.stopAfter(_framing, bytes, end);
				const int before = _server.server.replies;
				const bool failed = _call(fmt::format("{:03}-{}", bytes, int(end)));
				if (!failed || before == _server.server.replies)
				{
					wrong += fmt::format(" {} bytes, end {}, {};", bytes, int(end), failed ? "not asked" : "taken for an answer");
				}
			}
		}
		return wrong;
	}

	/// @param[in] _route Name of the route to call.
	std::string findFalseSuccessAtGateway(const std::string& _route, const std::string& _framing)
	{
		GatewayRig rig({});
		StoppingServer server;
		rig.store.put("servers", "a", lab::upstreamJson("svc", server.server.address, "ready"));
		rig.gateway.waitReady(1);
		return findFalseSuccess(server, _framing, [&](const std::string& _request) {
			const RigResponse answer = rig.call("/" + _route + "/x", GatewayRig::headersFor(_request, kPatienceMs));
			return 502 == answer.status || 504 == answer.status;
		});
	}
} // namespace

/// Guards against a 200 with an empty body for an answer whose head stopped.
Test(stops, an_answer_that_stops_within_its_head_is_a_failure)
{
	for (const std::string& framing : framings())
	{
		const std::string wrong = findFalseSuccessAtGateway("once", framing);
		cr_assert(wrong.empty(), "%s%s", framing.c_str(), wrong.c_str());
	}
}

Test(stops, a_stream_that_stops_within_its_head_is_a_failure)
{
	for (const std::string& framing : {framings()[1], framings()[2]})
	{
		const std::string wrong = findFalseSuccessAtGateway("stream", framing);
		cr_assert(wrong.empty(), "%s%s", framing.c_str(), wrong.c_str());
	}
}

/// The same for calls of one process to another, such as to the store.
Test(stops, a_call_whose_answer_stops_within_its_head_fails)
{
	kj::AsyncIoContext io = kj::setupAsyncIo();
	http::ConnectionPool pool({io.provider->getNetwork(), io.provider->getTimer()});
	StoppingServer server;
	for (const std::string& framing : framings())
	{
		const std::string wrong = findFalseSuccess(server, framing, [&](const std::string&) {
			try
			{
				http::Call call;
				call.address = server.server.address;
				call.head = {"GET", "/", {}, true};
				call.timeoutMs = kPatienceMs;
				http::exchange(pool, io.provider->getTimer(), std::move(call)).wait(io.waitScope);
				return false;
			}
			catch (const kj::Exception&)
			{
				return true;
			}
		});
		cr_assert(wrong.empty(), "%s%s", framing.c_str(), wrong.c_str());
	}
}
