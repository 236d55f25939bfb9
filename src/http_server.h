/// HTTP server with a thread of small stack for each connection, a deep listen queue,
/// bounded memory, and a refusal at once when there are too many connections.
#pragma once

#include <atomic>
#include <httplib.h>
#include <string>
#include <thread>

namespace archdyke
{
	/// Address as "IP:port"; port 0 lets the kernel choose.
	struct Address
	{
		std::string host;
		int port = 0;

		bool operator==(const Address&) const = default;
	};

	/// @throws InvalidInputError When the text is not "IP:port".
	Address parseAddress(const std::string& _text);

	/// @returns "IP:port".
	std::string toString(const Address& _address);

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
