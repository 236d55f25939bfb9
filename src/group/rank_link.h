/// A connection to the daemon beside one engine rank. Connects when first used, and again
/// after a failure.
#pragma once

#include <capnp/rpc-twoparty.h>

#include "group/rank_rpc.h"

namespace archdyke::group
{
	/// What a rank's daemon answers a coordinator.
	struct Observation
	{
		Coordination newest;
		RankReport report;

		bool operator==(const Observation&) const = default;
	};

	class RankLink
	{
	public:
		/// @param[in] _address "IP:port" of the daemon.
		RankLink(http::LoopParts _loop, std::string _address);

		/// All three throw kj::Exception when there is no answer in time.
		/// @param[in] _sample The last sample of counts that is held, 0 for none.
		aio::Task<Observation> observe(Coordination _coordination, bool _counts, std::uint64_t _sample, Millis _timeoutMs);
		aio::Task<OrderOutcome> order(Coordination _coordination, EngineOrder _order, MapDifference _difference, Millis _timeoutMs);
		aio::Task<GroupLoads> loads(LoadsQuestion _question, Millis _timeoutMs);

		const std::string& address() const;

	private:
		struct Connection
		{
			kj::Own<kj::AsyncIoStream> stream;
			kj::Own<capnp::TwoPartyClient> client;
			rpc::RankDaemon::Client daemon;
		};

		/// @returns The connection, made when there is none.
		aio::Task<std::shared_ptr<Connection>> connect(Millis _timeoutMs);

		/// Waits for an answer; a connection that doesn't bring one is given up.
		template <typename T>
		aio::Task<T> within(kj::Promise<T> _answer, std::shared_ptr<Connection> _connection, Millis _timeoutMs);

		http::LoopParts loop;
		std::string daemonAddress;
		std::shared_ptr<Connection> connection;
	};
} // namespace archdyke::group
