#include "gateway/crash_teller.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <utility>

#include "aio/task.h"
#include "archdyke/text.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Separates suspect and incarnation in a row's key, and the time of the crash and the run's length in its value.
		constexpr char kSeparator = '/';
		/// Delay before the first crash of a request is written, ms. Most such requests were just running beside the one
		/// that caused the crash, and their next run clears them; each row that is written wakes all gateways.
		constexpr Millis kPublishDelayMs = 800;
		/// Delay after a failed write, ms, plus a random jitter of up to the same length.
		constexpr Millis kWriteRetryMs = 150;
		/// Minimum interval between checks for expired crashes, ms. Random jitter is added, so that one gateway removes a
		/// row for all.
		constexpr Millis kExpiryIntervalMs = 30'000;
		/// Maximum magnitude of the times in a row, ms: that from 1970 to the end of the year 2099. Later ones are another writer's,
		/// would never expire, and their sums could overflow.
		constexpr Millis kMaxTimeMs = 4'102'444'800'000;

		store::RowKey rowKey(const Crash& _crash)
		{
			return {store::kCrashTable, "", _crash.suspect + kSeparator + _crash.incarnation};
		}

		/// Removes up to a number of items from the front of a queue and returns them.
		template <typename Item>
		std::vector<Item> popFront(std::vector<Item>& _queue, std::size_t _maxCount)
		{
			const auto end = _queue.begin() + std::ptrdiff_t(std::min(_maxCount, _queue.size()));
			std::vector<Item> taken(_queue.begin(), end);
			_queue.erase(_queue.begin(), end);
			return taken;
		}

		/// @returns Whether a write to the store is due.
		bool isWriteDue(const CrashRecord& _record, Millis _now)
		{
			const bool anyUrgent = std::any_of(_record.unpublished.begin(), _record.unpublished.end(), [](const UnpublishedCrash& _unpublished) {
				return _unpublished.urgent;
			});
			const bool isPublishDue = anyUrgent || (!_record.unpublished.empty() && _record.unpublished.front().run.at + kPublishDelayMs <= _now);
			return isPublishDue || (!_record.cleared.empty() && _record.removalDueAt <= _now);
		}
	} // namespace

	std::optional<CrashRow> readCrashRow(const store::Row& _row)
	{
		const std::string& key = _row.key.key;
		const std::size_t at = key.find(kSeparator);
		CrashRow row;
		const std::vector<std::string_view> times = splitText(_row.value, kSeparator);
		const bool timed = 2 == times.size() && absl::SimpleAtoi(asAbsl(times[0]), &row.storeTime) && absl::SimpleAtoi(asAbsl(times[1]), &row.runMs) && 0 <= row.runMs;
		const auto inRange = [&] {
			return -kMaxTimeMs <= row.storeTime && row.storeTime <= kMaxTimeMs && row.runMs <= kMaxTimeMs;
		};
		const bool readable = 0 != at && std::string::npos != at && key.size() != at + 1 && (_row.gone || ((timed || absl::SimpleAtoi(asAbsl(_row.value), &row.storeTime)) && inRange()));
		if (!readable)
		{
			return std::nullopt;
		}
		row.crash = {key.substr(0, at), key.substr(at + 1)};
		return row;
	}

	CrashPublisher::CrashPublisher(GatewayState& _state, store::TableStore& _store)
	    : state(_state)
	    , store(_store)
	{
	}

	void CrashPublisher::step()
	{
		CrashRecord& record = this->state.crashes;
		const Millis now = nowMs();
		if (this->nextExpiryAt <= now)
		{
			removeFromStore(this->state, removeExpiredCrashes(record.table, now), now);
			this->nextExpiryAt = now + kExpiryIntervalMs + Millis(randomBelow(this->state.random, kExpiryIntervalMs));
		}
		if (!isWriteDue(record, now) || this->isWriting || now < this->retryWriteAt)
		{
			return;
		}
		this->isWriting = true;
		record.publishing = popFront(record.unpublished, store::kMaxRowChanges);
		std::vector<Crash> cleared = popFront(record.cleared, store::kMaxRowChanges - record.publishing.size());
		this->writing = this->write(std::move(cleared)).take().eagerlyEvaluate(nullptr);
	}

	aio::Task<void> CrashPublisher::write(std::vector<Crash> _cleared)
	{
		CrashRecord& record = this->state.crashes;
		store::RowChanges changes;
		for (const UnpublishedCrash& unpublished : record.publishing)
		{
			const Millis storeTime = unpublished.run.at - this->state.freshness.offset.value_or(0);
			const Millis runMs = unpublished.run.at - unpublished.run.startedAt;
			changes.put.push_back({rowKey(unpublished.crash), std::to_string(storeTime) + kSeparator + std::to_string(runMs), 0, false});
		}
		for (const Crash& crash : _cleared)
		{
			changes.remove.push_back(rowKey(crash));
		}
		std::string failure;
		try
		{
			co_await this->store.change(std::move(changes));
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		this->isWriting = false;
		std::vector<UnpublishedCrash> attempted = std::exchange(record.publishing, {});
		if (!failure.empty())
		{
			logWarning("crashes_not_published", {{"crashes", attempted.size()}, {"cleared", _cleared.size()}, {"reason", failure}});
			std::erase_if(attempted, [&](const UnpublishedCrash& _unpublished) {
				return !isHeld(record.table, _unpublished.crash); // cleared meanwhile
			});
			record.unpublished.insert(record.unpublished.begin(), attempted.begin(), attempted.end());
			record.cleared.insert(record.cleared.begin(), _cleared.begin(), _cleared.end());
			this->retryWriteAt = nowMs() + kWriteRetryMs + Millis(randomBelow(this->state.random, kWriteRetryMs));
		}
	}
} // namespace archdyke::gateway
