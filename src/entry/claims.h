/// Claims of idempotency keys in the platform's table, batched into few transactions.
#pragma once

#include <absl/synchronization/mutex.h>
#include <atomic>
#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "archdyke/claim.h"
#include "base/metrics.h"
#include "base/platform_client.h"
#include "base/settings.h"

namespace archdyke
{
	/// Result of a claim.
	enum class ClaimResult
	{
		Claimed,          ///< The key is claimed for this request, which may be dispatched.
		AlreadyRan,       ///< A request with this key ran before.
		InDoubt,          ///< Another request with this key may be running, or have run.
		StoreUnavailable, ///< The table is unreachable; nothing was dispatched.
		Count
	};

	class Claims
	{
	public:
		Claims(const EntrySettings& _settings, Metrics& _metrics);
		~Claims();

		/// Claims a key for the request with _nonce. Waits for kClaimTimeoutMs or two batch intervals, whichever is longer.
		ClaimResult claim(const std::string& _key, const std::string& _nonce);

		/// Records that the request ran. Doesn't wait.
		void markRan(const std::string& _key, const std::string& _nonce);

		/// Releases the key of a request that is proved not to have run. Doesn't wait.
		void release(const std::string& _key, const std::string& _nonce);

		/// Waits until all operations are completed, _timeoutMs at most.
		void flush(Millis _timeoutMs);

		/// Sets the number of entries that share the table.
		void setEntries(std::uint32_t _entries);

	private:
		enum class OperationKind
		{
			Claim,
			MarkRan,
			Release
		};

		/// A queued operation on one key; kept until it is completed.
		struct Operation
		{
			OperationKind kind = OperationKind::Claim;
			std::string key;
			std::string nonce;
			Millis timeoutAt = 0;
			Millis watchUntil = 0; ///< Until when a release checks for a claim written late.
			Millis dueAt = 0;      ///< Not processed before this time.
			bool rowKnown = false; ///< Whether version and row are known.
			std::uint64_t version = 0;
			std::optional<ClaimRow> row;
			bool completed = false;
			ClaimResult result = ClaimResult::StoreUnavailable;
		};

		using OperationPointer = std::shared_ptr<Operation>;

		/// An operation and the kind for which its row was written.
		struct PendingWrite
		{
			OperationPointer operation;
			OperationKind kind;
		};

		void enqueue(OperationKind _kind, const std::string& _key, const std::string& _nonce);
		void threadMain();
		std::vector<OperationPointer> nextBatch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		void handleBatch(PlatformClient& _client, const std::vector<OperationPointer>& _batch);
		void applyRows(const TableResult& _result, const std::vector<OperationPointer>& _batch);
		void complete(const OperationPointer& _operation, ClaimResult _result);
		bool prepareOperation(const OperationPointer& _operation, TableTransaction& _transaction);
		Millis batchIntervalMs() const;

		const EntrySettings settings;
		prometheus::Counter& transactions;
		std::atomic<std::uint32_t> entries{1};

		absl::Mutex mutex;
		std::deque<OperationPointer> operations ABSL_GUARDED_BY(mutex);
		bool stopping ABSL_GUARDED_BY(mutex) = false;
		std::thread thread;
	};
} // namespace archdyke
