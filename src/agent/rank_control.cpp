#include "agent/rank_control.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include "archdyke/errors.h"
#include "base/foreign_json.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		/// Interval between reads of the engine's state while a proposal is open, ms.
		constexpr Millis kPollIntervalMs = 15;
		/// Time without an outcome after which agents exchange votes with other ranks than rank 0 too, ms.
		constexpr Millis kFallbackGossipDelayMs = 150;
		constexpr std::uint32_t kFirstRank = 0;

		/// Reads the proposal that a rank is armed for.
		/// @throws ArchdykeError If it isn't one.
		GroupProposal readContext(const std::string& _context)
		{
			try
			{
				const nlohmann::json json = nlohmann::json::parse(_context);
				GroupProposal group;
				group.peers = json.at("peers").get<std::vector<std::string>>();
				group.rank = std::uint32_t(readCount(json, "rank"));
				group.proposal = {json.at("group"), readCount(json, "number"), readCount(json, "fence"), readCount(json, "formation"), readCount(json, "fromEpoch"), readCount(json, "boundary"), readCount(json, "digest"), std::uint32_t(group.peers.size())};
				if (group.peers.size() <= group.rank)
				{
					throw ArchdykeError("its rank isn't one of its peers");
				}
				return group;
			}
			catch (const nlohmann::json::exception& error)
			{
				throw ArchdykeError(error.what());
			}
		}
	} // namespace

	RankControl::RankControl(const UpstreamSettings& _settings, RpcLoop& _loop, Metrics& _metrics)
	    : engine(_settings.address)
	    , sender(_loop)
	    , committed(_metrics.counter("archdyke_agent_map_switches_total", "Map switches by outcome.", {{"outcome", "committed"}}))
	    , aborted(_metrics.counter("archdyke_agent_map_switches_total", "Map switches by outcome.", {{"outcome", "aborted"}}))
	    , random(randomId())
	    , thread([this] {
		    this->runThread();
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
		return {{*this->mapSwitch.proposal, this->peers, _rank}, this->mapSwitch.votes, this->mapSwitch.released};
	}

	/// Reads the engine's state, which is the only source of this rank's vote.
	void RankControl::refreshState()
	{
		applyRankState(this->mapSwitch, this->engine.read(nullptr, nullptr, nullptr));
	}

	/// Recovers an open proposal after a restart of the agent, from the proposal that the engine is armed for.
	void RankControl::recover()
	{
		std::string context;
		const RankState state = this->engine.read(nullptr, &context, nullptr);
		if (0 == state.armed || context.empty())
		{
			return;
		}
		const GroupProposal group = readContext(context);
		this->mapSwitch.rank = group.rank;
		receiveProposal(this->mapSwitch, group.proposal);
		this->peers = group.peers;
		this->peerReleased.assign(this->peers.size(), false);
		this->openedAt = nowMs();
		applyRankState(this->mapSwitch, state);
		logInfo("map_recovered", {{"number", group.proposal.number}});
	}

	RankReport RankControl::makeReport(bool _withLoad)
	{
		RankReport report;
		report.state = this->engine.read(_withLoad ? &report.load : nullptr, nullptr, &report.staged);
		report.pending = isPending(this->mapSwitch) || 0 != report.state.armed;
		report.highestFence = this->mapSwitch.highestFence;
		report.lastNumber = std::max({this->mapSwitch.proposal ? this->mapSwitch.proposal->number : 0, report.state.armed, report.state.floor, report.state.decided});
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
				// The agent checks the fence itself, because some engines don't.
				const bool isStale = _fence < this->mapSwitch.highestFence;
				this->mapSwitch.highestFence = std::max(this->mapSwitch.highestFence, _fence);
				const bool staged = !isStale && this->engine.stage(_fence, map);
				done(staged, this->makeReport(false));
			}
			catch (const ArchdykeError&)
			{
				done(false, std::nullopt);
			}
		});
	}

	void RankControl::receiveVotes(const VoteMessage& _message, std::function<void(const VoteReply&)> _done)
	{
		this->post([this, message = _message, done = std::move(_done)] {
			const bool isNew = !this->mapSwitch.proposal || message.group.proposal.number != this->mapSwitch.proposal->number;
			VoteReply reply;
			reply.refusal = receiveProposal(this->mapSwitch, message.group.proposal);
			if (ProposalRefusal::None == reply.refusal)
			{
				if (isNew)
				{
					this->mapSwitch.rank = message.group.rank;
					this->peers = message.group.peers;
					this->peerReleased.assign(this->peers.size(), false);
					this->openedAt = nowMs();
				}
				mergeVotes(this->mapSwitch, message.group.proposal.number, message.votes);
				this->advance();
			}
			if (this->mapSwitch.proposal)
			{
				reply.theirs = this->messageFor(this->mapSwitch.rank);
			}
			done(reply);
		});
	}

	/// Sends the engine the orders that follow from the known votes.
	void RankControl::advance()
	{
		if (!this->mapSwitch.proposal)
		{
			return;
		}
		try
		{
			const GroupProposal group{*this->mapSwitch.proposal, this->peers, this->mapSwitch.rank};
			for (int orders = 0; orders < 3; ++orders)
			{
				const RankState state = this->engine.read(nullptr, nullptr, nullptr);
				applyRankState(this->mapSwitch, state);
				const RankOrder order = nextOrder(this->mapSwitch, state);
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
			this->refreshState();
			this->logOutcome();
		}
		catch (const ArchdykeError&)
		{
			// Retried after the next poll interval; until then no new vote of this rank is sent.
		}
	}

	void RankControl::logOutcome()
	{
		const MapOutcome outcome = outcomeOf(this->mapSwitch);
		if (MapOutcome::Open != outcome && this->mapSwitch.released && this->loggedNumber != this->mapSwitch.proposal->number)
		{
			this->loggedNumber = this->mapSwitch.proposal->number;
			(MapOutcome::Committed == outcome ? this->committed : this->aborted).Increment();
			logInfo("map_switch", {{"group", this->mapSwitch.proposal->group}, {"rank", this->mapSwitch.rank}, {"number", this->mapSwitch.proposal->number}, {"outcome", toString(outcome)}, {"boundary", this->mapSwitch.proposal->boundary}, {"ms", nowMs() - this->openedAt}});
		}
		absl::MutexLock lock(&this->mutex);
		this->description = this->mapSwitch.proposal ? "proposal " + std::to_string(this->mapSwitch.proposal->number) + " " + std::string(toString(outcome)) + (this->mapSwitch.released ? " released" : " pending") : "none";
	}

	/// @returns Whether another agent may still need the votes that this agent knows.
	bool RankControl::needsGossip()
	{
		if (!this->mapSwitch.proposal || this->peers.size() < 2)
		{
			return false;
		}
		if (isPending(this->mapSwitch))
		{
			return true;
		}
		const std::uint32_t next = (this->mapSwitch.rank + 1) % std::uint32_t(this->peers.size());
		const bool isFirst = kFirstRank == this->mapSwitch.rank;
		return !this->peerReleased[next] || (isFirst && this->peerReleased.end() != std::find(this->peerReleased.begin(), this->peerReleased.end(), false));
	}

	/// Rank 0 collects the votes and distributes the outcome, so that the number of messages grows linearly with
	/// the ranks. After kFallbackGossipDelayMs without an outcome, votes also go to the next rank and to random ranks, in case
	/// rank 0 is unreachable.
	void RankControl::gossip()
	{
		const auto count = std::uint32_t(this->peers.size());
		this->peerReleased[this->mapSwitch.rank] = this->mapSwitch.released;
		const bool isOpen = MapOutcome::Open == outcomeOf(this->mapSwitch);
		if (kFirstRank == this->mapSwitch.rank)
		{
			for (std::uint32_t rank = 1; rank < count; ++rank)
			{
				if (!this->peerReleased[rank])
				{
					this->sendVotes(rank);
				}
			}
			return;
		}
		if (isOpen)
		{
			this->sendVotes(kFirstRank);
		}
		const std::uint32_t next = (this->mapSwitch.rank + 1) % count;
		const bool isOverdue = kFallbackGossipDelayMs < nowMs() - this->openedAt;
		if (isOverdue && !this->peerReleased[next])
		{
			this->sendVotes(next);
		}
		if (isOverdue && isOpen)
		{
			this->sendVotes(std::uint32_t(randomBelow(this->random, count)));
		}
	}

	void RankControl::sendVotes(std::uint32_t _rank)
	{
		if (_rank == this->mapSwitch.rank)
		{
			return;
		}
		this->sender.send(this->peers[_rank], this->messageFor(_rank), [this, _rank](std::optional<VoteReply> _reply) {
			if (_reply)
			{
				this->post([this, _rank, reply = *_reply] {
					this->processReply(_rank, reply);
				});
			}
		});
	}

	void RankControl::processReply(std::uint32_t _rank, const VoteReply& _reply)
	{
		const bool sameProposal = this->mapSwitch.proposal && this->mapSwitch.proposal->number == _reply.theirs.group.proposal.number;
		const bool laterProposal = this->mapSwitch.proposal && _reply.theirs.group.proposal.number > this->mapSwitch.proposal->number;
		if (_rank < this->peerReleased.size() && (laterProposal || (sameProposal && _reply.theirs.released)))
		{
			this->peerReleased[_rank] = true;
		}
		if (sameProposal)
		{
			mergeVotes(this->mapSwitch, _reply.theirs.group.proposal.number, _reply.theirs.votes);
			this->advance();
		}
	}

	void RankControl::runThread()
	{
		bool recovered = false;
		Millis gossipedAt = 0;
		while (true)
		{
			std::deque<Job> pendingJobs;
			{
				absl::MutexLock lock(&this->mutex);
				const auto mustWake = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
					return this->stopping || !this->jobs.empty();
				};
				this->mutex.AwaitWithTimeout(absl::Condition(&mustWake), absl::Milliseconds(kPollIntervalMs));
				if (this->stopping)
				{
					return;
				}
				pendingJobs.swap(this->jobs);
			}
			try
			{
				if (!recovered)
				{
					this->recover();
					recovered = true;
				}
			}
			catch (const ArchdykeError& error)
			{
				// No vote is sent before the engine has reported which proposal it is armed for.
				logWarning("map_not_recovered", {{"error", error.what()}});
				absl::MutexLock lock(&this->mutex);
				this->jobs.insert(this->jobs.begin(), std::make_move_iterator(pendingJobs.begin()), std::make_move_iterator(pendingJobs.end()));
				continue;
			}
			for (Job& job : pendingJobs)
			{
				job();
			}
			if (this->needsGossip() && kPollIntervalMs <= nowMs() - gossipedAt)
			{
				gossipedAt = nowMs();
				this->advance();
				this->gossip();
			}
		}
	}
} // namespace archdyke
