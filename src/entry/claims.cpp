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
		constexpr Millis kRetryDelayMs = 100;
		/// Limit on the claim transactions per second of all entries together.
		constexpr Millis kMaxClaimTransactionsPerS = 200;
		/// A write whose response was lost may still take effect within this time, ms.
		constexpr Millis kLateWriteWindowMs = 30'000;
		/// Interval between checks for such a write, ms.
		constexpr Millis kLateWriteCheckMs = 1'000;
		/// Interval between checks for operations that are due, ms.
		constexpr Millis kIdleCheckMs = 50;

		ClaimResult toResult(ClaimVerdict _verdict)
		{
			return ClaimVerdict::Mine == _verdict ? ClaimResult::Claimed : ClaimVerdict::AlreadyRan == _verdict ? ClaimResult::AlreadyRan
			                                                                                                    : ClaimResult::InDoubt;
		}
	} // namespace

	Claims::Claims(const EntrySettings& _settings, Metrics& _metrics)
	    : settings(_settings)
	    , transactions(_metrics.counter("archdyke_entry_claim_transactions_total", "Transactions for claims of idempotency keys."))
	    , thread([this] {
		    this->threadMain();
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

	Millis Claims::batchIntervalMs() const
	{
		return std::max<Millis>(kClaimBatchWindowMs, Millis(this->entries) * 1000 / kMaxClaimTransactionsPerS);
	}

	ClaimResult Claims::claim(const std::string& _key, const std::string& _nonce)
	{
		auto operation = std::make_shared<Operation>();
		operation->kind = OperationKind::Claim;
		operation->key = _key;
		operation->nonce = _nonce;
		operation->timeoutAt = nowMs() + std::max(kClaimTimeoutMs, 2 * this->batchIntervalMs());
		// Most keys are unclaimed, so the first write is made without a read.
		operation->rowKnown = true;
		absl::MutexLock lock(&this->mutex);
		this->operations.push_back(operation);
		this->mutex.AwaitWithTimeout(absl::Condition(&operation->completed), absl::Milliseconds(operation->timeoutAt - nowMs()));
		if (!operation->completed)
		{
			// The write may still take effect; the key is released if it does.
			operation->kind = OperationKind::Release;
			operation->watchUntil = nowMs() + kLateWriteWindowMs;
			return ClaimResult::StoreUnavailable;
		}
		return operation->result;
	}

	void Claims::enqueue(OperationKind _kind, const std::string& _key, const std::string& _nonce)
	{
		auto operation = std::make_shared<Operation>();
		operation->kind = _kind;
		operation->key = _key;
		operation->nonce = _nonce;
		absl::MutexLock lock(&this->mutex);
		this->operations.push_back(std::move(operation));
	}

	void Claims::markRan(const std::string& _key, const std::string& _nonce)
	{
		this->enqueue(OperationKind::MarkRan, _key, _nonce);
	}

	void Claims::release(const std::string& _key, const std::string& _nonce)
	{
		this->enqueue(OperationKind::Release, _key, _nonce);
	}

	void Claims::flush(Millis _timeoutMs)
	{
		absl::MutexLock lock(&this->mutex);
		const auto isEmpty = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
			return this->operations.empty();
		};
		this->mutex.AwaitWithTimeout(absl::Condition(&isEmpty), absl::Milliseconds(_timeoutMs));
	}

	void Claims::complete(const OperationPointer& _operation, ClaimResult _result)
	{
		_operation->completed = true;
		_operation->result = _result;
	}

	/// Adds the next read or write of an operation to the transaction.
	/// @returns Whether the operation is completed.
	bool Claims::prepareOperation(const OperationPointer& _operation, TableTransaction& _transaction)
	{
		if (!_operation->rowKnown)
		{
			_transaction.reads.push_back(_operation->key);
			return false;
		}
		const ClaimVerdict verdict = evaluateClaim(_operation->row, _operation->nonce);
		if (OperationKind::Claim == _operation->kind && ClaimVerdict::Free != verdict)
		{
			this->complete(_operation, toResult(verdict));
			return true;
		}
		if (OperationKind::Claim != _operation->kind && ClaimVerdict::Mine != verdict)
		{
			_operation->rowKnown = false;
			const bool mayArriveLate = ClaimVerdict::Free == verdict && nowMs() < _operation->watchUntil;
			_operation->dueAt = nowMs() + kLateWriteCheckMs;
			if (!mayArriveLate)
			{
				this->complete(_operation, ClaimResult::StoreUnavailable);
			}
			return !mayArriveLate;
		}
		_transaction.conditions.push_back({_operation->key, _operation->version});
		const ClaimRow row{OperationKind::MarkRan == _operation->kind ? ClaimState::Ran : ClaimState::Claimed, _operation->nonce};
		_transaction.writes.push_back({_operation->key, OperationKind::Release == _operation->kind ? std::nullopt : std::optional<std::string>(encodeClaim(row)), kClaimRetentionSeconds});
		return false;
	}

	void Claims::applyRows(const TableResult& _result, const std::vector<OperationPointer>& _batch)
	{
		for (const OperationPointer& operation : _batch)
		{
			const auto row = std::find_if(_result.rows.begin(), _result.rows.end(), [&](const TableRow& _row) {
				return operation->key == _row.key;
			});
			if (_result.rows.end() != row)
			{
				operation->rowKnown = true;
				operation->version = row->version;
				operation->row = 0 == row->version ? std::nullopt : std::optional<ClaimRow>(decodeClaim(row->value));
			}
		}
	}

	void Claims::handleBatch(PlatformClient& _client, const std::vector<OperationPointer>& _batch)
	{
		TableTransaction transaction;
		std::vector<PendingWrite> pendingWrites;
		{
			absl::MutexLock lock(&this->mutex);
			for (const OperationPointer& operation : _batch)
			{
				const std::size_t before = transaction.writes.size();
				const bool completed = this->prepareOperation(operation, transaction);
				if (!completed && before < transaction.writes.size())
				{
					pendingWrites.push_back({operation, operation->kind});
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
			// It is unknown whether the transaction took effect: read before the next write.
			absl::MutexLock lock(&this->mutex);
			for (const OperationPointer& operation : _batch)
			{
				operation->rowKnown = false;
			}
			this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), absl::Milliseconds(kRetryDelayMs));
			return;
		}
		absl::MutexLock lock(&this->mutex);
		this->applyRows(result, _batch);
		for (const PendingWrite& write : pendingWrites)
		{
			// A claim that timed out meanwhile has become a release: its row must be released.
			const bool sameKind = write.kind == write.operation->kind;
			write.operation->rowKnown = write.operation->rowKnown && sameKind;
			if (result.committed && sameKind)
			{
				this->complete(write.operation, ClaimResult::Claimed);
			}
		}
	}

	std::vector<Claims::OperationPointer> Claims::nextBatch()
	{
		std::vector<OperationPointer> batch;
		const Millis now = nowMs();
		for (const OperationPointer& operation : this->operations)
		{
			// A transaction has one operation per key at most. An operation that only
			// waits for a late write doesn't block others on its key.
			const bool keyInBatch = std::any_of(batch.begin(), batch.end(), [&](const OperationPointer& _other) {
				return operation->key == _other->key;
			});
			if (!keyInBatch && operation->dueAt <= now && batch.size() < kMaxBatch)
			{
				batch.push_back(operation);
			}
		}
		return batch;
	}

	void Claims::threadMain()
	{
		PlatformClient client(this->settings.platform, this->settings.zone, kPlatformTimeoutMs, platformBodyLimit(this->settings.memoryMb));
		while (true)
		{
			std::vector<OperationPointer> batch;
			{
				absl::MutexLock lock(&this->mutex);
				const auto hasWork = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
					return this->stopping || !this->operations.empty();
				};
				this->mutex.Await(absl::Condition(&hasWork));
				if (this->stopping || this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), absl::Milliseconds(this->batchIntervalMs())))
				{
					return;
				}
				batch = this->nextBatch();
				if (batch.empty())
				{
					const auto hasDue = [this]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
						return this->stopping || 0 == this->operations.back()->dueAt;
					};
					this->mutex.AwaitWithTimeout(absl::Condition(&hasDue), absl::Milliseconds(kIdleCheckMs));
					continue;
				}
			}
			this->handleBatch(client, batch);
			absl::MutexLock lock(&this->mutex);
			std::erase_if(this->operations, [](const OperationPointer& _operation) {
				return _operation->completed;
			});
		}
	}
} // namespace archdyke
