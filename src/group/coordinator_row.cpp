/// The part of the coordinator that reads and writes the store: the group's row, the upstreams, the
/// configuration.
#include <algorithm>
#include <utility>

#include "archdyke/errors.h"
#include "base/log.h"
#include "base/process.h"
#include "group/coordinator.h"
#include "group/coordinator_p.h"
#include "store/read_whole.h"

namespace archdyke::group
{
	namespace
	{
		/// Weight of the newest write in the moving average of write times.
		constexpr double kWriteTimeWeight = 0.5;
		/// Interval between reads of the row while nothing is written, ms: detects another coordinator
		/// and the loss of the store.
		constexpr Millis kRowPollIntervalMs = 2'000;
		/// The same while a stray hold blocks the group, ms.
		constexpr Millis kStrayHoldPollIntervalMs = 50;
		/// Delay after a failed call, ms.
		constexpr Millis kStoreRetryMs = 300;
		/// Duration of a long poll for changes of a table, as a share of the time within which a change must be in
		/// force: gateways use news of the coordinator while it is younger than 0.6 of that time.
		constexpr double kLongPollShareOfChange = 0.25;
		/// Duration of a long poll for crashes, ms: gateways use them for 5 s.
		constexpr Millis kCrashLongPollMs = 3'000;
		/// Delay after changes, ms, so that changes in quick succession arrive in one call.
		constexpr Millis kChangeBatchDelayMs = 100;

		/// @returns The smallest gap objective of a service's routes; 0 if there is none.
		Millis smallestGapObjective(const Catalog& _catalog, const std::string& _service)
		{
			Millis least = 0;
			for (const CatalogRoute& route : _catalog.routes)
			{
				const bool served = std::any_of(route.services.begin(), route.services.end(), [&](const WeightedService& _weighted) {
					return _weighted.name == _service;
				});
				if (served && 0 < route.gapObjectiveMs)
				{
					least = 0 == least ? route.gapObjectiveMs : std::min(least, route.gapObjectiveMs);
				}
			}
			return least;
		}
	} // namespace

	void Coordinator::adopt(SwitchIntent _intent)
	{
		if (this->intent.phase != _intent.phase || this->intent.boundary != _intent.boundary)
		{
			this->sentOrders.clear();
			this->phaseSince = nowMs();
		}
		this->intent = std::move(_intent);
	}

	void Coordinator::adoptRow(const store::Row& _row)
	{
		SwitchIntent current;
		try
		{
			current = decodeIntent(_row.value);
		}
		catch (const InvalidInputError& error)
		{
			if (_row.version != std::exchange(this->unreadableRow, _row.version))
			{
				logError("group_row_unreadable", {{"group", this->group}, {"row_version", store::versionText(_row.version)}, {"reason", error.what()}});
			}
			return;
		}
		if (current.term != this->intent.term)
		{
			// The row's new version isn't recorded: with it, a write of this term would overwrite the row.
			logWarning("term_lost", {{"group", this->group}, {"term", this->intent.term}, {"newer", current.term}, {"coordinator", current.coordinator}});
			this->end(CoordinatorEnd::TermLost);
			return;
		}
		this->rowVersion = _row.version;
		this->rowReadAt = nowMs();
		this->adopt(std::move(current));
	}

	aio::Task<void> Coordinator::writeRow(SwitchIntent _row, std::string _reason)
	{
		store::ConditionalWrite write{groupRowKey(this->dependencies.settings.service, this->group), encodeIntent(_row), this->rowVersion};
		store::WriteResult result;
		std::string failure;
		const Millis begunAt = nowMs();
		try
		{
			result = co_await this->dependencies.store.write(std::move(write));
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		const Millis took = nowMs() - begunAt;
		this->writeMs += kWriteTimeWeight * (double(took) - this->writeMs);
		logInfo("group_row", {{"group", this->group}, {"term", _row.term}, {"phase", toString(_row.phase)}, {"epoch", _row.epoch}, {"version", _row.version}, {"boundary", _row.boundary}, {"reason", _reason}, {"written", result.written}, {"expected", store::versionText(this->rowVersion)}, {"took_ms", took}, {"failure", failure.empty() ? "-" : failure}});
		// Without a response the write may have been done or may still be done; the next read of the row shows it.
		this->storeLost = !failure.empty();
		if (result.written)
		{
			this->rowVersion = result.version;
			this->rowReadAt = nowMs();
			this->adopt(std::move(_row));
			this->phaseSince = nowMs(); // no orders were sent before now, even if a read of the row showed this phase earlier
		}
		else if (result.current)
		{
			this->adoptRow(*result.current);
		}
	}

	void Coordinator::markUnlisted(const std::string& _incarnation)
	{
		for (auto* known : {&this->ranks, &this->nonMembers})
		{
			for (auto& [engine, rank] : *known)
			{
				rank.search.listed = rank.search.listed && rank.incarnation != _incarnation;
			}
		}
	}

	void Coordinator::applyUpstreams(const store::Rows& _rows)
	{
		for (const store::Row& row : store::sortedByVersion(_rows.rows))
		{
			if (row.gone)
			{
				this->markUnlisted(row.key.key); // its engine returns at the same address or never responds
				continue;
			}
			try
			{
				this->applyUpstream(this->dependencies.decodeUpstream(row.key.key, row.value));
			}
			catch (const InvalidInputError& error)
			{
				if (store::recordUnusable(this->dependencies.groupState.tables.upstreams, row))
				{
					logWarning("upstream_unreadable", {{"group", this->group}, {"incarnation", row.key.key}, {"reason", error.what()}});
				}
				this->markUnlisted(row.key.key); // the row names no engine; the other rows stay valid
			}
		}
	}

	void Coordinator::applyUpstream(const UpstreamRecord& _record)
	{
		if (_record.service != this->dependencies.settings.service)
		{
			this->markUnlisted(_record.incarnation); // it may have been listed for this service before
			return;
		}
		Rank& rank = this->rankAt(_record.address);
		if (rank.incarnation == _record.incarnation && 0 != _record.startedAt && _record.startedAt < rank.startedAt)
		{
			return; // a delayed write of the previous run
		}
		if (rank.incarnation != _record.incarnation || rank.startedAt < _record.startedAt)
		{
			rank.incarnation = _record.incarnation;
			rank.startedAt = _record.startedAt;
			rank.search = {}; // another run may be in another group
		}
		rank.zone = _record.zone;
		rank.search.ownZone = _record.zone == this->dependencies.settings.place.zone;
		rank.search.listed = true;
		rank.leaving = _record.leaving;
	}

	void Coordinator::applyConfiguration(const store::Rows& _rows)
	{
		for (const store::Row& row : _rows.rows)
		{
			if (row.gone || row.key.key != this->dependencies.names.configurationKey)
			{
				continue;
			}
			try
			{
				const CatalogIndex index = makeIndex(this->dependencies.decodeCatalog(row.value));
				const CatalogService* service = findService(index, this->dependencies.settings.service);
				this->model = nullptr == service ? this->model : service->engine;
				this->gapObjectiveMs = smallestGapObjective(index.catalog, this->dependencies.settings.service);
			}
			catch (const InvalidInputError& error)
			{
				if (store::recordUnusable(this->dependencies.groupState.tables.operators, row))
				{
					logWarning("configuration_unreadable", {{"group", this->group}, {"row_version", store::versionText(row.version)}, {"reason", error.what()}});
				}
			}
		}
	}

	void Coordinator::ignoreCrashes(const store::Rows& /*_rows*/)
	{
		// Only gateways use crashes; they read them from this daemon's group state.
	}

	void Coordinator::logWatchFailure(const std::string& _table, const std::string& _reason) const
	{
		logWarning("group_watch_failed", {{"group", this->group}, {"table", _table}, {"reason", _reason}});
	}

	std::vector<Coordinator::Feed> Coordinator::feeds() const
	{
		const Millis longPollMs = Millis(kLongPollShareOfChange * double(this->dependencies.settings.bounds.changeMs));
		return {
		    {this->dependencies.names.configuration, &store::FollowedTables::operators, &Coordinator::applyConfiguration, longPollMs},
		    {this->dependencies.names.upstreams, &store::FollowedTables::upstreams, &Coordinator::applyUpstreams, longPollMs},
		    {store::kCrashTable, &store::FollowedTables::crashes, &Coordinator::ignoreCrashes, kCrashLongPollMs},
		};
	}

	aio::Task<store::Rows> Coordinator::fetchRows(const Feed& _feed, bool _whole)
	{
		std::string name = _feed.name;
		if (_whole)
		{
			return store::readFullTable(this->dependencies.store, std::move(name));
		}
		return this->dependencies.store.follow(std::move(name), (this->dependencies.groupState.tables.*_feed.table).version, _feed.longPollMs);
	}

	void Coordinator::applyKnownTables()
	{
		this->applyUpstreams(store::rowsSince(this->dependencies.groupState.tables.upstreams, 0));
		this->applyConfiguration(store::rowsSince(this->dependencies.groupState.tables.operators, 0));
		// Ranks that the previous coordinator found are polled through the tree at once.
		for (const std::string& engine : this->dependencies.groupState.roster.engines)
		{
			if (this->nonMembers.contains(engine))
			{
				this->ranks.insert(this->nonMembers.extract(engine));
			}
		}
	}

	Millis Coordinator::applyResponse(const Feed& _feed, const store::Rows& _rows, bool _whole)
	{
		store::FollowedTable& table = this->dependencies.groupState.tables.*_feed.table;
		const std::uint64_t known = table.version;
		if (_rows.version < known)
		{
			logWarning("store_response_dropped", {{"group", this->group}, {"table", _feed.name}, {"whole_read", _whole}, {"version", store::versionText(_rows.version)}, {"known", store::versionText(known)}, {"rows", _rows.rows.size()}});
		}
		store::mergeRows(table, _rows, _whole);
		if (table.version != known)
		{
			(this->*_feed.take)(store::rowsSince(table, known));
		}
		return _rows.rows.empty() ? 0 : kChangeBatchDelayMs;
	}

	aio::Task<void> Coordinator::followTable(Feed _feed)
	{
		bool needsWhole = false;
		while (!this->ended)
		{
			const store::FollowedTable& table = this->dependencies.groupState.tables.*_feed.table;
			const bool whole = needsWhole || 0 == table.version;
			std::string failure;
			Millis pauseMs = 0;
			try
			{
				const store::Rows rows = co_await this->fetchRows(_feed, whole);
				needsWhole = rows.historyTruncated;
				if (rows.historyTruncated)
				{
					logWarning("store_history_gone", {{"group", this->group}, {"table", _feed.name}, {"since", store::versionText(table.version)}});
					continue;
				}
				pauseMs = this->applyResponse(_feed, rows, whole);
			}
			catch (const kj::Exception& error)
			{
				failure = error.getDescription().cStr();
			}
			this->operatorsCallSucceeded = &store::FollowedTables::operators == _feed.table ? failure.empty() : this->operatorsCallSucceeded;
			if (!failure.empty())
			{
				this->logWatchFailure(_feed.name, failure);
				pauseMs = kStoreRetryMs;
			}
			co_await this->dependencies.loop.timer.afterDelay(pauseMs * kj::MILLISECONDS);
		}
	}

	Millis Coordinator::rowPollIntervalMs() const
	{
		// A hold that belongs to no open switch blocks the group.
		const bool stray = !releaseStrayHolds(this->intent, this->views(kViewMaxAgeMs)).empty();
		const Millis usual = this->storeLost ? kStoreRetryMs : kRowPollIntervalMs;
		return stray ? kStrayHoldPollIntervalMs : usual;
	}

	aio::Task<void> Coordinator::waitForRowPoll()
	{
		// Waits in short steps, since a stray hold may appear at any time.
		for (const Millis since = nowMs(); nowMs() < since + this->rowPollIntervalMs();)
		{
			co_await this->dependencies.loop.timer.afterDelay(kStrayHoldPollIntervalMs * kj::MILLISECONDS);
		}
	}

	void Coordinator::adoptNewerRow(const store::Rows& _rows)
	{
		const store::RowKey key = groupRowKey(this->dependencies.settings.service, this->group);
		if (store::eraOf(this->rowVersion) < _rows.era)
		{
			this->recordCopiedRow(_rows);
			return;
		}
		for (const store::Row& found : _rows.rows)
		{
			if (found.key == key && found.version > this->rowVersion)
			{
				this->adoptRow(found);
			}
		}
	}

	void Coordinator::releaseStrays(const std::vector<RankView>& _observedBefore)
	{
		const bool mayBeOld = this->rowMayBeOld() || this->copiedRowVersion;
		const std::vector<RankOrderPlan> orders = mayBeOld ? endLostSwitch(this->intent, _observedBefore, nowMs() - this->startedAt) : releaseStrayHolds(this->intent, _observedBefore);
		for (const RankOrderPlan& order : orders)
		{
			logWarning("stray_hold", {{"group", this->group}, {"rank", order.rank}, {"step", order.step}, {"phase", toString(this->intent.phase)}});
			this->tasks.add(this->sendDirectly(order).take());
		}
	}

	aio::Task<void> Coordinator::checkRow()
	{
		const store::RowKey key = groupRowKey(this->dependencies.settings.service, this->group);
		while (!this->ended)
		{
			co_await this->waitForRowPoll();
			const bool before = this->storeLost;
			std::string failure;
			try
			{
				// The row is read after the ranks were seen, so a hold that isn't in the row is stray.
				const std::vector<RankView> observedBefore = this->views(kViewMaxAgeMs);
				const store::Rows rows = co_await this->dependencies.store.read(key.table, key.part, key.key);
				this->storeLost = false;
				this->adoptNewerRow(rows);
				this->releaseStrays(observedBefore);
			}
			catch (const kj::Exception& error)
			{
				failure = error.getDescription().cStr();
				this->storeLost = true;
			}
			if (before != this->storeLost)
			{
				logWarning(this->storeLost ? "store_lost" : "store_back", {{"table", key.table}, {"reason", failure}, {"term", this->intent.term}});
			}
		}
	}
} // namespace archdyke::group
