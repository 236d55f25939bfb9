/// A connection to the daemon beside one engine rank. Connects when first used, and again
/// after a failure.
#pragma once

#include <capnp/rpc-twoparty.h>

#include "group/branch.h"

namespace archdyke::group
{
	/// What a rank's daemon answers to one that looks at it.
	struct Observation
	{
		Coordination newest;
		RankReport report;
		GatewayTally gateways; ///< That ask this daemon.
		HeldVersions held;

		bool operator==(const Observation&) const = default;
	};

	/// What a gateway asks a daemon.
	struct NewsQuestion
	{
		std::string gateway; ///< Its name.
		HeldVersions held;
		store::ConfigurationProof proof; ///< The latest that it has.

		bool operator==(const NewsQuestion&) const = default;
	};

	/// What a daemon tells a gateway.
	struct NewsAnswer
	{
		Coordination newest; ///< Names the group also while no coordinator was heard.
		NewsBundle bundle;

		bool operator==(const NewsAnswer&) const = default;
	};

	/// What a daemon says of the coordinator when another one asks.
	struct JoinAnswer
	{
		Coordination newest;
		bool coordinates = false; ///< It is the coordinator of the group, and reaches the store.
		Millis heardMsAgo = 0;    ///< Since it heard a coordinator that reaches the store.

		bool operator==(const JoinAnswer&) const = default;
	};

	class RankLink
	{
	public:
		/// @param[in] _address "IP:port" of the daemon.
		RankLink(http::LoopContext _loop, std::string _address);

		/// All throw kj::Exception when there is no answer in time.
		/// @param[in] _sample The last sample of counts that is held, 0 for none.
		aio::Task<Observation> observe(Coordination _coordination, bool _counts, std::uint64_t _sample, NewsBundle _bundle, Millis _timeoutMs);
		aio::Task<BranchSight> relay(BranchQuestion _question, NewsBundle _bundle, Millis _timeoutMs);
		aio::Task<OrderOutcome> order(Coordination _coordination, EngineOrder _order, MapDifference _difference, Millis _timeoutMs);
		aio::Task<BranchOutcome> relayOrders(BranchOrder _order, Millis _timeoutMs);
		aio::Task<NewsAnswer> news(NewsQuestion _question, Millis _timeoutMs);
		aio::Task<JoinAnswer> join(std::string _engine, std::string _group, Millis _timeoutMs);

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

		http::LoopContext loop;
		std::string daemonAddress;
		std::shared_ptr<Connection> connection;
	};
} // namespace archdyke::group
