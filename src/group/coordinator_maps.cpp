/// The coordinator's part that weighs switches of the expert map, and learns from those that it made.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "base/process.h"
#include "group/coordinator.h"
#include "group/coordinator_p.h"

namespace archdyke::group
{
	namespace
	{
		/// Passes on the map in use before it is judged: those before it were longer by the copies and the
		/// hold of the switch.
		constexpr std::ptrdiff_t kLeastPasses = 3;
		/// A switch that doesn't pay is told so often, ms.
		constexpr Millis kNotWorthEveryMs = 1'000;
	} // namespace

	MapCounters::MapCounters(Metrics& _metrics)
	    : switches(_metrics.counter("archdyke_map_switches_total", "Switches of the group's expert map that came into force"))
	    , stoodMs(_metrics.counter("archdyke_map_stood_ms_total", "Time that the group stood at boundaries of switches, ms"))
	    , skew(_metrics.gauge("archdyke_map_skew", "How far the slowest rank trails the mean by the experts' load"))
	    , savedMs(_metrics.gauge("archdyke_map_switch_saved_ms", "Service that the last switch that was weighed would save, ms"))
	    , costMs(_metrics.gauge("archdyke_map_switch_cost_ms", "Service that it would cost, ms"))
	{
	}

	std::optional<ExpertLoad> Coordinator::newLoad(std::uint64_t _epoch)
	{
		const bool newCounts = !this->window.pieces.empty() && this->window.pieces.back().to > this->plannedTo && this->window.pieces.back().epoch == _epoch;
		if (!newCounts)
		{
			return std::nullopt;
		}
		std::optional<ExpertLoad> load = loadOf(this->window, this->model->experts, kCountWindowMs);
		this->plannedTo = load ? this->window.pieces.back().to : this->plannedTo;
		return load;
	}

	double Coordinator::meanPassMs(const PassSample& _first, const PassSample& _last)
	{
		return double(_last.at - _first.at) / double(_last.step - _first.step);
	}

	std::optional<double> Coordinator::passOnThisMap() const
	{
		// Not the boundary of the row: that of a switch that was given up is none at which the map changed.
		const bool switched = this->passEpoch == this->mapStart.epoch;
		const auto isOnThisMap = [&](const PassSample& _pass) {
			return !switched || this->mapStart.step <= _pass.step;
		};
		if (this->passes.empty() || isOnThisMap(this->passes.front()))
		{
			// A group without requests begins no pass: the time until it has some isn't one of a pass.
			const auto first = std::find_if(this->passes.begin(), this->passes.end(), [&](const PassSample& _pass) {
				return _pass.at >= this->passes.back().at - kPassWindowMs;
			});
			return this->passes.end() - first < 2 ? this->passMs : meanPassMs(*first, this->passes.back());
		}
		const auto first = std::find_if(this->passes.begin(), this->passes.end(), isOnThisMap);
		return this->passes.end() - first <= kLeastPasses ? std::nullopt : std::optional(meanPassMs(*first, this->passes.back()));
	}

	std::optional<GroupLoad> Coordinator::pressure() const
	{
		// Where skew alone decides, passes on the map before do as well, and the next switch needn't wait for others.
		const std::optional<double> passMs = usesEstimate(*this->model, this->gapObjectiveMs) ? this->passOnThisMap() : std::optional(this->passMs);
		if (!passMs)
		{
			return std::nullopt;
		}
		GroupLoad result;
		result.passes = {*passMs, this->gapObjectiveMs};
		double known = 0.0;
		for (const auto& [engine, rank] : this->ranks)
		{
			if (0 != rank.seenAt && rank.report.group == this->group)
			{
				known += 1.0;
				result.active += rank.report.active;
				result.waiting += 0 < rank.report.queued ? 1.0 : 0.0;
				result.leaving = result.leaving || rank.leaving;
			}
		}
		result.active /= std::max(1.0, known);
		result.waiting /= std::max(1.0, known);
		return result;
	}

	void Coordinator::noteStand(const PassSample& _before, const PassSample& _now)
	{
		const bool atBoundary = this->switchIsOpen() && _before.step < this->intent.boundary && this->intent.boundary <= _now.step;
		if (atBoundary && this->lastPlanned.version == this->intent.version)
		{
			const double usual = this->passMs * double(_now.step - _before.step);
			this->lastPlanned.stoodMs = std::max(0.0, double(_now.at - _before.at) - usual);
		}
	}

	void Coordinator::noteLastSwitch()
	{
		if (0 == this->lastPlanned.version)
		{
			return;
		}
		if (this->lastPlanned.version == this->intent.inForceVersion)
		{
			const double overheadMs = std::max(0.0, double(nowMs() - this->lastPlanned.at) - this->lastPlanned.copyMs);
			recordSwitch(*this->model, this->switchRecord, {this->lastPlanned.stoodMs, overheadMs}, nowMs());
			this->mapStart = {this->intent.epoch, this->intent.boundary};
			this->mapCounters.switches.Increment();
			this->mapCounters.stoodMs.Increment(this->lastPlanned.stoodMs);
		}
		this->lastPlanned = {};
	}

	void Coordinator::notePlan(const SwitchChoice& _choice, const RankView& _first, double _passMs)
	{
		const SwitchEstimate& worth = _choice.worth;
		this->lastSkew = _choice.plan.skewBefore;
		this->mapCounters.skew.Set(_choice.plan.skewBefore);
		if (SwitchRejection::LittleSkew == _choice.doubt)
		{
			return;
		}
		if (SwitchRejection::NonePays != _choice.doubt)
		{
			this->lastChoice = _choice;
			this->lastChoice.plan.hosts.clear();
			this->mapCounters.savedMs.Set(worth.savedMs);
			this->mapCounters.costMs.Set(worth.costMs);
		}
		if (SwitchRejection::None == _choice.doubt)
		{
			logInfo("map_planned", {{"group", this->group}, {"epoch", _first.epoch}, {"step", _first.step}, {"skew", _choice.plan.skewBefore}, {"planned_skew", _choice.plan.skewAfter}, {"copies", _choice.plan.copies}, {"pass_ms", _passMs}, {"counts_age_ms", nowMs() - this->window.pieces.back().to}, {"saved_ms", worth.savedMs}, {"cost_ms", worth.costMs}, {"expected_ms", worth.expectedMs}, {"kept", worth.keptShare}, {"stood_ms", this->switchRecord.mean.stoodMs}, {"overhead_ms", this->switchRecord.mean.overheadMs}});
		}
		else if (nowMs() - this->notWorthToldAt >= kNotWorthEveryMs)
		{
			this->notWorthToldAt = nowMs();
			logInfo("map_not_worth", {{"group", this->group}, {"why", toString(_choice.doubt)}, {"step", _first.step}, {"skew", _choice.plan.skewBefore}, {"planned_skew", _choice.plan.skewAfter}, {"copies", _choice.plan.copies}, {"pass_ms", _passMs}, {"saved_ms", worth.savedMs}, {"cost_ms", worth.costMs}, {"expected_ms", worth.expectedMs}, {"kept", worth.keptShare}, {"stood_ms", this->switchRecord.mean.stoodMs}, {"overhead_ms", this->switchRecord.mean.overheadMs}});
		}
	}

	std::optional<SwitchIntent> Coordinator::plan()
	{
		this->noteLastSwitch();
		const std::vector<RankView> ranks = this->views(kViewMaxAgeMs);
		if (!this->mayPlan(ranks))
		{
			return std::nullopt;
		}
		const RankView& first = ranks.front();
		const std::optional<GroupLoad> pressure = this->pressure();
		const std::optional<ExpertLoad> load = pressure ? this->newLoad(first.epoch) : std::nullopt;
		const ExpertHosts hosts = load ? this->currentHosts(ranks) : ExpertHosts();
		if (!load || hosts.size() != load->size())
		{
			return std::nullopt;
		}
		const SwitchChoice choice = chooseSwitch(*this->model, std::uint32_t(ranks.size()), hosts, *load, *pressure, this->paces(ranks.size()), this->switchRecord, this->savings, nowMs());
		this->notePlan(choice, first, pressure->passes.passMs);
		if (SwitchRejection::None != choice.doubt)
		{
			return std::nullopt;
		}
		std::optional<SwitchIntent> begun = beginSwitch(this->intent, first.epoch, choice.plan.hosts, this->history.version);
		if (!begun)
		{
			this->end(CoordinatorEnd::TermLost); // no versions left: the next coordinator has a term of its own
			return std::nullopt;
		}
		this->lastPlanned = {begun->version, nowMs(), choice.worth.copyMs, 0.0};
		return begun;
	}

	nlohmann::json Coordinator::describeMaps() const
	{
		const SwitchEstimate& worth = this->lastChoice.worth;
		return {{"doubt", std::string(toString(this->lastChoice.doubt))}, {"skew", this->lastChoice.plan.skewBefore}, {"plannedSkew", this->lastChoice.plan.skewAfter}, {"savedMs", worth.savedMs}, {"costMs", worth.costMs}, {"expectedMs", worth.expectedMs}, {"keptShare", worth.keptShare}, {"stoodMs", this->switchRecord.mean.stoodMs}, {"overheadMs", this->switchRecord.mean.overheadMs}};
	}
} // namespace archdyke::group
