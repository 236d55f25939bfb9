#include "archdyke/switch_worth.h"

#include <algorithm>
#include <cmath>

namespace archdyke
{
	namespace
	{
		/// Factor by which passes are longer while experts are copied, as declared by engines.
		constexpr double kCopyingFactor = 1.15;
		/// Initial estimate of the passes from the end of the copies until the map is in force: the boundary is set
		/// some passes ahead, and each rank reports once more.
		constexpr double kInitialOverheadPasses = 4.0;
		/// Initial estimate of the duration of a hold in passes: the orders to all ranks and their responses.
		constexpr double kInitialStallPasses = 0.5;
		/// Weight of the newest switch in the means: about the last five show the current response times of the
		/// store and the ranks.
		constexpr double kSwitchWeight = 0.2;
		/// Time constant with which observed durations lose their weight, ms: a slow store usually recovers within
		/// seconds.
		constexpr double kSwitchDecayMs = 8'000.0;
		/// Minimum interval between two tracked plans, ms: windows overlap, so a closer one adds no information.
		constexpr Millis kMinTrackingIntervalMs = 400;
		/// Factor on the weight of older comparisons when one is added: about twelve plans count, from about 5 s.
		constexpr double kTrackedPlanDecay = 0.92;
		/// Weight of the initial estimate among the comparisons, in units of skew: about that of one plan.
		constexpr double kInitialWeight = 0.5;
		/// Initial estimate of the duration of a demand, in stream durations: topics outlast single requests.
		constexpr double kDemandStreamDurations = 3.0;
		/// Lower bound of the standard deviation of passes, as a share of a pass.
		constexpr double kMinSpreadShare = 0.08;
		/// Value to the caller of a late response, relative to one in time: it is still read, but the reader had to
		/// wait.
		constexpr double kLateResponseValue = 0.4;
		/// Number of steps when summing over streams of which only some passes fall into an interval.
		constexpr int kIntegrationSteps = 8;
		/// Minimum net gain, as a share of the service in the time that the saving lasts. Skew and passes of one
		/// window vary by as much, and the first window in which a switch looks worthwhile is seldom typical. In
		/// replays with topics of 4 s on groups with little free capacity, raising it from 0.02 raised the share of
		/// streams in time from 0.32 to 0.42.
		constexpr double kMinGainShare = 0.2;
		/// Minimum advantage of a small switch over a large one, as a share like kMinGainShare.
		constexpr double kMinAdvantageShare = 0.02;
		/// A switch that makes less than this share of the running streams late is made whenever skew exceeds the
		/// tolerated one and hardly any request waits. With passes far below the gap the estimated saving is zero, but
		/// a switch that begins only when skew has an effect comes too late. In replays with holds of 20 ms and
		/// topics of 4 s this raised the share of streams in time from 0.58 to 0.80.
		constexpr double kMaxHarmlessLateShare = 0.1;
		/// From this share of ranks with a queue on a switch must pay off: the queued requests bear its duration.
		constexpr double kMaxHarmlessQueuedShare = 0.1;
		/// Copy budget of a small switch, as a share of the full one.
		constexpr double kSmallCopyBudgetShare = 0.4;

		/// Maximum time that a new map is used in a group with a draining rank, ms: the group forms anew with its
		/// initial map once the rank ends, some seconds after it reported that it drains.
		constexpr double kDrainingMapMs = 1'500.0;

		/// Model of how the passes of a group make its streams late.
		struct StreamModel
		{
			double gapMs = 0.0;
			double spreadMs = 0.0; ///< Standard deviation of the pass duration.
			double events = 1.0;   ///< Passes per stream.
			double waiting = 0.0;  ///< See GroupLoad.
			double passMs = 0.0;   ///< Current mean.
		};

		/// @returns Probability that a pass exceeds the gap.
		double lateProbability(const StreamModel& _streams, double _passMs)
		{
			return 0.5 * std::erfc((_streams.gapMs - _passMs) / (std::sqrt(2.0) * _streams.spreadMs));
		}

		/// @returns Mean value of the streams, 1 if all are in time, when _passes of their passes take _passMs and the
		/// others as long as now.
		double valueOf(const StreamModel& _streams, double _passMs, double _passes)
		{
			const double now = 1.0 - lateProbability(_streams, _streams.passMs);
			const double then = 1.0 - lateProbability(_streams, _passMs);
			const double inTime = std::pow(now, _streams.events - _passes) * std::pow(then, _passes);
			return kLateResponseValue + (1.0 - kLateResponseValue) * inTime;
		}

		/// @returns Gain over the current state, in ms of full service, if passes take _passMs for a duration of _forMs.
		/// Streams that begin before or end after that interval have only some of their passes in it.
		double gainOf(const StreamModel& _streams, double _passMs, double _forMs)
		{
			const double streamMs = _streams.events * _streams.passMs;
			const double maxPasses = std::min(_streams.events, _forMs / _passMs);
			const double now = valueOf(_streams, _streams.passMs, 0.0);
			const double maxValue = valueOf(_streams, _passMs, maxPasses);
			double partialValue = 0.0;
			for (int part = 0; part < kIntegrationSteps; ++part)
			{
				partialValue += valueOf(_streams, _passMs, maxPasses * (double(part) + 0.5) / double(kIntegrationSteps)) / double(kIntegrationSteps);
			}
			const double gain = 2.0 * std::min(streamMs, _forMs) * (partialValue - now) + std::abs(streamMs - _forMs) * (maxValue - now);
			// Shorter passes also increase throughput where requests are queued, or soon will be because passes are
			// too long for the arrival rate. Without this term a map that takes several switches is never begun.
			const double waiting = std::max(_streams.waiting, lateProbability(_streams, _streams.passMs));
			return gain + waiting * (_streams.passMs / _passMs - 1.0) * _forMs * maxValue;
		}

		/// @returns Duration of a pass with all slots occupied, relative to now.
		double fullPassRatio(const EngineModel& _model, double _active)
		{
			const double now = _model.stepMs + _model.perSequenceMs * _active;
			const double full = _model.stepMs + _model.perSequenceMs * std::max(_active, double(_model.slots));
			return 0.0 < now ? full / now : 1.0;
		}

		StreamModel streamModelOf(const EngineModel& _model, const GroupLoad& _group)
		{
			StreamModel streams;
			streams.gapMs = double(_group.passes.gapObjectiveMs);
			streams.passMs = _group.passes.passMs;
			const double promptMs = 0.0 < _model.prefillTokensPerMs ? double(_model.usualPromptTokens) / _model.prefillTokensPerMs : 0.0;
			// Passes vary by the number of prompts that the slowest rank reads.
			streams.spreadMs = std::max(promptMs, kMinSpreadShare * streams.passMs);
			streams.events = std::max(1.0, double(_model.usualAnswerTokens) / double(std::max(1U, _model.stride)));
			streams.waiting = _group.waiting;
			return streams;
		}

		/// @returns Gain of a map that is in force for _lastsMs, if passes now take _passMs.
		double savingWithPass(StreamModel _streams, double _passMs, double _share, double _skew, double _savedSkew, double _lastsMs)
		{
			_streams.passMs = _passMs;
			const double after = _passMs * (1.0 + _share * (_skew - _savedSkew)) / (1.0 + _share * _skew);
			return gainOf(_streams, after, _lastsMs);
		}

		/// Switches are estimated only if copying one expert takes at least this share of the longest accepted pause.
		/// With faster copies a switch costs little more than its hold, and estimating brought no gain: with 63 ranks
		/// on a busy day and copies of a tenth of the pause, worth was 0.484 by skew alone (six runs, 0.458 to 0.511)
		/// and 0.464 with estimates (three runs, 0.437 to 0.491).
		constexpr double kMinCopyShare = 0.125;

		/// @returns Whether a map has the dimensions of the counts and of the group: the group may have formed anew
		/// with fewer ranks, or its model may have changed.
		bool hasDimensions(const ExpertHosts& _hosts, const ExpertLoad& _load, std::uint32_t _ranks)
		{
			bool same = _hosts.size() == _load.size();
			for (std::size_t set = 0; same && set < _hosts.size(); ++set)
			{
				same = _hosts[set].size() == _load[set].size();
				for (const std::vector<std::uint32_t>& hosts : _hosts[set])
				{
					same = same && std::all_of(hosts.begin(), hosts.end(), [&](std::uint32_t _rank) {
						       return _rank < _ranks;
					       });
				}
			}
			return same;
		}

		/// @returns Whether another plan may be tracked.
		bool isTrackingDue(const SavingStats& _record, Millis _now)
		{
			return _record.trackedPlans.empty() || _now - _record.trackedPlans.back().at >= kMinTrackingIntervalMs;
		}

		/// @returns Saving minus cost, ms of full service.
		double netGain(const SwitchEstimate& _worth)
		{
			return _worth.savedMs - _worth.costMs;
		}

		bool pays(const SwitchEstimate& _worth, const GroupLoad& _group)
		{
			const bool isHarmless = _worth.lateStreamProbability < kMaxHarmlessLateShare && _group.waiting < kMaxHarmlessQueuedShare;
			return isHarmless || netGain(_worth) > kMinGainShare * _worth.expectedMs;
		}

		/// Inputs for the estimate of a plan.
		struct EstimateInputs
		{
			const EngineModel& model;
			std::uint32_t ranks = 0;
			const ExpertHosts& hosts;
			const GroupLoad& group;
			const SavingStats& record;
			SwitchDurations times;
		};

		/// Prefers the large switch if both are about equal, since a small one may require another switch.
		bool isClearlyBetter(const SwitchChoice& _small, const SwitchChoice& _large)
		{
			const bool onlySmallPays = SwitchRejection::None != _large.doubt && SwitchRejection::None == _small.doubt;
			const bool notOnlyLargePays = SwitchRejection::None != _large.doubt || SwitchRejection::None == _small.doubt;
			return onlySmallPays || (notOnlyLargePays && netGain(_small.worth) > netGain(_large.worth) + kMinAdvantageShare * _small.worth.expectedMs);
		}

		std::uint32_t maxCopiesPerRank(const ExpertHosts& _from, const ExpertHosts& _to, std::uint32_t _ranks)
		{
			std::vector<std::uint32_t> copies(_ranks, 0);
			for (std::size_t set = 0; set < _to.size(); ++set)
			{
				for (std::size_t expert = 0; expert < _to[set].size(); ++expert)
				{
					const std::vector<std::uint32_t>& before = _from[set][expert];
					for (const std::uint32_t rank : _to[set][expert])
					{
						copies[rank] += before.end() == std::find(before.begin(), before.end(), rank) ? 1 : 0;
					}
				}
			}
			return copies.empty() ? 0 : *std::max_element(copies.begin(), copies.end());
		}

		SwitchChoice estimate(const EstimateInputs& _inputs, MapDecision _plan)
		{
			const double copyMs = _plan.hosts.empty() ? 0.0 : _inputs.model.expertCopyMs * maxCopiesPerRank(_inputs.hosts, _plan.hosts, _inputs.ranks);
			const SwitchEstimate worth = estimateSwitch(_inputs.model, _inputs.group, _plan, copyMs, _inputs.record, _inputs.times);
			return {pays(worth, _inputs.group) ? SwitchRejection::None : SwitchRejection::CostsMore, std::move(_plan), worth};
		}
	} // namespace

	bool usesEstimate(const EngineModel& _model, Millis _gapObjectiveMs)
	{
		return 0 < _gapObjectiveMs && 0.0 < _model.expertShare && _model.expertCopyMs >= kMinCopyShare * double(_gapObjectiveMs);
	}

	std::string_view toString(SwitchRejection _doubt)
	{
		constexpr std::array<std::string_view, std::size_t(SwitchRejection::Count)> kNames{"none", "little_skew", "no_better_map", "costs_more", "none_pays"};
		return kNames[std::size_t(_doubt)];
	}

	void trackPlan(SavingStats& _record, const ExpertHosts& _before, const MapDecision& _plan, Millis _now)
	{
		const double planned = _plan.skewBefore - _plan.skewAfter;
		if (isTrackingDue(_record, _now) && 0.0 < planned && !_plan.hosts.empty())
		{
			_record.trackedPlans.push_back({_now, _before, _plan.hosts, planned, 0});
		}
	}

	void evaluateTrackedPlans(SavingStats& _record, const ExpertLoad& _load, std::uint32_t _ranks, const std::vector<double>& _paces, Millis _now)
	{
		for (TrackedPlan& tracked : _record.trackedPlans)
		{
			const bool sameShape = hasDimensions(tracked.before, _load, _ranks) && hasDimensions(tracked.after, _load, _ranks);
			while (tracked.nextAge < kPlanAgesMs.size() && tracked.at + kPlanAgesMs[tracked.nextAge] <= _now)
			{
				const std::size_t age = tracked.nextAge++;
				const bool missed = age + 1 < kPlanAgesMs.size() && tracked.at + kPlanAgesMs[age + 1] <= _now;
				if (missed || !sameShape)
				{
					continue; // no counts arrived in time; the current ones belong to a later age
				}
				const double saved = skewOf(tracked.before, _load, _ranks, _paces) - skewOf(tracked.after, _load, _ranks, _paces);
				_record.planned[age] = kTrackedPlanDecay * _record.planned[age] + tracked.planned;
				_record.saved[age] = kTrackedPlanDecay * _record.saved[age] + std::min(saved, tracked.planned);
			}
		}
		while (!_record.trackedPlans.empty() && kPlanAgesMs.size() <= _record.trackedPlans.front().nextAge)
		{
			_record.trackedPlans.pop_front();
		}
	}

	SavingForecast forecastSaving(const SavingStats& _record, double _streamMs, double _delayMs)
	{
		SavingForecast outlook;
		double whole = 0.0;
		double from = 0.0;
		for (std::size_t age = 0; age < kPlanAgesMs.size(); ++age)
		{
			const double until = double(kPlanAgesMs[age]);
			const double initial = 0.0 < _streamMs ? std::exp(-until / (kDemandStreamDurations * _streamMs)) : 0.0;
			const double share = std::max(0.0, (_record.saved[age] + kInitialWeight * initial) / (_record.planned[age] + kInitialWeight));
			const double span = std::max(0.0, until - std::max(from, _delayMs));
			outlook.keptShare = 0.0 == whole ? std::max(outlook.keptShare, 0.0 < span ? share : 0.0) : outlook.keptShare;
			whole += share * span;
			from = until;
		}
		outlook.lastsMs = 0.0 < outlook.keptShare ? whole / outlook.keptShare : 0.0;
		return outlook;
	}

	SwitchDurations expectedDurations(const EngineModel& _model, const SwitchDurationStats& _record, Millis _now)
	{
		const double fullPassMs = double(_model.stride) * (_model.stepMs + _model.perSequenceMs * double(_model.slots));
		const SwitchDurations initial{kInitialStallPasses * fullPassMs, kInitialOverheadPasses * fullPassMs};
		if (0 == _record.seenAt)
		{
			return initial;
		}
		const double kept = std::exp(-double(_now - _record.seenAt) / kSwitchDecayMs);
		return {initial.stoodMs + kept * (_record.mean.stoodMs - initial.stoodMs), initial.overheadMs + kept * (_record.mean.overheadMs - initial.overheadMs)};
	}

	void recordSwitch(const EngineModel& _model, SwitchDurationStats& _record, const SwitchDurations& _seen, Millis _now)
	{
		const SwitchDurations expected = expectedDurations(_model, _record, _now);
		_record.mean.stoodMs = expected.stoodMs + kSwitchWeight * (_seen.stoodMs - expected.stoodMs);
		_record.mean.overheadMs = expected.overheadMs + kSwitchWeight * (_seen.overheadMs - expected.overheadMs);
		_record.seenAt = _now;
	}

	SwitchEstimate estimateSwitch(const EngineModel& _model, const GroupLoad& _group, const MapDecision& _plan, double _copyMs, const SavingStats& _record, const SwitchDurations& _times)
	{
		const StreamModel streams = streamModelOf(_model, _group);
		const double passMs = streams.passMs;
		const double stoodMs = _times.stoodMs;
		SavingForecast outlook = forecastSaving(_record, streams.events * passMs, _copyMs + _times.overheadMs);
		outlook.lastsMs = _group.leaving ? std::min(outlook.lastsMs, kDrainingMapMs) : outlook.lastsMs;
		const double saved = outlook.keptShare * (_plan.skewBefore - _plan.skewAfter);
		SwitchEstimate worth;
		worth.keptShare = outlook.keptShare;
		worth.expectedMs = outlook.lastsMs;
		worth.copyMs = _copyMs;
		const double copyingMs = kCopyingFactor * passMs;
		worth.lateStreamProbability = 1.0 - (1.0 - lateProbability(streams, passMs + stoodMs)) * std::pow(1.0 - lateProbability(streams, copyingMs), std::min(streams.events, _copyMs / copyingMs));
		// The slots may fill up while the switch is in progress, so that case is estimated too.
		const double fullMs = passMs * fullPassRatio(_model, _group.active);
		worth.savedMs = std::max(savingWithPass(streams, passMs, _model.expertShare, _plan.skewBefore, saved, outlook.lastsMs), savingWithPass(streams, fullMs, _model.expertShare, _plan.skewBefore, saved, outlook.lastsMs));
		worth.costMs = -gainOf(streams, kCopyingFactor * passMs, _copyMs) - gainOf(streams, passMs + stoodMs, passMs + stoodMs);
		return worth;
	}

	SwitchChoice chooseSwitch(const EngineModel& _model, std::uint32_t _ranks, const ExpertHosts& _hosts, const ExpertLoad& _load, const GroupLoad& _group, const std::vector<double>& _paces, const SwitchDurationStats& _switches, SavingStats& _record, Millis _now)
	{
		evaluateTrackedPlans(_record, _load, _ranks, _paces, _now);
		const EstimateInputs inputs{_model, _ranks, _hosts, _group, _record, expectedDurations(_model, _switches, _now)};
		const bool useEstimate = usesEstimate(_model, _group.passes.gapObjectiveMs) && 0.0 < _group.passes.passMs;
		SwitchChoice choice;
		choice.plan.skewBefore = skewOf(_hosts, _load, _ranks, _paces);
		if (choice.plan.skewBefore < toleratedSkew(_group.passes))
		{
			return choice;
		}
		if (useEstimate && !isTrackingDue(_record, _now))
		{
			// Skips planning if not even a map without skew and without copies would pay off.
			const SwitchChoice ideal = estimate(inputs, choice.plan);
			if (SwitchRejection::None != ideal.doubt)
			{
				choice.doubt = SwitchRejection::NonePays;
				return choice;
			}
		}
		choice.plan = planMap(_model, _ranks, _hosts, _load, _group.passes, _paces);
		choice.doubt = choice.plan.worthwhile ? SwitchRejection::None : SwitchRejection::NoBetterMap;
		if (!choice.plan.worthwhile || !useEstimate)
		{
			return choice;
		}
		trackPlan(_record, _hosts, choice.plan, _now);
		choice = estimate(inputs, std::move(choice.plan));
		MapDecision small = planMap(_model, _ranks, _hosts, _load, _group.passes, _paces, kSmallCopyBudgetShare * kCopyBudgetMs);
		if (!small.worthwhile || choice.plan.copies <= small.copies)
		{
			return choice;
		}
		SwitchChoice smallChoice = estimate(inputs, std::move(small));
		return isClearlyBetter(smallChoice, choice) ? smallChoice : choice;
	}
} // namespace archdyke
