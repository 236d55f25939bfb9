/// The agent's part in the switches of its group's expert map: sends orders to its engine rank, votes, and
/// exchanges votes with the agents of the other ranks. All calls to the engine are made by one thread.
#pragma once

#include <absl/functional/any_invocable.h>
#include <absl/synchronization/mutex.h>
#include <deque>
#include <kj/async.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "archdyke/mapswitch.h"
#include "archdyke/random.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "rpc/rpc_loop.h"

namespace archdyke
{
	/// Proposal as sent to one agent of the group.
	struct GroupProposal
	{
		MapProposal proposal;
		std::vector<std::string> peers; ///< Addresses of the group's agents, by rank.
		std::uint32_t rank = 0;         ///< Of the receiving agent.

		bool operator==(const GroupProposal&) const = default;
	};

	/// Votes that agents of a group exchange.
	struct VoteMessage
	{
		GroupProposal group;
		std::vector<MapVote> votes;
		bool released = false;

		bool operator==(const VoteMessage&) const = default;
	};

	/// Reply to a vote message.
	struct VoteReply
	{
		ProposalRefusal refusal = ProposalRefusal::None;
		VoteMessage theirs;

		bool operator==(const VoteReply&) const = default;
	};

	/// Report that a planner requests.
	struct RankReport
	{
		RankState state;
		bool pending = false;
		std::uint64_t highestFence = 0;
		std::uint64_t lastNumber = 0;
		std::uint64_t staged = 0;
		std::string load; ///< JSON with counts and hosts; empty if not requested.

		bool operator==(const RankReport&) const = default;
	};

	/// Client of the engine rank. Calls throw ArchdykeError if the rank is unreachable.
	class RankEngine
	{
	public:
		explicit RankEngine(const std::string& _address);
		~RankEngine();

		/// @param[in] _load Set to JSON with counts and hosts, if not null.
		RankState read(std::string* _load, std::string* _armedContext, std::uint64_t* _staged);

		/// @returns Whether the engine carried out the order.
		bool stage(std::uint64_t _fence, const std::string& _map);
		bool order(RankOrder _order, const GroupProposal& _proposal);

	private:
		struct State;
		std::unique_ptr<State> state;
	};

	/// Sends vote messages to other agents. _done is called on the loop's thread, with no reply if the call failed
	/// or timed out.
	class VoteSender
	{
	public:
		explicit VoteSender(RpcLoop& _loop);
		~VoteSender();
		VoteSender(const VoteSender&) = delete;
		VoteSender& operator=(const VoteSender&) = delete;

		void send(const std::string& _address, const VoteMessage& _message, const std::function<void(std::optional<VoteReply>)>& _done);

	private:
		struct Pool;

		std::unique_ptr<Pool> pool;
	};

	class RankControl
	{
	public:
		RankControl(const UpstreamSettings& _settings, RpcLoop& _loop, Metrics& _metrics);
		~RankControl();
		RankControl(const RankControl&) = delete;
		RankControl& operator=(const RankControl&) = delete;

		/// These methods run on the control's thread and call _done there.
		void report(bool _withLoad, std::function<void(std::optional<RankReport>)> _done);
		void stage(std::uint64_t _fence, const std::string& _map, std::function<void(bool, std::optional<RankReport>)> _done);
		void receiveVotes(const VoteMessage& _message, std::function<void(const VoteReply&)> _done);

		/// Stops the thread. No callback is called afterwards.
		void stop();

		/// @returns State of the latest proposal, for the state dump.
		std::string describe();

	private:
		using Job = absl::AnyInvocable<void()>;

		void post(Job _job);
		void runThread();
		void recover();
		void advance();
		void refreshState();
		RankReport makeReport(bool _withLoad);
		bool needsGossip();
		void gossip();
		void sendVotes(std::uint32_t _rank);
		void processReply(std::uint32_t _rank, const VoteReply& _reply);
		void logOutcome();
		VoteMessage messageFor(std::uint32_t _rank) const;

		RankEngine engine;
		VoteSender sender;
		prometheus::Counter& committed;
		prometheus::Counter& aborted;

		// Accessed only by the thread:
		MapSwitch mapSwitch;
		std::vector<std::string> peers;
		std::vector<bool> peerReleased; ///< By rank: the peer reported that its engine applied the outcome.
		std::uint64_t loggedNumber = 0;
		Millis openedAt = 0; ///< When the proposal was received.
		Random random;

		absl::Mutex mutex;
		std::deque<Job> jobs ABSL_GUARDED_BY(mutex);
		std::string description ABSL_GUARDED_BY(mutex);
		bool stopping ABSL_GUARDED_BY(mutex) = false;
		std::thread thread;
	};
} // namespace archdyke
