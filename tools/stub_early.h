/// Responses of a stand-in that come while the request's body, which is long, is still being sent.
#pragma once

#include <memory>
#include <string>

#include "aio/task.h"
#include "http/http_connection.h"

namespace archdyke::stub
{
	struct EarlyResponse
	{
		http::ResponseHead head;
		std::string body;
		bool isCut = false; ///< Half of the body is sent, then the connection is reset. Otherwise all of it, then a FIN.
		Millis endMs = 0;   ///< Time from the response to a reset.

		bool operator==(const EarlyResponse&) const = default;
	};

	/// Writes a response without length, and ends its connection.
	aio::Task<void> writeEarly(kj::Timer& _timer, std::unique_ptr<http::HttpConnection> _connection, EarlyResponse _response);
} // namespace archdyke::stub
