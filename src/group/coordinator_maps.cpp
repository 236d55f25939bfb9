/// The part of the coordinator that decides whether a switch of the expert map pays, and learns from
/// the switches that it made.
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
		/// Minimum number of passes on the current map before it is judged: earlier passes were longer
		/// because of the copies and the hold of the switch.
		constexpr std::ptrdiff_t kMinPassesOnMap = 3;
		/// Interval between log lines about switches that don't pay, ms.
		constexpr Millis kNotWorthLogIntervalMs = 1'000;
	} // namespace

	MapCounters::MapCounters(Metrics& _metrics)
	    : switches(_metrics.counter("archdyke_map_switches_total", "Switches of the group's expert map that came into force"))
	    , stallMs(_metrics.counter("archdyke_map_stood_ms_total", "Time that the group was stalled at switch boundaries, ms"))
	    , skew(_metrics.gauge("archdyke_map_skew", "By how much the load of the slowest rank exceeds the mean, as a share of the mean"))
	    , savedMs(_metrics.gauge("archdyke_map_switch_saved_ms", "Service time that the last evaluated switch would save, ms"))
	    , costMs(_metrics.gauge("archdyke_map_switch_cost_ms", "Service time that the last evaluated switch would cost, ms"))
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
		// The row's boundary can't be used here: it may be that of an abandoned switch, where the map didn't change.
		const bool switched = this->passEpoch == this->mapStart.epoch;
		const auto isOnThisMap = [&](const PassSample& _pass) {
			return !switched || this->mapStart.step <= _pass.step;
		};
		if (this->passes.empty() || isOnThisMap(this->passes.front()))
		{
			// A group without requests begins no passes, so idle time must not count as the time of a pass.
			const auto first = std::find_if(this->passes.begin(), this->passes.end(), [&](const PassSample& _pass) {
				return _pass.at >= this->passes.back().at - kPassWindowMs;
			});
			return this->passes.end() - first < 2 ? this->passMs : meanPassMs(*first, this->passes.back());
		}
		const auto first = std::find_if(this->passes.begin(), this->passes.end(), isOnThisMap);
		return this->passes.end() - first <= kMinPassesOnMap ? std::nullopt : std::optional(meanPassMs(*first, this->passes.back()));
	}

	std::optional<GroupLoad> Coordinator::pressure() const
	{
		// If the skew alone decides, passes on the previous map are good enough, and the next switch needn't wait for new ones.
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
			if (0 != rank.observedAt && rank.report.group == this->group)
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

	void Coordinator::recordStall(const PassSample& _before, const PassSample& _now)
	{
		const bool atBoundary = this->switchIsOpen() && _before.step < this->intent.boundary && this->intent.boundary <= _now.step;
		if (atBoundary && this->lastPlanned.version == this->intent.version)
		{
			const double expectedMs = this->passMs * double(_now.step - _before.step);
			this->lastPlanned.stallMs = std::max(0.0, double(_now.at - _before.at) - expectedMs);
		}
	}

	void Coordinator::recordLastSwitch()
	{
		if (0 == this->lastPlanned.version)
		{
			return;
		}
		if (this->lastPlanned.version == this->intent.inForceVersion)
		{
			const double overheadMs = std::max(0.0, double(nowMs() - this->lastPlanned.at) - this->lastPlanned.copyMs);
			recordSwitch(*this->model, this->switchRecord, {this->lastPlanned.stallMs, overheadMs}, nowMs());
			this->mapStart = {this->intent.epoch, this->intent.boundary};
			this->mapCounters.switches.Increment();
			this->mapCounters.stallMs.Increment(this->lastPlanned.stallMs);
		}
		this->lastPlanned = {};
	}

	void Coordinator::recordPlan(const SwitchChoice& _choice, const RankView& _first, double _passMs)
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
		else if (nowMs() - this->notWorthLoggedAt >= kNotWorthLogIntervalMs)
		{
			this->notWorthLoggedAt = nowMs();
			logInfo("map_not_worth", {{"group", this->group}, {"why", toString(_choice.doubt)}, {"step", _first.step}, {"skew", _choice.plan.skewBefore}, {"planned_skew", _choice.plan.skewAfter}, {"copies", _choice.plan.copies}, {"pass_ms", _passMs}, {"saved_ms", worth.savedMs}, {"cost_ms", worth.costMs}, {"expected_ms", worth.expectedMs}, {"kept", worth.keptShare}, {"stood_ms", this->switchRecord.mean.stoodMs}, {"overhead_ms", this->switchRecord.mean.overheadMs}});
		}
	}

	std::optional<SwitchIntent> Coordinator::plan()
	{
		this->recordLastSwitch();
		const std::vector<RankView> ranks = this->views(kViewMaxAgeMs);
		if (!this->canPlan(ranks))
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
		this->recordPlan(choice, first, pressure->passes.passMs);
		if (SwitchRejection::None != choice.doubt)
		{
			return std::nullopt;
		}
		std::optional<SwitchIntent> begun = beginSwitch(this->intent, first.epoch, choice.plan.hosts, this->history.version);
		if (!begun)
		{
			this->end(CoordinatorEnd::TermLost); // no versions left in this term: the next coordinator gets a new term
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
