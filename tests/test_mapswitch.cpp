/// Explores all states of the map switch protocol. A sent message may arrive at any time, any number of times, or
/// never, and agents may crash at any time. So an agent acts on any subset of the votes ever sent. Its memory
/// needn't be part of the state: losing it in a crash is equivalent to a message that hasn't arrived.
#include <cstdio>
#include <deque>
#include <set>

#include "archdyke/mapswitch.h"
#include "check.h"

using namespace archdyke;

namespace
{
	/// Protocol rules that can be disabled one at a time to check that the exploration finds the resulting fault.
	enum class DisabledRule
	{
		None,
		HoldAtBoundary,     ///< When disabled, a rank enters N although it is armed.
		RefusalIsPermanent, ///< When disabled, the engine loses its floor.
		ArmBeforeBoundary   ///< When disabled, an engine can be armed after it has entered N.
	};

	/// The part of an engine rank that matters for the switch. Step N is modelled as either not entered or entered.
	struct Rank
	{
		RankState state;
		int entered = -1;       ///< Map on which it entered N; -1: before N.
		std::uint64_t next = 0; ///< Map it will switch to at N; 0 for the old one.

		auto operator<=>(const Rank&) const = default;
	};

	/// A rank's own vote, as sent by its agent.
	struct SentVote
	{
		std::uint64_t number;
		std::uint32_t rank;
		MapVote vote;

		auto operator<=>(const SentVote&) const = default;
	};

	struct World
	{
		std::vector<Rank> ranks;
		std::set<SentVote> sent;

		auto operator<=>(const World&) const = default;
	};

	struct Explorer
	{
		std::uint32_t ranks;
		std::uint64_t proposals;
		DisabledRule disabledRule;
		std::size_t states = 0;
		bool violated = false;
		bool committedSeen = false;
		bool abortedSeen = false;

		/// @returns An agent that knows a proposal and some of the votes sent for it.
		MapSwitch agentOf(const World& _world, std::uint32_t _rank, std::uint64_t _number, const std::vector<MapVote>& _heard) const
		{
			MapSwitch agent;
			agent.rank = _rank;
			receiveProposal(agent, {"g", _number, _number, 1, 0, 2, _number, this->ranks});
			mergeVotes(agent, _number, _heard);
			applyRankState(agent, this->seen(_world, _rank));
			return agent;
		}

		/// @returns The state that an agent reads from its engine.
		RankState seen(const World& _world, std::uint32_t _rank) const
		{
			RankState state = _world.ranks[_rank].state;
			state.step = DisabledRule::ArmBeforeBoundary == this->disabledRule ? 0 : state.step;
			return state;
		}

		void applyOrder(Rank& _rank, RankOrder _order, std::uint64_t _number) const
		{
			const bool past = -1 != _rank.entered && DisabledRule::ArmBeforeBoundary != this->disabledRule;
			const bool open = 0 == _rank.state.armed && 0 == _rank.next && _number > _rank.state.floor && _number > _rank.state.decided;
			if (RankOrder::Arm == _order && open && !past)
			{
				_rank.state.armed = _number;
			}
			if (RankOrder::Refuse == _order && _rank.state.armed != _number)
			{
				_rank.state.floor = std::max(_rank.state.floor, _number);
			}
			if (RankOrder::Commit == _order || RankOrder::Abort == _order)
			{
				_rank.state.armed = 0;
				_rank.state.decided = _number;
				_rank.state.decidedCommit = RankOrder::Commit == _order;
				_rank.next = RankOrder::Commit == _order ? _number : _rank.next;
			}
		}

		/// @returns The world after an order, including the vote that the agent may then send.
		World afterOrder(const World& _world, std::uint32_t _rank, RankOrder _order, std::uint64_t _number) const
		{
			World next = _world;
			this->applyOrder(next.ranks[_rank], _order, _number);
			const MapVote vote = this->agentOf(next, _rank, _number, {}).votes[_rank];
			if (MapVote::None != vote)
			{
				next.sent.insert({_number, _rank, vote});
			}
			return next;
		}

		void act(const World& _world, std::uint32_t _rank, std::uint64_t _number, const std::vector<MapVote>& _heard, std::vector<World>& _next) const
		{
			const MapSwitch agent = this->agentOf(_world, _rank, _number, _heard);
			const RankOrder order = nextOrder(agent, this->seen(_world, _rank));
			if (RankOrder::None == order)
			{
				return;
			}
			_next.push_back(this->afterOrder(_world, _rank, order, _number));
			if (RankOrder::Arm == order)
			{
				// The engine may be unable to arm, for example while the map isn't staged.
				_next.push_back(this->afterOrder(_world, _rank, RankOrder::Refuse, _number));
			}
		}

		/// Calls act with every subset of the votes sent by the other ranks.
		void actOnSubsets(const World& _world, std::uint32_t _rank, std::uint64_t _number, std::uint32_t _other, std::vector<MapVote>& _heard, std::vector<World>& _next) const
		{
			if (_other == this->ranks)
			{
				this->act(_world, _rank, _number, _heard, _next);
				return;
			}
			for (const MapVote vote : {MapVote::None, MapVote::Yes, MapVote::No})
			{
				const bool possible = MapVote::None == vote || (_other != _rank && _world.sent.contains({_number, _other, vote}));
				if (possible)
				{
					_heard[_other] = vote;
					this->actOnSubsets(_world, _rank, _number, _other + 1, _heard, _next);
				}
			}
			_heard[_other] = MapVote::None;
		}

		/// The rank enters N on its current map, unless it is held.
		void enter(const World& _world, std::uint32_t _rank, std::vector<World>& _next) const
		{
			const Rank& rank = _world.ranks[_rank];
			const bool isHeld = 0 != rank.state.armed && DisabledRule::HoldAtBoundary != this->disabledRule;
			if (-1 == rank.entered && !isHeld)
			{
				World next = _world;
				next.ranks[_rank].entered = int(rank.next);
				next.ranks[_rank].state.step = 2;
				_next.push_back(std::move(next));
			}
		}

		std::vector<World> successors(const World& _world) const
		{
			std::vector<World> next;
			for (std::uint32_t rank = 0; rank < this->ranks; ++rank)
			{
				for (std::uint64_t number = 1; number <= this->proposals; ++number)
				{
					std::vector<MapVote> heard(this->ranks, MapVote::None);
					this->actOnSubsets(_world, rank, number, 0, heard, next);
				}
				this->enter(_world, rank, next);
				if (DisabledRule::RefusalIsPermanent == this->disabledRule)
				{
					World forgotten = _world;
					forgotten.ranks[rank].state.floor = 0;
					next.push_back(std::move(forgotten));
				}
			}
			return next;
		}

		void check(const World& _world)
		{
			std::set<int> maps;
			for (const Rank& rank : _world.ranks)
			{
				if (-1 != rank.entered)
				{
					maps.insert(rank.entered);
				}
				this->committedSeen = this->committedSeen || 0 < rank.entered;
				this->abortedSeen = this->abortedSeen || (0 != rank.state.decided && !rank.state.decidedCommit);
			}
			this->violated = this->violated || 1 < maps.size();
		}

		void explore(std::size_t _limit)
		{
			World start;
			start.ranks.resize(this->ranks);
			for (Rank& rank : start.ranks)
			{
				rank.state.formation = 1;
			}
			std::set<World> seen{start};
			std::deque<World> open{start};
			while (!open.empty() && seen.size() < _limit && !this->violated)
			{
				const World world = std::move(open.front());
				open.pop_front();
				this->check(world);
				for (World& next : this->successors(world))
				{
					if (seen.insert(next).second)
					{
						open.push_back(std::move(next));
					}
				}
			}
			this->states = seen.size();
		}
	};

	Explorer explored(std::uint32_t _ranks, std::uint64_t _proposals, DisabledRule _disabledRule, std::size_t _limit)
	{
		Explorer explorer{_ranks, _proposals, _disabledRule};
		explorer.explore(_limit);
		std::printf("ranks %u, proposals %d, disabled rule %d: %zu states, violated %d\n", _ranks, int(_proposals), int(_disabledRule), explorer.states, int(explorer.violated));
		return explorer;
	}

	constexpr std::size_t kMaxStates = 1'500'000;

	void expectSafe(std::uint32_t _ranks, std::uint64_t _proposals)
	{
		const Explorer explorer = explored(_ranks, _proposals, DisabledRule::None, kMaxStates);
		cr_assert(!explorer.violated);
		cr_assert(explorer.states < kMaxStates, "the exploration was cut short");
		cr_assert(explorer.committedSeen && explorer.abortedSeen);
	}
} // namespace

Test(mapswitch, two_ranks_two_proposals_never_split)
{
	expectSafe(2, 2);
}

Test(mapswitch, three_ranks_two_proposals_never_split)
{
	expectSafe(3, 2);
}

Test(mapswitch, four_ranks_two_proposals_never_split)
{
	expectSafe(4, 2);
}

Test(mapswitch, three_ranks_three_proposals_never_split)
{
	expectSafe(3, 3);
}

Test(mapswitch, without_the_hold_the_group_splits)
{
	cr_assert(explored(2, 1, DisabledRule::HoldAtBoundary, kMaxStates).violated);
}

Test(mapswitch, a_forgotten_refusal_splits_the_group)
{
	cr_assert(explored(2, 1, DisabledRule::RefusalIsPermanent, kMaxStates).violated);
}

Test(mapswitch, a_vote_after_entering_splits_the_group)
{
	cr_assert(explored(2, 1, DisabledRule::ArmBeforeBoundary, kMaxStates).violated);
}

Test(mapswitch, an_old_planner_and_a_busy_agent_are_refused)
{
	MapSwitch agent;
	cr_assert(ProposalRefusal::None == receiveProposal(agent, {"g", 5, 2, 1, 0, 10, 1, 2}));
	cr_assert(ProposalRefusal::None == receiveProposal(agent, {"g", 5, 2, 1, 0, 10, 1, 2}));
	cr_assert(ProposalRefusal::OldFence == receiveProposal(agent, {"g", 6, 1, 1, 0, 10, 1, 2}));
	cr_assert(ProposalRefusal::OldNumber == receiveProposal(agent, {"g", 4, 2, 1, 0, 10, 1, 2}));
	cr_assert(ProposalRefusal::Busy == receiveProposal(agent, {"g", 7, 3, 1, 0, 10, 1, 2}));
	mergeVotes(agent, 5, {MapVote::None, MapVote::No});
	RankState rank;
	rank.floor = 5;
	applyRankState(agent, rank);
	cr_assert(ProposalRefusal::None == receiveProposal(agent, {"g", 7, 3, 1, 0, 10, 1, 2}));
}

Test(mapswitch, a_no_overrides_an_earlier_yes)
{
	MapSwitch agent;
	receiveProposal(agent, {"g", 5, 2, 1, 0, 10, 1, 3});
	mergeVotes(agent, 5, {MapVote::None, MapVote::Yes, MapVote::Yes});
	mergeVotes(agent, 5, {MapVote::None, MapVote::No, MapVote::None});
	mergeVotes(agent, 5, {MapVote::None, MapVote::Yes, MapVote::None});
	cr_assert(MapOutcome::Aborted == outcomeOf(agent));
}
