/// Messages of a branch of the tree through which a coordinator polls its ranks and sends them orders.
/// The daemons of a branch are contacted by one process, the coordinator or a relay.
#pragma once

#include "group/group_news.h"
#include "group/rank_rpc.h"

namespace archdyke::group
{
	/// A request to poll the daemons of some engines.
	struct BranchQuery
	{
		Coordination coordination;
		std::vector<std::string> engines;  ///< IP:port.
		Millis maxWaitMs = 0;              ///< For daemons that haven't responded by then the last report is returned.
		std::size_t enginesWithCounts = 0; ///< How many engines, from the first one on, are asked for counts.

		bool operator==(const BranchQuery&) const = default;
	};

	/// The last report of a daemon about its rank.
	struct ChildSnapshot
	{
		std::string engine;
		EngineReport report;
		Millis ageMs = 0; ///< Age of the report when the branch's response was made.

		bool operator==(const ChildSnapshot&) const = default;
	};

	/// Sum of the expert choices of several ranks.
	struct ChoiceSum
	{
		std::uint64_t epoch = 0;
		Millis spanMs = 0;                  ///< Longest period that one of the samples covers.
		std::vector<std::uint32_t> choices; ///< Set by set; empty: none.

		bool operator==(const ChoiceSum&) const = default;
	};

	/// The response to a branch query.
	struct BranchSnapshot
	{
		Coordination newest; ///< The newest coordinator that the branch's process knows.
		Millis tookMs = 0;   ///< Time between query and response in the branch's process.
		std::vector<ChildSnapshot> children;
		ChoiceSum choices;
		GatewayTally gateways; ///< Gateways that poll the daemons of the branch.
		HeldVersions held;     ///< Versions that the branch's process has.

		bool operator==(const BranchSnapshot&) const = default;
	};

	/// One order for several engines.
	struct BranchOrder
	{
		Coordination coordination;
		EngineOrder order;
		MapDifference difference; ///< Only for a prepare order.
		std::vector<std::string> engines;
		Millis maxWaitMs = 0;
	};

	struct BranchOutcome
	{
		std::vector<std::optional<OrderOutcome>> outcomes; ///< By engine; none: its daemon didn't respond.
		Millis tookMs = 0;
		std::vector<ChildSnapshot> children; ///< Reports after the order.

		bool operator==(const BranchOutcome&) const = default;
	};

	BranchQuery readBranchQuery(rpc::RankDaemon::RelayParams::Reader _reader);
	void writeBranchQuery(rpc::RankDaemon::RelayParams::Builder _builder, const BranchQuery& _query);
	/// @param[in] _engines The engines of the query.
	BranchSnapshot readBranchSnapshot(rpc::RankDaemon::RelayResults::Reader _reader, const std::vector<std::string>& _engines);
	void writeBranchSnapshot(rpc::RankDaemon::RelayResults::Builder _builder, const BranchSnapshot& _snapshot, const std::vector<std::string>& _engines);
	BranchOrder readBranchOrder(rpc::RankDaemon::RelayOrdersParams::Reader _reader);
	void writeBranchOrder(rpc::RankDaemon::RelayOrdersParams::Builder _builder, const BranchOrder& _order);
	BranchOutcome readBranchOutcome(rpc::RankDaemon::RelayOrdersResults::Reader _reader, const std::vector<std::string>& _engines);
	void writeBranchOutcome(rpc::RankDaemon::RelayOrdersResults::Builder _builder, const BranchOutcome& _outcome, const std::vector<std::string>& _engines);
} // namespace archdyke::group
