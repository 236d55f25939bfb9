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
		/// Between fingerprint and incarnation in a row's key.
		constexpr char kSeparator = '/';
		/// A crash that is the first one of its request waits so long before it is told, ms: most are those of
		/// bystanders, whose next run clears them. Each row that is written wakes all gateways.
		constexpr Millis kTellAfterMs = 800;
		/// Rows that were cleared wait so long before they are removed, ms, unless others are written.
		constexpr Millis kRemoveAfterMs = 4'000;
		/// After a write that failed, ms, and as much again by chance.
		constexpr Millis kWriteAgainMs = 150;
		/// Between two looks for crashes that are too old, ms; spread so that one gateway removes a row for all.
		constexpr Millis kForgetMs = 30'000;

		store::RowKey rowKey(const Crash& _crash)
		{
			return {store::kCrashTable, "", _crash.request + kSeparator + _crash.incarnation};
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

	std::optional<CrashRow> readCrashRow(const store::Row& _row)
	{
		const std::string& key = _row.key.key;
		const std::size_t at = key.find(kSeparator);
		CrashRow row;
		const bool readable = 0 != at && std::string::npos != at && key.size() != at + 1 && (_row.gone || absl::SimpleAtoi(asAbsl(_row.value), &row.storeTime));
		if (!readable)
		{
			return std::nullopt;
		}
		row.crash = {key.substr(0, at), key.substr(at + 1)};
		return row;
	}

	CrashTeller::CrashTeller(GatewayState& _state, store::TableStore& _store)
	    : state(_state)
	    , store(_store)
	{
	}

	void CrashTeller::step()
	{
		CrashRecord& record = this->state.crashes;
		const Millis now = nowMs();
		if (this->forgetAt <= now)
		{
			removeFromStore(record, forgetCrashes(record.table, now), now);
			this->forgetAt = now + kForgetMs + Millis(randomBelow(this->state.random, kForgetMs));
		}
		if (!isDue(record, now) || this->isWriting || now < this->writeAt)
		{
			return;
		}
		this->isWriting = true;
		record.telling = takeSome(record.untold, store::kMostChanges);
		std::vector<Crash> cleared = takeSome(record.cleared, store::kMostChanges - record.telling.size());
		this->writing = this->write(std::move(cleared)).take().eagerlyEvaluate(nullptr);
	}

	aio::Task<void> CrashTeller::write(std::vector<Crash> _cleared)
	{
		CrashRecord& record = this->state.crashes;
		store::RowChanges changes;
		for (const UntoldCrash& untold : record.telling)
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
			co_await this->store.change(std::move(changes));
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		this->isWriting = false;
		std::vector<UntoldCrash> seen = std::exchange(record.telling, {});
		if (!failure.empty())
		{
			logWarning("crashes_untold", {{"crashes", seen.size()}, {"cleared", _cleared.size()}, {"reason", failure}});
			std::erase_if(seen, [&](const UntoldCrash& _untold) {
				return !isHeld(record.table, _untold.crash); // cleared meanwhile
			});
			record.untold.insert(record.untold.begin(), seen.begin(), seen.end());
			record.cleared.insert(record.cleared.begin(), _cleared.begin(), _cleared.end());
			this->writeAt = nowMs() + kWriteAgainMs + Millis(randomBelow(this->state.random, kWriteAgainMs));
		}
	}
} // namespace archdyke::gateway
