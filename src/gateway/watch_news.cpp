// Applies relayed updates of the store and decides whether they suffice.
#include <algorithm>

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "gateway/watch.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Mean interval between calls of all gateways of a coordinator together, ms, once its updates are too old. The
		/// coordinator calls the store itself meanwhile and relays the response at once.
		constexpr double kCallIntervalMsPerGateway = 70.0;
		/// A coordinator that sent no update for this time counts as gone, ms: several of its responses.
		constexpr Millis kMaxUpdateAgeMs = 700;
		/// Maximum age of a relayed state of the store, as a share of the maximum time until a change takes effect. It
		/// limits how late a change is noticed when the coordinator has lost the store, and leaves time for a call of the
		/// gateway.
		constexpr double kMaxNewsAgeShareOfChange = 0.6;
		/// Maximum age of the relayed crashes, ms: a coordinator's call for them takes up to 3 s.
		constexpr Millis kMaxCrashNewsAgeMs = 5'000;
		/// A change that a relayed proof covers is read from the store when its rows don't arrive within this share of the
		/// maximum time until a change takes effect.
		constexpr double kRowDelayShareOfChange = 0.25;
		/// Upper limit of the shortest delay of a gateway's call while the coordinator is heard, as a share of the maximum time until
		/// a change takes effect. The coordinator's own next call comes first.
		constexpr double kMinSharedDelayShareOfChange = 0.15;
		/// Interval between checks whether relayed updates suffice, ms.
		constexpr Millis kCoverageCheckIntervalMs = 50;
	} // namespace

	bool StoreWatch::isRelayedRecently(const Feed& _feed, Millis _now, Millis _maxAgeMs) const
	{
		const bool known = 0 != (this->tables.*_feed.table).version;
		return known && _now - this->lastUpdateAt <= kMaxUpdateAgeMs && _now - _feed.currentAsOf < _maxAgeMs;
	}

	bool StoreWatch::operatorsAreCovered(Millis _now) const
	{
		if (_now < this->startupGraceUntil)
		{
			return true;
		}
		const Millis maxAgeMs = this->shareOfChange(kMaxNewsAgeShareOfChange);
		if (nullptr == this->state.catalog)
		{
			return this->isRelayedRecently(this->operators, _now, maxAgeMs); // an update that there is no configuration yet
		}
		const bool relayed = _now - this->lastUpdateAt <= kMaxUpdateAgeMs && proofAge(this->state.freshness, _now).value_or(maxAgeMs) < maxAgeMs;
		const bool rowsAreLate = 0 != this->behindSince && _now - this->behindSince > this->shareOfChange(kRowDelayShareOfChange);
		return relayed && !rowsAreLate && 0 == this->unreadableRow;
	}

	bool StoreWatch::upstreamsAreCovered(Millis _now) const
	{
		if (nullptr == this->state.catalog)
		{
			return true; // not needed without routes, and they register one by one
		}
		if (0 == this->tables.upstreams.version)
		{
			return false;
		}
		return _now < this->startupGraceUntil || this->isRelayedRecently(this->upstreams, _now, this->shareOfChange(kMaxNewsAgeShareOfChange));
	}

	bool StoreWatch::crashesAreCovered(Millis _now) const
	{
		const bool nothingRuns = nullptr == this->state.catalog;
		return nothingRuns || _now < this->startupGraceUntil || this->isRelayedRecently(this->crashes, _now, kMaxCrashNewsAgeMs);
	}

	Millis StoreWatch::sharedRetryDelayMs()
	{
		const Millis allMs = std::max<Millis>(1, Millis(kCallIntervalMsPerGateway * double(this->coordinatorGateways)));
		// The earliest of all delays must leave time for a change, however many gateways there are; their mean is allMs.
		const Millis minMs = std::min(allMs / 2, this->shareOfChange(kMinSharedDelayShareOfChange));
		return minMs + Millis(randomBelow(this->state.random, std::uint64_t(2 * (allMs - minMs)) + 1));
	}

	Millis StoreWatch::retryDelayMs(Millis _retryMs)
	{
		const Millis ownMs = _retryMs / 2 + Millis(randomBelow(this->state.random, std::uint64_t(_retryMs) + 1));
		return this->hasRecentUpdate() ? std::max(ownMs, this->sharedRetryDelayMs()) : ownMs;
	}

	bool StoreWatch::hasRecentUpdate() const
	{
		return nowMs() - this->lastUpdateAt <= kMaxUpdateAgeMs;
	}

	aio::Task<void> StoreWatch::waitForNewProof(Millis _pauseMs)
	{
		// A coordinator that has gone sends no proof, and the pause may be longer than a change may take.
		const bool coordinated = this->hasRecentUpdate();
		// A proof from another process means that the store is back, and perhaps that there is a newer configuration: a
		// gateway that finished its pause first was 4 s late with it.
		const store::ConfigurationProof before = this->relayedProof;
		const Millis until = nowMs() + _pauseMs;
		while (nowMs() < until && this->relayedProof == before && coordinated == this->hasRecentUpdate())
		{
			co_await this->state.loop.timer.afterDelay(std::min(kCoverageCheckIntervalMs, _pauseMs) * kj::MILLISECONDS);
		}
	}

	aio::Task<void> StoreWatch::waitWhileCovered(Feed& _feed)
	{
		while (true)
		{
			while ((this->*_feed.isCovered)(nowMs()))
			{
				co_await this->state.loop.timer.afterDelay(kCoverageCheckIntervalMs * kj::MILLISECONDS);
			}
			const bool updatedRecently = 0 != (this->tables.*_feed.table).version && 0 == this->behindSince && this->hasRecentUpdate();
			if (!updatedRecently)
			{
				co_return;
			}
			co_await this->waitForNewProof(this->sharedRetryDelayMs());
			if (!(this->*_feed.isCovered)(nowMs()))
			{
				co_return;
			}
		}
	}

	void StoreWatch::recordEmptyUpdate()
	{
		this->emptyUpdates += 1;
	}

	void StoreWatch::applyTableNews(Feed& _feed, const store::TableNews& _news)
	{
		store::FollowedTable& table = this->tables.*_feed.table;
		const std::uint64_t known = table.version;
		if (!store::mergeNews(table, _news))
		{
			logWarning("news_unusable", {{"table", _feed.name}, {"version", store::versionText(_news.version)}, {"known", store::versionText(known)}, {"remedy", "none: the whole table is requested"}});
			return;
		}
		const std::optional<Millis> from = _news.storeTime ? toLocalTime(this->state.freshness, *_news.storeTime) : std::nullopt;
		if (!from || 0 == table.version || table.version < _news.version)
		{
			return;
		}
		this->recordEra(store::eraOf(_news.version), _feed);
		this->recordStoreResponse(*from);
		_feed.currentAsOf = std::max(_feed.currentAsOf, *from);
		_feed.needsWhole = false;
		this->applyChanges(_feed, known);
	}

	void StoreWatch::applyUpdate(const CoordinatorUpdate& _update)
	{
		this->lastUpdateAt = nowMs();
		this->coordinatorGateways = _update.gateways;
		this->relayedProof = std::max(this->relayedProof, _update.proof);
		this->applyTableNews(this->operators, _update.tables.operators);
		this->applyTableNews(this->crashes, _update.tables.crashes);
		this->applyTableNews(this->upstreams, _update.tables.upstreams);
		// A proof that covers a change that isn't known here doesn't prove the state here; that of the followed table does.
		const bool behind = isMissingChange(this->state.operators, this->proof().changedAt);
		const store::ConfigurationProof valid = behind ? store::proofOf(this->tables.operators) : this->proof();
		this->behindSince = !behind ? 0 : (0 == this->behindSince ? this->lastUpdateAt : this->behindSince);
		if (0 != valid.changedAt && nullptr != this->state.catalog && 0 == this->unreadableRow)
		{
			recordRelayedProof(this->state.freshness, valid.storeTime);
			this->recordStoreResponse(this->state.freshness.provenAt.value_or(0));
		}
	}
} // namespace archdyke::gateway
