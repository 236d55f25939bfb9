#include "group/coordinator.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "archdyke/errors.h"
#include "archdyke/map_policy.h"
#include "log.h"
#include "process.h"

namespace archdyke::group
{
	namespace
	{
		/// Between two looks at the ranks, ms: while nothing is under way, a hot expert lasts 1
		/// to 4 s, so a tenth of that; while maps are copied (0.1 s an expert); while the group
		/// may stand at the boundary.
		constexpr Millis kIdleLookMs = 100;
		constexpr Millis kPreparingLookMs = 25;
		constexpr Millis kSwitchingLookMs = 8;
		/// A look costs the coordinator some 60 us a rank; this keeps it below a tenth of a core
		/// in large groups.
		constexpr double kLookMsPerRank = 0.6;
		constexpr Millis kObserveTimeoutMs = 250;
		constexpr Millis kOrderTimeoutMs = 150;
		/// An order without an answer is sent again after this, one that was accepted but shows
		/// no effect after the longer time, ms.
		constexpr Millis kRepeatMs = 60;
		constexpr Millis kRepeatAcceptedMs = 400;
		/// What a rank last said counts for this long, ms.
		constexpr Millis kViewMaxAgeMs = 600;
		/// A switch that isn't prepared by then is abandoned, ms; beyond the time of its copies.
		constexpr Millis kPrepareMs = 2'500;
		/// Time from the choice of a boundary to an armed group, ms: a write, a hold, the arms,
		/// each with a look. Seen: 35 to 60 ms.
		constexpr double kArmMs = 60.0;
		constexpr std::uint64_t kMaxMarginSteps = 16;
		/// Mean of the time of a pass: weight of the newest one.
		constexpr double kPassGain = 0.3;
		/// Between two looks at the row while nothing is written, ms: notices another
		/// coordinator, and a store that is lost.
		constexpr Millis kRowLookMs = 2'000;
		constexpr Millis kStoreRetryMs = 300;
		constexpr Millis kUpstreamsWaitMs = 5'000;
		constexpr Millis kModelLookMs = 20'000;
		/// A gateway that hasn't asked for this long is gone, ms.
		constexpr Millis kGatewayGoneMs = 2'000;
		constexpr const char* kTable = "archdyke_groups";

		class QuietErrors final : public kj::TaskSet::ErrorHandler
		{
		public:
			void taskFailed(kj::Exception&& _error) override
			{
				logWarning("group_task_failed", {{"reason", _error.getDescription().cStr()}});
			}
		};

		std::string daemonAddress(const std::string& _engine, int _peerPort)
		{
			return _engine.substr(0, _engine.rfind(':') + 1) + std::to_string(_peerPort);
		}
	} // namespace

	store::RowKey groupRowKey(const std::string& _service, const std::string& _group)
	{
		return {kTable, _group, _service};
	}

	Coordinator::Coordinator(CoordinatorParts _parts, std::string _group, SwitchIntent _row, std::uint64_t _rowVersion)
	    : parts(std::move(_parts))
	    , group(std::move(_group))
	    , row(std::move(_row))
	    , rowVersion(_rowVersion)
	    , rowReadAt(nowMs())
	    , phaseSince(nowMs())
	    , errors(kj::heap<QuietErrors>())
	    , tasks(*this->errors)
	{
	}

	Coordination Coordinator::coordination() const
	{
		return {this->row.term, this->row.coordinator, this->storeLost};
	}

	bool Coordinator::switchIsOpen() const
	{
		return SwitchPhase::Idle != this->row.phase;
	}

	Millis Coordinator::lookMs() const
	{
		const Millis base = SwitchPhase::Idle == this->row.phase ? kIdleLookMs : SwitchPhase::Preparing == this->row.phase ? kPreparingLookMs
		                                                                                                                   : kSwitchingLookMs;
		return std::max(base, Millis(kLookMsPerRank * double(this->ranks.size())));
	}

	std::uint64_t Coordinator::marginSteps() const
	{
		const double steps = 0.0 < this->passMs ? std::ceil(kArmMs / this->passMs) : double(kMaxMarginSteps);
		return 1 + std::min(kMaxMarginSteps, std::uint64_t(steps));
	}

	std::vector<RankView> Coordinator::views(Millis _maxAgeMs) const
	{
		std::vector<RankView> result;
		const Millis now = nowMs();
		for (const auto& [engine, rank] : this->ranks)
		{
			const EngineReport& report = rank.report.engine;
			if (0 == rank.seenAt || report.group != this->group)
			{
				continue;
			}
			result.resize(std::max<std::size_t>(result.size(), report.ranks));
			const bool fresh = now - rank.seenAt <= _maxAgeMs && rank.seenAt >= this->rowReadAt;
			if (fresh && report.rank < result.size())
			{
				result[report.rank] = report.view;
			}
		}
		return result;
	}

	ExpertHosts Coordinator::currentHosts(const std::vector<RankView>& _ranks) const
	{
		const std::uint64_t map = _ranks.front().map;
		if (0 == map)
		{
			return dealtInTurn(this->model->sets, this->model->experts, std::uint32_t(_ranks.size()));
		}
		return map == this->row.inForceVersion ? this->row.inForce : ExpertHosts();
	}

	void Coordinator::hear(Rank& _rank, const RankReport& _report)
	{
		const EngineCounts counts = _report.counts.counts.empty() ? _rank.report.counts : _report.counts;
		const bool stateChanged = _rank.report.engine.view.open != _report.engine.view.open || _rank.report.engine.view.epoch != _report.engine.view.epoch || 0 == _rank.seenAt;
		if (stateChanged)
		{
			logInfo("rank_state", {{"engine", _rank.engineAddress}, {"group", _report.engine.group}, {"rank", _report.engine.rank}, {"epoch", _report.engine.view.epoch}, {"open", _report.engine.view.open}, {"map", _report.engine.view.map}});
		}
		_rank.report = _report;
		_rank.report.counts = counts;
		_rank.seenAt = nowMs();
		const std::uint64_t step = _report.engine.view.step;
		if (step > this->lastStep)
		{
			const Millis now = nowMs();
			const double each = double(now - this->lastStepAt) / double(step - this->lastStep);
			constexpr double kIdleGapMs = 1'000.0; // longer: the group was idle in between
			if (0 != this->lastStepAt && each < kIdleGapMs)
			{
				this->passMs = 0.0 == this->passMs ? each : this->passMs + kPassGain * (each - this->passMs);
			}
			this->lastStepAt = now;
		}
		this->lastStep = step;
	}

	aio::Task<void> Coordinator::observe(std::string _engine, bool _counts)
	{
		Rank& rank = this->ranks.at(_engine);
		rank.asking = true;
		std::string failure;
		try
		{
			const Coordination mine = this->coordination();
			const Observation observation = co_await rank.link->observe(mine, _counts, kObserveTimeoutMs);
			if (observation.newest.term > this->row.term)
			{
				logWarning("term_lost", {{"group", this->group}, {"term", this->row.term}, {"newer", observation.newest.term}, {"coordinator", observation.newest.address}});
				this->ended = true;
			}
			this->hear(rank, observation.report);
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		rank.asking = false;
		if (failure.empty())
		{
			co_return;
		}
		logWarning("rank_unseen", {{"engine", _engine}, {"daemon", rank.link->address()}, {"age_ms", 0 == rank.seenAt ? -1 : nowMs() - rank.seenAt}, {"reason", failure}});
		if (this->switchIsOpen())
		{
			// The group may stand at the boundary: its engine is asked and ordered from here.
			std::string engine = _engine;
			co_await this->observeDirectly(std::move(engine));
		}
	}

	aio::Task<void> Coordinator::observeDirectly(std::string _engine)
	{
		Rank& rank = this->ranks.at(_engine);
		rank.asking = true;
		std::string failure;
		try
		{
			RankReport report;
			report.engine = co_await rank.direct->report();
			this->hear(rank, report);
		}
		catch (const std::exception& error)
		{
			failure = error.what();
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		rank.asking = false;
		if (!failure.empty())
		{
			logWarning("engine_unseen", {{"engine", _engine}, {"reason", failure}});
		}
	}

	aio::Task<void> Coordinator::send(RankOrderPlan _plan)
	{
		Rank* target = nullptr;
		for (auto& [engine, rank] : this->ranks)
		{
			const EngineReport& report = rank.report.engine;
			target = 0 != rank.seenAt && report.group == this->group && report.rank == _plan.rank ? &rank : target;
		}
		if (nullptr == target)
		{
			co_return;
		}
		EngineOrder order{_plan.kind, _plan.epoch, _plan.version, _plan.step, {}};
		if (RankOrderKind::Prepare == _plan.kind)
		{
			order.expertsByRank = expertsByRank(this->row.map, target->report.engine.ranks);
		}
		OrderOutcome outcome;
		bool unreachable = false;
		try
		{
			EngineOrder copy = order;
			outcome = co_await target->link->order(this->row.term, std::move(copy), kOrderTimeoutMs);
		}
		catch (const kj::Exception&)
		{
			unreachable = true; // told by the line of the direct order
		}
		if (unreachable && this->switchIsOpen())
		{
			outcome = co_await target->direct->order(std::move(order));
		}
		SentOrder& sentOrder = this->sent[_plan];
		sentOrder.accepted = outcome.accepted;
		sentOrder.refused = !outcome.accepted && 0 != outcome.status;
	}

	aio::Task<bool> Coordinator::writeRow(SwitchIntent _row, std::string _reason)
	{
		store::ConditionalWrite write{groupRowKey(this->parts.settings.service, this->group), encodeIntent(_row), this->rowVersion};
		store::WriteResult result;
		std::string failure;
		try
		{
			result = co_await this->parts.store.write(std::move(write));
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		logInfo("group_row", {{"group", this->group}, {"term", _row.term}, {"phase", toString(_row.phase)}, {"epoch", _row.epoch}, {"version", _row.version}, {"boundary", _row.boundary}, {"reason", _reason}, {"written", result.written}, {"expected", this->rowVersion}, {"failure", failure.empty() ? "-" : failure}});
		if (!failure.empty())
		{
			// It may be done, or be done later; the next look at the row tells.
			this->storeLost = true;
			co_return false;
		}
		this->storeLost = false;
		const Millis now = nowMs();
		if (result.written)
		{
			if (this->row.phase != _row.phase)
			{
				this->sent.clear();
				this->phaseSince = now;
			}
			this->row = std::move(_row);
			this->rowVersion = result.version;
			this->rowReadAt = now;
			co_return true;
		}
		if (result.current)
		{
			const SwitchIntent current = decodeIntent(result.current->value);
			this->ended = current.term != this->row.term;
			this->row = this->ended ? this->row : current;
			this->rowVersion = result.current->version;
			this->rowReadAt = now;
			this->phaseSince = now;
			this->sent.clear();
		}
		co_return false;
	}

	void Coordinator::sampleCounts()
	{
		CountSample sample;
		sample.at = nowMs();
		for (const auto& [engine, rank] : this->ranks)
		{
			const EngineCounts& counts = rank.report.counts;
			if (rank.report.engine.group != this->group || counts.counts.empty())
			{
				return;
			}
			sample.epoch = counts.epoch;
			sample.counts.resize(counts.counts.size());
			for (std::size_t index = 0; index < counts.counts.size(); ++index)
			{
				sample.counts[index] += counts.counts[index];
			}
		}
		addSample(this->window, std::move(sample), kCountWindowMs);
	}

	std::optional<SwitchIntent> Coordinator::plan()
	{
		const std::vector<RankView> ranks = this->views(kViewMaxAgeMs);
		if (!this->model || 0 == this->model->experts || ranks.empty() || this->storeLost)
		{
			return std::nullopt;
		}
		const RankView& first = ranks.front();
		const bool steady = std::all_of(ranks.begin(), ranks.end(), [&](const RankView& _rank) {
			return _rank.seen && _rank.open && _rank.epoch == first.epoch && _rank.map == first.map && !_rank.held;
		});
		const std::optional<ExpertLoad> load = loadOf(this->window, this->model->experts, kCountWindowMs);
		if (!steady || !load || this->window.samples.back().epoch != first.epoch)
		{
			return std::nullopt;
		}
		const ExpertHosts hosts = this->currentHosts(ranks);
		if (hosts.size() != load->size())
		{
			return std::nullopt;
		}
		const MapDecision decision = decideMap(*this->model, std::uint32_t(ranks.size()), hosts, *load);
		this->lastSkew = decision.skewBefore;
		if (!decision.worthwhile)
		{
			return std::nullopt;
		}
		std::uint64_t newest = 0;
		for (const RankView& rank : ranks)
		{
			newest = std::max({newest, rank.map, rank.prepared.value_or(0), rank.armed.value_or(0)});
		}
		logInfo("map_planned", {{"group", this->group}, {"epoch", first.epoch}, {"step", first.step}, {"skew", decision.skewBefore}, {"planned_skew", decision.skewAfter}, {"copies", decision.copies}, {"pass_ms", this->passMs}, {"counts_age_ms", nowMs() - this->window.samples.back().at}});
		return beginSwitch(this->row, first.epoch, newest, decision.hosts);
	}

	aio::Task<void> Coordinator::advance()
	{
		const Millis now = nowMs();
		if (!this->switchIsOpen())
		{
			std::optional<SwitchIntent> begun = this->plan();
			if (begun)
			{
				std::string reason = "skew";
				co_await this->writeRow(std::move(*begun), std::move(reason));
			}
			co_return;
		}
		const bool refused = std::any_of(this->sent.begin(), this->sent.end(), [](const auto& _entry) {
			return RankOrderKind::Prepare == _entry.first.kind && _entry.second.refused;
		});
		const bool late = now - this->phaseSince > kPrepareMs || refused;
		SwitchStep step = decideSwitch(this->row, this->views(kViewMaxAgeMs), this->marginSteps(), late);
		if (step.write)
		{
			const bool done = "in_force" == step.reason;
			std::string reason(step.reason);
			const bool written = co_await this->writeRow(std::move(*step.write), std::move(reason));
			this->switches += done && written ? 1 : 0;
			if (done)
			{
				this->window = {};
			}
			co_return;
		}
		for (const RankOrderPlan& order : step.orders)
		{
			SentOrder& last = this->sent[order];
			if (0 == last.at || now - last.at >= (last.accepted ? kRepeatAcceptedMs : kRepeatMs))
			{
				last.at = now;
				this->tasks.add(this->send(order).take());
			}
		}
	}

	aio::Task<void> Coordinator::watchRanks()
	{
		while (!this->ended)
		{
			const Millis now = nowMs();
			const bool counts = now - this->countsAt >= kIdleLookMs;
			this->countsAt = counts ? now : this->countsAt;
			for (auto& [engine, rank] : this->ranks)
			{
				if (!rank.asking)
				{
					std::string name = engine;
					this->tasks.add(this->observe(std::move(name), counts).take());
				}
			}
			co_await this->parts.loop.timer.afterDelay(this->lookMs() * kj::MILLISECONDS);
			if (counts)
			{
				this->sampleCounts();
			}
			co_await this->advance();
		}
	}

	void Coordinator::takeUpstreams(const store::Rows& _rows)
	{
		for (const store::Row& row : _rows.rows)
		{
			if (row.gone)
			{
				continue; // a rank whose engine died comes back at its address, or never answers
			}
			const UpstreamRecord record = this->parts.decodeUpstream(row.key.key, row.value);
			if (record.service != this->parts.settings.service || this->ranks.contains(record.address))
			{
				continue;
			}
			Rank rank;
			rank.engineAddress = record.address;
			rank.link = std::make_unique<RankLink>(this->parts.loop, daemonAddress(record.address, this->parts.settings.place.peerPort));
			rank.direct = std::make_unique<Engine>(this->parts.loop, this->parts.codec, record.address);
			this->ranks.emplace(record.address, std::move(rank));
		}
	}

	aio::Task<void> Coordinator::watchModel()
	{
		const std::string none;
		std::optional<std::uint64_t> since;
		Millis modelAt = 0;
		while (!this->ended)
		{
			std::string failure;
			try
			{
				if (!this->model || nowMs() - modelAt > kModelLookMs)
				{
					const store::Rows rows = co_await this->parts.store.read(this->parts.names.configuration, none, none);
					for (const store::Row& row : rows.rows)
					{
						const bool newest = row.key.key == this->parts.names.configurationKey;
						const CatalogIndex index = newest ? makeIndex(this->parts.decodeCatalog(row.value)) : CatalogIndex();
						const CatalogService* service = findService(index, this->parts.settings.service);
						this->model = nullptr == service ? this->model : service->engine;
					}
					modelAt = nowMs();
				}
				store::Rows rows;
				if (since)
				{
					rows = co_await this->parts.store.follow(this->parts.names.upstreams, *since, kUpstreamsWaitMs);
				}
				else
				{
					rows = co_await this->parts.store.read(this->parts.names.upstreams, none, none);
				}
				since = rows.historyGone ? std::nullopt : std::optional(rows.version);
				this->takeUpstreams(rows);
			}
			catch (const kj::Exception& error)
			{
				failure = error.getDescription().cStr();
			}
			catch (const InvalidInputError& error)
			{
				failure = error.what();
			}
			if (!failure.empty())
			{
				logWarning("group_watch_failed", {{"group", this->group}, {"reason", failure}});
				co_await this->parts.loop.timer.afterDelay(kStoreRetryMs * kj::MILLISECONDS);
			}
		}
	}

	aio::Task<void> Coordinator::checkRow()
	{
		const store::RowKey key = groupRowKey(this->parts.settings.service, this->group);
		while (!this->ended)
		{
			co_await this->parts.loop.timer.afterDelay((this->storeLost ? kStoreRetryMs : kRowLookMs) * kj::MILLISECONDS);
			const bool before = this->storeLost;
			std::string failure;
			try
			{
				const store::Rows rows = co_await this->parts.store.read(key.table, key.part, key.key);
				this->storeLost = false;
				for (const store::Row& found : rows.rows)
				{
					if (found.key == key && found.version > this->rowVersion)
					{
						const SwitchIntent current = decodeIntent(found.value);
						this->ended = current.term != this->row.term;
						this->row = this->ended ? this->row : current;
						this->rowVersion = found.version;
						this->rowReadAt = nowMs();
						this->phaseSince = nowMs();
						this->sent.clear();
					}
				}
				// The row was read after the ranks were seen: a hold that it doesn't name is stray.
				for (const RankOrderPlan& order : releaseStrayHolds(this->row, this->views(kViewMaxAgeMs)))
				{
					logWarning("stray_hold", {{"group", this->group}, {"rank", order.rank}, {"step", order.step}, {"phase", toString(this->row.phase)}});
					this->tasks.add(this->send(order).take());
				}
			}
			catch (const kj::Exception& error)
			{
				failure = error.getDescription().cStr();
				this->storeLost = true;
			}
			if (before != this->storeLost)
			{
				logWarning(this->storeLost ? "store_lost" : "store_back", {{"table", key.table}, {"reason", failure}, {"term", this->row.term}});
			}
		}
	}

	aio::Task<CoordinatorEnd> Coordinator::run()
	{
		const auto fatal = [this](kj::Exception&& _error) {
			logError("coordinator_failed", {{"group", this->group}, {"reason", _error.getDescription().cStr()}, {"remedy", "another daemon takes over; report this line"}});
			this->ended = true;
		};
		this->modelling = this->watchModel().take().eagerlyEvaluate(fatal);
		this->checking = this->checkRow().take().eagerlyEvaluate(fatal);
		this->watching = this->watchRanks().take().eagerlyEvaluate(fatal);
		while (!this->ended)
		{
			co_await this->parts.loop.timer.afterDelay(kIdleLookMs * kj::MILLISECONDS);
		}
		co_return CoordinatorEnd::TermLost;
	}

	GroupLoads Coordinator::loads(const std::string& _gateway)
	{
		const Millis now = nowMs();
		this->gateways[_gateway] = now;
		std::erase_if(this->gateways, [&](const auto& _entry) {
			return now - _entry.second > kGatewayGoneMs;
		});
		GroupLoads loads;
		loads.known = true;
		loads.newest = this->coordination();
		loads.passMs = this->passMs;
		loads.gateways = std::uint32_t(this->gateways.size());
		for (const auto& [engine, rank] : this->ranks)
		{
			if (0 != rank.seenAt && now - rank.seenAt <= kViewMaxAgeMs && rank.report.engine.group == this->group)
			{
				loads.open = loads.open && rank.report.engine.view.open;
				loads.ranks.push_back({engine, rank.report.engine.queued + rank.report.engine.active});
			}
		}
		return loads;
	}

	std::string Coordinator::describe() const
	{
		nlohmann::json seen = nlohmann::json::array();
		for (const auto& [engine, rank] : this->ranks)
		{
			seen.push_back({{"engine", engine}, {"rank", rank.report.engine.rank}, {"ageMs", 0 == rank.seenAt ? -1 : nowMs() - rank.seenAt}, {"step", rank.report.engine.view.step}, {"map", rank.report.engine.view.map}, {"queued", rank.report.engine.queued}, {"active", rank.report.engine.active}});
		}
		return nlohmann::json{{"group", this->group}, {"term", this->row.term}, {"phase", std::string(toString(this->row.phase))}, {"version", this->row.version}, {"boundary", this->row.boundary}, {"storeLost", this->storeLost}, {"passMs", this->passMs}, {"skew", this->lastSkew}, {"switches", this->switches}, {"ranks", seen}}.dump();
	}
} // namespace archdyke::group
