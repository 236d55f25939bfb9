/// The part of the store's watch that goes by what daemons tell: their news, and whether they tell enough.
#include <algorithm>

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "gateway/watch.h"

namespace archdyke::gateway
{
	namespace
	{
		/// While a coordinator tells gateways, all of them together make a call so often, ms between two, once what it
		/// tells is too old. It asks the store itself meanwhile, and tells as soon as it has an answer.
		constexpr double kTurnMsPerGateway = 70.0;
		/// A coordinator that told nothing for this long is gone, ms: some of its answers.
		constexpr Millis kToldMaxAgeMs = 700;
		/// What was told of the store counts while it is younger than this share of the time in which a
		/// change is to be in force. It bounds how late a change is noticed when the teller has lost the
		/// store, and leaves time for a call of one's own.
		constexpr double kNewsShareOfChange = 0.6;
		/// The same for crashes, ms: a coordinator's call for them hangs for 3 s.
		constexpr Millis kCrashNewsMs = 5'000;
		/// A change that others tell of is read from the store when its rows haven't come for this share of that time.
		constexpr double kRowsShareOfChange = 0.25;
		/// Between two looks whether enough is told, ms.
		constexpr Millis kToldLookMs = 50;
	} // namespace

	bool StoreWatch::isToldLately(const Feed& _feed, Millis _now, Millis _mostMs) const
	{
		const bool known = 0 != (this->tables.*_feed.table).version;
		return known && _now - this->toldAt <= kToldMaxAgeMs && _now - _feed.toldFrom < _mostMs;
	}

	bool StoreWatch::operatorsAreTold(Millis _now) const
	{
		if (_now < this->settlesUntil)
		{
			return true;
		}
		const Millis mostMs = this->shareOfChange(kNewsShareOfChange);
		if (nullptr == this->state.catalog)
		{
			return this->isToldLately(this->operators, _now, mostMs); // that there is none yet
		}
		const bool told = _now - this->toldAt <= kToldMaxAgeMs && proofAge(this->state.freshness, _now).value_or(mostMs) < mostMs;
		const bool rowsAreLate = 0 != this->behindSince && _now - this->behindSince > this->shareOfChange(kRowsShareOfChange);
		return told && !rowsAreLate && 0 == this->unreadableRow;
	}

	bool StoreWatch::upstreamsAreTold(Millis _now) const
	{
		if (nullptr == this->state.catalog)
		{
			return true; // without routes nobody needs them, and they register one by one
		}
		if (0 == this->tables.upstreams.version)
		{
			return false;
		}
		return _now < this->settlesUntil || this->isToldLately(this->upstreams, _now, this->shareOfChange(kNewsShareOfChange));
	}

	bool StoreWatch::crashesAreTold(Millis _now) const
	{
		const bool nothingRuns = nullptr == this->state.catalog;
		return nothingRuns || _now < this->settlesUntil || this->isToldLately(this->crashes, _now, kCrashNewsMs);
	}

	Millis StoreWatch::drawTurn()
	{
		const Millis allMs = std::max<Millis>(1, Millis(kTurnMsPerGateway * double(this->toldGateways)));
		return allMs / 2 + Millis(randomBelow(this->state.random, std::uint64_t(allMs) + 1));
	}

	Millis StoreWatch::retryAfter(Millis _retryMs)
	{
		const Millis ownMs = _retryMs / 2 + Millis(randomBelow(this->state.random, std::uint64_t(_retryMs) + 1));
		const bool told = nowMs() - this->toldAt <= kToldMaxAgeMs;
		return told ? std::max(ownMs, this->drawTurn()) : ownMs;
	}

	aio::Task<void> StoreWatch::waitUnlessTold(Millis _pauseMs)
	{
		// A proof of another process says that the store is back, and perhaps that there is a newer
		// configuration: one that slept on was 4 s late with it.
		const store::ConfigurationProof before = this->toldProof;
		const Millis until = nowMs() + _pauseMs;
		while (nowMs() < until && this->toldProof == before)
		{
			co_await this->state.loop.timer.afterDelay(std::min(kToldLookMs, _pauseMs) * kj::MILLISECONDS);
		}
	}

	aio::Task<void> StoreWatch::waitWhileTold(Feed& _feed)
	{
		while (true)
		{
			while ((this->*_feed.isTold)(nowMs()))
			{
				co_await this->state.loop.timer.afterDelay(kToldLookMs * kj::MILLISECONDS);
			}
			const bool toldLately = 0 != (this->tables.*_feed.table).version && 0 == this->behindSince && nowMs() - this->toldAt <= kToldMaxAgeMs;
			if (!toldLately)
			{
				co_return;
			}
			co_await this->waitUnlessTold(this->drawTurn());
			if (!(this->*_feed.isTold)(nowMs()))
			{
				co_return;
			}
		}
	}

	void StoreWatch::noteUntold()
	{
		this->untold += 1;
	}

	void StoreWatch::takeTableNews(Feed& _feed, const store::TableNews& _news)
	{
		store::FollowedTable& table = this->tables.*_feed.table;
		const std::uint64_t known = table.version;
		if (!store::takeNews(table, _news))
		{
			logWarning("news_unusable", {{"table", _feed.name}, {"version", _news.version}, {"known", known}, {"remedy", "none: the table is asked for whole"}});
			return;
		}
		const std::optional<Millis> from = _news.storeTime ? ownTimeOf(this->state.freshness, *_news.storeTime) : std::nullopt;
		if (!from || 0 == table.version || table.version < _news.version)
		{
			return;
		}
		this->noteAnswer(*from);
		_feed.toldFrom = std::max(_feed.toldFrom, *from);
		_feed.needsWhole = false;
		this->act(_feed, known);
	}

	void StoreWatch::takeNews(const CoordinatorNews& _news)
	{
		this->toldAt = nowMs();
		this->toldGateways = _news.gateways;
		this->toldProof = std::max(this->toldProof, _news.proof);
		this->takeTableNews(this->operators, _news.tables.operators);
		this->takeTableNews(this->crashes, _news.tables.crashes);
		this->takeTableNews(this->upstreams, _news.tables.upstreams);
		// A later proof that tells of a change that isn't known here says nothing; the table's own holds.
		const bool behind = isBehind(this->state.operators, this->proof().changedAt);
		const store::ConfigurationProof holds = behind ? store::proofOf(this->tables.operators) : this->proof();
		this->behindSince = !behind ? 0 : (0 == this->behindSince ? this->toldAt : this->behindSince);
		if (0 != holds.changedAt && nullptr != this->state.catalog && 0 == this->unreadableRow)
		{
			noteToldProof(this->state.freshness, holds.storeTime);
			this->noteAnswer(this->state.freshness.provenAt.value_or(0));
		}
	}
} // namespace archdyke::gateway
