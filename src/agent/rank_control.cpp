#include "agent/rank_control.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "archdyke/errors.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		/// Between two looks at the engine while a proposal is open, ms.
		constexpr Millis kTickMs = 15;
		/// After this long without an outcome, agents ask each other and not only rank 0, ms.
		constexpr Millis kAskAllMs = 150;
		constexpr std::uint32_t kFirstRank = 0;

		GroupProposal readContext(const std::string& _context)
		{
			const nlohmann::json json = nlohmann::json::parse(_context);
			GroupProposal group;
			group.peers = json.at("peers").get<std::vector<std::string>>();
			group.rank = json.at("rank");
			group.proposal = {json.at("group"), json.at("number"), json.at("fence"), json.at("formation"), json.at("fromEpoch"), json.at("boundary"), json.at("digest"), std::uint32_t(group.peers.size())};
			return group;
		}
	} // namespace

	RankControl::RankControl(const UpstreamSettings& _settings, RpcLoop& _loop, Metrics& _metrics)
	    : engine(_settings.address)
	    , sender(_loop)
	    , committed(_metrics.counter("archdyke_agent_map_switches_total", "Map switches by outcome.", {{"outcome", "committed"}}))
	    , aborted(_metrics.counter("archdyke_agent_map_switches_total", "Map switches by outcome.", {{"outcome", "aborted"}}))
	    , random(randomId())
	    , thread([this] {
		    this->work();
	    })
	{
	}

	RankControl::~RankControl()
	{
		this->stop();
	}

	void RankControl::stop()
	{
		{
			absl::MutexLock lock(&this->mutex);
			this->stopping = true;
		}
		if (this->thread.joinable())
		{
			this->thread.join();
		}
	}

	void RankControl::post(Job _job)
	{
		absl::MutexLock lock(&this->mutex);
		this->jobs.push_back(std::move(_job));
	}

	std::string RankControl::describe()
	{
		absl::MutexLock lock(&this->mutex);
		return this->description;
	}

	VoteMessage RankControl::messageFor(std::uint32_t _rank) const
	{
		return {{*this->known.proposal, this->peers, _rank}, this->known.votes, this->known.released};
	}

	/// Reads the engine; its answer is the only source of this rank's vote.
	void RankControl::refresh()
	{
		applyRankState(this->known, this->engine.read(nullptr, nullptr, nullptr));
	}

	/// An agent that starts anew finds an open proposal by what its engine is armed for.
	void RankControl::recover()
	{
		std::string context;
		const RankState state = this->engine.read(nullptr, &context, nullptr);
		if (0 == state.armed || context.empty())
		{
			return;
		}
		const GroupProposal group = readContext(context);
		this->known.rank = group.rank;
		receiveProposal(this->known, group.proposal);
		this->peers = group.peers;
		this->peerReleased.assign(this->peers.size(), false);
		this->openedAt = nowMs();
		applyRankState(this->known, state);
		logInfo("map_recovered", {{"number", group.proposal.number}});
	}

	RankReport RankControl::makeReport(bool _withLoad)
	{
		RankReport report;
		report.state = this->engine.read(_withLoad ? &report.load : nullptr, nullptr, &report.staged);
		report.pending = isPending(this->known) || 0 != report.state.armed;
		report.highestFence = this->known.highestFence;
		report.lastNumber = std::max({this->known.proposal ? this->known.proposal->number : 0, report.state.armed, report.state.floor, report.state.decided});
		return report;
	}

	void RankControl::report(bool _withLoad, std::function<void(std::optional<RankReport>)> _done)
	{
		this->post([this, _withLoad, done = std::move(_done)] {
			try
			{
				done(this->makeReport(_withLoad));
			}
			catch (const ArchdykeError&)
			{
				done(std::nullopt);
			}
		});
	}

	void RankControl::stage(std::uint64_t _fence, const std::string& _map, std::function<void(bool, std::optional<RankReport>)> _done)
	{
		this->post([this, _fence, map = _map, done = std::move(_done)] {
			try
			{
				// Also for engines that check no fence.
				const bool old = _fence < this->known.highestFence;
				this->known.highestFence = std::max(this->known.highestFence, _fence);
				const bool staged = !old && this->engine.stage(_fence, map);
				done(staged, this->makeReport(false));
			}
			catch (const ArchdykeError&)
			{
				done(false, std::nullopt);
			}
		});
	}

	void RankControl::hear(const VoteMessage& _message, std::function<void(const VoteReply&)> _done)
	{
		this->post([this, message = _message, done = std::move(_done)] {
			const bool isNew = !this->known.proposal || message.group.proposal.number != this->known.proposal->number;
			VoteReply reply;
			reply.refusal = receiveProposal(this->known, message.group.proposal);
			if (ProposalRefusal::None == reply.refusal)
			{
				if (isNew)
				{
					this->known.rank = message.group.rank;
					this->peers = message.group.peers;
					this->peerReleased.assign(this->peers.size(), false);
					this->openedAt = nowMs();
				}
				mergeVotes(this->known, message.group.proposal.number, message.votes);
				this->advance();
			}
			if (this->known.proposal)
			{
				reply.theirs = this->messageFor(this->known.rank);
			}
			done(reply);
		});
	}

	/// Moves the engine on as far as what is known allows.
	void RankControl::advance()
	{
		if (!this->known.proposal)
		{
			return;
		}
		try
		{
			const GroupProposal group{*this->known.proposal, this->peers, this->known.rank};
			for (int orders = 0; orders < 3; ++orders)
			{
				const RankState state = this->engine.read(nullptr, nullptr, nullptr);
				applyRankState(this->known, state);
				const RankOrder order = nextOrder(this->known, state);
				if (RankOrder::None == order)
				{
					break;
				}
				const bool done = this->engine.order(order, group);
				if (RankOrder::Arm == order && !done)
				{
					this->engine.order(RankOrder::Refuse, group);
				}
			}
			this->refresh();
			this->logOutcome();
		}
		catch (const ArchdykeError&)
		{
			// The next tick tries again; until then no vote is told.
		}
	}

	void RankControl::logOutcome()
	{
		const MapOutcome outcome = outcomeOf(this->known);
		if (MapOutcome::Open != outcome && this->known.released && this->loggedNumber != this->known.proposal->number)
		{
			this->loggedNumber = this->known.proposal->number;
			(MapOutcome::Committed == outcome ? this->committed : this->aborted).Increment();
			logInfo("map_switch", {{"group", this->known.proposal->group}, {"rank", this->known.rank}, {"number", this->known.proposal->number}, {"outcome", toString(outcome)}, {"boundary", this->known.proposal->boundary}, {"ms", nowMs() - this->openedAt}});
		}
		absl::MutexLock lock(&this->mutex);
		this->description = this->known.proposal ? "proposal " + std::to_string(this->known.proposal->number) + " " + std::string(toString(outcome)) + (this->known.released ? " released" : " pending") : "none";
	}

	/// @returns Whether somebody may still need what this agent knows.
	bool RankControl::mustGossip()
	{
		if (!this->known.proposal || this->peers.size() < 2)
		{
			return false;
		}
		if (isPending(this->known))
		{
			return true;
		}
		const std::uint32_t next = (this->known.rank + 1) % std::uint32_t(this->peers.size());
		const bool first = kFirstRank == this->known.rank;
		return !this->peerReleased[next] || (first && this->peerReleased.end() != std::find(this->peerReleased.begin(), this->peerReleased.end(), false));
	}

	/// Votes gather at rank 0, which hands the outcome to all: messages grow with the
	/// ranks. The ring to the next rank, and random ranks after a while, stand in for a
	/// rank 0 that doesn't answer.
	void RankControl::gossip()
	{
		const auto count = std::uint32_t(this->peers.size());
		this->peerReleased[this->known.rank] = this->known.released;
		const bool open = MapOutcome::Open == outcomeOf(this->known);
		if (kFirstRank == this->known.rank)
		{
			for (std::uint32_t rank = 1; rank < count; ++rank)
			{
				if (!this->peerReleased[rank])
				{
					this->tellPeer(rank);
				}
			}
			return;
		}
		if (open)
		{
			this->tellPeer(kFirstRank);
		}
		const std::uint32_t next = (this->known.rank + 1) % count;
		const bool late = kAskAllMs < nowMs() - this->openedAt;
		if (late && !this->peerReleased[next])
		{
			this->tellPeer(next);
		}
		if (late && open)
		{
			this->tellPeer(std::uint32_t(randomBelow(this->random, count)));
		}
	}

	void RankControl::tellPeer(std::uint32_t _rank)
	{
		if (_rank == this->known.rank)
		{
			return;
		}
		this->sender.send(this->peers[_rank], this->messageFor(_rank), [this, _rank](std::optional<VoteReply> _reply) {
			if (_reply)
			{
				this->post([this, _rank, reply = *_reply] {
					this->hearReply(_rank, reply);
				});
			}
		});
	}

	void RankControl::hearReply(std::uint32_t _rank, const VoteReply& _reply)
	{
		const bool same = this->known.proposal && this->known.proposal->number == _reply.theirs.group.proposal.number;
		const bool later = this->known.proposal && _reply.theirs.group.proposal.number > this->known.proposal->number;
		if (_rank < this->peerReleased.size() && (later || (same && _reply.theirs.released)))
		{
			this->peerReleased[_rank] = true;
		}
		if (same)
		{
			mergeVotes(this->known, _reply.theirs.group.proposal.number, _reply.theirs.votes);
			this->advance();
		}
	}

	void RankControl::work()
	{
		bool recovered = false;
		Millis gossipedAt = 0;
		while (true)
		{
			std::deque<Job> taken;
			{
				absl::MutexLock lock(&this->mutex);
				const auto awake = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
					return this->stopping || !this->jobs.empty();
				};
				this->mutex.AwaitWithTimeout(absl::Condition(&awake), absl::Milliseconds(kTickMs));
				if (this->stopping)
				{
					return;
				}
				taken.swap(this->jobs);
			}
			try
			{
				if (!recovered)
				{
					this->recover();
					recovered = true;
				}
			}
			catch (const ArchdykeError&)
			{
				// No vote before the engine has told what it is armed for.
				absl::MutexLock lock(&this->mutex);
				this->jobs.insert(this->jobs.begin(), std::make_move_iterator(taken.begin()), std::make_move_iterator(taken.end()));
				continue;
			}
			for (Job& job : taken)
			{
				job();
			}
			if (this->mustGossip() && kTickMs <= nowMs() - gossipedAt)
			{
				gossipedAt = nowMs();
				this->advance();
				this->gossip();
			}
		}
	}
} // namespace archdyke
