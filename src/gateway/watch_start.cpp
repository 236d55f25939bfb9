// Start of the watch: a new process gets the tables from daemons where it can.
#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "gateway/watch.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Maximum time that a new process waits for tables from daemons before it reads them from the store, ms.
		constexpr Millis kPeerQueryMs = 600;
		constexpr Millis kPeerQueryPollMs = 10;
		/// After this many daemons without an update the store is read: the daemons have just started, too.
		constexpr std::uint32_t kMaxEmptyUpdates = 2;
		/// Delay at the first start of a whole system, ms, since engines take some seconds to start and register and nothing
		/// is served before. The gateway then also waits longer for daemons that have begun to relay updates.
		constexpr Millis kFirstStartDelayMs = 5'000;
		constexpr Millis kFirstStartJitterMs = 1'000;
		constexpr Millis kFirstStartMinPeerQueryMs = 1'000;
		constexpr Millis kFirstStartPeerQueryMs = 4'000;
	} // namespace

	aio::Task<void> StoreWatch::readFirstUpstreams()
	{
		try
		{
			const std::string none;
			const store::Rows rows = co_await this->store.read(this->names.upstreams, none, none);
			if (rows.more)
			{
				recordStoreClock(this->state.freshness, rows.sentAt, rows.storeTime.value_or(rows.sentAt));
				for (const store::Row& row : store::sortedByVersion(rows.rows))
				{
					this->applyUpstreamRow(row, false);
				}
			}
			else
			{
				this->applyStoreResponse(this->upstreams, rows, true);
			}
		}
		catch (const kj::Exception& error)
		{
			logWarning("upstreams_unread", {{"reason", error.getDescription().cStr()}, {"remedy", "none: the tables are read from the store as soon as it responds"}});
		}
	}

	aio::Task<void> StoreWatch::start()
	{
		const bool first = this->state.settings.firstStart;
		if (first)
		{
			const Millis pauseMs = kFirstStartDelayMs + Millis(randomBelow(this->state.random, std::uint64_t(kFirstStartJitterMs)));
			co_await this->state.loop.timer.afterDelay(pauseMs * kj::MILLISECONDS);
		}
		const Millis begunAt = nowMs();
		const Millis until = begunAt + (first ? kFirstStartPeerQueryMs : kPeerQueryMs);
		co_await this->readFirstUpstreams().take().exclusiveJoin(this->state.loop.timer.afterDelay(kPeerQueryMs * kj::MILLISECONDS));
		const auto hasTables = [this] {
			return 0 != this->tables.operators.version && 0 != this->tables.upstreams.version;
		};
		const auto mayGetUpdate = [&] {
			return 0 != this->lastUpdateAt || this->emptyUpdates < kMaxEmptyUpdates || (first && nowMs() - begunAt < kFirstStartMinPeerQueryMs);
		};
		while (nowMs() < until && mayGetUpdate() && !hasTables() && !this->state.registry.all().empty())
		{
			co_await this->state.loop.timer.afterDelay(kPeerQueryPollMs * kj::MILLISECONDS);
		}
		const auto fatal = [](kj::Exception&& _error) {
			logError("watch_ended", {{"reason", _error.getDescription().cStr()}, {"remedy", "restart the process and report this line"}});
		};
		for (Feed* feed : {&this->operators, &this->upstreams, &this->crashes})
		{
			feed->following = this->follow(*feed).take().eagerlyEvaluate(fatal);
		}
	}
} // namespace archdyke::gateway
