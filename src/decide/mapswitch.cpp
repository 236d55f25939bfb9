#include "archdyke/mapswitch.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		/// @returns The rank's vote as shown by the state of its engine.
		MapVote voteFromState(const MapProposal& _proposal, const RankState& _rank)
		{
			if (_rank.armed == _proposal.number)
			{
				return MapVote::Yes;
			}
			if (_rank.decided == _proposal.number)
			{
				// A rank is released on the old map only after another rank refused. Its own yes no longer
				// matters, and voting no preserves the outcome.
				return _rank.decidedCommit ? MapVote::Yes : MapVote::No;
			}
			return _proposal.number <= _rank.floor ? MapVote::No : MapVote::None;
		}

		bool canArm(const MapProposal& _proposal, const RankState& _rank)
		{
			return 0 == _rank.armed && _rank.formation == _proposal.formation && _rank.epoch == _proposal.fromEpoch && _rank.step + 1 < _proposal.boundary;
		}
	} // namespace

	std::string_view toString(MapOutcome _outcome)
	{
		switch (_outcome)
		{
		case MapOutcome::Open:
			return "open";
		case MapOutcome::Committed:
			return "committed";
		default:
			return "aborted";
		}
	}

	ProposalRefusal receiveProposal(MapSwitch& _switch, const MapProposal& _proposal)
	{
		if (_switch.proposal && _proposal.number == _switch.proposal->number)
		{
			return ProposalRefusal::None;
		}
		if (_proposal.fence < _switch.highestFence)
		{
			return ProposalRefusal::OldFence;
		}
		if (_switch.proposal && _proposal.number < _switch.proposal->number)
		{
			return ProposalRefusal::OldNumber;
		}
		if (isPending(_switch))
		{
			return ProposalRefusal::Busy;
		}
		_switch.highestFence = _proposal.fence;
		_switch.proposal = _proposal;
		_switch.votes.assign(_proposal.ranks, MapVote::None);
		_switch.released = false;
		return ProposalRefusal::None;
	}

	void applyRankState(MapSwitch& _switch, const RankState& _rank)
	{
		if (!_switch.proposal)
		{
			return;
		}
		const MapVote vote = voteFromState(*_switch.proposal, _rank);
		if (_rank.decided == _switch.proposal->number && _rank.decidedCommit)
		{
			// A rank is released onto the new map only after all ranks voted yes.
			_switch.votes.assign(_switch.votes.size(), MapVote::Yes);
		}
		if (MapVote::None != vote)
		{
			_switch.votes[_switch.rank] = vote;
		}
		const bool notArmed = _rank.armed != _switch.proposal->number;
		_switch.released = MapVote::None != vote && notArmed;
	}

	void mergeVotes(MapSwitch& _switch, std::uint64_t _number, const std::vector<MapVote>& _votes)
	{
		if (!_switch.proposal || _number != _switch.proposal->number)
		{
			return;
		}
		for (std::size_t rank = 0; rank < std::min(_votes.size(), _switch.votes.size()); ++rank)
		{
			// A no is final and overrides an earlier yes; the own vote is derived from the engine only.
			const bool isNew = MapVote::None == _switch.votes[rank] || MapVote::No == _votes[rank];
			if (rank != _switch.rank && isNew && MapVote::None != _votes[rank])
			{
				_switch.votes[rank] = _votes[rank];
			}
		}
	}

	MapOutcome outcomeOf(const MapSwitch& _switch)
	{
		const auto is = [&](MapVote _vote) {
			return [_vote](MapVote _other) {
				return _vote == _other;
			};
		};
		if (std::any_of(_switch.votes.begin(), _switch.votes.end(), is(MapVote::No)))
		{
			return MapOutcome::Aborted;
		}
		const bool all = !_switch.votes.empty() && std::all_of(_switch.votes.begin(), _switch.votes.end(), is(MapVote::Yes));
		return all ? MapOutcome::Committed : MapOutcome::Open;
	}

	RankOrder nextOrder(const MapSwitch& _switch, const RankState& _rank)
	{
		if (!_switch.proposal)
		{
			return RankOrder::None;
		}
		const MapProposal& proposal = *_switch.proposal;
		if (MapVote::None == voteFromState(proposal, _rank))
		{
			const bool aborted = MapOutcome::Aborted == outcomeOf(_switch);
			return !aborted && canArm(proposal, _rank) ? RankOrder::Arm : RankOrder::Refuse;
		}
		if (_rank.armed != proposal.number)
		{
			return RankOrder::None;
		}
		switch (outcomeOf(_switch))
		{
		case MapOutcome::Committed:
			return RankOrder::Commit;
		case MapOutcome::Aborted:
			return RankOrder::Abort;
		default:
			return RankOrder::None;
		}
	}

	bool isPending(const MapSwitch& _switch)
	{
		return _switch.proposal && (MapOutcome::Open == outcomeOf(_switch) || !_switch.released);
	}
} // namespace archdyke
