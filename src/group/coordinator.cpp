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
		constexpr Millis kIdleLookMs = 60;
		constexpr Millis kPreparingLookMs = 25;
		constexpr Millis kSwitchingLookMs = 8;
		/// A look costs the coordinator some 60 us a rank; this keeps it below a tenth of a core
		/// in large groups.
		constexpr double kLookMsPerRank = 0.6;
		constexpr double kIdleLookMsPerRank = 2.0;
		/// Counts of chosen experts may take this share of the coordinator's link.
		constexpr double kSampleLinkShare = 0.2;
		constexpr double kBytesPerMegabit = 125'000.0;
		/// In large groups only some ranks are asked for counts, and less often: requests are
		/// spread over all ranks, so what some chose tells what all choose.
		constexpr double kSampleMsPerRank = 1.5;
		constexpr std::size_t kLeastSampled = 8;
		constexpr Millis kObserveTimeoutMs = 250;
		constexpr Millis kOrderTimeoutMs = 150;
		/// More in large groups, ms a rank: all ranks are told at once over one link.
		constexpr double kOrderTimeoutMsPerRank = 6.0;
		/// An order without an answer is sent again after this, one that was accepted but shows
		/// no effect after the longer time, ms.
		constexpr Millis kRepeatMs = 60;
		constexpr Millis kRepeatAcceptedMs = 400;
		/// A rank whose daemon is silent for this long is asked directly while a switch can't go on
		/// without it, ms; each such question is paid for.
		constexpr Millis kDirectAfterMs = 400;
		/// What a rank last said counts for this long, ms.
		constexpr Millis kViewMaxAgeMs = 600;
		/// A switch that isn't prepared by then is abandoned, ms; beyond the time of its copies.
		constexpr Millis kPrepareMs = 2'500;
		/// A boundary that isn't held by then is abandoned, ms: the rank that is to hold it, or
		/// the store, is away.
		constexpr Millis kHoldMs = 1'500;
		/// Time from the choice of a boundary to a released hold, ms, beside two writes and some
		/// looks at all ranks: a hold, the arms, a release.
		constexpr double kArmMs = 50.0;
		constexpr double kArmLooks = 2.5;
		/// Ranks that are asked while one of them is to hold.
		constexpr std::size_t kAskedWhileHolding = 3;
		/// Mean of the time of a write: weight of the newest one.
		constexpr double kWriteGain = 0.5;
		constexpr std::uint64_t kMaxMarginSteps = 16;
		/// The time of a pass is the mean over about this long, ms: some passes.
		constexpr Millis kPassWindowMs = 500;
		/// Between two looks at the row while nothing is written, ms: notices another
		/// coordinator, and a store that is lost.
		constexpr Millis kRowLookMs = 2'000;
		constexpr Millis kStoreRetryMs = 300;
		constexpr Millis kStrayLookMs = 50;
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
	    , intent(std::move(_row))
	    , rowVersion(_rowVersion)
	    , rowReadAt(nowMs())
	    , phaseSince(nowMs())
	    , errors(kj::heap<QuietErrors>())
	    , tasks(*this->errors)
	{
	}

	Coordination Coordinator::coordination() const
	{
		return {this->intent.term, this->intent.coordinator, this->storeLost};
	}

	bool Coordinator::switchIsOpen() const
	{
		return SwitchPhase::Idle != this->intent.phase;
	}

	Millis Coordinator::lookMs() const
	{
		const double ranks = double(this->ranks.size());
		switch (this->intent.phase)
		{
		case SwitchPhase::Idle:
			return std::max(kIdleLookMs, Millis(kIdleLookMsPerRank * ranks));
		case SwitchPhase::Preparing:
			return std::max(kPreparingLookMs, Millis(kLookMsPerRank * ranks));
		case SwitchPhase::Holding:
			return kSwitchingLookMs;
		default:
			return Millis(this->switchingLookMs());
		}
	}

	double Coordinator::switchingLookMs() const
	{
		return std::max(double(kSwitchingLookMs), kLookMsPerRank * double(this->ranks.size()));
	}

	std::uint64_t Coordinator::marginSteps() const
	{
		const double steps = 0.0 < this->passMs ? std::ceil((kArmMs + 2.0 * this->writeMs + kArmLooks * this->switchingLookMs()) / this->passMs) : double(kMaxMarginSteps);
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
		return map == this->intent.inForceVersion ? this->intent.inForce : ExpertHosts();
	}

	void Coordinator::notePass(const EngineReport& _engine)
	{
		const Millis now = nowMs();
		if (this->passEpoch != _engine.view.epoch)
		{
			this->passes.clear();
			this->passEpoch = _engine.view.epoch;
		}
		if (this->passes.empty() || this->passes.back().step < _engine.view.step)
		{
			this->passes.push_back({_engine.view.step, now});
		}
		while (2 < this->passes.size() && this->passes[1].at < now - kPassWindowMs)
		{
			this->passes.pop_front();
		}
		const PassSample& first = this->passes.front();
		const PassSample& last = this->passes.back();
		if (first.step < last.step)
		{
			this->passMs = double(last.at - first.at) / double(last.step - first.step);
		}
	}

	void Coordinator::hear(Rank& _rank, const RankReport& _report)
	{
		const bool stateChanged = _rank.report.engine.view.open != _report.engine.view.open || _rank.report.engine.view.epoch != _report.engine.view.epoch || 0 == _rank.seenAt;
		if (stateChanged)
		{
			logInfo("rank_state", {{"engine", _rank.engineAddress}, {"group", _report.engine.group}, {"rank", _report.engine.rank}, {"epoch", _report.engine.view.epoch}, {"open", _report.engine.view.open}, {"map", _report.engine.view.map}});
		}
		this->takeChoices(_rank, _report.choices);
		_rank.report = _report;
		_rank.seenAt = nowMs();
		this->notePass(_report.engine);
	}

	aio::Task<void> Coordinator::observe(std::string _engine, bool _counts)
	{
		Rank& rank = this->ranks.at(_engine);
		rank.asking = true;
		std::string failure;
		try
		{
			const Coordination mine = this->coordination();
			const Observation observation = co_await rank.link->observe(mine, _counts, rank.sample, kObserveTimeoutMs);
			if (!this->ended && observation.newest.term > this->intent.term)
			{
				logWarning("term_lost", {{"group", this->group}, {"term", this->intent.term}, {"newer", observation.newest.term}, {"coordinator", observation.newest.address}});
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
		const bool groupMayStand = SwitchPhase::Holding == this->intent.phase || SwitchPhase::Switching == this->intent.phase;
		if (groupMayStand && nowMs() - rank.seenAt > kDirectAfterMs)
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

	MapDifference Coordinator::differenceFor(const Rank& _rank, const RankExperts& _map) const
	{
		const std::uint32_t ranks = _rank.report.engine.ranks;
		const std::uint32_t sets = std::uint32_t(this->intent.map.size());
		const std::uint32_t experts = 0 == sets ? 0 : std::uint32_t(this->intent.map.front().size());
		const bool dealt = _rank.lacksBase || 0 == this->intent.inForceVersion;
		const ExpertHosts base = dealt ? dealtInTurn(sets, experts, ranks) : this->intent.inForce;
		return differenceOf(dealt ? 0 : this->intent.inForceVersion, expertsByRank(base, ranks), _map, experts);
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
			this->sent.erase(_plan);
			co_return;
		}
		EngineOrder order{_plan.kind, _plan.epoch, _plan.version, _plan.step, {}};
		MapDifference difference;
		if (RankOrderKind::Prepare == _plan.kind)
		{
			order.expertsByRank = expertsByRank(this->intent.map, target->report.engine.ranks);
			difference = this->differenceFor(*target, order.expertsByRank);
		}
		// A VM that freezes with a hold just given would keep the group standing: the hold is
		// given from here, so that the engine that has it can still be reached.
		bool direct = RankOrderKind::Hold == _plan.kind;
		OrderOutcome outcome;
		if (!direct)
		{
			try
			{
				EngineOrder copy = order;
				outcome = co_await target->link->order(this->intent.term, std::move(copy), std::move(difference), this->orderTimeoutMs());
				target->lacksBase = outcome.baseUnknown;
			}
			catch (const kj::Exception&)
			{
				direct = RankOrderKind::Prepare != _plan.kind; // told by the line of the direct order
			}
		}
		if (direct)
		{
			outcome = co_await target->direct->order(std::move(order));
		}
		SentOrder& sentOrder = this->sent[_plan];
		sentOrder.pending = false;
		sentOrder.accepted = outcome.accepted;
		sentOrder.refused = !outcome.accepted && 0 != outcome.status;
	}

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
		SwitchIntent current = decodeIntent(_row.value);
		this->rowVersion = _row.version;
		this->rowReadAt = nowMs();
		if (current.term != this->intent.term)
		{
			logWarning("term_lost", {{"group", this->group}, {"term", this->intent.term}, {"newer", current.term}, {"coordinator", current.coordinator}});
			this->ended = true;
			return;
		}
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
		}
		else if (result.current)
		{
			this->adoptRow(*result.current);
		}
	}

	void Coordinator::takeChoices(Rank& _rank, const ChoiceSample& _sample)
	{
		if (0 == _sample.sample)
		{
			return;
		}
		const Millis now = nowMs();
		const bool follows = 0 != _sample.since && _sample.since == _rank.sample && _sample.epoch == _rank.sampleEpoch;
		if (follows)
		{
			addPiece(this->window, {_rank.sampledAt, now, _sample.epoch, _sample.choices}, kCountWindowMs);
		}
		_rank.sample = _sample.sample;
		_rank.sampleEpoch = _sample.epoch;
		_rank.sampledAt = now;
	}

	Millis Coordinator::sampleMs() const
	{
		return std::max(kIdleLookMs, Millis(kSampleMsPerRank * double(this->ranks.size())));
	}

	Millis Coordinator::orderTimeoutMs() const
	{
		return std::max(kOrderTimeoutMs, Millis(kOrderTimeoutMsPerRank * double(this->ranks.size())));
	}

	std::size_t Coordinator::sampledRanks() const
	{
		const double bytes = !this->model ? 1.0 : double(sizeof(std::uint16_t)) * this->model->sets * this->model->experts;
		const double bytesPerSecond = kSampleLinkShare * kBytesPerMegabit * this->parts.settings.place.linkMbps;
		const double affordable = bytesPerSecond * double(this->sampleMs()) / 1'000.0 / std::max(1.0, bytes);
		return std::max(kLeastSampled, std::size_t(affordable));
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
		if (!steady || !load || this->window.pieces.back().epoch != first.epoch)
		{
			return std::nullopt;
		}
		const ExpertHosts hosts = this->currentHosts(ranks);
		if (hosts.size() != load->size())
		{
			return std::nullopt;
		}
		const MapDecision decision = decideMap(*this->model, std::uint32_t(ranks.size()), hosts, *load, {this->passMs, this->gapObjectiveMs});
		this->lastSkew = decision.skewBefore;
		if (!decision.worthwhile)
		{
			return std::nullopt;
		}
		logInfo("map_planned", {{"group", this->group}, {"epoch", first.epoch}, {"step", first.step}, {"skew", decision.skewBefore}, {"planned_skew", decision.skewAfter}, {"copies", decision.copies}, {"pass_ms", this->passMs}, {"counts_age_ms", nowMs() - this->window.pieces.back().to}});
		std::optional<SwitchIntent> begun = beginSwitch(this->intent, first.epoch, decision.hosts);
		this->ended = this->ended || !begun; // no versions left: the next coordinator has a term of its own
		return begun;
	}

	bool Coordinator::takesTooLong() const
	{
		const Millis since = nowMs() - this->phaseSince;
		if (SwitchPhase::Holding == this->intent.phase)
		{
			return since > kHoldMs;
		}
		const bool refused = std::any_of(this->sent.begin(), this->sent.end(), [](const auto& _entry) {
			return RankOrderKind::Prepare == _entry.first.kind && _entry.second.refused;
		});
		return refused || since > kPrepareMs;
	}

	std::optional<std::uint32_t> Coordinator::ownRank() const
	{
		const auto own = this->ranks.find(this->parts.settings.upstream);
		const bool known = this->ranks.end() != own && 0 != own->second.seenAt;
		return known ? std::optional(own->second.report.engine.rank) : std::nullopt;
	}

	void Coordinator::sendOrders(const std::vector<RankOrderPlan>& _orders)
	{
		const Millis now = nowMs();
		for (const RankOrderPlan& order : _orders)
		{
			SentOrder& last = this->sent[order];
			const Millis wait = last.accepted ? kRepeatAcceptedMs : kRepeatMs;
			if (!last.pending && (0 == last.at || now - last.at >= wait))
			{
				last.at = now;
				last.pending = true;
				this->tasks.add(this->send(order).take());
			}
		}
	}

	aio::Task<void> Coordinator::advance()
	{
		if (!this->switchIsOpen())
		{
			std::optional<SwitchIntent> begun = this->plan();
			if (begun)
			{
				this->adopt(std::move(*begun));
			}
			co_return;
		}
		const SwitchPatience patience{this->marginSteps(), this->takesTooLong(), this->ownRank()};
		SwitchStep step = decideSwitch(this->intent, this->views(kViewMaxAgeMs), patience);
		if (!step.next)
		{
			this->sendOrders(step.orders);
			co_return;
		}
		const bool done = "in_force" == step.reason;
		this->switches += done ? 1 : 0;
		if (step.store)
		{
			std::string reason(step.reason);
			co_await this->writeRow(std::move(*step.next), std::move(reason));
			co_return;
		}
		logInfo("switch", {{"group", this->group}, {"term", step.next->term}, {"phase", toString(step.next->phase)}, {"version", step.next->version}, {"reason", step.reason}, {"took_ms", nowMs() - this->phaseSince}});
		this->adopt(std::move(*step.next));
	}

	void Coordinator::askRanks()
	{
		const Millis now = nowMs();
		const bool counts = now - this->countsAt >= this->sampleMs();
		this->countsAt = counts ? now : this->countsAt;
		std::size_t left = counts ? this->sampledRanks() : 0;
		std::size_t asked = 0;
		for (auto& [engine, rank] : this->ranks)
		{
			const bool enough = SwitchPhase::Holding == this->intent.phase && !counts && kAskedWhileHolding <= asked;
			if (rank.asking || enough)
			{
				continue;
			}
			asked += 1;
			const bool sampled = 0 < left;
			left -= sampled ? 1 : 0;
			std::string name = engine;
			this->tasks.add(this->observe(std::move(name), sampled).take());
		}
	}

	aio::Task<void> Coordinator::watchRanks()
	{
		while (!this->ended)
		{
			this->askRanks();
			co_await this->parts.loop.timer.afterDelay(this->lookMs() * kj::MILLISECONDS);
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
			Millis pauseMs = 0;
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
						this->gapObjectiveMs = newest ? leastGapObjective(index.catalog, this->parts.settings.service) : this->gapObjectiveMs;
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
				pauseMs = rows.rows.empty() ? 0 : kStoreRetryMs; // changes that come together, in one call
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
				pauseMs = kStoreRetryMs;
			}
			co_await this->parts.loop.timer.afterDelay(pauseMs * kj::MILLISECONDS);
		}
	}

	/// A hold that is seen while no switch is open stands in the way of the group.
	Millis Coordinator::rowLookMs() const
	{
		const std::vector<RankView> ranks = this->views(kViewMaxAgeMs);
		const bool stray = !this->switchIsOpen() && std::any_of(ranks.begin(), ranks.end(), [](const RankView& _rank) {
			return _rank.seen && _rank.held;
		});
		const Millis usual = this->storeLost ? kStoreRetryMs : kRowLookMs;
		return stray ? kStrayLookMs : usual;
	}

	aio::Task<void> Coordinator::checkRow()
	{
		const store::RowKey key = groupRowKey(this->parts.settings.service, this->group);
		while (!this->ended)
		{
			co_await this->parts.loop.timer.afterDelay(this->rowLookMs() * kj::MILLISECONDS);
			const bool before = this->storeLost;
			std::string failure;
			try
			{
				// The row is read after the ranks were seen: a hold that it doesn't name is stray.
				const std::vector<RankView> seenBefore = this->views(kViewMaxAgeMs);
				const store::Rows rows = co_await this->parts.store.read(key.table, key.part, key.key);
				this->storeLost = false;
				for (const store::Row& found : rows.rows)
				{
					if (found.key == key && found.version > this->rowVersion)
					{
						this->adoptRow(found);
					}
				}
				for (const RankOrderPlan& order : releaseStrayHolds(this->intent, seenBefore))
				{
					logWarning("stray_hold", {{"group", this->group}, {"rank", order.rank}, {"step", order.step}, {"phase", toString(this->intent.phase)}});
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
				logWarning(this->storeLost ? "store_lost" : "store_back", {{"table", key.table}, {"reason", failure}, {"term", this->intent.term}});
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
		return nlohmann::json{{"group", this->group}, {"term", this->intent.term}, {"phase", std::string(toString(this->intent.phase))}, {"version", this->intent.version}, {"boundary", this->intent.boundary}, {"storeLost", this->storeLost}, {"passMs", this->passMs}, {"skew", this->lastSkew}, {"switches", this->switches}, {"ranks", seen}}.dump();
	}
} // namespace archdyke::group
