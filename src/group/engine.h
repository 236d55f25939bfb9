/// The engine of one rank, asked over HTTP: by the sidecar on its VM, or from afar while that
/// sidecar is away.
#pragma once

#include "group/engine_codec.h"
#include "http/connection_pool.h"

namespace archdyke::group
{
	/// What became of an order.
	struct OrderOutcome
	{
		bool accepted = false;
		int status = 0;                    ///< The engine's answer; 0 when there was none: it may be carried out late.
		bool baseUnknown = false;          ///< Nothing was ordered: the daemon lacks the map it builds on.
		std::optional<EngineReport> after; ///< The engine's state after the order, if it was asked.

		bool operator==(const OrderOutcome&) const = default;
	};

	class Engine
	{
	public:
		Engine(http::LoopContext _loop, EngineCodec _codec, std::string _address);

		/// @throws kj::Exception When there is no usable answer in time.
		aio::Task<EngineReport> report();
		aio::Task<EngineCounts> counts();

		/// Never throws for an engine that doesn't answer.
		aio::Task<OrderOutcome> order(EngineOrder _order);

		const std::string& address() const;

	private:
		aio::Task<std::string> get(std::string _target);

		http::LoopContext loop;
		EngineCodec codec;
		std::string engineAddress;
		http::ConnectionPool pool;
	};
} // namespace archdyke::group
