// Applies rows of the store: the configuration, evacuated zones and upstreams.
#include <algorithm>
#include <set>
#include <utility>

#include "aio/task.h"
#include "archdyke/errors.h"
#include "base/log.h"
#include "base/process.h"
#include "gateway/upstream_limits.h"
#include "gateway/watch.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Time after the first configuration, ms, for finding daemons that relay the tables.
		constexpr Millis kStartupGraceMs = 800;
		/// Rows of live upstreams that expired while the store was unreachable are back within 2 s of its return; upstreams
		/// whose rows are still missing then are removed. Reduced by the time until the return is noticed.
		constexpr Millis kRowRecoveryMs = 1'900;
		/// Time after a restoration of the store from a copy within which lost rows are written again and rows of ended
		/// upstreams, which send no heartbeats, expire, ms.
		constexpr Millis kRewriteMs = 5'000;
		/// How long the removal of an upstream's row is remembered, ms: longer than copies are old.
		constexpr Millis kRemovalRetentionMs = 120'000;
		/// Interval between checks of everything that depends on time alone, ms.
		constexpr Millis kExpiryCheckIntervalMs = 100;
	} // namespace

	bool StoreWatch::applyCatalog(const store::Row& _row)
	{
		try
		{
			this->catalogRow = _row.version;
			Catalog catalog = this->decoders.catalog(_row.value);
			this->unreadableRow = this->unreadableRow < _row.version ? 0 : this->unreadableRow;
			const std::uint64_t held = versionOf(this->state.catalog);
			if (catalog.version <= held)
			{
				return false;
			}
			logInfo("configuration_in_force", {{"version", catalog.version}, {"before", held}, {"routes", catalog.routes.size()}, {"organisations", catalog.organisations.size()}, {"row_version", store::versionText(_row.version)}});
			this->state.counters.configurationVersion.Set(double(catalog.version));
			this->startupGraceUntil = 0 == held ? nowMs() + kStartupGraceMs : this->startupGraceUntil;
			this->state.catalog = std::make_shared<const CatalogIndex>(makeIndex(std::move(catalog)));
			refreshColdLimits(this->state, nowMs());
			return true;
		}
		catch (const InvalidInputError& error)
		{
			logError("configuration_unreadable", {{"row_version", store::versionText(_row.version)}, {"reason", error.what()}, {"held", versionOf(this->state.catalog)}});
			this->unreadableRow = std::max(this->unreadableRow, _row.version);
			return false;
		}
	}

	void StoreWatch::applyZones(const store::Rows& _rows, bool _whole)
	{
		const std::string& prefix = this->names.evacuationPrefix;
		std::vector<EvacuationRow> rows;
		for (const store::Row& row : _rows.rows)
		{
			if (row.key.key.starts_with(prefix) && prefix.size() < row.key.key.size())
			{
				rows.push_back({row.key.key.substr(prefix.size()), row.version, row.gone});
			}
		}
		for (const ZoneChange& change : applyEvacuationRows(this->state.operators, rows, _rows.version, _whole))
		{
			logInfo(change.evacuated ? "zone_evacuated" : "zone_taken_back", {{"zone", change.zone}, {"row_version", store::versionText(change.version)}, {"whole_read", _whole}});
			if (change.evacuated)
			{
				this->state.registry.evacuate(change.zone);
			}
			else
			{
				this->state.registry.endEvacuation(change.zone, nowMs());
			}
		}
		this->state.counters.evacuatedZones.Set(double(evacuatedZones(this->state.operators).size()));
	}

	bool StoreWatch::isFromCopy(const store::Rows& _rows, std::uint64_t _known)
	{
		return 0 != _known && store::eraOf(_known) < store::eraOf(_rows.version);
	}

	void StoreWatch::applyOperators(const store::Rows& _rows, std::uint64_t _known, bool _whole)
	{
		if (isFromCopy(_rows, _known))
		{
			// Zones stay as they are until the operator has repeated what the copy lacks; changes after the copy apply at once.
			this->zonesDoubtedUntil = nowMs() + kRewriteMs;
			applyEvacuationRows(this->state.operators, {}, _rows.version, false);
		}
		else
		{
			this->applyZones(_rows, _whole); // before the configuration: the first one starts the admission of requests
		}
		bool changed = false;
		for (const store::Row& row : _rows.rows)
		{
			const bool isNew = !row.gone && row.key.key == this->names.configurationKey && this->catalogRow < row.version;
			changed = (isNew && this->applyCatalog(row)) || changed;
		}
		if (changed)
		{
			this->admitConfiguredUpstreams();
		}
	}

	void StoreWatch::removeUpstream(const std::string& _incarnation)
	{
		this->withoutService.erase(_incarnation);
		this->learnedEarly.erase(_incarnation);
		const Millis now = nowMs();
		const Millis trustedFrom = this->upstreamsReadableSince + kRowRecoveryMs;
		if (0 != this->upstreamsReadableSince && now < trustedFrom)
		{
			if (this->pendingRemoval.emplace(_incarnation, trustedFrom).second)
			{
				logInfo("upstream_in_doubt", {{"incarnation", _incarnation}, {"reason", "its row expired while the store was unreachable"}, {"until_ms", trustedFrom - now}});
			}
			return;
		}
		this->removedAt[_incarnation] = now;
		this->state.registry.forget(_incarnation, now);
	}

	void StoreWatch::removeUnlisted(const store::Rows& _rows)
	{
		std::set<std::string> named;
		for (const store::Row& row : _rows.rows)
		{
			named.insert(row.key.key);
		}
		for (const std::string& incarnation : this->state.registry.incarnations())
		{
			if (!named.contains(incarnation))
			{
				this->removeUpstream(incarnation);
			}
		}
		const auto isUnlisted = [&](const auto& _entry) {
			return !named.contains(_entry.first);
		};
		std::erase_if(this->withoutService, isUnlisted);
		std::erase_if(this->doubtedRows, isUnlisted);
	}

	bool StoreWatch::hasConfiguredService(const UpstreamRecord& _record) const
	{
		if (nullptr == this->state.catalog || nullptr != findService(*this->state.catalog, _record.service))
		{
			return true;
		}
		const std::vector<CatalogRoute>& routes = this->state.catalog->catalog.routes;
		return std::any_of(routes.begin(), routes.end(), [&](const CatalogRoute& _route) {
			return std::any_of(_route.services.begin(), _route.services.end(), [&](const WeightedService& _service) {
				return _service.name == _record.service;
			});
		});
	}

	StoreWatch::Listing StoreWatch::listingOf(UpstreamRecord _record, bool _afterFirstList) const
	{
		const auto found = this->withoutService.find(_record.incarnation);
		if (this->withoutService.end() == found)
		{
			return {std::move(_record), _afterFirstList};
		}
		const Listing& before = found->second;
		const bool isLaterRun = 0 != before.record.startedAt && before.record.startedAt < _record.startedAt;
		if (isLaterRun)
		{
			return {std::move(_record), true};
		}
		_record.leaving = _record.leaving || before.record.leaving;
		return {std::move(_record), before.afterFirstList};
	}

	void StoreWatch::learn(const Listing& _listing)
	{
		const UpstreamRecord& record = _listing.record;
		this->state.registry.learn(record, nowMs(), _listing.afterFirstList ? coldAfterStartMs(this->state, record.service) : 0);
	}

	void StoreWatch::applyUpstreamRow(const store::Row& _row, bool _afterFirstList)
	{
		const std::string& incarnation = _row.key.key;
		this->pendingRemoval.erase(incarnation);
		this->doubtedRows.erase(incarnation);
		this->removedAt.erase(incarnation);
		try
		{
			const Listing listing = this->listingOf(this->decoders.upstream(incarnation, _row.value), _afterFirstList);
			if (this->hasConfiguredService(listing.record))
			{
				this->withoutService.erase(incarnation);
				this->learn(listing);
				if (nullptr == this->state.catalog)
				{
					this->learnedEarly.insert_or_assign(incarnation, listing);
				}
				return;
			}
			// Not registered: it would supersede the upstream at its address.
			logWarning("upstream_unplaced", {{"incarnation", incarnation}, {"service", listing.record.service}, {"address", listing.record.address}, {"reason", "no configuration names its service"}});
			this->withoutService.insert_or_assign(incarnation, listing);
		}
		catch (const InvalidInputError& error)
		{
			logError("upstream_unreadable", {{"incarnation", incarnation}, {"reason", error.what()}});
			const auto kept = this->withoutService.find(incarnation);
			if (this->withoutService.end() != kept)
			{
				kept->second.readable = false;
			}
		}
		this->state.counters.unusableRows.Increment();
		this->state.registry.deactivate(incarnation);
	}

	void StoreWatch::admitConfiguredUpstreams()
	{
		for (auto& [incarnation, listing] : std::exchange(this->learnedEarly, {}))
		{
			if (!this->hasConfiguredService(listing.record))
			{
				this->state.registry.deactivate(incarnation);
				this->withoutService.insert_or_assign(incarnation, std::move(listing));
			}
		}
		for (auto it = this->withoutService.begin(); this->withoutService.end() != it;)
		{
			if (!it->second.readable || !this->hasConfiguredService(it->second.record))
			{
				++it;
				continue;
			}
			this->learn(it->second);
			it = this->withoutService.erase(it);
		}
	}

	void StoreWatch::applyUpstreams(const store::Rows& _rows, std::uint64_t _known, bool _whole)
	{
		if (_whole)
		{
			this->removeUnlisted(_rows);
		}
		const bool afterFirstList = this->upstreamsListed; // upstreams of the first list may have run for long
		this->upstreamsListed = true;
		const bool fromCopy = isFromCopy(_rows, _known);
		for (const store::Row& row : store::sortedByVersion(_rows.rows))
		{
			if (row.version <= _known)
			{
				continue;
			}
			if (row.gone)
			{
				this->doubtedRows.erase(row.key.key);
				this->removeUpstream(row.key.key);
				continue;
			}
			if (fromCopy && this->removedAt.contains(row.key.key))
			{
				logInfo("upstream_in_doubt", {{"incarnation", row.key.key}, {"reason", "its row was removed before the store came back from a copy"}, {"until_ms", kRewriteMs}});
				this->doubtedRows[row.key.key] = {row, nowMs() + kRewriteMs};
				continue;
			}
			this->applyUpstreamRow(row, afterFirstList);
		}
	}

	void StoreWatch::applyDoubtedRows(Millis _now)
	{
		if (0 != this->zonesDoubtedUntil && this->zonesDoubtedUntil <= _now)
		{
			this->zonesDoubtedUntil = 0;
			this->applyZones(store::rowsSince(this->tables.operators, 0), true);
		}
		if (0 != this->lostCrashesDueAt && this->lostCrashesDueAt <= _now)
		{
			this->lostCrashesDueAt = 0;
			publishLostCrashes(this->state.crashes);
		}
		std::vector<store::Row> due;
		for (const auto& [incarnation, doubted] : this->doubtedRows)
		{
			if (doubted.until <= _now)
			{
				due.push_back(doubted.row);
			}
		}
		for (const store::Row& row : due)
		{
			this->applyUpstreamRow(row, true);
		}
		std::erase_if(this->removedAt, [&](const auto& _entry) {
			return _now - _entry.second > kRemovalRetentionMs;
		});
	}

	aio::Task<void> StoreWatch::runPeriodicChecks()
	{
		while (true)
		{
			co_await this->state.loop.timer.afterDelay(kExpiryCheckIntervalMs * kj::MILLISECONDS);
			const Millis now = nowMs();
			refreshColdLimits(this->state, now);
			refreshNamedLimits(this->state, now);
			this->state.registry.expireCold(now);
			resolveDoubtfulAttempts(this->state, now);
			this->applyDoubtedRows(now);
			this->crashPublisher.step();
			for (auto it = this->pendingRemoval.begin(); this->pendingRemoval.end() != it;)
			{
				if (now < it->second)
				{
					++it;
					continue;
				}
				this->removedAt[it->first] = now;
				this->state.registry.forget(it->first, now);
				it = this->pendingRemoval.erase(it);
			}
		}
	}
} // namespace archdyke::gateway
