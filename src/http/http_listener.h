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

	/// Limits of the connections of one listener.
	struct ListenerLimits
	{
		/// Connections that are served at once; 0: unlimited. A further one takes the place of one that has been silent for silentMs, or is
		/// closed unread, so that its client goes elsewhere.
		std::size_t maxConnections = 0;
		Millis silentMs = 0;
		/// Time for which a connection that has lost its memory may go on, to tell its client, ms.
		Millis closeWithinMs = 0;

		bool operator==(const ListenerLimits&) const = default;
	};

	/// @param[in] _descriptors Limit of the process's file descriptors.
	/// @returns Connections to callers, upstreams and other daemons that the process may have open at once.
	std::size_t maxSockets(std::size_t _descriptors);

	/// @param[in] _descriptors Limit of the process's file descriptors.
	/// @returns Limits of the port for callers; each of its connections may need one to an upstream.
	ListenerLimits callerLimits(std::size_t _descriptors, const ResourceBudget& _resources);

	/// @returns Limits of a port for operators and probes, whose clients are few and quick.
	ListenerLimits adminLimits(std::size_t _descriptors);

	class Listener final : private kj::TaskSet::ErrorHandler
	{
	public:
		/// Binds the address and starts to accept connections.
		/// @param[in] _resources What all connections of the process may take; null: no limit.
		/// @throws kj::Exception When the address can't be bound.
		Listener(LoopContext _loop, const std::string& _address, ConnectionHandler _handler, ResourceBudget* _resources = nullptr, ListenerLimits _limits = {});

		/// @returns The port that was bound.
		unsigned port();

	private:
		aio::Task<void> accept();
		/// Serves a connection until it ends or loses its memory.
		void serve(kj::Own<kj::AsyncIoStream> _stream);
		/// @returns Whether one more connection may be served.
		bool hasPlace();
		/// Counts a connection that isn't served, and logs it now and then.
		void recordUnserved(const std::string& _reason);
		void taskFailed(kj::Exception&& _error) override;

		LoopContext loop;
		ConnectionHandler handler;
		ResourceBudget* resources;
		ListenerLimits limits;
		std::size_t openConnections = 0;
		absl::flat_hash_set<ResourceHolder*> holders; ///< Of the open connections.
		std::size_t unserved = 0;                     ///< Connections that weren't served since the last line of the log about it.
		Millis unservedLoggedAt = 0;
		kj::Own<kj::ConnectionReceiver> receiver;
		kj::TaskSet connections;
		kj::Promise<void> accepting = nullptr;
	};

	/// @param[in] _descriptors Limit of the process's file descriptors.
	/// @returns Connections of other daemons that are served at once.
	std::size_t peerConnections(std::size_t _descriptors);

	/// @returns A connection handler for endpoints with small responses: readiness, metrics, state dumps.
	ConnectionHandler serveRequests(RequestHandler _handler);
} // namespace archdyke::http
