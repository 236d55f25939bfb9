/// Accepts HTTP connections on an event loop.
#pragma once

#include <functional>
#include <kj/async-io.h>
#include <memory>
#include <string>

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
		/// @throws kj::Exception When the address can't be bound.
		Listener(LoopContext _loop, const std::string& _address, ConnectionHandler _handler);

		/// @returns The port that was bound.
		unsigned port();

	private:
		aio::Task<void> accept();
		void taskFailed(kj::Exception&& _error) override;

		ConnectionHandler handler;
		kj::Own<kj::ConnectionReceiver> receiver;
		kj::TaskSet connections;
		kj::Promise<void> accepting = nullptr;
	};

	/// @returns A connection handler for endpoints with small responses: readiness, metrics, state dumps.
	ConnectionHandler serveRequests(RequestHandler _handler);
} // namespace archdyke::http
