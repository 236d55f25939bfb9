/// Claims of idempotency keys in the platform's table, gathered into few transactions.
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

namespace archdyke
{
	/// How a claim ended.
	enum class ClaimEnd
	{
		Won,        ///< This request alone may be dispatched.
		AlreadyRan, ///< A request with this key ran before.
		InDoubt,    ///< Another request with this key may be running, or have run.
		NoStore,    ///< The table can't be reached; nothing was dispatched.
		Count
	};

	class Claims
	{
	public:
		Claims(const std::string& _platform, const std::string& _zone, Metrics& _metrics);
		~Claims();

		/// Claims a key for the request with _nonce. Waits for kClaimTimeoutMs at most.
		ClaimEnd claim(const std::string& _key, const std::string& _nonce);

		/// Notes that the request ran. Doesn't wait.
		void markRan(const std::string& _key, const std::string& _nonce);

		/// Gives the key back: proved that the request did not run. Doesn't wait.
		void release(const std::string& _key, const std::string& _nonce);

		/// Waits until everything is settled, or for the time given.
		void flush(Millis _timeoutMs);

		/// Sets the number of entries that share the table.
		void setEntries(std::uint32_t _entries);

	private:
		enum class Wish
		{
			Claim,
			MarkRan,
			Release
		};

		/// One thing to do. Lives until it is settled.
		struct Item
		{
			Wish wish = Wish::Claim;
			std::string key;
			std::string nonce;
			Millis giveUpAt = 0;
			Millis forgetAt = 0;   ///< A release of an absent row is watched until then.
			Millis dueAt = 0;      ///< Not looked at before.
			bool rowKnown = false; ///< version and row are as read.
			std::uint64_t version = 0;
			std::optional<ClaimRow> row;
			bool settled = false;
			ClaimEnd end = ClaimEnd::NoStore;
		};

		using ItemPointer = std::shared_ptr<Item>;

		/// An item and what was written for it.
		struct Written
		{
			ItemPointer item;
			Wish wish;
		};

		void add(Wish _wish, const std::string& _key, const std::string& _nonce);
		void work();
		std::vector<ItemPointer> takeBatch() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		void handleBatch(PlatformClient& _client, const std::vector<ItemPointer>& _batch);
		void applyRows(const TableResult& _result, const std::vector<ItemPointer>& _batch);
		void settle(const ItemPointer& _item, ClaimEnd _end);
		bool decideItem(const ItemPointer& _item, TableTransaction& _transaction);
		Millis intervalMs() const;

		const std::string platform;
		const std::string zone;
		prometheus::Counter& transactions;
		std::atomic<std::uint32_t> entries{1};

		absl::Mutex mutex;
		std::deque<ItemPointer> items ABSL_GUARDED_BY(mutex);
		bool stopping ABSL_GUARDED_BY(mutex) = false;
		std::thread thread;
	};
} // namespace archdyke
