/// Serves callers' connections: reads requests within the limits in force, runs them one
/// after the other, and lets the connection end whole when the gateway stops.
#pragma once

#include "gateway/request.h"
#include "http/http_listener.h"

namespace archdyke::gateway
{
	/// Serves as long as it lives.
	class CallerServer
	{
	public:
		/// @param[in] _address "IP:port" to bind.
		/// @throws kj::Exception When it can't be bound.
		CallerServer(GatewayState& _state, const std::string& _address);

		/// Ends the connections on which no request is under way.
		void closeIdle();

		/// The port that was bound.
		unsigned port();

	private:
		aio::Task<void> serve(std::unique_ptr<http::HttpConnection> _connection);

		GatewayState& state;
		kj::Own<kj::PromiseFulfiller<void>> idleCloser;
		kj::ForkedPromise<void> idleClosed;
		http::Listener listener;
	};
} // namespace archdyke::gateway
