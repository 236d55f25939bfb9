/// An entry's link to one agent: connects again when it breaks, with a new session
/// number each time, and tells every request on it when it is lost.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <atomic>
#include <kj/memory.h>
#include <memory>
#include <string>

#include "archdyke/membership.h"
#include "archdyke/route.h"
#include "entry/call.h"
#include "rpc/rpc_loop.h"
#include "rpc/run.h"

namespace archdyke
{
	/// What names an agent for routing; doesn't change while the link lives.
	struct AgentIdentity
	{
		std::string name;
		std::string zone;
		std::string service;

		auto operator<=>(const AgentIdentity&) const = default;
	};

	/// State of a link for dumps.
	struct AgentLinkView
	{
		AgentIdentity identity;
		std::string address;
		Member member;
		LoadReport load;
		std::uint32_t unreported = 0;
		std::uint64_t session = 0;

		bool operator==(const AgentLinkView&) const = default;
	};

	class AgentLink : public std::enable_shared_from_this<AgentLink>
	{
	public:
		AgentLink(RpcLoop& _loop, AgentIdentity _identity, std::uint64_t _entryIncarnation);
		~AgentLink();

		/// Begins to connect. Call it once.
		void open();

		/// Ends the link for good. Requests on it are told that it is lost.
		void close();

		/// Sets the time between heartbeats while the link is quiet, ms.
		void setHeartbeat(Millis _everyMs);

		/// Takes in what the VM list says.
		void applyListState(const std::string& _address, ListState _state);

		const AgentIdentity& identity() const;

		/// @returns The agent as a candidate; ownZone and distance are the caller's to set.
		AgentCandidate candidate();

		/// @returns Incarnation of the agent at the other end; 0 while there is none.
		std::uint64_t incarnation();

		AgentLinkView view();

		/// Sends a run. Its events go to _call until forget.
		void dispatch(std::shared_ptr<Call> _call, RunSpec _run);

		/// Asks the incarnation that got the dispatch to take it back.
		void revoke(std::shared_ptr<Call> _call, const RunKey& _key, std::uint64_t _incarnation);

		/// Asks for the rest of an answer from _offset on.
		void resume(std::shared_ptr<Call> _call, const RunKey& _key, std::uint64_t _incarnation, std::uint64_t _offset);

		/// Tells the agent that nobody waits for the answer any more.
		void cancel(const RunKey& _key);

		/// No more events of this run.
		void forget(const RunKey& _key);

	private:
		struct Connection;

		void tick();
		void scheduleTick();
		void connect();
		void sayHello(Connection& _connection);
		void sendHeartbeat(Connection& _connection);
		void markBroken(std::uint64_t _session, const std::string& _why);
		void dropConnection(const std::string& _why);
		void hearLoad(const LoadReport& _load);
		Connection* readyConnection(std::uint64_t _incarnation);
		void sendDispatch(const std::shared_ptr<Call>& _call, const RunSpec& _run);
		void sendRevoke(const std::shared_ptr<Call>& _call, const RunKey& _key, std::uint64_t _incarnation);
		void sendResume(const std::shared_ptr<Call>& _call, const RunKey& _key, std::uint64_t _incarnation, std::uint64_t _offset);

		RpcLoop& loop;
		const AgentIdentity name;
		const std::uint64_t entryIncarnation;

		std::atomic<Millis> heartbeatMs;

		absl::Mutex mutex;
		std::string address ABSL_GUARDED_BY(mutex);
		Member member ABSL_GUARDED_BY(mutex);
		LoadReport load ABSL_GUARDED_BY(mutex);
		std::uint32_t unreported ABSL_GUARDED_BY(mutex) = 0; ///< Dispatches without a verdict yet.
		std::uint64_t session ABSL_GUARDED_BY(mutex) = 0;

		// Only on the loop's thread:
		kj::Own<Connection> connection;
		absl::flat_hash_map<RunKey, std::shared_ptr<Call>> calls;
		bool closed = false;
		Millis nextConnectAt = 0;
	};
} // namespace archdyke
