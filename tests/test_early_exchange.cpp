/// The calls of gateway and sidecar to store and engine, to servers that answer before they have read the request, or whose heads aren't
/// valid.
#include "http/exchange.h"

#include <kj/async-io.h>
#include <kj/vector.h>

#include "early_server.h"
#include "invalid_heads.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr std::size_t kCalls = 6;
	const std::string kBody = std::string(500, 'a');

	http::Call callTo(const std::string& _address, std::string _method, std::string _body)
	{
		http::Call call;
		call.address = _address;
		call.head = {std::move(_method), "/x", {}, true};
		call.body = std::move(_body);
		call.timeoutMs = 5'000;
		return call;
	}

	/// An event loop that makes some calls at once.
	class Caller
	{
	public:
		/// @returns The responses; none for the calls that failed.
		std::vector<std::optional<http::FullResponse>> callAll(const std::string& _address, const std::string& _method, const std::string& _body)
		{
			std::vector<std::optional<http::FullResponse>> responses(kCalls);
			kj::Vector<kj::Promise<void>> calls;
			for (std::optional<http::FullResponse>& response : responses)
			{
				calls.add(http::exchange(this->pool, this->io.provider->getTimer(), callTo(_address, _method, _body)).then([&response](http::FullResponse&& _response) {
					response = std::move(_response);
				},
				                                                                                                           [](kj::Exception&&) {
					// The call has failed, and leaves no response.
				}));
			}
			kj::joinPromises(calls.releaseAsArray()).wait(this->io.waitScope);
			return responses;
		}

	private:
		kj::AsyncIoContext io = kj::setupAsyncIo();
		http::ConnectionPool pool{{this->io.provider->getNetwork(), this->io.provider->getTimer()}};
	};

	/// Makes calls at each moment of the upload.
	/// @returns Descriptions of the responses that aren't as they should be.
	std::string failingMoments(const std::string& _answer, EarlyEnd _end, const std::function<bool(const std::optional<http::FullResponse>&)>& _holds)
	{
		std::string failing;
		for (const std::size_t moment : uploadMoments())
		{
			for (const Millis pauseMs : {0, 1, 5})
			{
				const EarlyServer server([&](const std::string&) {
					return EarlyAnswer{_answer, _end, moment, pauseMs};
				});
				for (const std::optional<http::FullResponse>& response : Caller().callAll(server.address, "POST", std::string(kUploadBytes, 'u')))
				{
					failing += _holds(response) ? "" : fmt::format("\n{} bytes read, {} ms: {}", moment, pauseMs, response ? response->head.status : 0);
				}
			}
		}
		return failing;
	}
} // namespace

/// Guards against a part of a body being taken for a complete response because a write of the request was told of the reset.
Test(earlyexchange, a_body_without_length_that_is_reset_during_the_upload_is_not_complete)
{
	const std::string failing = failingMoments("HTTP/1.1 200 OK\r\n\r\n" + kBody, EarlyEnd::Reset, [](const std::optional<http::FullResponse>& _response) {
		return !_response;
	});
	cr_assert(failing.empty(), "%s", failing.c_str());
}

/// Guards against losing responses of servers that refuse a request before they have read it.
Test(earlyexchange, a_whole_response_before_the_end_of_the_upload_is_complete)
{
	const std::string failing = failingMoments("HTTP/1.1 413 Too Large\r\n\r\n" + kBody, EarlyEnd::FinAndRead, [](const std::optional<http::FullResponse>& _response) {
		return _response && 413 == _response->head.status && kBody == _response->body;
	});
	cr_assert(failing.empty(), "%s", failing.c_str());
}

/// Guards against a status or a header name that isn't one being passed on.
Test(earlyexchange, a_head_that_is_not_valid_is_no_response)
{
	for (const InvalidResponse& invalid : invalidResponses("", "body"))
	{
		const EarlyServer server([&](const std::string&) {
			return EarlyAnswer{invalid.bytes, EarlyEnd::FinAndRead, kWholeUpload};
		});
		for (const std::optional<http::FullResponse>& response : Caller().callAll(server.address, "GET", ""))
		{
			cr_assert(!response, "%s", invalid.name.c_str());
		}
	}
}
