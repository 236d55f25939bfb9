/// Serves callers' connections: reads requests within the configured limits, runs the requests of a
/// connection one after the other, and closes connections between requests when the gateway stops, or when memory is short.
#pragma once

#include "gateway/request.h"
#include "http/http_listener.h"

namespace archdyke::gateway
{
	/// Result of reading a request.
	struct ReadResult
	{
		std::optional<ReceivedRequest> request;
		int status = 0; ///< Status of the response that ends the connection; 0 for none.
		std::string reason;
		std::optional<Millis> comeBackMs; ///< When the caller should retry; none: no advice.
	};

	/// Accepts and serves connections until it is destroyed.
	class CallerServer
	{
	public:
		/// @param[in] _address "IP:port" to bind.
		/// @throws kj::Exception When it can't be bound.
		CallerServer(GatewayState& _state, const std::string& _address);

		/// Reads no further requests: closes idle connections, and refuses what was received in part or comes from now on.
		void stopReading();

		/// @returns Number of connections on which a request that wasn't read whole is being refused.
		std::size_t rejecting() const;

		/// @returns The port that was bound.
		unsigned port();

	private:
		aio::Task<void> serve(std::unique_ptr<http::HttpConnection> _connection);
		/// Reads the next request of a connection.
		/// @param[in] _charge For the request's memory.
		/// @param[in] _isNew Whether it is the connection's first one.
		aio::Task<ReadResult> readRequest(http::HttpConnection& _connection, http::MemoryCharge& _charge, bool _isNew);
		/// @returns A promise of the result that is due once nothing more is read, while the head of a request is awaited.
		kj::Promise<ReadResult> whenStopped(http::HttpConnection& _connection);
		/// @returns A promise of the refusal that is due once the connection has lost its memory.
		kj::Promise<ReadResult> whenMemoryShort(http::HttpConnection& _connection);

		GatewayState& state;
		kj::Own<kj::PromiseFulfiller<void>> stopFulfiller;
		kj::ForkedPromise<void> stopped;
		std::size_t rejectingCount = 0;
		http::Listener listener;
	};
} // namespace archdyke::gateway
