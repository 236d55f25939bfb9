/// Client connections that are kept for the next request, by address.
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
	/// What a connection needs from its event loop.
	struct LoopParts
	{
		kj::Network& network;
		kj::Timer& timer;
	};

	/// A connection for one exchange.
	struct Lease
	{
		std::unique_ptr<HttpConnection> connection;
		std::string address;
	};

	/// How a connection is to be had.
	struct ConnectOptions
	{
		Millis connectTimeoutMs = 1'000;
		/// A kept connection that rested longer isn't used.
		Millis maxRestMs = 4'000;
		MessageLimits limits;
	};

	/// Connections of one event loop.
	class ConnectionPool
	{
	public:
		explicit ConnectionPool(LoopParts _loop);

		/// @param[in] _address "IP:port".
		/// @returns A kept connection, else a new one.
		/// @throws kj::Exception When nobody answers there in time.
		aio::Task<Lease> take(std::string _address, ConnectOptions _options);

		/// @returns A new connection, whatever is kept.
		/// @throws kj::Exception When nobody answers there in time; of type DISCONNECTED when it is refused.
		aio::Task<Lease> connect(std::string _address, ConnectOptions _options);

		/// Keeps a connection whose exchange is over. One that has unread bytes is closed.
		/// @param[in] _restLimitMs How long the other side keeps it.
		void giveBack(Lease _lease, Millis _restLimitMs);

		/// @returns Connections opened since the start.
		std::uint64_t opened() const;

	private:
		struct Kept
		{
			std::unique_ptr<HttpConnection> connection;
			Millis since = 0;
			Millis until = 0;
		};

		/// Closes what rested too long, at most once a sweep.
		void dropOld();

		LoopParts loop;
		absl::flat_hash_map<std::string, std::deque<Kept>> kept;
		std::uint64_t openedCount = 0;
		Millis sweptAt = 0;
	};

	/// A whole answer.
	struct WholeAnswer
	{
		ResponseHead head;
		std::string body;

		bool operator==(const WholeAnswer&) const = default;
	};

	/// One exchange for callers that want the whole answer.
	/// @throws kj::Exception When there is no whole answer in time.
	kj::Promise<WholeAnswer> exchange(ConnectionPool& _pool, kj::Timer& _timer, std::string _address, RequestHead _head, std::string _body, Millis _timeoutMs);
} // namespace archdyke::http
