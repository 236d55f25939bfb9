/// HTTP client of the engine of one rank. Used by the sidecar on the engine's VM, and by the coordinator
/// while that sidecar doesn't respond.
#pragma once

#include "group/engine_codec.h"
#include "http/exchange.h"

namespace archdyke::group
{
	/// The result of an order.
	struct OrderOutcome
	{
		bool accepted = false;
		int status = 0;                    ///< HTTP status of the engine; 0: no response, and the order may still be carried out.
		bool baseUnknown = false;          ///< The order wasn't sent because the daemon lacks the base map.
		std::optional<EngineReport> after; ///< The engine's state after the order, if known.

		bool operator==(const OrderOutcome&) const = default;
	};

	class Engine
	{
	public:
		Engine(http::LoopContext _loop, EngineCodec _codec, std::string _address);

		/// @throws kj::Exception When there is no usable response in time.
		aio::Task<EngineReport> report();
		/// @throws kj::Exception When there is no usable response in time.
		aio::Task<EngineCounts> counts();

		/// Doesn't throw when the engine doesn't respond: the outcome's status is 0 then.
		aio::Task<OrderOutcome> order(EngineOrder _order);

		const std::string& address() const;

		/// Closes connections that no call uses.
		void closeIdle();

	private:
		/// @returns A call without timeout, limits and body.
		http::Call callOf(std::string _method, std::string _target) const;
		/// @throws kj::Exception When there is no response that can be decoded in time.
		template <typename T>
		aio::Task<T> get(std::string _target, std::size_t _maxBytes, T (*_decode)(const std::string& _body));

		http::LoopContext loop;
		EngineCodec codec;
		std::string engineAddress;
		http::ConnectionPool pool;
	};
} // namespace archdyke::group
