/// The part of the store's watch that begins: a process that starts asks its neighbours first.
#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "gateway/watch.h"

namespace archdyke::gateway
{
	namespace
	{
		/// A process that starts asks daemons before it reads the tables from the store; for this long at most, ms.
		constexpr Millis kIntroductionMs = 600;
		constexpr Millis kIntroductionLookMs = 10;
		/// So many that have no news have just started as well.
		constexpr std::uint32_t kUntoldToCall = 2;
		/// When a whole system starts for the first time, engines start and register for some seconds, ms, and nothing is
		/// served before. Then a gateway asks for longer, and waits for what daemons have begun to tell.
		constexpr Millis kFirstStartMs = 5'000;
		constexpr Millis kFirstSpreadMs = 1'000;
		constexpr Millis kFirstUntoldMs = 1'000;
		constexpr Millis kFirstIntroductionMs = 4'000;
	} // namespace

	aio::Task<void> StoreWatch::learnSomeUpstreams()
	{
		try
		{
			const std::string none;
			const store::Rows rows = co_await this->store.read(this->names.upstreams, none, none);
			if (rows.more)
			{
				noteClock(this->state.freshness, rows.sentAt, rows.storeTime.value_or(rows.sentAt));
				for (const store::Row& row : store::inOrderOfWriting(rows.rows))
				{
					this->takeUpstream(row, false);
				}
			}
			else
			{
				this->takeAnswer(this->upstreams, rows, true);
			}
		}
		catch (const kj::Exception& error)
		{
			logWarning("upstreams_unread", {{"reason", error.getDescription().cStr()}, {"remedy", "none: the tables are read from the store as soon as it answers"}});
		}
	}

	aio::Task<void> StoreWatch::begin()
	{
		const bool first = this->state.settings.firstStart;
		if (first)
		{
			const Millis pauseMs = kFirstStartMs + Millis(randomBelow(this->state.random, std::uint64_t(kFirstSpreadMs)));
			co_await this->state.loop.timer.afterDelay(pauseMs * kj::MILLISECONDS);
		}
		const Millis begunAt = nowMs();
		const Millis until = begunAt + (first ? kFirstIntroductionMs : kIntroductionMs);
		co_await this->learnSomeUpstreams().take().exclusiveJoin(this->state.loop.timer.afterDelay(kIntroductionMs * kj::MILLISECONDS));
		const auto isIntroduced = [this] {
			return 0 != this->tables.operators.version && 0 != this->tables.upstreams.version;
		};
		const auto mayBeTold = [&] {
			return 0 != this->toldAt || this->untold < kUntoldToCall || (first && nowMs() - begunAt < kFirstUntoldMs);
		};
		while (nowMs() < until && mayBeTold() && !isIntroduced() && !this->state.board.all().empty())
		{
			co_await this->state.loop.timer.afterDelay(kIntroductionLookMs * kj::MILLISECONDS);
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
