/// What a coordinator tells of its group, as daemons keep it and pass it on: newest wins, with its
/// age, so that a daemon that is lost on the way costs no more than the next message.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "group/coordination.h"
#include "store/table_news.h"

namespace archdyke::group
{
	/// Who is in a group.
	struct Roster
	{
		std::uint64_t term = 0;           ///< Of the coordinator that made it.
		std::uint64_t version = 0;        ///< Rises with each change within a term; 0: unknown.
		std::vector<std::string> engines; ///< IP:port by rank; empty for one that isn't known.

		bool operator==(const Roster&) const = default;
	};

	/// A rank whose steps don't take the declared time.
	struct RankPace
	{
		std::uint32_t rank = 0;
		double pace = 1.0; ///< Time of a step against the declared one.

		bool operator==(const RankPace&) const = default;
	};

	/// The gateways that ask some daemons, summed up.
	struct GatewayTally
	{
		std::uint32_t count = 0;
		store::ConfigurationProof proof; ///< The latest that any of them told.

		bool operator==(const GatewayTally&) const = default;
	};

	/// @returns Both together.
	GatewayTally merged(const GatewayTally& _a, const GatewayTally& _b);

	/// Load told for a rank that wasn't heard lately.
	constexpr std::uint8_t kLoadUnknown = 255;

	struct GroupNews
	{
		Coordination coordination;
		std::uint64_t number = 0; ///< Rises within a term; 0: nothing is known.
		Millis ageMs = 0;         ///< Since the coordinator made it.
		bool open = true;
		double passMs = 0.0;
		std::uint64_t rosterTerm = 0; ///< Of the roster that the loads are for.
		std::uint64_t rosterVersion = 0;
		std::vector<std::uint8_t> loads; ///< Requests running and waiting, by rank.
		std::vector<RankPace> paces;     ///< Ranks that aren't as declared.
		std::uint32_t gateways = 0;      ///< That ask the daemons of the group.
		store::ConfigurationProof proof; ///< The latest that is known in the group.

		bool operator==(const GroupNews&) const = default;
	};

	/// What somebody has already, so that he isn't told again.
	struct HeldVersions
	{
		std::uint64_t rosterTerm = 0;
		std::uint64_t rosterVersion = 0;
		store::TableVersions tables;

		bool operator==(const HeldVersions&) const = default;
	};

	/// News as they are sent, with what the receiver lacks.
	struct NewsBundle
	{
		GroupNews news;
		Roster roster; ///< Version 0 when the receiver has it.
		store::TablesNews tables;

		bool operator==(const NewsBundle&) const = default;
	};

	/// What a daemon knows of its group.
	struct GroupKnowledge
	{
		/// A gateway that asks this daemon.
		struct Gateway
		{
			Millis askedAt = 0;
			store::ConfigurationProof proof;
		};

		GroupNews news;
		Millis newsAt = 0; ///< Own clock when they came; their age counted from then.
		Roster roster;
		store::FollowedTables tables;
		std::map<std::string, Gateway> gateways;
	};

	/// Takes in what is newer than what is known.
	void mergeNews(GroupKnowledge& _knowledge, const NewsBundle& _bundle, Millis _now);

	/// @returns What is told to one who holds some of it.
	NewsBundle newsFor(const GroupKnowledge& _knowledge, const HeldVersions& _held, Millis _now);

	/// @returns About how long it is on the wire, bytes.
	std::size_t bytesOf(const Roster& _roster);
	/// @returns The same of what a table's news bring, apart from saying up to where it is known.
	std::size_t bytesOf(const store::TableNews& _news);

	/// @returns What is held, to be told to the one who tells news.
	HeldVersions heldOf(const GroupKnowledge& _knowledge);

	/// Notes that a gateway asked; those that haven't for a while are forgotten.
	/// @param[in] _name Empty: it looks for a group, and isn't to be counted here.
	void noteGateway(GroupKnowledge& _knowledge, const std::string& _name, const store::ConfigurationProof& _proof, Millis _now);

	/// @returns The gateways that asked this daemon lately.
	GatewayTally tallyOf(const GroupKnowledge& _knowledge, Millis _now);
} // namespace archdyke::group
