/// Commit protocol by which the agents of a group agree on a map switch, so that all ranks use one expert map
/// in every step.
///
/// A planner proposes "from step N on, map e+1". Each agent makes its engine rank either arm for the proposal
/// (the rank then holds at N until it is released) or refuse it permanently, and votes accordingly. If all vote
/// yes, the proposal commits; a single no aborts it. An agent that has received the deciding votes releases its
/// rank and forwards the votes, so after the proposal neither the planner nor the platform is needed.
///
/// Votes are derived from the state of the engine, not of the agent: an agent that restarts recovers its vote by
/// querying the engine.
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

	/// A proposal of a planner. Proposal numbers of a group are never reused and increase with the planner's fencing
	/// token.
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

	/// State reported by an engine rank.
	struct RankState
	{
		std::uint64_t formation = 0;
		std::uint64_t epoch = 0;
		std::uint64_t step = 0;
		std::uint64_t armed = 0;   ///< Number of the proposal that it is armed for; 0: none.
		std::uint64_t floor = 0;   ///< It refuses all proposals up to this number.
		std::uint64_t decided = 0; ///< Last proposal that it was released from.
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

	/// What one agent knows about the latest proposal.
	struct MapSwitch
	{
		std::uint32_t rank = 0;
		std::uint64_t highestFence = 0;
		std::optional<MapProposal> proposal;
		std::vector<MapVote> votes; ///< By rank.
		bool released = false;      ///< The engine has applied the outcome.

		bool operator==(const MapSwitch&) const = default;
	};

	/// An order for the engine rank.
	enum class RankOrder
	{
		None,
		Arm,    ///< Arm for the proposal.
		Refuse, ///< Refuse the proposal permanently.
		Commit, ///< Release the rank onto the new map.
		Abort,  ///< Release the rank on the old map.
		Count
	};

	/// Why a proposal is refused.
	enum class ProposalRefusal
	{
		None,
		OldFence,  ///< A proposal with a higher fencing token was received.
		OldNumber, ///< A later proposal is known.
		Busy,      ///< An earlier proposal is still open.
		Count
	};

	/// Processes a proposal from a planner or from the agent of another rank.
	ProposalRefusal receiveProposal(MapSwitch& _switch, const MapProposal& _proposal);

	/// Processes the state reported by the engine rank and derives the rank's own vote from it.
	void applyRankState(MapSwitch& _switch, const RankState& _rank);

	/// Merges votes that another agent forwarded.
	void mergeVotes(MapSwitch& _switch, std::uint64_t _number, const std::vector<MapVote>& _votes);

	/// @returns The outcome that the votes imply.
	MapOutcome outcomeOf(const MapSwitch& _switch);

	/// @returns The next order for the engine rank, given its current state. An agent releases its rank only once
	/// it knows the outcome.
	RankOrder nextOrder(const MapSwitch& _switch, const RankState& _rank);

	/// @returns Whether the switch is open or the rank hasn't been released yet.
	bool isPending(const MapSwitch& _switch);
} // namespace archdyke
