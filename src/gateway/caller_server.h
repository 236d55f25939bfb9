/// Serves callers' connections: reads requests within the configured limits, runs the requests of a
/// connection one after the other, and closes connections between requests when the gateway stops.
#pragma once

#include "gateway/request.h"
#include "http/http_listener.h"

namespace archdyke::gateway
{
	/// Accepts and serves connections until it is destroyed.
	class CallerServer
	{
	public:
		/// @param[in] _address "IP:port" to bind.
		/// @throws kj::Exception When it can't be bound.
		CallerServer(GatewayState& _state, const std::string& _address);

		/// Closes the connections on which no request is in progress.
		void closeIdleConnections();

		/// @returns The port that was bound.
		unsigned port();

	private:
		aio::Task<void> serve(std::unique_ptr<http::HttpConnection> _connection);

		GatewayState& state;
		kj::Own<kj::PromiseFulfiller<void>> idleCloser;
		kj::ForkedPromise<void> idleClosed;
		http::Listener listener;
	};
} // namespace archdyke::gateway
