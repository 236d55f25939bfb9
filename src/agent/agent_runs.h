/// The runs of an agent: ledger, queue and the threads that talk to the upstream.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "agent/answer_buffer.h"
#include "archdyke/admission.h"
#include "archdyke/back_off.h"
#include "archdyke/ledger.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "rpc/run.h"

namespace archdyke
{
	/// Sends one run to the upstream and fills its answer.
	/// @returns Whether anything may have reached the upstream.
	using UpstreamCall = std::function<bool(const RunSpec&, AnswerBuffer&)>;

	/// What the runs tell their agent's loop. Called from any thread, no lock held.
	struct RunObserver
	{
		std::function<void(const RunKey&, const VerdictEvent&)> verdict;
		std::function<void(const RunKey&)> answer; ///< More of it is there.
	};

	class AgentRuns
	{
	public:
		/// @param[in] _makeCall Makes an upstream call for one thread.
		AgentRuns(std::uint64_t _incarnation, const UpstreamSettings& _settings, Metrics& _metrics, std::function<UpstreamCall()> _makeCall, RunObserver _observer);
		~AgentRuns();

		/// Opens a session of an entry; closes its older ones.
		/// @returns false when the session is old or meant for another incarnation.
		bool open(const Session& _session);

		/// Takes a run in. The verdict comes through the observer: accepted when it
		/// starts, refused at once or when it loses its place.
		void offer(const RunSpec& _run, const Session& _session);

		RevokeState revoke(const RunKey& _key, const Session& _session);

		/// Drops a queued run; ends a repeatable one that has started.
		void cancel(const RunKey& _key);

		/// @returns The answer of a run; null when it isn't known any more.
		std::shared_ptr<AnswerBuffer> answer(const RunKey& _key);

		/// From now on new work is refused as not run. Nothing takes that back.
		void leave();

		/// Sets whether the upstream can be reached; new work is refused while not.
		void hearUpstream(bool _up);

		/// Forgets what is old.
		void sweep();

		LoadReport load();

		/// @returns Runs queued or started.
		std::size_t active();

		/// Stops the threads once all runs have ended.
		void stop();

	private:
		struct ActiveRun
		{
			RunSpec spec;
			std::shared_ptr<AnswerBuffer> answer;
			Millis endedAt = 0;
		};

		struct Refused
		{
			RunKey key;
			VerdictEvent verdict;
		};

		void work();
		/// @returns When to come back while the upstream takes nothing; none while it does.
		std::optional<Millis> closedForMs(Millis _now) const ABSL_SHARED_LOCKS_REQUIRED(mutex);
		bool workLeft() const ABSL_SHARED_LOCKS_REQUIRED(mutex);
		VerdictEvent offerLocked(const RunSpec& _run, const Session& _session, std::vector<Refused>& _evicted) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		std::optional<ActiveRun> takeLocked(std::vector<Refused>& _expired) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		void tell(const std::vector<Refused>& _refused);
		void serve(const ActiveRun& _run, const UpstreamCall& _call);
		void finish(const ActiveRun& _run, bool _reached, Millis _startedAt);

		const RunObserver observer;
		const std::function<UpstreamCall()> makeCall;
		prometheus::Counter& started;
		prometheus::Counter& refused;
		prometheus::Counter& failed;
		prometheus::Histogram& runSeconds;

		absl::Mutex mutex;
		Ledger ledger ABSL_GUARDED_BY(mutex);
		AdmissionQueue admission ABSL_GUARDED_BY(mutex);
		absl::flat_hash_map<RunKey, ActiveRun> runs ABSL_GUARDED_BY(mutex);
		bool upstreamUp ABSL_GUARDED_BY(mutex) = true;
		BackOff backOff ABSL_GUARDED_BY(mutex);
		bool stopping ABSL_GUARDED_BY(mutex) = false;
		std::vector<std::thread> threads;
	};
} // namespace archdyke
