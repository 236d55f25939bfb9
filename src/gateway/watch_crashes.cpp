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

		/// Takes up to a number of crashes off a queue.
		std::vector<Crash> takeSome(std::vector<Crash>& _queue, std::size_t _most)
		{
			const auto end = _queue.begin() + std::ptrdiff_t(std::min(_most, _queue.size()));
			std::vector<Crash> taken(_queue.begin(), end);
			_queue.erase(_queue.begin(), end);
			return taken;
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
			for (const Crash& crash : record.untold)
			{
				noteCrash(record.table, crash, nowMs());
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
		if (this->crashesForgottenAt <= now)
		{
			const std::vector<Crash> old = forgetCrashes(record.table, now);
			record.cleared.insert(record.cleared.end(), old.begin(), old.end());
			this->crashesForgottenAt = now + kForgetMs + Millis(randomBelow(this->state.random, kForgetMs));
		}
		const bool idle = record.untold.empty() && record.cleared.empty();
		if (idle || this->tellingCrashes || now < this->crashesToldAgainAt)
		{
			return;
		}
		this->tellingCrashes = true;
		std::vector<Crash> seen = takeSome(record.untold, store::kMostChanges);
		std::vector<Crash> cleared = takeSome(record.cleared, store::kMostChanges - seen.size());
		this->telling = this->writeCrashes(std::move(seen), std::move(cleared)).take().eagerlyEvaluate(nullptr);
	}

	aio::Task<void> StoreWatch::writeCrashes(std::vector<Crash> _seen, std::vector<Crash> _cleared)
	{
		CrashRecord& record = this->state.crashes;
		store::RowChanges changes;
		const std::string storeTime = std::to_string(nowMs() - this->state.freshness.offset.value_or(0));
		for (const Crash& crash : _seen)
		{
			if (holds(record.table, crash)) // else it was cleared before it was told
			{
				changes.put.push_back({rowKey(crash), storeTime, 0, false});
			}
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
			record.untold.insert(record.untold.begin(), _seen.begin(), _seen.end());
			record.cleared.insert(record.cleared.begin(), _cleared.begin(), _cleared.end());
			this->crashesToldAgainAt = nowMs() + this->retryAfter(kWriteAgainMs);
		}
	}
} // namespace archdyke::gateway
