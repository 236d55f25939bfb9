/// An entry's link to one agent. It reconnects after a failure, with a new session number
/// each time, and notifies all requests on it when the connection is lost.
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
#include "entry/crash_record.h"
#include "rpc/rpc_loop.h"
#include "rpc/run.h"

namespace archdyke
{
	/// Identifies an agent for routing; constant over the life of the link.
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
		std::uint32_t pendingVerdicts = 0;
		std::uint64_t session = 0;

		bool operator==(const AgentLinkView&) const = default;
	};

	class AgentLink : public std::enable_shared_from_this<AgentLink>
	{
	public:
		AgentLink(RpcLoop& _loop, AgentIdentity _identity, std::uint64_t _entryIncarnation, CrashRecord& _crashes);
		~AgentLink();

		/// Starts to connect. Call it once.
		void open();

		/// Closes the link permanently. Requests on it get a LinkLostEvent.
		void close();

		/// Sets the heartbeat interval of an idle link, ms.
		void setHeartbeat(Millis _intervalMs);

		/// Applies the agent's address and state from the VM list.
		void applyListState(const std::string& _address, ListState _state);

		const AgentIdentity& identity() const;

		/// @returns The agent as a candidate, without id, ownZone and distanceMs, which the caller sets.
		AgentCandidate candidate();

		/// @returns Incarnation of the agent at the other end; 0 while none is known.
		std::uint64_t incarnation();

		AgentLinkView view();

		/// Dispatches a run. Its events are pushed to _call.
		void dispatch(std::shared_ptr<Call> _call, RunSpec _run);

		/// Asks the incarnation that received the dispatch to revoke it.
		void revoke(std::shared_ptr<Call> _call, const RunKey& _key, std::uint64_t _incarnation);

		/// Requests the rest of a response from _offset on.
		void resume(std::shared_ptr<Call> _call, const RunKey& _key, std::uint64_t _incarnation, std::uint64_t _offset);

		/// Tells the agent that the response is no longer needed.
		void cancel(const RunKey& _key);

		/// Removes a run from the link: its call gets no LinkLostEvent any more.
		void forget(const RunKey& _key);

	private:
		struct Connection;

		void tick();
		void scheduleTick();
		void connect();
		void sendHello(Connection& _connection);
		void sendHeartbeat(Connection& _connection);
		void scheduleDrop(std::uint64_t _session, const std::string& _why);
		void dropConnection(const std::string& _why);
		void applyLoad(const LoadReport& _load);
		Connection* readyConnection(std::uint64_t _incarnation);
		void sendDispatch(const std::shared_ptr<Call>& _call, const RunSpec& _run);
		void sendRevoke(const std::shared_ptr<Call>& _call, const RunKey& _key, std::uint64_t _incarnation);
		void sendResume(const std::shared_ptr<Call>& _call, const RunKey& _key, std::uint64_t _incarnation, std::uint64_t _offset);

		RpcLoop& loop;
		const AgentIdentity agentIdentity;
		const std::uint64_t entryIncarnation;
		CrashRecord& crashes;

		std::atomic<Millis> heartbeatMs;

		absl::Mutex mutex;
		std::string address ABSL_GUARDED_BY(mutex);
		Member member ABSL_GUARDED_BY(mutex);
		LoadReport load ABSL_GUARDED_BY(mutex);
		std::uint32_t pendingVerdicts ABSL_GUARDED_BY(mutex) = 0; ///< Dispatches without a verdict yet.
		std::uint64_t session ABSL_GUARDED_BY(mutex) = 0;

		// Used on the loop's thread only:
		kj::Own<Connection> connection;
		absl::flat_hash_map<RunKey, std::shared_ptr<Call>> calls;
		bool closed = false;
		Millis nextConnectAt = 0;
	};
} // namespace archdyke
