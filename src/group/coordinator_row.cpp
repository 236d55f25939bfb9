/// The coordinator's part that speaks to the store: the group's row, its engines, its model.
#include <algorithm>

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
		/// Mean of the time of a write: weight of the newest one.
		constexpr double kWriteGain = 0.5;
		/// Between two looks at the row while nothing is written, ms: notices another
		/// coordinator, and a store that is lost.
		constexpr Millis kRowLookMs = 2'000;
		/// The same while a hold stands in the way of the group, ms.
		constexpr Millis kStrayLookMs = 50;
		/// After a failed call, ms.
		constexpr Millis kStoreRetryMs = 300;
		/// How long a call for changes of a table hangs, as a share of the time in which a change is to be in force:
		/// gateways rely on what is told while it is younger than 0.6 of that.
		constexpr double kWaitShareOfChange = 0.25;
		/// The same for crashes, ms: gateways rely on them for 5 s.
		constexpr Millis kCrashesWaitMs = 3'000;
		/// After changes, ms: those that come together come in one call.
		constexpr Millis kNewsPauseMs = 100;

		/// @returns The least of the gap objectives of a service's routes; 0 when it has none.
		Millis leastGapObjective(const Catalog& _catalog, const std::string& _service)
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
			this->sent.clear();
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
			logError("group_row_unreadable", {{"group", this->group}, {"row_version", _row.version}, {"reason", error.what()}});
			return;
		}
		if (current.term != this->intent.term)
		{
			// The version stays unknown: with it, a write of this term would take the row back.
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
		store::ConditionalWrite write{groupRowKey(this->parts.settings.service, this->group), encodeIntent(_row), this->rowVersion};
		store::WriteResult result;
		std::string failure;
		const Millis begunAt = nowMs();
		try
		{
			result = co_await this->parts.store.write(std::move(write));
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		const Millis took = nowMs() - begunAt;
		this->writeMs += kWriteGain * (double(took) - this->writeMs);
		logInfo("group_row", {{"group", this->group}, {"term", _row.term}, {"phase", toString(_row.phase)}, {"epoch", _row.epoch}, {"version", _row.version}, {"boundary", _row.boundary}, {"reason", _reason}, {"written", result.written}, {"expected", this->rowVersion}, {"took_ms", took}, {"failure", failure.empty() ? "-" : failure}});
		// Without an answer it may be done, or be done later; the next look at the row tells.
		this->storeLost = !failure.empty();
		if (result.written)
		{
			this->rowVersion = result.version;
			this->rowReadAt = nowMs();
			this->adopt(std::move(_row));
			this->phaseSince = nowMs(); // nothing could be done for the phase before, even if it was seen in the row
		}
		else if (result.current)
		{
			this->adoptRow(*result.current);
		}
	}

	void Coordinator::unlist(const std::string& _incarnation)
	{
		for (auto* known : {&this->ranks, &this->strangers})
		{
			for (auto& [engine, rank] : *known)
			{
				rank.search.listed = rank.search.listed && rank.incarnation != _incarnation;
			}
		}
	}

	void Coordinator::takeUpstreams(const store::Rows& _rows)
	{
		for (const store::Row& row : store::sortedByVersion(_rows.rows))
		{
			if (row.gone)
			{
				this->unlist(row.key.key); // its engine comes back at its address, or never answers
				continue;
			}
			try
			{
				this->takeUpstream(this->parts.decodeUpstream(row.key.key, row.value));
			}
			catch (const InvalidInputError& error)
			{
				logWarning("upstream_unreadable", {{"group", this->group}, {"incarnation", row.key.key}, {"reason", error.what()}});
				this->unlist(row.key.key); // it names no engine, and the other rows of the answer hold
			}
		}
	}

	void Coordinator::takeUpstream(const UpstreamRecord& _record)
	{
		if (_record.service != this->parts.settings.service)
		{
			this->unlist(_record.incarnation); // it may have been listed for this one before
			return;
		}
		Rank& rank = this->rankAt(_record.address);
		if (rank.incarnation == _record.incarnation && 0 != _record.startedAt && _record.startedAt < rank.startedAt)
		{
			return; // a write of the run before that was late
		}
		if (rank.incarnation != _record.incarnation || rank.startedAt < _record.startedAt)
		{
			rank.incarnation = _record.incarnation;
			rank.startedAt = _record.startedAt;
			rank.search = {}; // another run may be in another group
		}
		rank.zone = _record.zone;
		rank.search.ownZone = _record.zone == this->parts.settings.place.zone;
		rank.search.listed = true;
		rank.leaving = _record.leaving;
	}

	void Coordinator::takeConfiguration(const store::Rows& _rows)
	{
		for (const store::Row& row : _rows.rows)
		{
			if (row.gone || row.key.key != this->parts.names.configurationKey)
			{
				continue;
			}
			try
			{
				const CatalogIndex index = makeIndex(this->parts.decodeCatalog(row.value));
				const CatalogService* service = findService(index, this->parts.settings.service);
				this->model = nullptr == service ? this->model : service->engine;
				this->gapObjectiveMs = leastGapObjective(index.catalog, this->parts.settings.service);
			}
			catch (const InvalidInputError& error)
			{
				logWarning("configuration_unreadable", {{"group", this->group}, {"row_version", row.version}, {"reason", error.what()}});
			}
		}
	}

	void Coordinator::passCrashes(const store::Rows& /*_rows*/)
	{
		// They are for gateways; the knowledge of this daemon has them.
	}

	void Coordinator::noteWatchFailure(const std::string& _table, const std::string& _reason) const
	{
		logWarning("group_watch_failed", {{"group", this->group}, {"table", _table}, {"reason", _reason}});
	}

	std::vector<Coordinator::Feed> Coordinator::feeds() const
	{
		const Millis waitMs = Millis(kWaitShareOfChange * double(this->parts.settings.bounds.changeMs));
		return {
		    {this->parts.names.configuration, &store::FollowedTables::operators, &Coordinator::takeConfiguration, waitMs},
		    {this->parts.names.upstreams, &store::FollowedTables::upstreams, &Coordinator::takeUpstreams, waitMs},
		    {store::kCrashTable, &store::FollowedTables::crashes, &Coordinator::passCrashes, kCrashesWaitMs},
		};
	}

	aio::Task<store::Rows> Coordinator::nextRows(const Feed& _feed, bool _whole)
	{
		std::string name = _feed.name;
		if (_whole)
		{
			return store::readFullTable(this->parts.store, std::move(name));
		}
		return this->parts.store.follow(std::move(name), (this->parts.knowledge.tables.*_feed.table).version, _feed.waitMs);
	}

	void Coordinator::takeKnownTables()
	{
		this->takeUpstreams(store::rowsSince(this->parts.knowledge.tables.upstreams, 0));
		this->takeConfiguration(store::rowsSince(this->parts.knowledge.tables.operators, 0));
		// Those that the coordinator before had found are looked at through the tree at once.
		for (const std::string& engine : this->parts.knowledge.roster.engines)
		{
			if (this->strangers.contains(engine))
			{
				this->ranks.insert(this->strangers.extract(engine));
			}
		}
	}

	Millis Coordinator::takeAnswer(const Feed& _feed, const store::Rows& _rows, bool _whole)
	{
		store::FollowedTable& table = this->parts.knowledge.tables.*_feed.table;
		const std::uint64_t known = table.version;
		store::mergeRows(table, _rows, _whole);
		if (table.version != known)
		{
			(this->*_feed.take)(store::rowsSince(table, known));
		}
		return _rows.rows.empty() ? 0 : kNewsPauseMs;
	}

	aio::Task<void> Coordinator::followTable(Feed _feed)
	{
		bool needsWhole = false;
		while (!this->ended)
		{
			const store::FollowedTable& table = this->parts.knowledge.tables.*_feed.table;
			const bool whole = needsWhole || 0 == table.version;
			std::string failure;
			Millis pauseMs = 0;
			try
			{
				const store::Rows rows = co_await this->nextRows(_feed, whole);
				needsWhole = rows.historyTruncated;
				if (rows.historyTruncated)
				{
					logWarning("store_history_gone", {{"group", this->group}, {"table", _feed.name}, {"since", table.version}});
					continue;
				}
				pauseMs = this->takeAnswer(_feed, rows, whole);
			}
			catch (const kj::Exception& error)
			{
				failure = error.getDescription().cStr();
			}
			this->operatorsAnswered = &store::FollowedTables::operators == _feed.table ? failure.empty() : this->operatorsAnswered;
			if (!failure.empty())
			{
				this->noteWatchFailure(_feed.name, failure);
				pauseMs = kStoreRetryMs;
			}
			co_await this->parts.loop.timer.afterDelay(pauseMs * kj::MILLISECONDS);
		}
	}

	Millis Coordinator::rowLookMs() const
	{
		// A hold that no open switch owns stands in the way of the group.
		const bool stray = !releaseStrayHolds(this->intent, this->views(kViewMaxAgeMs)).empty();
		const Millis usual = this->storeLost ? kStoreRetryMs : kRowLookMs;
		return stray ? kStrayLookMs : usual;
	}

	aio::Task<void> Coordinator::waitForRowLook()
	{
		// In short waits, since a stray hold may come up during a long one.
		for (const Millis since = nowMs(); nowMs() < since + this->rowLookMs();)
		{
			co_await this->parts.loop.timer.afterDelay(kStrayLookMs * kj::MILLISECONDS);
		}
	}

	void Coordinator::takeRow(const store::Rows& _rows)
	{
		const store::RowKey key = groupRowKey(this->parts.settings.service, this->group);
		for (const store::Row& found : _rows.rows)
		{
			if (found.key == key && found.version > this->rowVersion)
			{
				this->adoptRow(found);
			}
		}
	}

	void Coordinator::releaseStrays(const std::vector<RankView>& _seenBefore)
	{
		for (const RankOrderPlan& order : releaseStrayHolds(this->intent, _seenBefore))
		{
			logWarning("stray_hold", {{"group", this->group}, {"rank", order.rank}, {"step", order.step}, {"phase", toString(this->intent.phase)}});
			this->tasks.add(this->sendDirectly(order).take());
		}
	}

	aio::Task<void> Coordinator::checkRow()
	{
		const store::RowKey key = groupRowKey(this->parts.settings.service, this->group);
		while (!this->ended)
		{
			co_await this->waitForRowLook();
			const bool before = this->storeLost;
			std::string failure;
			try
			{
				// The row is read after the ranks were seen: a hold that it doesn't name is stray.
				const std::vector<RankView> seenBefore = this->views(kViewMaxAgeMs);
				const store::Rows rows = co_await this->parts.store.read(key.table, key.part, key.key);
				this->storeLost = false;
				this->takeRow(rows);
				this->releaseStrays(seenBefore);
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
