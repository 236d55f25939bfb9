/// A client of the daemon beside one engine rank. Connects on first use, and reconnects after a
/// failure.
#pragma once

#include "group/branch.h"
#include "rpc/rpc_client.h"

namespace archdyke::group
{
	/// A daemon's response to a poll.
	struct Observation
	{
		Coordination newest;
		RankReport report;
		GatewayTally gateways; ///< Gateways that poll this daemon.
		HeldVersions held;

		bool operator==(const Observation&) const = default;
	};

	/// A gateway's request for news.
	struct NewsRequest
	{
		std::string gateway; ///< Its name.
		HeldVersions held;
		store::ConfigurationProof proof; ///< The gateway's latest proof.

		bool operator==(const NewsRequest&) const = default;
	};

	/// A daemon's response to a gateway's request for news.
	struct NewsResponse
	{
		Coordination newest; ///< Names the group even if no coordinator was heard.
		NewsBundle bundle;

		bool operator==(const NewsResponse&) const = default;
	};

	/// A daemon's response to a join request: what it knows of the coordinator.
	struct JoinResponse
	{
		Coordination newest;
		bool coordinates = false; ///< The daemon is the coordinator of the group and reaches the store.
		Millis heardMsAgo = 0;    ///< Time since the daemon heard a coordinator that reaches the store.

		bool operator==(const JoinResponse&) const = default;
	};

	class RankLink
	{
	public:
		/// @param[in] _address "IP:port" of the daemon.
		RankLink(http::LoopContext _loop, std::string _address);

		/// All of these throw kj::Exception if there is no response in time.
		/// @param[in] _sample The last sample of counts that the caller has, 0 for none.
		aio::Task<Observation> observe(Coordination _coordination, bool _counts, std::uint64_t _sample, NewsBundle _bundle, Millis _timeoutMs);
		aio::Task<BranchSnapshot> relay(BranchQuery _query, NewsBundle _bundle, Millis _timeoutMs);
		aio::Task<OrderOutcome> order(Coordination _coordination, EngineOrder _order, MapDifference _difference, Millis _timeoutMs);
		aio::Task<BranchOutcome> relayOrders(BranchOrder _order, Millis _timeoutMs);
		aio::Task<NewsResponse> news(NewsRequest _query, Millis _timeoutMs);
		aio::Task<JoinResponse> join(std::string _engine, std::string _group, Millis _timeoutMs);

		const std::string& address() const;

		bool isConnected() const;

		/// Closes the connection once the calls on it have ended. The next call connects again.
		void disconnect();

	private:
		struct Connection
		{
			kj::Own<kj::AsyncIoStream> stream;
			kj::Own<RpcClient> client;
			rpc::RankDaemon::Client daemon;
		};

		/// @returns The current connection, or a new one.
		aio::Task<std::shared_ptr<Connection>> connect(Millis _timeoutMs);

		/// Waits for a response and drops the connection if none arrives in time.
		template <typename T>
		aio::Task<T> withTimeout(kj::Promise<T> _answer, std::shared_ptr<Connection> _connection, Millis _timeoutMs);

		http::LoopContext loop;
		std::string daemonAddress;
		std::shared_ptr<Connection> connection;
	};
} // namespace archdyke::group
