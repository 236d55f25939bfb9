/// HTTP server with one thread with a small stack per connection, a long listen queue and bounded memory.
/// Requests on connections above the limit are refused immediately.
#pragma once

#include <atomic>
#include <httplib.h>
#include <memory>
#include <string>
#include <thread>

#include "base/address.h"
#include "base/connection_registry.h"
#include "base/socket_stream.h"

namespace archdyke
{
	/// Server of the library whose connections are bounded by a registry, if there is one.
	class RegisteredServer final : public httplib::Server
	{
	public:
		explicit RegisteredServer(std::shared_ptr<ConnectionRegistry> _registry);

		StopTimes stopTimes;

	private:
		bool process_and_close_socket(socket_t _socket) override;
		/// @returns Whether bytes of a request came before the idle timeout and the end of the server.
		bool awaitRequest(httplib::Stream& _stream) const;

		std::shared_ptr<ConnectionRegistry> registry;
	};

	class HttpServer
	{
	public:
		/// @param[in] _registry Bounds the connections of all servers that share it; null: each one is served.
		explicit HttpServer(std::shared_ptr<ConnectionRegistry> _registry = nullptr);
		~HttpServer();
		HttpServer(const HttpServer&) = delete;
		HttpServer& operator=(const HttpServer&) = delete;

		/// @returns The server to which handlers are added, before start.
		httplib::Server& routes();

		/// Binds the address and serves it on own threads.
		/// @returns The bound address.
		/// @throws ArchdykeError If the address can't be bound.
		Address start(const Address& _address);

		/// Ends requests that don't come whole soon. Their clients get the response to an unreadable request.
		void stopReading();

		/// Stops accepting connections and waits for the handlers in progress. Clients that send or read slowly aren't waited for.
		void stop();

	private:
		RegisteredServer server;
		std::thread thread;
		std::atomic<int> listenSocket{-1};
	};
} // namespace archdyke
