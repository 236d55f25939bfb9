/// A gateway process with upstreams that answer a long request before they have read it, and end the connection meanwhile.
#include <algorithm>
#include <atomic>
#include <future>

#include "early_server.h"
#include "gateway_rig.h"
#include "invalid_heads.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr Millis kPatienceMs = 1'500;
	constexpr int kBadGateway = 502;
	const std::string kBody = std::string(500, 'a');
	const std::string kEvents = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";

	/// How a head announces the end of its body.
	enum class Framing
	{
		None,
		Length,
		Chunks
	};

	struct Script
	{
		std::string status = "200 OK";
		std::string moreHead = ""; ///< Further lines of the head.
		Framing framing = Framing::None;
		std::string body = kBody;
		std::size_t cutBytes = 0; ///< Of the whole answer, at its end; they aren't sent.
		EarlyEnd end = EarlyEnd::Reset;
		std::size_t readBytes = 0;
		Millis pauseMs = 0;
	};

	std::string fieldOf(const std::string& _head, const std::string& _name)
	{
		const std::size_t begin = _head.find(_name) + _name.size();
		return _head.substr(begin, _head.find_first_of(" \r", begin) - begin);
	}

	EarlyAnswer answerTo(const std::string& _request, const Script& _script)
	{
		std::string bytes = fmt::format("HTTP/1.1 {}\r\nX-Archdyke-Request-Id: {}\r\nX-Archdyke-Server-Stamp: stamp-early\r\n{}", _script.status, fieldOf(_request, "X-Archdyke-Request-Id: "), _script.moreHead);
		if (Framing::None == _script.framing)
		{
			bytes += "\r\n" + _script.body;
		}
		else if (Framing::Length == _script.framing)
		{
			bytes += fmt::format("Content-Length: {}\r\n\r\n{}", _script.body.size(), _script.body);
		}
		else
		{
			bytes += fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", _script.body.size(), _script.body);
		}
		return {bytes.substr(0, bytes.size() - std::min(bytes.size(), _script.cutBytes)), _script.end, _script.readBytes, _script.pauseMs};
	}

	/// A gateway with one upstream that follows a script, and others that are sound.
	class EarlyRig
	{
	public:
		explicit EarlyRig(const std::vector<std::string>& _sound = {})
		    : rig(_sound)
		    , server([this](const std::string& _head) {
			    return this->raw.empty() ? answerTo(_head, this->script) : EarlyAnswer{this->raw, EarlyEnd::FinAndRead, kWholeUpload};
		    })
		{
			Json configuration = lab::configurationJson(2, {"key-one"}, Json::array({GatewayRig::route("/flow/", "streaming")}));
			configuration["limits"]["maxBodyBytes"] = 2 * kUploadBytes;
			this->rig.store.put("op", "config", configuration);
			this->rig.store.put("servers", "early", lab::upstreamJson("svc", this->server.address, "ready"));
			this->rig.gateway.waitReady(1 + _sound.size());
			cr_assert(lab::waitUntil(kRigWaitMs, [this] {
				const Json dump = this->rig.dump();
				return dump.is_object() && 2 == dump["catalog"];
			}));
		}

		/// Sends a long request.
		RigResponse upload(const std::string& _target)
		{
			const std::string id = fmt::format("r{}", ++this->calls);
			httplib::Client client = lab::clientOf(this->rig.gateway.callers);
			const httplib::Result result = client.Post(_target, GatewayRig::headersFor(id, kPatienceMs), std::string(kUploadBytes, 'u'), "text/plain");
			return result ? RigResponse{result->status, result->body, result->headers} : RigResponse();
		}

		/// Changed only while no request is under way.
		Script script;
		std::string raw; ///< Sent in the place of what the script says, if not empty.
		GatewayRig rig;
		EarlyServer server;
		std::atomic<int> calls = 0;
	};

	/// Sends long requests from several callers at once: the gateway then does other work between two looks at a connection.
	/// @returns Descriptions of the responses that aren't as they should be.
	std::string failingUploads(EarlyRig& _rig, const std::string& _target, const std::function<bool(const RigResponse&)>& _holds)
	{
		constexpr int kCallers = 6;
		constexpr int kCallsEach = 3;
		std::vector<std::future<std::string>> callers;
		for (int caller = 0; caller < kCallers; ++caller)
		{
			callers.push_back(std::async(std::launch::async, [&] {
				std::string failing;
				for (int call = 0; call < kCallsEach; ++call)
				{
					const RigResponse answer = _rig.upload(_target);
					failing += _holds(answer) ? "" : fmt::format(" [{}, {} bytes]", answer.status, answer.body.size());
				}
				return failing;
			}));
		}
		std::string failing;
		for (std::future<std::string>& caller : callers)
		{
			failing += caller.get();
		}
		return failing;
	}

	/// Sends long requests that are answered at each moment of the upload, with some pauses between the answer and the end of its
	/// connection.
	std::string failingMoments(EarlyRig& _rig, const std::string& _target, const std::function<bool(const RigResponse&)>& _holds)
	{
		std::string failing;
		for (const std::size_t moment : uploadMoments())
		{
			for (const Millis pauseMs : {0, 1, 5})
			{
				_rig.script.readBytes = moment;
				_rig.script.pauseMs = pauseMs;
				const std::string found = failingUploads(_rig, _target, _holds);
				failing += found.empty() ? "" : fmt::format("\n{} bytes read, {} ms:{}", moment, pauseMs, found);
			}
		}
		return failing;
	}

	bool isBadGateway(const RigResponse& _answer)
	{
		return kBadGateway == _answer.status && !_answer.headers.contains("X-Archdyke-Server-Stamp");
	}

	/// The stream isn't complete: it was cut, or had no beginning.
	bool isCutStream(const RigResponse& _answer)
	{
		return 0 == _answer.status || isBadGateway(_answer);
	}
} // namespace

/// Guards against a part of a body being passed on as a complete response: a write of the request takes the socket's error, and the
/// read behind it sees an orderly end.
Test(early, a_body_without_length_that_is_reset_during_the_upload_is_not_complete)
{
	EarlyRig rig;
	for (const char* more : {"", "Connection: close\r\n"})
	{
		rig.script.moreHead = more;
		const std::string failing = failingMoments(rig, "/once/x", isBadGateway);
		cr_assert(failing.empty(), "%s", failing.c_str());
	}
	cr_assert(rig.calls == rig.server.requests, "%d requests sent %d times", rig.calls.load(), rig.server.requests.load());
}

/// The same for a request that may be repeated: it is answered by another upstream.
Test(early, a_reset_upload_that_may_be_repeated_is_answered_by_another_upstream)
{
	EarlyRig rig({"sound"});
	const std::string failing = failingMoments(rig, "/safe/x", [](const RigResponse& _answer) {
		return 200 == _answer.status && "POST /safe/x " + std::string(kUploadBytes, 'u') == _answer.body;
	});
	cr_assert(failing.empty() && 0 < rig.server.requests, "%s", failing.c_str());
}

/// The same for a failure: a part of it doesn't go out with the upstream's stamp.
Test(early, a_failure_without_length_that_is_reset_during_the_upload_is_not_passed_on)
{
	EarlyRig rig;
	rig.script.status = "500 Internal Server Error";
	const std::string failing = failingMoments(rig, "/once/x", isBadGateway);
	cr_assert(failing.empty(), "%s", failing.c_str());
}

/// Guards against a stream that looks complete although it was reset behind a whole event.
Test(early, a_stream_without_length_that_is_reset_during_the_upload_is_cut)
{
	EarlyRig rig;
	rig.script.moreHead = "Content-Type: text/event-stream\r\n";
	rig.script.body = kEvents;
	const std::string failing = failingMoments(rig, "/flow/x", isCutStream);
	cr_assert(failing.empty(), "%s", failing.c_str());
}

/// The same for a stream that may be resumed: it goes on at another upstream.
Test(early, a_resumable_stream_that_is_reset_during_the_upload_goes_on_elsewhere)
{
	EarlyRig rig({"sound"});
	rig.script.moreHead = "Content-Type: text/event-stream\r\n";
	rig.script.body = kEvents;
	const std::string failing = failingMoments(rig, "/stream/x?do=stream", [](const RigResponse& _answer) {
		return 200 == _answer.status && allEvents() == _answer.body;
	});
	cr_assert(failing.empty() && 0 < rig.server.requests, "%s", failing.c_str());
}

/// Guards against responses that break off elsewhere during an upload: before and within the head, before and within the body.
Test(early, a_response_that_is_reset_before_its_end_is_not_complete)
{
	struct Cut
	{
		Framing framing;
		std::size_t bytes;
	};

	EarlyRig rig;
	const std::size_t chunkedEnd = std::string("\r\n0\r\n\r\n").size();
	const std::vector<Cut> cuts{
	    {Framing::None, kBody.size()}, // between the head and the first byte
	    {Framing::None, kBody.size() + 2},
	    {Framing::None, kBody.size() + 40},
	    {Framing::None, 100'000}, // all
	    {Framing::Length, 1},
	    {Framing::Length, kBody.size()},
	    {Framing::Chunks, 1},
	    {Framing::Chunks, chunkedEnd - 2}, // behind the chunk
	    {Framing::Chunks, chunkedEnd},
	    {Framing::Chunks, chunkedEnd + kBody.size() / 2},
	};
	std::string failing;
	for (const Cut& cut : cuts)
	{
		rig.script.framing = cut.framing;
		rig.script.cutBytes = cut.bytes;
		for (const std::size_t moment : uploadMoments())
		{
			rig.script.readBytes = moment;
			const std::string found = failingUploads(rig, "/once/x", isBadGateway);
			failing += found.empty() ? "" : fmt::format("\nframing {}, {} bytes missing, {} bytes read:{}", int(cut.framing), cut.bytes, moment, found);
		}
	}
	cr_assert(failing.empty(), "%s", failing.c_str());
}

namespace
{
	/// @returns Descriptions of the whole responses with a status that aren't passed on as they are.
	std::string lostResponses(EarlyRig& _rig, Framing _framing, EarlyEnd _end, int _status)
	{
		_rig.script = {fmt::format("{} Status", _status), "Connection: close\r\n", _framing, kBody, 0, _end};
		const std::string failing = failingMoments(_rig, "/once/x", [&](const RigResponse& _answer) {
			return _status == _answer.status && kBody == _answer.body && _answer.headers.contains("X-Archdyke-Server-Stamp");
		});
		return failing.empty() ? "" : fmt::format("\nframing {}, end {}, status {}:{}", int(_framing), int(_end), _status, failing);
	}
} // namespace

/// Guards against losing whole responses of upstreams that don't wait for the end of the upload.
Test(early, a_whole_response_before_the_end_of_the_upload_is_passed_on)
{
	EarlyRig rig;
	std::string failing;
	for (const EarlyEnd end : {EarlyEnd::FinAndRead, EarlyEnd::FinAndReset, EarlyEnd::Reset})
	{
		for (const int status : {200, 413})
		{
			failing += lostResponses(rig, Framing::Length, end, status);
			failing += lostResponses(rig, Framing::Chunks, end, status);
		}
	}
	cr_assert(failing.empty(), "%s", failing.c_str());
}

/// The same for responses that a FIN ends.
Test(early, a_response_without_length_that_a_fin_ends_during_the_upload_is_passed_on)
{
	EarlyRig rig;
	std::string failing;
	for (const EarlyEnd end : {EarlyEnd::FinAndRead, EarlyEnd::FinAndReset})
	{
		failing += lostResponses(rig, Framing::None, end, 200);
		failing += lostResponses(rig, Framing::None, end, 413);
	}
	cr_assert(failing.empty(), "%s", failing.c_str());
}

/// The same for a stream.
Test(early, a_whole_stream_before_the_end_of_the_upload_is_passed_on)
{
	EarlyRig rig;
	rig.script.moreHead = "Content-Type: text/event-stream\r\n";
	rig.script.body = kEvents;
	for (const EarlyEnd end : {EarlyEnd::FinAndRead, EarlyEnd::FinAndReset})
	{
		rig.script.end = end;
		const std::string failing = failingMoments(rig, "/flow/x", [](const RigResponse& _answer) {
			return 200 == _answer.status && kEvents == _answer.body;
		});
		cr_assert(failing.empty(), "end %d:%s", int(end), failing.c_str());
	}
}

/// Guards against a status or a header name that isn't one reaching a caller.
Test(early, a_head_that_is_not_valid_is_no_response)
{
	EarlyRig rig;
	const std::string lines = "X-Archdyke-Request-Id: invalid\r\nX-Archdyke-Server-Stamp: stamp-early\r\n";
	for (const InvalidResponse& invalid : invalidResponses(lines, "body"))
	{
		rig.raw = invalid.bytes;
		const RigResponse answer = rig.rig.call("/once/x", GatewayRig::headersFor("invalid"));
		cr_assert(isBadGateway(answer), "%s: %d %s", invalid.name.c_str(), answer.status, answer.body.c_str());
	}
}
