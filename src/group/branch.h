/// A branch of the tree in which a coordinator looks at its ranks and orders them: some daemons that
/// one process, the coordinator or a relay, speaks with.
#pragma once

#include "group/group_news.h"
#include "group/rank_rpc.h"

namespace archdyke::group
{
	/// Which engines to look at.
	struct BranchQuestion
	{
		Coordination coordination;
		std::vector<std::string> engines; ///< IP:port.
		Millis patienceMs = 0;            ///< Those that haven't answered by then are told as last seen.
		std::size_t counted = 0;          ///< Of how many, the first ones, the counts are asked.

		bool operator==(const BranchQuestion&) const = default;
	};

	/// What a daemon told of its rank.
	struct ChildSight
	{
		std::string engine;
		EngineReport report;
		Millis ageMs = 0; ///< Since its daemon told it, when the branch's answer was made.

		bool operator==(const ChildSight&) const = default;
	};

	/// Choices of several ranks, added up.
	struct ChoiceSum
	{
		std::uint64_t epoch = 0;
		Millis spanMs = 0;                  ///< Longest time in which one of them was made.
		std::vector<std::uint32_t> choices; ///< Set by set; empty: none.

		bool operator==(const ChoiceSum&) const = default;
	};

	struct BranchSight
	{
		Coordination newest; ///< That the branch's process heard of.
		Millis tookMs = 0;   ///< From the question to the answer there.
		std::vector<ChildSight> children;
		ChoiceSum choices;
		GatewayTally gateways; ///< That ask the daemons of the branch.
		HeldVersions held;     ///< What the branch's process has.

		bool operator==(const BranchSight&) const = default;
	};

	/// One order for some engines.
	struct BranchOrder
	{
		Coordination coordination;
		EngineOrder order;
		MapDifference difference; ///< Of a prepare.
		std::vector<std::string> engines;
		Millis patienceMs = 0;
	};

	struct BranchOutcome
	{
		std::vector<std::optional<OrderOutcome>> outcomes; ///< By engine; none: its daemon said nothing.
		Millis tookMs = 0;
		std::vector<ChildSight> children; ///< As seen after the order.

		bool operator==(const BranchOutcome&) const = default;
	};

	BranchQuestion readBranchQuestion(rpc::RankDaemon::RelayParams::Reader _reader);
	void writeBranchQuestion(rpc::RankDaemon::RelayParams::Builder _builder, const BranchQuestion& _question);
	/// @param[in] _engines Of the question.
	BranchSight readBranchSight(rpc::RankDaemon::RelayResults::Reader _reader, const std::vector<std::string>& _engines);
	void writeBranchSight(rpc::RankDaemon::RelayResults::Builder _builder, const BranchSight& _sight, const std::vector<std::string>& _engines);
	BranchOrder readBranchOrder(rpc::RankDaemon::RelayOrdersParams::Reader _reader);
	void writeBranchOrder(rpc::RankDaemon::RelayOrdersParams::Builder _builder, const BranchOrder& _order);
	BranchOutcome readBranchOutcome(rpc::RankDaemon::RelayOrdersResults::Reader _reader, const std::vector<std::string>& _engines);
	void writeBranchOutcome(rpc::RankDaemon::RelayOrdersResults::Builder _builder, const BranchOutcome& _outcome, const std::vector<std::string>& _engines);
} // namespace archdyke::group
