/// News of a group: what its coordinator publishes, and daemons store and pass on to each other and to
/// gateways. The newest news replace older ones, so if a daemon on the way fails, the next message is enough.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "group/coordination.h"
#include "group/engine_codec.h"
#include "store/table_news.h"

namespace archdyke::group
{
	/// The members of a group.
	struct Roster
	{
		std::uint64_t term = 0;           ///< Of the coordinator that made it.
		std::uint64_t version = 0;        ///< Incremented by each change within a term; 0: unknown.
		std::vector<std::string> engines; ///< IP:port by rank; empty for an unknown one.

		bool operator==(const Roster&) const = default;
	};

	/// A rank whose steps take longer or shorter than declared.
	struct RankPace
	{
		std::uint32_t rank = 0;
		double pace = 1.0; ///< Time of a step relative to the declared time.

		bool operator==(const RankPace&) const = default;
	};

	/// Number of gateways that poll some daemons, and their latest proof.
	struct GatewayTally
	{
		std::uint32_t count = 0;
		store::ConfigurationProof proof; ///< The latest one that any of them reported.

		bool operator==(const GatewayTally&) const = default;
	};

	/// @returns The sum of the counts and the later proof.
	GatewayTally merged(const GatewayTally& _a, const GatewayTally& _b);

	/// Load of a rank without a recent report.
	constexpr std::uint8_t kLoadUnknown = 255;

	struct GroupNews
	{
		Coordination coordination;
		std::uint64_t number = 0; ///< Rises within a term; 0: no news yet.
		Millis ageMs = 0;         ///< Since the coordinator made it.
		bool open = true;
		double passMs = 0.0;
		std::uint64_t rosterTerm = 0; ///< Term of the roster that the loads refer to.
		std::uint64_t rosterVersion = 0;
		std::vector<std::uint8_t> loads; ///< Requests running and waiting, by rank.
		std::vector<RankPace> paces;     ///< Ranks whose pace isn't 1.
		std::uint32_t gateways = 0;      ///< Number of gateways that poll daemons of the group.
		store::ConfigurationProof proof; ///< The latest one known in the group.

		bool operator==(const GroupNews&) const = default;
	};

	/// Versions that a receiver already has, so that they aren't sent again.
	struct HeldVersions
	{
		std::uint64_t rosterTerm = 0;
		std::uint64_t rosterVersion = 0;
		store::TableVersions tables;

		bool operator==(const HeldVersions&) const = default;
	};

	/// News as sent to a receiver, with the lists that it lacks.
	struct NewsBundle
	{
		GroupNews news;
		Roster roster; ///< Version 0 if the receiver has it or it doesn't fit into the budget.
		store::TablesNews tables;

		bool operator==(const NewsBundle&) const = default;
	};

	/// State of a daemon's group, as known to the daemon.
	struct GroupState
	{
		/// A gateway that polls this daemon.
		struct Gateway
		{
			Millis askedAt = 0;
			store::ConfigurationProof proof;
		};

		GroupNews news;
		Millis newsAt = 0; ///< Local time at which the news arrived; news.ageMs is their age at that time.
		Roster roster;
		store::FollowedTables tables;
		std::map<std::string, Gateway> gateways;
		std::map<std::uint64_t, RankExperts> maps; ///< The newest maps that were prepared through this daemon, by version.
	};

	/// Applies those parts of the news that are newer than the state.
	void applyNews(GroupState& _groupState, const NewsBundle& _bundle, Millis _now);

	/// @returns The news for a receiver, with the lists that it lacks.
	NewsBundle newsFor(const GroupState& _groupState, const HeldVersions& _held, Millis _now);

	/// @returns The approximate length of a roster on the wire, bytes.
	std::size_t wireBytes(const Roster& _roster);
	/// @returns The approximate length of a table's rows and differences on the wire, bytes.
	std::size_t wireBytes(const store::TableNews& _news);

	/// @returns The versions that this daemon has, for the sender of news.
	HeldVersions heldVersions(const GroupState& _groupState);

	/// Records a gateway's poll and removes gateways that haven't polled recently.
	/// @param[in] _name Empty: the gateway is searching for a group and isn't counted.
	void recordGateway(GroupState& _groupState, const std::string& _name, const store::ConfigurationProof& _proof, Millis _now);

	/// @returns The gateways that polled this daemon recently.
	GatewayTally tallyOf(const GroupState& _groupState, Millis _now);
} // namespace archdyke::group
