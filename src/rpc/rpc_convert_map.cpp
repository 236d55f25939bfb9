#include "rpc/rpc_convert_map.h"

namespace archdyke
{
	namespace
	{
		void writeProposal(rpc::MapProposal::Builder _to, const GroupProposal& _from)
		{
			const MapProposal& proposal = _from.proposal;
			_to.setGroup(proposal.group);
			_to.setNumber(proposal.number);
			_to.setFence(proposal.fence);
			_to.setFormation(proposal.formation);
			_to.setFromEpoch(proposal.fromEpoch);
			_to.setBoundary(proposal.boundary);
			_to.setDigest(proposal.digest);
			_to.setRank(_from.rank);
			auto peers = _to.initPeers(unsigned(_from.peers.size()));
			for (unsigned index = 0; index < _from.peers.size(); ++index)
			{
				peers.set(index, _from.peers[index]);
			}
		}

		GroupProposal readProposal(rpc::MapProposal::Reader _from)
		{
			GroupProposal group;
			for (const auto peer : _from.getPeers())
			{
				group.peers.emplace_back(peer.cStr());
			}
			group.rank = _from.getRank();
			group.proposal = {_from.getGroup().cStr(), _from.getNumber(), _from.getFence(), _from.getFormation(), _from.getFromEpoch(), _from.getBoundary(), _from.getDigest(), std::uint32_t(group.peers.size())};
			return group;
		}

		/// An unknown vote from a newer version is read as None.
		MapVote fromRpc(rpc::MapVote _vote)
		{
			return rpc::MapVote::YES == _vote ? MapVote::Yes : rpc::MapVote::NO == _vote ? MapVote::No
			                                                                             : MapVote::None;
		}

		rpc::MapVote toRpc(MapVote _vote)
		{
			return MapVote::Yes == _vote ? rpc::MapVote::YES : MapVote::No == _vote ? rpc::MapVote::NO
			                                                                        : rpc::MapVote::NONE;
		}
	} // namespace

	void writeVotes(rpc::MapVotes::Builder _to, const VoteMessage& _from)
	{
		writeProposal(_to.initProposal(), _from.group);
		auto votes = _to.initVotes(unsigned(_from.votes.size()));
		for (unsigned index = 0; index < _from.votes.size(); ++index)
		{
			votes.set(index, toRpc(_from.votes[index]));
		}
		_to.setReleased(_from.released);
	}

	VoteMessage readVotes(rpc::MapVotes::Reader _from)
	{
		VoteMessage message;
		message.group = readProposal(_from.getProposal());
		for (const rpc::MapVote vote : _from.getVotes())
		{
			message.votes.push_back(fromRpc(vote));
		}
		message.released = _from.getReleased();
		return message;
	}

	void writeReport(rpc::RankReport::Builder _to, const RankReport& _from)
	{
		_to.setFormation(_from.state.formation);
		_to.setEpoch(_from.state.epoch);
		_to.setStep(_from.state.step);
		_to.setPending(_from.pending);
		_to.setHighestFence(_from.highestFence);
		_to.setStaged(_from.staged);
		_to.setLoad(_from.load);
		_to.setLastNumber(_from.lastNumber);
	}

	RankReport readReport(rpc::RankReport::Reader _from)
	{
		RankReport report;
		report.state.formation = _from.getFormation();
		report.state.epoch = _from.getEpoch();
		report.state.step = _from.getStep();
		report.pending = _from.getPending();
		report.highestFence = _from.getHighestFence();
		report.staged = _from.getStaged();
		report.load = _from.getLoad().cStr();
		report.lastNumber = _from.getLastNumber();
		return report;
	}
} // namespace archdyke
