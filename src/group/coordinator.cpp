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
		/// Between two decisions, ms: small against a pass, and takes 2 in 100 of the smallest VM.
		constexpr Millis kTickMs = 8;
		/// Between two looks while maps are copied (0.1 s an expert), ms.
		constexpr Millis kPreparingLookMs = 25;
		/// Between two looks while the group may stand at the boundary, ms.
		constexpr Millis kSwitchingLookMs = 8;
		/// A look costs some 60 us a daemon that is asked from here; this keeps it below a tenth of a
		/// core.
		constexpr double kLookMsPerMessage = 0.6;
		constexpr double kIdleLookMsPerMessage = 2.0;
		/// A group that can't be planned for is told so often, ms.
		constexpr Millis kPlanHeldUpMs = 2'000;
		/// A switch that isn't prepared by then is abandoned, ms; beyond the time of its copies.
		constexpr Millis kPrepareMs = 2'500;
		/// A boundary that isn't held by then is abandoned, ms: the rank that is to hold it is away.
		constexpr Millis kHoldMs = 1'500;
		/// The same while a rank isn't heard of, ms: the group may stand meanwhile, and callers wait for
		/// each token. Ten looks, so that one that was lost abandons nothing.
		constexpr Millis kHoldUnreachableMs = 200;
		/// Time from the choice of a boundary to a released hold, ms, beside the write and some
		/// looks at all ranks: a hold, the arms, a release.
		constexpr double kArmMs = 50.0;
		constexpr double kArmLooks = 2.5;
		/// Steps between a boundary and the newest one, at most, beside those that pass during the
		/// write: a group without requests has short passes.
		constexpr double kMaxMarginSteps = 16.0;
		/// Table of the groups' rows.
		constexpr const char* kTable = "archdyke_groups";

		class QuietErrors final : public kj::TaskSet::ErrorHandler
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

	Coordinator::Coordinator(CoordinatorParts _parts, std::string _group, SwitchIntent _row, std::uint64_t _rowVersion)
	    : parts(std::move(_parts))
	    , group(std::move(_group))
	    , intent(std::move(_row))
	    , history(initialHistory(this->intent))
	    , rowVersion(_rowVersion)
	    , rowReadAt(nowMs())
	    , phaseSince(nowMs())
	    , mapCounters(this->parts.metrics)
	    , errors(kj::heap<QuietErrors>())
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

	double Coordinator::messagesPerLook() const
	{
		const double ranks = double(this->ranks.size());
		// The relays' own messages count as well: the slowest of them makes the look.
		return this->ranks.size() <= kTreeFanOut ? ranks : double(this->branches.size()) + ranks / std::max(1.0, double(this->branches.size()));
	}

	Millis Coordinator::lookMs() const
	{
		const double messages = this->messagesPerLook();
		switch (this->intent.phase)
		{
		case SwitchPhase::Idle:
			return std::max(kIdleLookMs, Millis(kIdleLookMsPerMessage * messages));
		case SwitchPhase::Preparing:
			return std::max(kPreparingLookMs, Millis(kLookMsPerMessage * messages));
		default:
			return Millis(this->switchingLookMs());
		}
	}

	double Coordinator::switchingLookMs() const
	{
		return std::max(double(kSwitchingLookMs), kLookMsPerMessage * this->messagesPerLook());
	}

	std::uint64_t Coordinator::marginSteps() const
	{
		if (this->passMs <= 0.0)
		{
			return 1 + std::uint64_t(kMaxMarginSteps);
		}
		// Fewer than pass during the write would let each boundary pass before it is held: with a
		// store of 0.9 s a write no switch came about at all.
		const double writing = this->writeMs / this->passMs;
		const double others = (kArmMs + kArmLooks * this->switchingLookMs()) / this->passMs;
		return 1 + std::uint64_t(std::ceil(writing + std::min(kMaxMarginSteps, others)));
	}

	std::vector<RankView> Coordinator::views(Millis _maxAgeMs) const
	{
		std::vector<RankView> result;
		const Millis now = nowMs();
		for (const auto& [engine, rank] : this->ranks)
		{
			const EngineReport& report = rank.report;
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
			if (0 != rank.seenAt && report.group == this->group && report.rank < _ranks)
			{
				result[report.rank] = std::max(1.0, report.pace);
			}
		}
		return result;
	}

	std::string_view Coordinator::obstacle(const std::vector<RankView>& _ranks) const
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

	bool Coordinator::mayPlan(const std::vector<RankView>& _ranks)
	{
		const std::string_view obstacle = this->obstacle(_ranks);
		const Millis now = nowMs();
		this->planHeldUpSince = obstacle.empty() ? 0 : (0 == this->planHeldUpSince ? now : this->planHeldUpSince);
		if (!obstacle.empty() && now - this->planHeldUpSince >= kPlanHeldUpMs)
		{
			std::string unseenAt; // who should have told of one of them
			for (const auto& [engine, rank] : this->ranks)
			{
				const auto branch = this->branchOf.find(engine);
				const bool unseenHere = now - rank.seenAt > kViewMaxAgeMs;
				unseenAt = unseenHere ? engine + " by " + (this->branchOf.end() == branch ? "nobody" : branch->second) : unseenAt;
			}
			const auto unseen = std::count_if(_ranks.begin(), _ranks.end(), [](const RankView& _rank) {
				return !_rank.seen;
			});
			logWarning("no_map_planned", {{"group", this->group}, {"why", obstacle}, {"unseen", unseen}, {"of", _ranks.size()}, {"known", this->ranks.size()}, {"one", unseenAt}, {"for_ms", kPlanHeldUpMs}});
			this->planHeldUpSince = now;
		}
		return obstacle.empty();
	}

	bool Coordinator::allReachable() const
	{
		const SearchProgress progress = this->progress();
		return 0 < progress.found && progress.ranks <= progress.found;
	}

	bool Coordinator::takesTooLong(const std::vector<RankView>& _ranks) const
	{
		const Millis since = nowMs() - this->phaseSince;
		if (SwitchPhase::Preparing != this->intent.phase)
		{
			// Seen since the row was written: a rank that froze with the hold is noticed in a few looks.
			const bool allSeen = std::all_of(_ranks.begin(), _ranks.end(), [](const RankView& _rank) {
				return _rank.seen;
			});
			return since > (allSeen && this->allReachable() ? kHoldMs : kHoldUnreachableMs);
		}
		const bool refused = std::any_of(this->sent.begin(), this->sent.end(), [](const auto& _entry) {
			return RankOrderKind::Prepare == _entry.first.kind && _entry.second.refused;
		});
		return refused || since > kPrepareMs;
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
		const SwitchConditions patience{this->marginSteps(), this->takesTooLong(ranks), this->allReachable(), this->ownRank()};
		SwitchDecision step = decideSwitch(this->intent, ranks, applyHistory(patience, this->intent, this->history));
		this->history = historyAfter(this->history, this->intent, step);
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
			if (!this->switchIsOpen())
			{
				this->releaseStrays(ranks); // seen before the row was written
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
			if (nowMs() - this->askedAt >= this->lookMs())
			{
				this->askedAt = nowMs();
				this->askRanks();
			}
			co_await this->parts.loop.timer.afterDelay(kTickMs * kj::MILLISECONDS);
		}
	}

	aio::Task<void> Coordinator::decide()
	{
		while (!this->ended)
		{
			// Answers to orders come between two looks, and each may let the switch go on.
			co_await this->parts.loop.timer.afterDelay(kTickMs * kj::MILLISECONDS);
			if (!this->ended) // meanwhile
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
		this->takeKnownTables();
		for (Feed& feed : this->feeds())
		{
			this->following.add(this->followTable(std::move(feed)).take().eagerlyEvaluate(fatal));
		}
		this->checking = this->checkRow().take().eagerlyEvaluate(fatal);
		this->watching = this->watchRanks().take().eagerlyEvaluate(fatal);
		this->deciding = this->decide().take().eagerlyEvaluate(fatal);
		while (!this->ended)
		{
			co_await this->parts.loop.timer.afterDelay(kIdleLookMs * kj::MILLISECONDS);
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
			seen.push_back({{"engine", engine}, {"rank", rank.report.rank}, {"ageMs", 0 == rank.seenAt ? -1 : nowMs() - rank.seenAt}, {"step", rank.report.view.step}, {"map", rank.report.view.map}, {"queued", rank.report.queued}, {"active", rank.report.active}, {"pace", rank.report.pace}});
		}
		return nlohmann::json{{"group", this->group}, {"term", this->intent.term}, {"phase", std::string(toString(this->intent.phase))}, {"version", this->intent.version}, {"boundary", this->intent.boundary}, {"storeLost", this->storeLost}, {"passMs", this->passMs}, {"skew", this->lastSkew}, {"switches", this->switches}, {"maps", this->describeMaps()}, {"branches", this->branches.size()}, {"gateways", this->parts.knowledge.news.gateways}, {"ranks", seen}}.dump();
	}
} // namespace archdyke::group
