/// HTTP server with one thread with a small stack per connection, a long listen queue and bounded memory.
/// Requests on connections above the limit are refused immediately.
#pragma once

#include <atomic>
#include <httplib.h>
#include <string>
#include <thread>

#include "base/address.h"

namespace archdyke
{
	class HttpServer
	{
	public:
		HttpServer();
		~HttpServer();
		HttpServer(const HttpServer&) = delete;
		HttpServer& operator=(const HttpServer&) = delete;

		/// @returns The server to which handlers are added, before start.
		httplib::Server& routes();

		/// Binds the address and serves it on own threads.
		/// @returns The bound address.
		/// @throws ArchdykeError If the address can't be bound.
		Address start(const Address& _address);

		/// Stops accepting connections and waits for the handlers in progress.
		void stop();

	private:
		httplib::Server server;
		std::thread thread;
		std::atomic<int> listenSocket{-1};
	};
} // namespace archdyke
