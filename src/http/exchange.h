/// Calls that read one complete response, and what ties a response to its call.
///
/// A server may send a whole response a second time, and late. A response belongs to a call if it gives the call's id back, if
/// it is the first one on its connection, or if it differs from the responses before it there and so is no copy of one. Others
/// prove nothing: their connection is closed, and a GET is sent once more on a new one.
#pragma once

#include <functional>

#include "http/connection_pool.h"

namespace archdyke::http
{
	/// A call to a server.
	struct Call
	{
		std::string address; ///< "IP:port".
		RequestHead head;
		std::string body;
		Millis timeoutMs = 0; ///< From taking a connection to the end of the response.
		/// Limits of the response.
		MessageLimits limits;
		/// Header that carries an id, which the server may give back in a header of the same name; empty: none is sent.
		std::string idHeader;
		/// Whether the connection may carry other calls, before this one or after it. Not for calls with the same responses whatever
		/// they did.
		bool reuse = true;
		/// How long to wait for another response after one that equals an earlier one on its connection, ms; 0: such a response is in
		/// doubt at once. If none comes, it is the response to this call: one that repeats what was said before.
		Millis repeatWaitMs = 0;
		/// @returns Whether a successful response has the form of an answer to this call. One that has not is in doubt on a
		/// connection that carried other calls. May be empty.
		std::function<bool(const FullResponse& _response)> fits;
	};

	/// Sends a request and reads the response that belongs to it. Whole responses to other calls are skipped.
	/// @throws kj::Exception When no such response arrives in time.
	kj::Promise<FullResponse> exchange(ConnectionPool& _pool, kj::Timer& _timer, Call _call);
} // namespace archdyke::http
