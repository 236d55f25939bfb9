/// A gateway process with an upstream that mixes two responses in the bytes of one exchange.
#include <algorithm>

#include "gateway_rig.h"
#include "raw_sockets.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr Millis kPatienceMs = 1'000;
	const std::string kBody = "abcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyz";
	const std::string kOther = "HTTP/1.1 500 Internal Server Error\r\nX-Archdyke-Request-Id: other\r\nContent-Length: 0\r\n\r\n";

	std::string fieldOf(const std::string& _head, const std::string& _name)
	{
		const std::size_t begin = _head.find(_name) + _name.size();
		return _head.substr(begin, _head.find_first_of(" \r", begin) - begin);
	}

	std::string ownHead(const std::string& _request, const std::string& _framing)
	{
		return "HTTP/1.1 200 OK\r\nX-Archdyke-Request-Id: " + _request + "\r\nX-Archdyke-Server-Stamp: stamp-a\r\n" + _framing + "\r\n";
	}

	/// @returns What the upstream sends; the target names the kind, "/once/KIND/N".
	RawServer::Reply replyTo(const std::string& _head)
	{
		const std::string request = fieldOf(_head, "X-Archdyke-Request-Id: ");
		const std::string kind = fieldOf(_head, "/once/");
		const std::string name = kind.substr(0, kind.find('/'));
		const std::size_t number = std::stoul(kind.substr(kind.find('/') + 1));
		const std::string whole = ownHead(request, fmt::format("Content-Length: {}\r\n", kBody.size()));
		const std::string spoilt = kBody.substr(0, kBody.size() / 2) + kOther.substr(0, number) + kBody.substr(kBody.size() / 2);
		if ("within" == name)
		{
			return {whole + spoilt};
		}
		if ("end" == name)
		{
			const std::size_t at = kBody.size() - std::min<std::size_t>(number, kBody.size());
			return {whole + kBody.substr(0, at) + kOther + kBody.substr(at)};
		}
		if ("slow" == name)
		{
			return {whole + spoilt.substr(0, kBody.size()), SocketEnd::CloseSending, spoilt.substr(kBody.size())};
		}
		if ("coded" == name)
		{
			return {ownHead(request, "Transfer-Encoding: gzip\r\n") + kBody + kOther};
		}
		if ("cut" == name)
		{
			return {"HTTP/1.1 500 Error\r\nX-Archdyke-Request-Id: other\r\nContent-Length: 9000\r\n\r\nbroken" + whole + kBody, SocketEnd::CloseSending};
		}
		return {"HTTP/1.1 204 No Content\r\nX-Archdyke-Request-Id: other\r\n\r\n" + whole + kBody, SocketEnd::CloseSending};
	}

	class SpoiltUpstream
	{
	public:
		SpoiltUpstream()
		    : rig({})
		    , server(replyTo)
		{
			this->rig.store.put("servers", "a", lab::upstreamJson("svc", this->server.address, "ready"));
			this->rig.gateway.waitReady(1);
		}

		RigResponse call(const std::string& _kind, std::size_t _number) const
		{
			return this->rig.call(fmt::format("/once/{}/{}", _kind, _number), GatewayRig::headersFor(fmt::format("{}-{}", _kind, _number), kPatienceMs));
		}

	private:
		GatewayRig rig;
		RawServer server;
	};
} // namespace

/// Guards against a 200 whose body holds some bytes of another response.
Test(spoilt, a_body_with_a_length_holds_no_bytes_of_another_response)
{
	const SpoiltUpstream upstream;
	for (std::size_t bytes = 1; bytes <= kOther.size(); ++bytes)
	{
		const RigResponse answer = upstream.call("within", bytes);
		cr_assert(502 == answer.status, "%zu bytes: %d %s", bytes, answer.status, answer.body.c_str());
	}
}

/// The same if the body ends within these bytes.
Test(spoilt, a_body_with_a_length_does_not_end_within_another_response)
{
	const SpoiltUpstream upstream;
	for (std::size_t left = 1; left <= kBody.size(); ++left)
	{
		const RigResponse answer = upstream.call("end", left);
		cr_assert(502 == answer.status, "%zu bytes left: %d %s", left, answer.status, answer.body.c_str());
	}
}

/// The same if the end of the own body comes later.
Test(spoilt, a_body_with_a_status_line_waits_for_bytes_behind_its_end)
{
	const SpoiltUpstream upstream;
	for (std::size_t bytes = 13; bytes <= kBody.size() / 2; ++bytes)
	{
		const RigResponse answer = upstream.call("slow", bytes);
		cr_assert(502 == answer.status, "%zu bytes: %d %s", bytes, answer.status, answer.body.c_str());
	}
}

/// Guards against a second response that is taken for part of a body with a transfer coding other than chunks.
Test(spoilt, a_body_that_only_its_connection_ends_holds_no_second_response)
{
	const SpoiltUpstream upstream;
	const RigResponse answer = upstream.call("coded", 0);
	cr_assert(502 == answer.status, "%d %s", answer.status, answer.body.c_str());
}

/// Guards against a request that waits until its deadline for the rest of a response to another one.
Test(spoilt, a_response_to_another_request_that_is_cut_holds_nobody_until_the_deadline)
{
	const SpoiltUpstream upstream;
	const Millis begun = nowMs();
	const RigResponse answer = upstream.call("cut", 0);
	cr_assert(502 == answer.status && nowMs() - begun < kPatienceMs / 2, "%d after %ld ms", answer.status, long(nowMs() - begun));
}

/// Guards against a sound request that fails because of a late response without a body.
Test(spoilt, a_late_response_without_a_body_costs_the_next_request_nothing)
{
	const SpoiltUpstream upstream;
	const RigResponse answer = upstream.call("empty", 0);
	cr_assert(200 == answer.status && kBody == answer.body, "%d %s", answer.status, answer.body.c_str());
}
