#include "gateway/watch.h"

#include <algorithm>

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "store/read_whole.h"

namespace archdyke::gateway
{
	namespace
	{
		/// How long a call for changes of the configuration hangs, as a share of the bound on
		/// withdrawn keys: the proof is as old at most, so that a call that fails at once leaves
		/// time for others. Each call is paid for.
		constexpr double kWaitShareOfRevocation = 0.45;
		constexpr Millis kMostWaitMs = 5'000; ///< At most, however long the bound is.
		/// How long a call for changes of the other tables hangs, ms: a change ends it at once, and so does a failed
		/// call for the configuration. The length only bounds how long one that the store has lost goes unnoticed.
		constexpr Millis kUpstreamsWaitMs = 10'000;
		constexpr Millis kCrashesWaitMs = 3'000;
		/// Between two calls that brought changes of the configuration, ms: changes that come close
		/// together come in one answer, since each call is paid for.
		constexpr Millis kConfigurationPauseMs = 120;
		/// Pause after an answer that brought crashes, ms: those of one upstream are told by several gateways.
		constexpr Millis kCrashesPauseMs = 500;
		/// Before a call is tried again after a failure, ms, and the most it grows to.
		constexpr Millis kRetryMs = 150;
		constexpr Millis kMostRetryMs = 600;
		/// While a coordinator tells gateways, all of them together make a call so often, ms between two, once what it
		/// tells is too old. It asks the store itself meanwhile, and tells as soon as it has an answer.
		constexpr double kTurnMsPerGateway = 70.0;
		/// How long a call for a first configuration hangs, ms: there is nothing to prove yet.
		constexpr Millis kFirstWaitMs = 10'000;
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
		/// Pause after changes of the upstreams, as a share of that time.
		constexpr double kPauseShareOfChange = 0.15;
		/// Between two looks whether enough is told, ms.
		constexpr Millis kToldLookMs = 50;
		/// From this share of the bound on withdrawn keys on, a store that nobody had an answer of
		/// was away: upstreams' rows lapse after some longer time.
		constexpr double kAwayShareOfRevocation = 0.6;
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

	StoreWatch::StoreWatch(GatewayState& _state, store::TableStore& _store, store::TableNames _names, DocumentDecoders _decoders)
	    : state(_state)
	    , store(_store)
	    , names(std::move(_names))
	    , decoders(_decoders)
	    , crashTeller(_state, _store)
	{
		this->operators.name = this->names.configuration;
		this->operators.table = &store::FollowedTables::operators;
		this->operators.isTold = &StoreWatch::operatorsAreTold;
		this->operators.waitMs = &StoreWatch::operatorsWait;
		this->operators.take = &StoreWatch::takeOperators;
		this->operators.pauseMs = kConfigurationPauseMs;
		this->upstreams.name = this->names.upstreams;
		this->upstreams.table = &store::FollowedTables::upstreams;
		this->upstreams.isTold = &StoreWatch::upstreamsAreTold;
		this->upstreams.waitMs = &StoreWatch::upstreamsWait;
		this->upstreams.take = &StoreWatch::takeUpstreams;
		this->upstreams.pauseMs = this->shareOfChange(kPauseShareOfChange);
		this->crashes.name = store::kCrashTable;
		this->crashes.table = &store::FollowedTables::crashes;
		this->crashes.isTold = &StoreWatch::crashesAreTold;
		this->crashes.waitMs = &StoreWatch::crashesWait;
		this->crashes.take = &StoreWatch::takeCrashes;
		this->crashes.pauseMs = kCrashesPauseMs;
		const auto fatal = [](kj::Exception&& _error) {
			logError("watch_ended", {{"reason", _error.getDescription().cStr()}, {"remedy", "restart the process and report this line"}});
		};
		this->beginning = this->begin().take().eagerlyEvaluate(fatal);
		this->followingTime = this->followTime().take().eagerlyEvaluate(fatal);
	}

	void StoreWatch::noteCall(Feed& _feed, bool _answered, const std::string& _reason)
	{
		const bool before = _feed.answered;
		_feed.answered = _answered;
		if (!before && _answered && &this->upstreams == &_feed)
		{
			this->upstreamsBackAt = nowMs();
		}
		if (!_answered && &this->operators == &_feed)
		{
			this->interruptCalls(_feed);
		}
		if (before != _answered)
		{
			logWarning(_answered ? "store_back" : "store_lost", {{"table", _feed.name}, {"reason", _reason}, {"proof_age_ms", proofAge(this->state.freshness, nowMs()).value_or(-1)}, {"catalog", versionOf(this->state.catalog)}});
		}
	}

	void StoreWatch::interruptCalls(const Feed& _but)
	{
		for (Feed* feed : {&this->operators, &this->upstreams, &this->crashes})
		{
			if (feed != &_but && nullptr != feed->interrupt.get())
			{
				feed->interrupt->reject(KJ_EXCEPTION(DISCONNECTED, "another call to the store failed"));
			}
		}
	}

	Millis StoreWatch::shareOfRevocation(double _share) const
	{
		return Millis(_share * double(this->state.settings.bounds.revocationMs));
	}

	Millis StoreWatch::shareOfChange(double _share) const
	{
		return Millis(_share * double(this->state.settings.bounds.changeMs));
	}

	store::ConfigurationProof StoreWatch::proof() const
	{
		return std::max(this->toldProof, store::proofOf(this->tables.operators));
	}

	store::TableVersions StoreWatch::versions() const
	{
		return store::versionsOf(this->tables);
	}

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

	Millis StoreWatch::operatorsWait() const
	{
		if (nullptr == this->state.catalog)
		{
			return kFirstWaitMs;
		}
		if (0 != this->behindSince)
		{
			return 0; // there is a change, or a whole read that covers one; the answer tells up to there
		}
		const Millis usual = std::min(kMostWaitMs, this->shareOfRevocation(kWaitShareOfRevocation));
		const Millis age = proofAge(this->state.freshness, nowMs()).value_or(0);
		return std::max<Millis>(0, usual - age); // what was told has an age already
	}

	Millis StoreWatch::upstreamsWait() const
	{
		return kUpstreamsWaitMs;
	}

	Millis StoreWatch::crashesWait() const
	{
		return kCrashesWaitMs;
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

	void StoreWatch::noteAnswer(Millis _answeredAt)
	{
		const Millis silent = _answeredAt - this->answeredAt;
		if (0 != this->answeredAt && silent > this->shareOfRevocation(kAwayShareOfRevocation))
		{
			logWarning("store_was_away", {{"silent_ms", silent}});
			this->upstreamsBackAt = nowMs();
			if (nullptr != this->crashes.interrupt.get())
			{
				this->crashes.interrupt->reject(KJ_EXCEPTION(DISCONNECTED, "the store was away"));
			}
		}
		this->answeredAt = std::max(this->answeredAt, _answeredAt);
	}

	void StoreWatch::act(const Feed& _feed, std::uint64_t _known)
	{
		const store::FollowedTable& table = this->tables.*_feed.table;
		if (table.version != _known)
		{
			(this->*_feed.take)(store::rowsSince(table, _known), _known, _known < table.wholeAt);
		}
	}

	aio::Task<store::Rows> StoreWatch::call(Feed& _feed, bool _whole)
	{
		std::string name = _feed.name;
		if (_whole)
		{
			return store::readWhole(this->store, std::move(name));
		}
		auto interrupt = kj::newPromiseAndFulfiller<store::Rows>();
		_feed.interrupt = kj::mv(interrupt.fulfiller);
		kj::Promise<store::Rows> changes = this->store.follow(std::move(name), (this->tables.*_feed.table).version, (this->*_feed.waitMs)()).take();
		return changes.exclusiveJoin(kj::mv(interrupt.promise));
	}

	Millis StoreWatch::takeAnswer(Feed& _feed, const store::Rows& _rows, bool _whole)
	{
		store::FollowedTable& table = this->tables.*_feed.table;
		const std::uint64_t known = table.version;
		if (_rows.storeTime)
		{
			noteClock(this->state.freshness, _rows.sentAt, *_rows.storeTime);
		}
		this->noteAnswer(_rows.storeTime ? ownTimeOf(this->state.freshness, *_rows.storeTime).value_or(_rows.sentAt) : _rows.sentAt);
		store::takeRows(table, _rows, _whole);
		_feed.needsWhole = false;
		this->act(_feed, known);
		// A newer configuration that can't be read may withdraw keys: what is held proves nothing.
		if (&this->operators == &_feed && nullptr != this->state.catalog && 0 == this->unreadableRow)
		{
			noteProof(this->state.freshness, _rows.sentAt, _rows.storeTime);
		}
		this->behindSince = isBehind(this->state.operators, this->toldProof.changedAt) ? this->behindSince : 0;
		return _rows.rows.empty() ? 0 : _feed.pauseMs;
	}

	aio::Task<void> StoreWatch::follow(Feed& _feed)
	{
		Millis retryMs = kRetryMs;
		while (true)
		{
			co_await this->waitWhileTold(_feed);
			// The configuration is asked for by its first change: that call waits until there is one.
			const bool unread = 0 == (this->tables.*_feed.table).version && &this->operators != &_feed;
			const bool whole = _feed.needsWhole || unread;
			std::string failure;
			Millis pauseMs = 0;
			try
			{
				const store::Rows rows = co_await this->call(_feed, whole);
				this->noteCall(_feed, true, "");
				retryMs = kRetryMs;
				if (rows.historyGone)
				{
					logWarning("store_history_gone", {{"table", _feed.name}, {"since", (this->tables.*_feed.table).version}});
					_feed.needsWhole = true;
					continue;
				}
				pauseMs = this->takeAnswer(_feed, rows, whole);
			}
			catch (const kj::Exception& error)
			{
				failure = error.getDescription().cStr();
			}
			if (!failure.empty())
			{
				this->noteCall(_feed, false, failure);
				const Millis retryAfterMs = this->retryAfter(retryMs);
				retryMs = std::min(kMostRetryMs, 2 * retryMs);
				co_await this->waitUnlessTold(retryAfterMs);
				continue;
			}
			co_await this->state.loop.timer.afterDelay(pauseMs * kj::MILLISECONDS);
		}
	}

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
