/// HTTP server with a thread of small stack for each connection, a deep listen queue,
/// bounded memory, and a refusal at once when there are too many connections.
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

		/// Where handlers are added, before start.
		httplib::Server& routes();

		/// Binds and serves on threads of its own.
		/// @returns The bound address.
		/// @throws ArchdykeError When the address can't be bound.
		Address start(const Address& _address);

		/// Stops accepting and waits for the handlers in progress.
		void stop();

	private:
		httplib::Server server;
		std::thread thread;
		std::atomic<int> listenSocket{-1};
	};
} // namespace archdyke
