/// One expert map in every step: how the agents of a group agree on a switch.
///
/// A planner proposes "from step N on, map e+1". Each agent has its engine rank armed for
/// the proposal (the rank then holds at N until it is released) or refuse it for good, and
/// votes accordingly. All yes commits, one no aborts. Whoever has seen the votes that
/// decide releases its rank and hands the votes on, so that after the proposal neither the
/// planner nor the platform is needed.
///
/// A vote is a fact about the engine, not about the agent: an agent that starts anew finds
/// its vote by asking the engine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace archdyke
{
	enum class MapVote
	{
		None,
		Yes,
		No,
		Count
	};

	/// What a planner proposes. Numbers of proposals of a group never repeat and rise with
	/// the planner's fence.
	struct MapProposal
	{
		std::string group;
		std::uint64_t number = 0;
		std::uint64_t fence = 0;
		std::uint64_t formation = 0;
		std::uint64_t fromEpoch = 0;
		std::uint64_t boundary = 0; ///< First step on the new map.
		std::uint64_t digest = 0;   ///< Of the new map.
		std::uint32_t ranks = 0;

		auto operator<=>(const MapProposal&) const = default;
	};

	/// What an engine rank says of itself.
	struct RankState
	{
		std::uint64_t formation = 0;
		std::uint64_t epoch = 0;
		std::uint64_t step = 0;
		std::uint64_t armed = 0;   ///< Number of the proposal it is armed for; 0 for none.
		std::uint64_t floor = 0;   ///< It arms for no proposal up to this number.
		std::uint64_t decided = 0; ///< Last proposal it was released from.
		bool decidedCommit = false;

		auto operator<=>(const RankState&) const = default;
	};

	enum class MapOutcome
	{
		Open,
		Committed,
		Aborted,
		Count
	};

	/// @returns The name used in logs.
	std::string_view toString(MapOutcome _outcome);

	/// What one agent knows of the latest proposal.
	struct MapSwitch
	{
		std::uint32_t rank = 0;
		std::uint64_t highestFence = 0;
		std::optional<MapProposal> proposal;
		std::vector<MapVote> votes; ///< By rank.
		bool released = false;      ///< The engine took the outcome.

		bool operator==(const MapSwitch&) const = default;
	};

	/// An order for the engine rank.
	enum class RankOrder
	{
		None,
		Arm,    ///< For the proposal.
		Refuse, ///< The proposal, for good.
		Commit, ///< Release it onto the new map.
		Abort,  ///< Release it on the old map.
		Count
	};

	/// Why a proposal isn't taken.
	enum class ProposalRefusal
	{
		None,
		OldFence,  ///< A planner with a higher fence has spoken.
		OldNumber, ///< A later proposal is known.
		Busy,      ///< An earlier one is open.
		Count
	};

	/// Takes in a proposal, from a planner or from the agent of another rank.
	ProposalRefusal hearProposal(MapSwitch& _switch, const MapProposal& _proposal);

	/// Takes in what the engine rank says of itself: finds this rank's own vote.
	void hearRank(MapSwitch& _switch, const RankState& _rank);

	/// Takes in votes that another agent knows.
	void hearVotes(MapSwitch& _switch, std::uint64_t _number, const std::vector<MapVote>& _votes);

	/// @returns What the votes decide.
	MapOutcome outcomeOf(const MapSwitch& _switch);

	/// @returns The next order for the engine rank, whose state was just read. Only an
	/// agent that knows the outcome releases its rank.
	RankOrder nextOrder(const MapSwitch& _switch, const RankState& _rank);

	/// @returns Whether the switch is open or its rank not yet released.
	bool isPending(const MapSwitch& _switch);
} // namespace archdyke
