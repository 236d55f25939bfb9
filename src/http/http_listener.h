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

	/// Answers one request of a small server.
	using RequestHandler = std::function<WholeAnswer(const RequestHead&)>;

	class Listener final : private kj::TaskSet::ErrorHandler
	{
	public:
		/// Binds and begins to accept.
		/// @throws kj::Exception When the address can't be bound.
		Listener(LoopParts _loop, const std::string& _address, ConnectionHandler _handler);

		/// The port that was bound.
		unsigned port();

	private:
		aio::Task<void> accept();
		void taskFailed(kj::Exception&& _error) override;

		ConnectionHandler handler;
		kj::Own<kj::ConnectionReceiver> receiver;
		kj::TaskSet connections;
		kj::Promise<void> accepting = nullptr;
	};

	/// @returns A handler for a server of small answers: readiness, metrics, dumps.
	ConnectionHandler serveRequests(RequestHandler _handler);
} // namespace archdyke::http
