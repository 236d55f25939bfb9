/// The crashes of upstreams that an entry knows, and the requests that it refuses for them.
///
/// Crashes arrive from three sources: responses to the entry's own runs, reports of agents, and the platform's table, which
/// keeps them for all entries and over restarts. Thread-safe; makes no calls itself.
#pragma once

#include <absl/synchronization/mutex.h>
#include <array>
#include <atomic>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/crash_blame.h"
#include "base/metrics.h"

namespace archdyke
{
	/// A change of the table's rows that is due.
	struct CrashChanges
	{
		std::vector<Crash> put;
		std::vector<Crash> remove;

		bool operator==(const CrashChanges&) const = default;
	};

	/// A request under which upstreams crashed, for dumps.
	struct CrashView
	{
		std::string request; ///< Fingerprint.
		std::size_t crashes = 0;
		Millis refusedForMs = 0; ///< 0: not refused.

		bool operator==(const CrashView&) const = default;
	};

	class CrashRecord
	{
	public:
		explicit CrashRecord(Metrics& _metrics);

		/// @returns How much longer a request is refused, ms; none when it may run.
		/// @param[in] _suspects The request's fingerprint and the parts of its prompt.
		std::optional<Millis> refusalMs(const std::vector<std::string>& _suspects);

		/// Counts a request that was refused.
		void countRefusal();

		/// Records that an upstream completed a run, and clears the crashes that were attributed to the request.
		void recordCompletion(const std::vector<std::string>& _suspects);

		/// Records a crash during a run of this entry, which is to be published at once.
		void recordOwn(const Crash& _crash);

		/// Records crashes that an agent reports. They are published only if they don't show up in the table.
		void recordReported(const std::vector<Crash>& _crashes);

		/// Waits until all own crashes of a request are published and the crashes that other entries published are known.
		/// @returns false if that didn't happen in time.
		bool waitUntilPublished(const std::vector<std::string>& _suspects, Millis _until);

		/// @returns The requests that are refused now, to be named to agents.
		std::vector<RefusedRequest> refused();

		/// @returns Whether the table's rows must be read.
		/// @param[in] _mark Version of the row that changes with each change of crashes.
		bool needsRows(std::uint64_t _mark, Millis _now);

		/// Applies all rows of the table.
		/// @param[in] _readAt When the read began.
		void applyRows(const std::vector<Crash>& _rows, std::uint64_t _mark, Millis _readAt);

		/// Waits for a while for changes that are due, or until wake is called.
		/// @returns The changes; none if none is due.
		CrashChanges takeChanges();

		/// Records that changes were written, and the crashes of the written requests that the table has.
		void recordWritten(const CrashChanges& _changes, const std::vector<Crash>& _known);

		/// Returns changes that could not be written to the queue.
		void returnChanges(const CrashChanges& _changes);

		/// Wakes takeChanges.
		void wake();

		std::vector<CrashView> views();

	private:
		enum class Publication
		{
			Due,      ///< To be written.
			Reported, ///< Known from an agent; the entry that ran the request publishes it.
			Stored
		};

		struct Known
		{
			Publication publication = Publication::Due;
			Millis since = 0;
		};

		struct Shard
		{
			absl::Mutex mutex;
			RecentCompletions completions ABSL_GUARDED_BY(mutex);
		};

		Shard& shardOf(std::size_t _hash);
		bool completedRecently(const std::string& _suspect, Millis _now);
		/// @returns Whether the crash was unknown.
		bool add(const Crash& _crash, Publication _publication, Millis _now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		void remove(const Crash& _crash) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		void removeExpired(Millis _now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		CrashChanges dueChanges(Millis _now) const ABSL_SHARED_LOCKS_REQUIRED(mutex);

		prometheus::Counter& crashes;
		prometheus::Counter& refusals;
		std::array<Shard, 16> shards;         ///< By hash of the request: every completed run is recorded here.
		std::atomic<std::size_t> requests{0}; ///< Requests with crashes; without any, no other lock is taken.

		absl::Mutex mutex;
		CrashTable table ABSL_GUARDED_BY(mutex);
		std::map<Crash, Known> known ABSL_GUARDED_BY(mutex);
		std::map<Crash, Millis> cleared ABSL_GUARDED_BY(mutex); ///< Recently cleared here; agents may still report them.
		std::vector<Crash> toRemove ABSL_GUARDED_BY(mutex);
		std::uint64_t appliedMark ABSL_GUARDED_BY(mutex) = 0;
		Millis appliedAt ABSL_GUARDED_BY(mutex) = 0;
		bool woken ABSL_GUARDED_BY(mutex) = false;
	};
} // namespace archdyke
