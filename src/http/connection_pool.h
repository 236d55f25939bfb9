/// Pool of idle client connections for reuse, by address.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <kj/async-io.h>
#include <memory>
#include <string>

#include "archdyke/types.h"
#include "http/http_connection.h"

namespace archdyke::http
{
	/// The parts of an event loop that connections need.
	struct LoopContext
	{
		kj::Network& network;
		kj::Timer& timer;
	};

	/// A connection taken from the pool for one exchange.
	struct Lease
	{
		std::unique_ptr<HttpConnection> connection;
		std::string address;
		bool reused = false;               ///< It carried other exchanges.
		std::deque<std::size_t> responses; ///< Hashes of recent responses there, of callers that record them.
	};

	/// Options for taking a connection.
	struct ConnectOptions
	{
		Millis connectTimeoutMs = 1'000;
		/// Connections that were idle for longer aren't reused.
		Millis maxIdleMs = 4'000;
		MessageLimits limits;
		/// Identifies the exchange in its response; empty if responses don't name it. Connections that carried the same one before
		/// aren't used.
		std::string tag;
		/// Whether a connection that carried other exchanges may be used.
		bool reuse = true;
	};

	/// Connection pool of one event loop.
	class ConnectionPool
	{
	public:
		/// @param[in] _resources Limits the system's buffers of the connections; null: no limit.
		explicit ConnectionPool(LoopContext _loop, ResourceBudget* _resources = nullptr);

		/// @param[in] _address "IP:port".
		/// @returns An idle connection if there is a usable one, otherwise a new one.
		/// @throws kj::Exception When a new connection isn't established in time.
		aio::Task<Lease> take(std::string _address, ConnectOptions _options);

		/// @returns A new connection, even if idle ones exist.
		/// @throws kj::Exception When the connection isn't established in time; of type DISCONNECTED when it is refused.
		aio::Task<Lease> connect(std::string _address, ConnectOptions _options);

		/// Returns a connection to the pool after its exchange. A connection with unread bytes is closed.
		/// @param[in] _idleLimitMs How long the other side keeps the idle connection open.
		void returnToPool(Lease _lease, Millis _idleLimitMs);

		/// Closes all idle connections.
		void closeIdle();

		/// @returns Number of connections opened since the start.
		std::uint64_t opened() const;

		/// @returns How often bytes were found on a connection that belong to no exchange.
		std::uint64_t unattributed() const;

	private:
		struct IdleConnection
		{
			std::unique_ptr<HttpConnection> connection;
			std::deque<std::size_t> responses;
			Millis since = 0;
			Millis until = 0;
		};

		/// @returns A usable idle connection; without one when there is none. Closes those found unusable.
		Lease takeIdle(const std::string& _address, const ConnectOptions& _options);

		/// Closes expired and disconnected idle connections, at most once per sweep interval.
		void closeExpired();

		LoopContext loop;
		ResourceBudget* resources;
		absl::flat_hash_map<std::string, std::deque<IdleConnection>> idle;
		std::uint64_t openedCount = 0;
		std::uint64_t unattributedCount = 0;
		Millis lastSweepAt = 0;
	};

	/// A complete response.
	struct FullResponse
	{
		ResponseHead head;
		std::string body;

		bool operator==(const FullResponse&) const = default;
	};
} // namespace archdyke::http
