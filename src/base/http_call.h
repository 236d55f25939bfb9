/// HTTP/1.1 calls that block. Each one has a connection of its own, which is closed after its response: bytes that follow
/// it belong to no other call.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "archdyke/types.h"
#include "base/address.h"
#include "base/response_reader.h"

namespace archdyke
{
	struct HttpRequest
	{
		std::string method;
		std::string target;
		std::vector<HttpHeader> headers; ///< Lines that contain control characters aren't sent.
		std::string body;

		bool operator==(const HttpRequest&) const = default;
	};

	struct HttpCallLimits
	{
		Millis connectTimeoutMs = 1'000;
		Millis timeoutMs = 0; ///< Of the whole call, however slowly its bytes come.
		ResponseLimits response;

		bool operator==(const HttpCallLimits&) const = default;
	};

	enum class HttpCallEnd
	{
		Complete,
		NotConnected, ///< No byte of the request was sent.
		Unrequested,  ///< Bytes came before the request was sent.
		TimedOut,
		Broken, ///< The response is incomplete or invalid.
		Count
	};

	struct HttpCallResult
	{
		HttpCallEnd end = HttpCallEnd::NotConnected;
		ResponseState response = ResponseState::Incomplete;
		std::string error;    ///< For Broken and NotConnected: what the system reported, if it did.
		bool refused = false; ///< For NotConnected: the port refuses connections. A port that doesn't respond may be that of a live process.

		bool operator==(const HttpCallResult&) const = default;
	};

	/// @returns A description for logs and errors.
	std::string toString(const HttpCallResult& _result);

	/// Sends a request and passes its response on as it arrives.
	HttpCallResult callHttp(const Address& _address, const HttpRequest& _request, const HttpCallLimits& _limits, ResponseReceiver _receiver);

	/// A complete response.
	struct HttpResponse
	{
		HttpResponseHead head;
		std::string body;

		bool operator==(const HttpResponse&) const = default;
	};

	/// Sends a request and collects its response.
	/// @param[out] _result Set to how the call ended, if not null.
	/// @returns None unless the response is complete.
	std::optional<HttpResponse> fetchHttp(const Address& _address, const HttpRequest& _request, const HttpCallLimits& _limits, HttpCallResult* _result = nullptr);
} // namespace archdyke
