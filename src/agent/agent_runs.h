/// Runs of an agent: ledger, admission queue and the threads that call the upstream.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "agent/answer_buffer.h"
#include "agent/run_memory.h"
#include "archdyke/admission.h"
#include "archdyke/back_off.h"
#include "archdyke/ledger.h"
#include "archdyke/upstream_end.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "rpc/run.h"

namespace archdyke
{
	/// How the call of a run to the upstream ended.
	enum class CallResult
	{
		Completed,
		NotReached,    ///< No part of the run reached the upstream.
		Broken,        ///< The response is incomplete.
		UpstreamEnded, ///< The response is incomplete since the upstream's process ended.
		Count
	};

	/// Sends one run to the upstream and writes the bytes of the response into the buffer.
	using UpstreamCall = std::function<CallResult(const RunSpec&, ResponseBuffer&)>;

	/// Notifications to the agent's loop. Called from any thread, without a lock held.
	struct RunObserver
	{
		std::function<void(const RunKey&, const VerdictEvent&)> onVerdict;
		std::function<void(const RunKey&)> onResponseData; ///< More response data is available, or the response has ended.
	};

	class AgentRuns
	{
	public:
		/// @param[in] _makeCall Creates the upstream call of one thread.
		/// @param[in] _memoryMb Memory of the VM that the process may use, MiB.
		AgentRuns(std::uint64_t _incarnation, const UpstreamSettings& _settings, double _memoryMb, Metrics& _metrics, std::function<UpstreamCall()> _makeCall, RunObserver _observer);
		~AgentRuns();

		/// Opens a session of an entry and closes the older ones of that entry.
		/// @returns false if the session is superseded or meant for another incarnation.
		bool open(const Session& _session);

		/// Admits a run to the queue. The verdict arrives through the observer: accepted when the run starts;
		/// refused immediately, or later when the run is evicted from the queue or expires in it.
		void offer(const RunSpec& _run, const Session& _session);

		RevokeState revoke(const RunKey& _key, const Session& _session);

		/// Removes a queued run; aborts a started run only if it is repeatable.
		void cancel(const RunKey& _key);

		/// @returns The response of a run; null if the run is no longer known.
		std::shared_ptr<ResponseBuffer> response(const RunKey& _key);

		/// Refuses all further runs as not run. Permanent for this incarnation.
		void leave();

		/// Sets whether the upstream is reachable; new runs are refused while it isn't.
		void setUpstreamReachable(bool _up);

		/// Records that an entry has taken the whole response of a run.
		void recordDelivered(const RunKey& _key);

		/// Removes expired ledger records and responses.
		void sweep();

		LoadReport load();

		/// @returns Recent crashes of the upstream, for entries.
		std::vector<Crash> crashesToReport();

		/// Refuses requests that an entry refuses, and removes queued runs of them.
		void refuse(const std::vector<RefusedRequest>& _refused);

		/// @returns Number of runs that are queued or started.
		std::size_t active();

		/// Stops the threads once all runs have ended.
		void stop();

	private:
		/// Retry delay that entries get while the upstream is unreachable, ms.
		static constexpr Millis kUpstreamDownRetryMs = 1'000;

		struct ActiveRun
		{
			RunSpec spec;
			std::shared_ptr<ResponseBuffer> response;
			std::shared_ptr<RunCharge> charge;
			Millis endedAt = 0;
			bool wanted = true;        ///< The entry may still ask for its response.
			std::uint64_t process = 0; ///< Number of the upstream's process to which it was sent.
		};

		struct RefusedRun
		{
			RunKey key;
			VerdictEvent verdict;
		};

		void runWorker();
		/// @returns Whether there is room for further bytes of a run, if need be after kept responses are dropped.
		bool takeRoom(RunCharge& _charge, std::size_t _bytes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		/// Drops the oldest response of an ended run that was delivered, or that nobody waits for.
		/// @returns Whether there was one.
		bool dropKeptResponse() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		/// @returns The response of a new run, whose bytes are charged.
		std::shared_ptr<ResponseBuffer> makeResponse(const RunKey& _key, const std::shared_ptr<RunCharge>& _charge);
		/// @returns Retry delay while the upstream accepts no runs, ms; none while it accepts them.
		std::optional<Millis> unavailableForMs(Millis _now) const ABSL_SHARED_LOCKS_REQUIRED(mutex);
		bool hasWork() const ABSL_SHARED_LOCKS_REQUIRED(mutex);
		VerdictEvent offerLocked(const RunSpec& _run, const Session& _session, std::vector<RefusedRun>& _evicted) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		std::optional<ActiveRun> dequeueLocked(std::vector<RefusedRun>& _expired) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		/// Removes the queued runs of a request, or of all requests with a part.
		void dropQueued(const std::string& _suspect, const VerdictEvent& _verdict, std::vector<RefusedRun>& _dropped) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		void notifyRefused(const std::vector<RefusedRun>& _refused);
		void execute(const ActiveRun& _run, const UpstreamCall& _call);
		void finish(const ActiveRun& _run, CallResult _result, Millis _startedAt);
		void recordResult(const ActiveRun& _run, CallResult _result, Millis _startedAt, std::vector<RefusedRun>& _dropped);
		/// Records how the upstream's process and a run ended.
		/// @returns Incarnation of the upstream if its end is attributed to the request; else empty.
		std::string recordEnd(const ActiveRun& _run, CallResult _result, Millis _now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

		const RunObserver observer;
		const std::function<UpstreamCall()> makeCall;
		prometheus::Counter& started;
		prometheus::Counter& refused;
		prometheus::Counter& failed;
		prometheus::Counter& crashes;
		prometheus::Counter& memoryShort;
		prometheus::Counter& droppedResponses;
		prometheus::Histogram& runSeconds;
		const std::shared_ptr<RunMemory> memory;

		absl::Mutex mutex;
		Ledger ledger ABSL_GUARDED_BY(mutex);
		AdmissionQueue admission ABSL_GUARDED_BY(mutex);
		absl::flat_hash_map<RunKey, ActiveRun> runs ABSL_GUARDED_BY(mutex);
		bool upstreamReachable ABSL_GUARDED_BY(mutex) = true;
		BackOff backOff ABSL_GUARDED_BY(mutex);
		UpstreamEnds ends ABSL_GUARDED_BY(mutex);
		bool stopping ABSL_GUARDED_BY(mutex) = false;
		std::vector<std::thread> threads;
	};
} // namespace archdyke
