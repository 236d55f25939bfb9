#include "gateway/watch.h"

#include <algorithm>
#include <utility>

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "store/read_whole.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Maximum duration of a call for changes of the configuration, as a share of the maximum time until a key is
		/// revoked. It limits the age of the proof, so that time for retries is left after a failed call. Not shorter, since
		/// each call is billed.
		constexpr double kWaitShareOfRevocation = 0.45;
		constexpr Millis kMaxWaitMs = 5'000; ///< Upper limit for that duration.
		/// Maximum duration of calls for changes of the other tables, ms. A change, or a failed call for the configuration,
		/// ends them at once; the duration only limits how long a call that the store has lost goes unnoticed.
		constexpr Millis kUpstreamsWaitMs = 10'000;
		constexpr Millis kCrashesWaitMs = 3'000;
		/// Pause after a response with changes of the configuration, ms. Changes that are close together are then read by
		/// one call, since each call is billed.
		constexpr Millis kConfigurationPauseMs = 120;
		/// Pause after a response with crashes, ms: several gateways publish the crashes of one upstream.
		constexpr Millis kCrashesPauseMs = 500;
		/// Initial and maximum delay before a failed call is retried, ms.
		constexpr Millis kRetryMs = 150;
		constexpr Millis kMaxRetryMs = 600;
		/// Maximum duration of a call for the first configuration, ms: no proof needs renewal yet.
		constexpr Millis kFirstWaitMs = 10'000;
		/// Pause after a response with upstreams, as a share of the maximum time until a change takes effect.
		constexpr double kPauseShareOfChange = 0.15;
		/// Time beyond the requested wait after which a response is logged as late, ms.
		constexpr Millis kLateResponseMs = 500;
		/// A store that responded to nobody for this share of the maximum time until a key is revoked counts as having been
		/// unreachable. Upstreams' rows expire after a longer time.
		constexpr double kAwayShareOfRevocation = 0.6;
	} // namespace

	StoreWatch::StoreWatch(GatewayState& _state, store::TableStore& _store, store::TableNames _names, DocumentDecoders _decoders)
	    : state(_state)
	    , store(_store)
	    , names(std::move(_names))
	    , decoders(_decoders)
	    , crashPublisher(_state, _store)
	{
		this->operators.name = this->names.configuration;
		this->operators.table = &store::FollowedTables::operators;
		this->operators.isCovered = &StoreWatch::operatorsAreCovered;
		this->operators.waitMs = &StoreWatch::operatorsWait;
		this->operators.apply = &StoreWatch::applyOperators;
		this->operators.pauseMs = kConfigurationPauseMs;
		this->upstreams.name = this->names.upstreams;
		this->upstreams.table = &store::FollowedTables::upstreams;
		this->upstreams.isCovered = &StoreWatch::upstreamsAreCovered;
		this->upstreams.waitMs = &StoreWatch::upstreamsWait;
		this->upstreams.apply = &StoreWatch::applyUpstreams;
		this->upstreams.pauseMs = this->shareOfChange(kPauseShareOfChange);
		this->crashes.name = store::kCrashTable;
		this->crashes.table = &store::FollowedTables::crashes;
		this->crashes.isCovered = &StoreWatch::crashesAreCovered;
		this->crashes.waitMs = &StoreWatch::crashesWait;
		this->crashes.apply = &StoreWatch::applyCrashes;
		this->crashes.pauseMs = kCrashesPauseMs;
		const auto fatal = [](kj::Exception&& _error) {
			logError("watch_ended", {{"reason", _error.getDescription().cStr()}, {"remedy", "restart the process and report this line"}});
		};
		this->startup = this->start().take().eagerlyEvaluate(fatal);
		this->periodicChecks = this->runPeriodicChecks().take().eagerlyEvaluate(fatal);
	}

	void StoreWatch::recordCall(Feed& _feed, bool _succeeded, const std::string& _reason)
	{
		const bool hadSucceeded = _feed.lastCallSucceeded;
		_feed.lastCallSucceeded = _succeeded;
		if (!hadSucceeded && _succeeded && &this->upstreams == &_feed)
		{
			this->upstreamsReadableSince = nowMs();
		}
		if (!_succeeded && &this->operators == &_feed)
		{
			this->interruptCalls(_feed);
		}
		if (hadSucceeded != _succeeded)
		{
			logWarning(_succeeded ? "store_back" : "store_lost", {{"table", _feed.name}, {"reason", _reason}, {"proof_age_ms", proofAge(this->state.freshness, nowMs()).value_or(-1)}, {"catalog", versionOf(this->state.catalog)}});
		}
	}

	void StoreWatch::logCalling(const Feed& _feed) const
	{
		const Millis now = nowMs();
		logInfo("store_followed", {{"table", _feed.name}, {"since", store::versionText((this->tables.*_feed.table).version)}, {"wait_ms", (this->*_feed.waitMs)()}, {"update_age_ms", now - this->lastUpdateAt}, {"proof_age_ms", proofAge(this->state.freshness, now).value_or(-1)}, {"behind", 0 != this->behindSince}});
	}

	void StoreWatch::logLateResponse(const Feed& _feed, Millis _waitMs, Millis _tookMs)
	{
		if (_waitMs + kLateResponseMs < _tookMs)
		{
			logWarning("store_response_late", {{"table", _feed.name}, {"wait_ms", _waitMs}, {"took_ms", _tookMs}});
		}
	}

	void StoreWatch::recordEra(std::uint64_t _era, const Feed& _feed)
	{
		const std::uint64_t before = this->era.value_or(_era);
		this->era = std::max(before, _era);
		if (before < _era)
		{
			logWarning("store_restored", {{"table", _feed.name}, {"era", _era}, {"before", before}, {"catalog", versionOf(this->state.catalog)}});
			this->upstreamsReadableSince = nowMs();
			this->interruptCalls(_feed);
		}
	}

	void StoreWatch::interruptCalls(const Feed& _but)
	{
		for (Feed* feed : {&this->operators, &this->upstreams, &this->crashes})
		{
			if (feed != &_but && nullptr != feed->interrupt.get())
			{
				feed->interrupt->reject(KJ_EXCEPTION(DISCONNECTED, "another call to the store failed, or showed that it is back from an earlier copy"));
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
		return std::max(this->relayedProof, store::proofOf(this->tables.operators));
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
		if (!this->operators.lastCallSucceeded)
		{
			return 0; // the response shows at once whether the store came back from an earlier copy
		}
		if (0 != this->behindSince)
		{
			return 0; // the change, or a full read that covers it, is available now; the response says up to which version
		}
		const Millis usual = std::min(kMaxWaitMs, this->shareOfRevocation(kWaitShareOfRevocation));
		const Millis age = proofAge(this->state.freshness, nowMs()).value_or(0);
		return std::max<Millis>(0, usual - age); // a relayed proof already has an age
	}

	Millis StoreWatch::upstreamsWait() const
	{
		return kUpstreamsWaitMs;
	}

	Millis StoreWatch::crashesWait() const
	{
		return kCrashesWaitMs;
	}

	void StoreWatch::recordStoreResponse(Millis _respondedAt)
	{
		const Millis silentMs = _respondedAt - this->lastStoreResponseAt;
		if (0 != this->lastStoreResponseAt && silentMs > this->shareOfRevocation(kAwayShareOfRevocation))
		{
			logWarning("store_was_away", {{"silent_ms", silentMs}});
			this->upstreamsReadableSince = nowMs();
			if (nullptr != this->crashes.interrupt.get())
			{
				this->crashes.interrupt->reject(KJ_EXCEPTION(DISCONNECTED, "the store was unreachable"));
			}
		}
		this->lastStoreResponseAt = std::max(this->lastStoreResponseAt, _respondedAt);
	}

	void StoreWatch::applyChanges(const Feed& _feed, std::uint64_t _known)
	{
		const store::FollowedTable& table = this->tables.*_feed.table;
		if (table.version != _known)
		{
			(this->*_feed.apply)(store::rowsSince(table, _known), _known, _known < table.fullReadVersion);
		}
	}

	aio::Task<store::Rows> StoreWatch::call(Feed& _feed, bool _whole)
	{
		std::string name = _feed.name;
		if (_whole)
		{
			return store::readFullTable(this->store, std::move(name));
		}
		auto interrupt = kj::newPromiseAndFulfiller<store::Rows>();
		_feed.interrupt = kj::mv(interrupt.fulfiller);
		kj::Promise<store::Rows> changes = this->store.follow(std::move(name), (this->tables.*_feed.table).version, (this->*_feed.waitMs)()).take();
		return changes.exclusiveJoin(kj::mv(interrupt.promise));
	}

	Millis StoreWatch::applyStoreResponse(Feed& _feed, const store::Rows& _rows, bool _whole)
	{
		store::FollowedTable& table = this->tables.*_feed.table;
		const std::uint64_t known = table.version;
		if (_rows.storeTime)
		{
			recordStoreClock(this->state.freshness, _rows.sentAt, *_rows.storeTime);
		}
		this->recordStoreResponse(_rows.storeTime ? toLocalTime(this->state.freshness, *_rows.storeTime).value_or(_rows.sentAt) : _rows.sentAt);
		if (_rows.version < known)
		{
			logWarning("store_response_dropped", {{"table", _feed.name}, {"whole_read", _whole}, {"version", store::versionText(_rows.version)}, {"known", store::versionText(known)}, {"rows", _rows.rows.size()}});
		}
		store::mergeRows(table, _rows, _whole);
		_feed.needsWhole = false;
		this->applyChanges(_feed, known);
		// A newer configuration that can't be decoded may revoke keys, so the current one must not count as proven.
		if (&this->operators == &_feed && nullptr != this->state.catalog && 0 == this->unreadableRow)
		{
			recordProof(this->state.freshness, _rows.sentAt, _rows.storeTime);
		}
		this->behindSince = isMissingChange(this->state.operators, this->relayedProof.changedAt) ? this->behindSince : 0;
		return _rows.rows.empty() ? 0 : _feed.pauseMs;
	}

	aio::Task<void> StoreWatch::follow(Feed& _feed)
	{
		Millis retryMs = kRetryMs;
		while (true)
		{
			if ((this->*_feed.isCovered)(nowMs()))
			{
				_feed.calling = false;
			}
			co_await this->waitWhileCovered(_feed);
			if (!std::exchange(_feed.calling, true))
			{
				this->logCalling(_feed);
			}
			const Millis calledAt = nowMs();
			const Millis waitMs = (this->*_feed.waitMs)();
			// The operators' table is followed from version 0 instead of read: that call waits for the first configuration.
			const bool unread = 0 == (this->tables.*_feed.table).version && &this->operators != &_feed;
			const bool whole = _feed.needsWhole || unread;
			std::string failure;
			Millis pauseMs = 0;
			try
			{
				const store::Rows rows = co_await this->call(_feed, whole);
				this->recordCall(_feed, true, "");
				logLateResponse(_feed, waitMs, nowMs() - calledAt);
				this->recordEra(rows.era, _feed);
				retryMs = kRetryMs;
				if (rows.historyTruncated)
				{
					logWarning("store_history_gone", {{"table", _feed.name}, {"since", store::versionText((this->tables.*_feed.table).version)}});
					_feed.needsWhole = true;
					continue;
				}
				pauseMs = this->applyStoreResponse(_feed, rows, whole);
			}
			catch (const kj::Exception& error)
			{
				failure = error.getDescription().cStr();
			}
			if (!failure.empty())
			{
				this->recordCall(_feed, false, failure);
				logLateResponse(_feed, waitMs, nowMs() - calledAt);
				const Millis retryAfterMs = this->retryDelayMs(retryMs);
				retryMs = std::min(kMaxRetryMs, 2 * retryMs);
				co_await this->waitForNewProof(retryAfterMs);
				continue;
			}
			co_await this->state.loop.timer.afterDelay(pauseMs * kj::MILLISECONDS);
		}
	}

} // namespace archdyke::gateway
