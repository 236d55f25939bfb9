#include "entry/claims.h"

#include <absl/time/time.h>
#include <algorithm>

#include "base/config.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		constexpr std::size_t kMaxBatch = 100;
		constexpr Millis kRetryMs = 100;
		/// Writes a second that all entries' claims together may make at the table.
		constexpr Millis kClaimTransactionsPerSecond = 200;
		/// A write whose answer was lost may still take effect within this time, ms.
		constexpr Millis kLateWriteMs = 30'000;
		/// Between two looks for such a write, ms.
		constexpr Millis kWatchMs = 1'000;
		/// Between two looks for items that are due, ms.
		constexpr Millis kIdleMs = 50;

		ClaimEnd toEnd(ClaimVerdict _verdict)
		{
			return ClaimVerdict::Mine == _verdict ? ClaimEnd::Won : ClaimVerdict::AlreadyRan == _verdict ? ClaimEnd::AlreadyRan
			                                                                                             : ClaimEnd::InDoubt;
		}
	} // namespace

	Claims::Claims(const std::string& _platform, const std::string& _zone, Metrics& _metrics)
	    : platform(_platform)
	    , zone(_zone)
	    , transactions(_metrics.counter("archdyke_entry_claim_transactions_total", "Transactions for claims of idempotency keys."))
	    , thread([this] {
		    this->work();
	    })
	{
	}

	Claims::~Claims()
	{
		{
			absl::MutexLock lock(&this->mutex);
			this->stopping = true;
		}
		this->thread.join();
	}

	void Claims::setEntries(std::uint32_t _entries)
	{
		this->entries = std::max(1u, _entries);
	}

	Millis Claims::intervalMs() const
	{
		return std::max<Millis>(kClaimBatchMs, Millis(this->entries) * 1000 / kClaimTransactionsPerSecond);
	}

	ClaimEnd Claims::claim(const std::string& _key, const std::string& _nonce)
	{
		auto item = std::make_shared<Item>();
		item->wish = Wish::Claim;
		item->key = _key;
		item->nonce = _nonce;
		item->giveUpAt = nowMs() + std::max(kClaimTimeoutMs, 2 * this->intervalMs());
		// A key that nobody has claimed is the usual case: try the write at once.
		item->rowKnown = true;
		absl::MutexLock lock(&this->mutex);
		this->items.push_back(item);
		this->mutex.AwaitWithTimeout(absl::Condition(&item->settled), absl::Milliseconds(item->giveUpAt - nowMs()));
		if (!item->settled)
		{
			// The write may still take effect; the key is given back when it does.
			item->wish = Wish::Release;
			item->forgetAt = nowMs() + kLateWriteMs;
			return ClaimEnd::NoStore;
		}
		return item->end;
	}

	void Claims::add(Wish _wish, const std::string& _key, const std::string& _nonce)
	{
		auto item = std::make_shared<Item>();
		item->wish = _wish;
		item->key = _key;
		item->nonce = _nonce;
		absl::MutexLock lock(&this->mutex);
		this->items.push_back(std::move(item));
	}

	void Claims::markRan(const std::string& _key, const std::string& _nonce)
	{
		this->add(Wish::MarkRan, _key, _nonce);
	}

	void Claims::release(const std::string& _key, const std::string& _nonce)
	{
		this->add(Wish::Release, _key, _nonce);
	}

	void Claims::flush(Millis _timeoutMs)
	{
		absl::MutexLock lock(&this->mutex);
		const auto isEmpty = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
			return this->items.empty();
		};
		this->mutex.AwaitWithTimeout(absl::Condition(&isEmpty), absl::Milliseconds(_timeoutMs));
	}

	void Claims::settle(const ItemPointer& _item, ClaimEnd _end)
	{
		_item->settled = true;
		_item->end = _end;
	}

	/// @returns Whether the item is settled; else the transaction has what to do for it.
	bool Claims::decideItem(const ItemPointer& _item, TableTransaction& _transaction)
	{
		if (!_item->rowKnown)
		{
			_transaction.reads.push_back(_item->key);
			return false;
		}
		const ClaimVerdict verdict = evaluateClaim(_item->row, _item->nonce);
		if (Wish::Claim == _item->wish && ClaimVerdict::Free != verdict)
		{
			this->settle(_item, toEnd(verdict));
			return true;
		}
		if (Wish::Claim != _item->wish && ClaimVerdict::Mine != verdict)
		{
			_item->rowKnown = false;
			const bool mayComeLate = ClaimVerdict::Free == verdict && nowMs() < _item->forgetAt;
			_item->dueAt = nowMs() + kWatchMs;
			if (!mayComeLate)
			{
				this->settle(_item, ClaimEnd::NoStore);
			}
			return !mayComeLate;
		}
		_transaction.conditions.push_back({_item->key, _item->version});
		const ClaimRow row{Wish::MarkRan == _item->wish ? ClaimState::Ran : ClaimState::Claimed, _item->nonce};
		_transaction.writes.push_back({_item->key, Wish::Release == _item->wish ? std::nullopt : std::optional<std::string>(encodeClaim(row)), kClaimKeepSeconds});
		return false;
	}

	void Claims::applyRows(const TableResult& _result, const std::vector<ItemPointer>& _batch)
	{
		for (const ItemPointer& item : _batch)
		{
			const auto row = std::find_if(_result.rows.begin(), _result.rows.end(), [&](const TableRow& _row) {
				return item->key == _row.key;
			});
			if (_result.rows.end() != row)
			{
				item->rowKnown = true;
				item->version = row->version;
				item->row = 0 == row->version ? std::nullopt : std::optional<ClaimRow>(decodeClaim(row->value));
			}
		}
	}

	void Claims::handleBatch(PlatformClient& _client, const std::vector<ItemPointer>& _batch)
	{
		TableTransaction transaction;
		std::vector<Written> writers;
		{
			absl::MutexLock lock(&this->mutex);
			for (const ItemPointer& item : _batch)
			{
				const std::size_t before = transaction.writes.size();
				const bool settled = this->decideItem(item, transaction);
				if (!settled && before < transaction.writes.size())
				{
					writers.push_back({item, item->wish});
				}
			}
		}
		if (transaction.reads.empty() && transaction.writes.empty())
		{
			return;
		}
		TableResult result;
		try
		{
			this->transactions.Increment();
			result = _client.transact(transaction);
		}
		catch (const PlatformError&)
		{
			// Whether it took effect isn't known: read before the next write.
			absl::MutexLock lock(&this->mutex);
			for (const ItemPointer& item : _batch)
			{
				item->rowKnown = false;
			}
			this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), absl::Milliseconds(kRetryMs));
			return;
		}
		absl::MutexLock lock(&this->mutex);
		this->applyRows(result, _batch);
		for (const Written& written : writers)
		{
			// The claimer may have given up meanwhile: then its row is to be given back.
			const bool sameWish = written.wish == written.item->wish;
			written.item->rowKnown = written.item->rowKnown && sameWish;
			if (result.committed && sameWish)
			{
				this->settle(written.item, ClaimEnd::Won);
			}
		}
	}

	std::vector<Claims::ItemPointer> Claims::takeBatch()
	{
		std::vector<ItemPointer> batch;
		const Millis now = nowMs();
		for (const ItemPointer& item : this->items)
		{
			// Two items of one key go into a transaction only in turn. One that merely
			// watches for a late write stands in nobody's way.
			const bool keyTaken = std::any_of(batch.begin(), batch.end(), [&](const ItemPointer& _other) {
				return item->key == _other->key;
			});
			if (!keyTaken && item->dueAt <= now && batch.size() < kMaxBatch)
			{
				batch.push_back(item);
			}
		}
		return batch;
	}

	void Claims::work()
	{
		PlatformClient client(this->platform, this->zone, kPlatformTimeoutMs);
		while (true)
		{
			std::vector<ItemPointer> batch;
			{
				absl::MutexLock lock(&this->mutex);
				const auto hasWork = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
					return this->stopping || !this->items.empty();
				};
				this->mutex.Await(absl::Condition(&hasWork));
				if (this->stopping || this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), absl::Milliseconds(this->intervalMs())))
				{
					return;
				}
				batch = this->takeBatch();
				if (batch.empty())
				{
					const auto hasDue = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
						return this->stopping || 0 == this->items.back()->dueAt;
					};
					this->mutex.AwaitWithTimeout(absl::Condition(&hasDue), absl::Milliseconds(kIdleMs));
					continue;
				}
			}
			this->handleBatch(client, batch);
			absl::MutexLock lock(&this->mutex);
			std::erase_if(this->items, [](const ItemPointer& _item) {
				return _item->settled;
			});
		}
	}
} // namespace archdyke
