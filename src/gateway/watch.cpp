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
		/// How long a call for a first configuration hangs, ms: there is nothing to prove yet.
		constexpr Millis kFirstWaitMs = 10'000;
		/// Pause after changes of the upstreams, as a share of that time.
		constexpr double kPauseShareOfChange = 0.15;
		/// From this share of the bound on withdrawn keys on, a store that nobody had an answer of
		/// was away: upstreams' rows lapse after some longer time.
		constexpr double kAwayShareOfRevocation = 0.6;
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

} // namespace archdyke::gateway
