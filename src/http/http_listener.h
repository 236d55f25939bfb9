/// Accepts HTTP connections on an event loop.
#pragma once

#include <functional>
#include <kj/async-io.h>
#include <memory>
#include <string>

#include "archdyke/types.h"
#include "http/connection_pool.h"

namespace archdyke::http
{
	/// Serves one connection until it ends.
	using ConnectionHandler = std::function<aio::Task<void>(std::unique_ptr<HttpConnection>)>;

	/// Creates the response to one request.
	using RequestHandler = std::function<FullResponse(const RequestHead&)>;

	class Listener final : private kj::TaskSet::ErrorHandler
	{
	public:
		/// Binds the address and starts to accept connections.
		/// @param[in] _maxConnections Connections that are served at once; further ones are closed unread, so that their clients go
		/// elsewhere. 0: unlimited.
		/// @throws kj::Exception When the address can't be bound.
		Listener(LoopContext _loop, const std::string& _address, ConnectionHandler _handler, std::size_t _maxConnections = 0);

		/// @returns The port that was bound.
		unsigned port();

	private:
		aio::Task<void> accept();
		/// Counts a connection that isn't served, and logs it now and then.
		void recordUnserved(const std::string& _reason);
		void taskFailed(kj::Exception&& _error) override;

		LoopContext loop;
		ConnectionHandler handler;
		std::size_t maxConnections;
		std::size_t openConnections = 0;
		std::size_t unserved = 0; ///< Connections that weren't served since the last line of the log about it.
		Millis unservedLoggedAt = 0;
		kj::Own<kj::ConnectionReceiver> receiver;
		kj::TaskSet connections;
		kj::Promise<void> accepting = nullptr;
	};

	/// @returns A connection handler for endpoints with small responses: readiness, metrics, state dumps.
	ConnectionHandler serveRequests(RequestHandler _handler);
} // namespace archdyke::http
