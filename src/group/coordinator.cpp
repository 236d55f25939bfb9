#include "group/coordinator.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "base/process.h"
#include "group/coordinator_p.h"

namespace archdyke::group
{
	namespace
	{
		/// Interval between decisions, ms: short compared with a pass, and costs 2 % of the smallest VM.
		constexpr Millis kDecisionIntervalMs = 8;
		/// Poll interval while maps are copied (0.1 s per expert), ms.
		constexpr Millis kPreparingPollIntervalMs = 25;
		/// Poll interval while the group may be stalled at the boundary, ms.
		constexpr Millis kSwitchingPollIntervalMs = 8;
		/// A poll costs about 60 us per daemon polled from here; these intervals keep polling below a
		/// tenth of a core.
		constexpr double kPollMsPerMessage = 0.6;
		constexpr double kIdlePollMsPerMessage = 2.0;
		/// Interval between warnings that no map can be planned, ms.
		constexpr Millis kPlanBlockedLogIntervalMs = 2'000;
		/// A switch that isn't prepared in this time is abandoned, ms; longer than its copies take.
		constexpr Millis kPreparePhaseTimeoutMs = 2'500;
		/// A boundary that isn't held in this time is abandoned, ms: the rank that should hold is unavailable.
		constexpr Millis kHoldTimeoutMs = 1'500;
		/// The same while a rank is unreachable, ms: the group may be stalled, and callers wait for every
		/// token. Ten polls, so that a single lost poll doesn't abandon the switch.
		constexpr Millis kUnreachableHoldTimeoutMs = 200;
		/// Time from the choice of a boundary to the released hold (hold, arms, release), ms, in addition to
		/// the write and a few polls of all ranks.
		constexpr double kArmDurationMs = 50.0;
		constexpr double kArmPolls = 2.5;
		/// Maximum distance of a boundary from the newest step, in addition to the steps that pass during the
		/// write. Limits it for a group without requests, whose passes are short.
		constexpr double kMaxMarginSteps = 16.0;
		/// Store table of the groups' rows.
		constexpr const char* kTable = "archdyke_groups";

		class LoggingErrorHandler final : public kj::TaskSet::ErrorHandler
		{
		public:
			void taskFailed(kj::Exception&& _error) override
			{
				logWarning("group_task_failed", {{"reason", _error.getDescription().cStr()}});
			}
		};
	} // namespace

	std::string_view toString(CoordinatorEnd _end)
	{
		return CoordinatorEnd::TermLost == _end ? "term_lost" : "group_left";
	}

	store::RowKey groupRowKey(const std::string& _service, const std::string& _group)
	{
		return {kTable, _group, _service};
	}

	Coordinator::Coordinator(CoordinatorDependencies _dependencies, std::string _group, SwitchIntent _row, std::uint64_t _rowVersion)
	    : dependencies(std::move(_dependencies))
	    , group(std::move(_group))
	    , intent(std::move(_row))
	    , history(initialHistory(this->intent))
	    , rowVersion(_rowVersion)
	    , startedAt(nowMs())
	    , rowReadAt(nowMs())
	    , phaseSince(nowMs())
	    , mapCounters(this->dependencies.metrics)
	    , errors(kj::heap<LoggingErrorHandler>())
	    , tasks(*this->errors)
	{
	}

	Coordination Coordinator::coordination() const
	{
		return {this->group, this->intent.term, this->intent.coordinator, this->storeLost};
	}

	bool Coordinator::switchIsOpen() const
	{
		return SwitchPhase::Idle != this->intent.phase;
	}

	double Coordinator::messagesPerPoll() const
	{
		const double ranks = double(this->ranks.size());
		// A relay's messages count as well: the slowest relay determines how long the poll takes.
		return this->ranks.size() <= kTreeFanOut ? ranks : double(this->branches.size()) + ranks / std::max(1.0, double(this->branches.size()));
	}

	Millis Coordinator::pollIntervalMs() const
	{
		const double messages = this->messagesPerPoll();
		switch (this->intent.phase)
		{
		case SwitchPhase::Idle:
			return std::max(kIdlePollIntervalMs, Millis(kIdlePollMsPerMessage * messages));
		case SwitchPhase::Preparing:
			return std::max(kPreparingPollIntervalMs, Millis(kPollMsPerMessage * messages));
		default:
			return Millis(this->switchingPollIntervalMs());
		}
	}

	double Coordinator::switchingPollIntervalMs() const
	{
		return std::max(double(kSwitchingPollIntervalMs), kPollMsPerMessage * this->messagesPerPoll());
	}

	std::uint64_t Coordinator::marginSteps() const
	{
		if (this->passMs <= 0.0)
		{
			return 1 + std::uint64_t(kMaxMarginSteps);
		}
		// If more steps pass during the write than this margin, every boundary passes before it is held: with
		// a store that took 0.9 s per write, no switch ever completed.
		const double writing = this->writeMs / this->passMs;
		const double others = (kArmDurationMs + kArmPolls * this->switchingPollIntervalMs()) / this->passMs;
		return 1 + std::uint64_t(std::ceil(writing + std::min(kMaxMarginSteps, others)));
	}

	std::vector<RankView> Coordinator::views(Millis _maxAgeMs) const
	{
		std::vector<RankView> result;
		const Millis now = nowMs();
		for (const auto& [engine, rank] : this->ranks)
		{
			const EngineReport& report = rank.report;
			if (0 == rank.observedAt || report.group != this->group)
			{
				continue;
			}
			result.resize(std::max<std::size_t>(result.size(), report.ranks));
			const bool fresh = now - rank.observedAt <= _maxAgeMs && rank.observedAt >= this->rowReadAt;
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
			return roundRobinMap(this->model->sets, this->model->experts, std::uint32_t(_ranks.size()));
		}
		return map == this->intent.inForceVersion ? this->intent.inForce : ExpertHosts();
	}

	std::vector<double> Coordinator::paces(std::size_t _ranks) const
	{
		std::vector<double> result(_ranks, 1.0);
		for (const auto& [engine, rank] : this->ranks)
		{
			const EngineReport& report = rank.report;
			if (0 != rank.observedAt && report.group == this->group && report.rank < _ranks)
			{
				result[report.rank] = std::max(1.0, report.pace);
			}
		}
		return result;
	}

	std::string_view Coordinator::planBlocker(const std::vector<RankView>& _ranks) const
	{
		if (!this->model || 0 == this->model->experts || _ranks.empty() || this->storeLost)
		{
			return this->storeLost ? "store_lost" : "no_model";
		}
		const RankView& first = _ranks.front();
		const auto all = [&](auto _is) {
			return std::all_of(_ranks.begin(), _ranks.end(), _is);
		};
		if (!all([](const RankView& _rank) {
			    return _rank.seen;
		    }))
		{
			return "ranks_unseen";
		}
		if (!all([&](const RankView& _rank) {
			    return _rank.open && _rank.epoch == first.epoch;
		    }))
		{
			return "group_not_open";
		}
		if (!all([&](const RankView& _rank) {
			    return _rank.map == first.map && !_rank.held;
		    }))
		{
			return "ranks_differ";
		}
		const bool known = 0 == first.map || first.map == this->intent.inForceVersion;
		return known ? "" : "map_unknown";
	}

	bool Coordinator::canPlan(const std::vector<RankView>& _ranks)
	{
		const std::string_view planBlocker = this->planBlocker(_ranks);
		const Millis now = nowMs();
		this->planBlockedSince = planBlocker.empty() ? 0 : (0 == this->planBlockedSince ? now : this->planBlockedSince);
		if (!planBlocker.empty() && now - this->planBlockedSince >= kPlanBlockedLogIntervalMs)
		{
			std::string unseenExample; // one unseen rank and the relay that should have reported it
			for (const auto& [engine, rank] : this->ranks)
			{
				const auto branch = this->branchOf.find(engine);
				const bool unseenHere = now - rank.observedAt > kViewMaxAgeMs;
				unseenExample = unseenHere ? engine + " by " + (this->branchOf.end() == branch ? "nobody" : branch->second) : unseenExample;
			}
			const auto unseen = std::count_if(_ranks.begin(), _ranks.end(), [](const RankView& _rank) {
				return !_rank.seen;
			});
			logWarning("no_map_planned", {{"group", this->group}, {"why", planBlocker}, {"unseen", unseen}, {"of", _ranks.size()}, {"known", this->ranks.size()}, {"one", unseenExample}, {"for_ms", kPlanBlockedLogIntervalMs}});
			this->planBlockedSince = now;
		}
		return planBlocker.empty();
	}

	bool Coordinator::allReachable() const
	{
		const SearchProgress progress = this->progress();
		return 0 < progress.found && progress.ranks <= progress.found;
	}

	bool Coordinator::phaseTimedOut(const std::vector<RankView>& _ranks) const
	{
		const Millis since = nowMs() - this->phaseSince;
		if (SwitchPhase::Preparing != this->intent.phase)
		{
			// The views are newer than the row's write, so a rank that froze with the hold is noticed within a few polls.
			const bool allObserved = std::all_of(_ranks.begin(), _ranks.end(), [](const RankView& _rank) {
				return _rank.seen;
			});
			return since > (allObserved && this->allReachable() ? kHoldTimeoutMs : kUnreachableHoldTimeoutMs);
		}
		const bool refused = std::any_of(this->sentOrders.begin(), this->sentOrders.end(), [](const auto& _entry) {
			return RankOrderKind::Prepare == _entry.first.kind && _entry.second.refused;
		});
		return refused || since > kPreparePhaseTimeoutMs;
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
		const std::vector<RankView> ranks = this->views(kViewMaxAgeMs);
		const SwitchConditions patience{this->marginSteps(), this->phaseTimedOut(ranks), this->allReachable(), this->ownRank()};
		SwitchDecision step = decideSwitch(this->intent, ranks, applyHistory(patience, this->intent, this->history));
		this->history = historyAfter(this->history, this->intent, step);
		if (!step.next)
		{
			this->sendOrders(step.orders);
			co_return;
		}
		if (SwitchPhase::Preparing == this->intent.phase && SwitchPhase::Switching == step.next->phase)
		{
			step.next->era = store::eraOf(this->rowVersion); // all ranks have prepared this map, which voids older arm orders
		}
		const bool done = "in_force" == step.reason;
		this->switches += done ? 1 : 0;
		if (step.store)
		{
			std::string reason(step.reason);
			co_await this->writeRow(std::move(*step.next), std::move(reason));
			if (!this->switchIsOpen())
			{
				this->releaseStrays(ranks); // these views were taken before the row was written
			}
			co_return;
		}
		logInfo("switch", {{"group", this->group}, {"term", step.next->term}, {"phase", toString(step.next->phase)}, {"version", step.next->version}, {"reason", step.reason}, {"took_ms", nowMs() - this->phaseSince}});
		this->adopt(std::move(*step.next));
	}

	aio::Task<void> Coordinator::watchRanks()
	{
		while (!this->ended)
		{
			if (nowMs() - this->askedAt >= this->pollIntervalMs())
			{
				this->askedAt = nowMs();
				this->pollRanks();
			}
			co_await this->dependencies.loop.timer.afterDelay(kDecisionIntervalMs * kj::MILLISECONDS);
		}
	}

	aio::Task<void> Coordinator::decide()
	{
		while (!this->ended)
		{
			// Responses to orders arrive between polls, and each may allow the next step of the switch.
			co_await this->dependencies.loop.timer.afterDelay(kDecisionIntervalMs * kj::MILLISECONDS);
			if (!this->ended) // may have ended during the delay
			{
				co_await this->recoverFromRestoration();
			}
			if (!this->ended) // the row may name a newer term
			{
				co_await this->advance();
			}
		}
	}

	aio::Task<CoordinatorEnd> Coordinator::run()
	{
		const auto fatal = [this](kj::Exception&& _error) {
			logError("coordinator_failed", {{"group", this->group}, {"reason", _error.getDescription().cStr()}, {"remedy", "another daemon takes over; report this line"}});
			this->end(CoordinatorEnd::TermLost);
		};
		this->applyKnownTables();
		for (Feed& feed : this->feeds())
		{
			this->following.add(this->followTable(std::move(feed)).take().eagerlyEvaluate(fatal));
		}
		this->checking = this->checkRow().take().eagerlyEvaluate(fatal);
		this->watching = this->watchRanks().take().eagerlyEvaluate(fatal);
		this->deciding = this->decide().take().eagerlyEvaluate(fatal);
		while (!this->ended)
		{
			co_await this->dependencies.loop.timer.afterDelay(kIdlePollIntervalMs * kj::MILLISECONDS);
		}
		co_return *this->ended;
	}

	void Coordinator::end(CoordinatorEnd _why)
	{
		if (!this->ended)
		{
			logInfo("coordinator_ends", {{"group", this->group}, {"term", this->intent.term}, {"why", toString(_why)}});
			this->ended = _why;
		}
	}

	std::string Coordinator::describe() const
	{
		nlohmann::json seen = nlohmann::json::array();
		for (const auto& [engine, rank] : this->ranks)
		{
			seen.push_back({{"engine", engine}, {"rank", rank.report.rank}, {"ageMs", 0 == rank.observedAt ? -1 : nowMs() - rank.observedAt}, {"step", rank.report.view.step}, {"map", rank.report.view.map}, {"queued", rank.report.queued}, {"active", rank.report.active}, {"pace", rank.report.pace}});
		}
		const auto direct = std::count_if(this->nonMembers.begin(), this->nonMembers.end(), [](const auto& _entry) {
			return nullptr != _entry.second.direct;
		});
		return nlohmann::json{{"links", this->dependencies.fanOut.connectedEngines()}, {"directNonMembers", direct}, {"group", this->group}, {"term", this->intent.term}, {"phase", std::string(toString(this->intent.phase))}, {"version", this->intent.version}, {"boundary", this->intent.boundary}, {"storeLost", this->storeLost}, {"passMs", this->passMs}, {"skew", this->lastSkew}, {"switches", this->switches}, {"maps", this->describeMaps()}, {"branches", this->branches.size()}, {"gateways", this->dependencies.groupState.news.gateways}, {"ranks", seen}}.dump();
	}
} // namespace archdyke::group
