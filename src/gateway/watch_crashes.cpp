/// The part of the store's watch that shares crashes between gateways: one row for each request and upstream.
#include <absl/strings/numbers.h>
#include <algorithm>

#include "archdyke/text.h"
#include "base/log.h"
#include "base/process.h"
#include "gateway/watch.h"
#include "store/read_whole.h"

namespace archdyke::gateway
{
	namespace
	{
		constexpr const char* kTable = "archdyke_crashes";
		/// Between fingerprint and incarnation in a row's key.
		constexpr char kSeparator = '/';
		/// How long a call for crashes hangs, ms: each gateway makes its own, so longer where there are many. A crash
		/// ends it at once; the length only bounds how long one that the store has lost goes unnoticed.
		constexpr Millis kWaitMsPerGateway = 300;
		constexpr Millis kLeastWaitMs = 3'000;
		constexpr Millis kMostWaitMs = 10'000;
		/// A crash that is the first one of its request waits so long before it is told, ms: most are those of
		/// bystanders, whose next run clears them. Each row that is written wakes all gateways.
		constexpr Millis kTellAfterMs = 800;
		/// Rows that were cleared wait so long before they are removed, ms, unless others are written.
		constexpr Millis kRemoveAfterMs = 4'000;
		/// After a write that failed, ms.
		constexpr Millis kWriteAgainMs = 200;
		/// Between two looks for crashes that are too old, ms; spread so that one gateway removes a row for all.
		constexpr Millis kForgetMs = 30'000;

		store::RowKey rowKey(const Crash& _crash)
		{
			return {kTable, "", _crash.request + kSeparator + _crash.incarnation};
		}

		/// @returns none when the key is no crash's.
		std::optional<Crash> crashOf(const store::Row& _row)
		{
			const std::string& key = _row.key.key;
			const std::size_t at = key.find(kSeparator);
			if (0 == at || std::string::npos == at || key.size() == at + 1)
			{
				return std::nullopt;
			}
			return Crash{key.substr(0, at), key.substr(at + 1)};
		}

		/// Takes up to a number of items off a queue.
		template <typename Item>
		std::vector<Item> takeSome(std::vector<Item>& _queue, std::size_t _most)
		{
			const auto end = _queue.begin() + std::ptrdiff_t(std::min(_most, _queue.size()));
			std::vector<Item> taken(_queue.begin(), end);
			_queue.erase(_queue.begin(), end);
			return taken;
		}

		/// @returns Whether it is time to write to the store.
		bool isDue(const CrashRecord& _record, Millis _now)
		{
			const bool anyUrgent = std::any_of(_record.untold.begin(), _record.untold.end(), [](const UntoldCrash& _untold) {
				return _untold.urgent;
			});
			const bool toTell = anyUrgent || (!_record.untold.empty() && _record.untold.front().seenAt + kTellAfterMs <= _now);
			return toTell || (!_record.cleared.empty() && _record.clearedSince + kRemoveAfterMs <= _now);
		}
	} // namespace

	bool StoreWatch::crashesNeedNoCall() const
	{
		return nullptr == this->state.catalog; // nothing runs
	}

	Millis StoreWatch::crashesWait() const
	{
		return std::clamp(kWaitMsPerGateway * Millis(this->toldGateways), kLeastWaitMs, kMostWaitMs);
	}

	aio::Task<store::Rows> StoreWatch::nextCrashes(std::optional<std::uint64_t> _since)
	{
		if (!_since)
		{
			return store::readWhole(this->store, kTable);
		}
		return this->followLong(kTable, *_since, this->crashesWait(), this->crashesInterrupt);
	}

	void StoreWatch::takeCrashes(const store::Rows& _rows, bool _whole)
	{
		CrashRecord& record = this->state.crashes;
		if (_whole)
		{
			record.table = {};
			for (const UntoldCrash& untold : record.untold)
			{
				noteCrash(record.table, untold.crash, untold.seenAt);
			}
		}
		for (const store::Row& row : _rows.rows)
		{
			const std::optional<Crash> crash = crashOf(row);
			Millis at = 0;
			if (!crash || (!row.gone && !absl::SimpleAtoi(asAbsl(row.value), &at)))
			{
				logWarning("crash_unreadable", {{"key", row.key.key}});
			}
			else if (row.gone)
			{
				dropCrash(record.table, *crash);
			}
			else
			{
				takeCrash(record, *crash, ownTimeOf(this->state.freshness, at).value_or(nowMs()));
			}
		}
	}

	void StoreWatch::tellCrashes()
	{
		CrashRecord& record = this->state.crashes;
		const Millis now = nowMs();
		settleBrokenTries(this->state, now);
		if (this->crashesForgottenAt <= now)
		{
			removeFromStore(record, forgetCrashes(record.table, now), now);
			this->crashesForgottenAt = now + kForgetMs + Millis(randomBelow(this->state.random, kForgetMs));
		}
		if (!isDue(record, now) || this->tellingCrashes || now < this->crashesToldAgainAt)
		{
			return;
		}
		this->tellingCrashes = true;
		std::vector<UntoldCrash> seen = takeSome(record.untold, store::kMostChanges);
		std::vector<Crash> cleared = takeSome(record.cleared, store::kMostChanges - seen.size());
		this->telling = this->writeCrashes(std::move(seen), std::move(cleared)).take().eagerlyEvaluate(nullptr);
	}

	aio::Task<void> StoreWatch::writeCrashes(std::vector<UntoldCrash> _seen, std::vector<Crash> _cleared)
	{
		CrashRecord& record = this->state.crashes;
		store::RowChanges changes;
		for (const UntoldCrash& untold : _seen)
		{
			const Millis storeTime = untold.seenAt - this->state.freshness.offset.value_or(0);
			changes.put.push_back({rowKey(untold.crash), std::to_string(storeTime), 0, false});
		}
		for (const Crash& crash : _cleared)
		{
			changes.remove.push_back(rowKey(crash));
		}
		std::string failure;
		try
		{
			this->state.counters.storeCalls.Increment();
			co_await this->store.change(std::move(changes));
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		this->tellingCrashes = false;
		if (!failure.empty())
		{
			logWarning("crashes_untold", {{"crashes", _seen.size()}, {"cleared", _cleared.size()}, {"reason", failure}});
			this->state.counters.storeFailures.Increment();
			std::erase_if(_seen, [&](const UntoldCrash& _untold) {
				return !holds(record.table, _untold.crash); // cleared meanwhile
			});
			record.untold.insert(record.untold.begin(), _seen.begin(), _seen.end());
			record.cleared.insert(record.cleared.begin(), _cleared.begin(), _cleared.end());
			this->crashesToldAgainAt = nowMs() + this->retryAfter(kWriteAgainMs);
		}
	}
} // namespace archdyke::gateway
