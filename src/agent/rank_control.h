/// The agent's part in its group's expert map: orders to its engine rank, its vote, and
/// what it hears from the agents of the other ranks. All orders to the engine go through
/// one thread.
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
	/// A proposal as one agent of the group gets it.
	struct GroupProposal
	{
		MapProposal proposal;
		std::vector<std::string> peers; ///< Addresses of the group's agents, by rank.
		std::uint32_t rank = 0;         ///< Of the agent that gets it.

		bool operator==(const GroupProposal&) const = default;
	};

	/// What agents of a group tell each other.
	struct VoteMessage
	{
		GroupProposal group;
		std::vector<MapVote> votes;
		bool released = false;

		bool operator==(const VoteMessage&) const = default;
	};

	/// Answer to a vote message.
	struct VoteReply
	{
		ProposalRefusal refusal = ProposalRefusal::None;
		VoteMessage theirs;

		bool operator==(const VoteReply&) const = default;
	};

	/// What a planner asks for.
	struct RankReport
	{
		RankState state;
		bool pending = false;
		std::uint64_t highestFence = 0;
		std::uint64_t lastNumber = 0;
		std::uint64_t staged = 0;
		std::string load; ///< JSON with counts and hosts; empty if not asked for.

		bool operator==(const RankReport&) const = default;
	};

	/// Talks to the engine rank. Throws ArchdykeError when it can't be reached.
	class RankEngine
	{
	public:
		explicit RankEngine(const std::string& _address);
		~RankEngine();

		/// @param[in] _load Set to JSON with counts and hosts, if not null.
		RankState read(std::string* _load, std::string* _armedContext, std::uint64_t* _staged);

		/// @returns Whether the engine did it.
		bool stage(std::uint64_t _fence, const std::string& _map);
		bool order(RankOrder _order, const GroupProposal& _proposal);

	private:
		struct State;
		std::unique_ptr<State> state;
	};

	/// Sends a vote message to another agent. Its answer comes on the loop's thread; none
	/// when there is no answer.
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

		/// Each runs on the control's thread and calls back there.
		void report(bool _withLoad, std::function<void(std::optional<RankReport>)> _done);
		void stage(std::uint64_t _fence, const std::string& _map, std::function<void(bool, std::optional<RankReport>)> _done);
		void hear(const VoteMessage& _message, std::function<void(const VoteReply&)> _done);

		/// Stops the thread. No callback follows.
		void stop();

		/// @returns State for dumps.
		std::string describe();

	private:
		using Job = absl::AnyInvocable<void()>;

		void post(Job _job);
		void work();
		void recover();
		void advance();
		void refresh();
		RankReport makeReport(bool _withLoad);
		bool mustGossip();
		void gossip();
		void tellPeer(std::uint32_t _rank);
		void hearReply(std::uint32_t _rank, const VoteReply& _reply);
		void logOutcome();
		VoteMessage messageFor(std::uint32_t _rank) const;

		RankEngine engine;
		VoteSender sender;
		prometheus::Counter& committed;
		prometheus::Counter& aborted;

		// The thread's own:
		MapSwitch known;
		std::vector<std::string> peers;
		std::vector<bool> peerReleased; ///< By rank: it said that it took the outcome.
		std::uint64_t loggedNumber = 0;
		Millis openedAt = 0;
		Random random;

		absl::Mutex mutex;
		std::deque<Job> jobs ABSL_GUARDED_BY(mutex);
		std::string description ABSL_GUARDED_BY(mutex);
		bool stopping ABSL_GUARDED_BY(mutex) = false;
		std::thread thread;
	};
} // namespace archdyke
