#include "archdyke/switch_worth.h"

#include <algorithm>
#include <cmath>

namespace archdyke
{
	namespace
	{
		/// Passes are this much longer while experts are copied, as engines declare.
		constexpr double kCopyingStretch = 1.15;
		/// Passes from the end of the copies until the map is in force, before a switch was seen: a
		/// boundary is set some passes ahead, and each rank is heard once more.
		constexpr double kOverheadPasses = 4.0;
		/// Passes that a hold takes, before one was seen: the orders to all ranks and their answers.
		constexpr double kStoodPasses = 0.5;
		/// Weight of the newest switch in the means: the last five or so tell how the store and the ranks
		/// answer now.
		constexpr double kSwitchWeight = 0.2;
		/// What the last switches took counts for about this long after them, ms: a store that is slow is back
		/// some seconds later.
		constexpr double kSwitchForgottenMs = 8'000.0;
		/// Between the starts of two trials, ms: windows overlap, and a closer one tells the same again.
		constexpr Millis kTrialEveryMs = 400;
		/// Weight that older trials keep when one is added: some twelve count, of some 5 s.
		constexpr double kTrialKept = 0.92;
		/// Skew by which the first guess counts among the trials: as much as one plan.
		constexpr double kGuessWeight = 0.5;
		/// Demand lasts this many lives of a stream, where nothing has been seen: what callers ask about
		/// outlasts single requests.
		constexpr double kDemandLives = 3.0;
		/// Least share of a pass by which the passes of one group vary from one to the next.
		constexpr double kLeastSpread = 0.08;
		/// What an answer with a pause too long is worth to its caller, against one in time: it is still
		/// read, but its reader has been kept waiting.
		constexpr double kLateValue = 0.4;
		/// Steps in which the streams are summed up that have a part of their passes in a time.
		constexpr int kParts = 8;
		/// Least gain, as a share of the service of the time that it is expected to last: skew and passes of one
		/// window vary by as much, and the first window that looks worth it is seldom a usual one. From 0.02 on
		/// 0.32 -> 0.42 of the streams are in time with topics of 4 s on groups with little room (replayed).
		constexpr double kLeastGainShare = 0.2;
		/// The same by which a small switch must be better than a large one.
		constexpr double kClearGainShare = 0.02;
		/// A switch that makes fewer of the running streams late is made whenever there is skew over what is
		/// tolerated and hardly a request waits: with passes far below the gap nothing would be saved now, and
		/// one begun only when skew is felt comes late. With holds of 20 ms and topics of 4 s 0.58 -> 0.80 of the
		/// streams are in time (replayed).
		constexpr double kHarmless = 0.1;
		/// Share of the ranks with a queue from which on a switch must pay: the time that it takes is theirs.
		constexpr double kFewWaiting = 0.1;
		/// Of the copies that a rank can make in a switch, those of a small one.
		constexpr double kSmallSwitch = 0.4;

		/// Time that a map is used in a group with a rank that drains, ms, at most: the group forms anew with
		/// its first map once the rank ends, some seconds after it said that it drains.
		constexpr double kLeavingMs = 1'500.0;

		/// Streams of a group as a pass makes them late.
		struct StreamModel
		{
			double gapMs = 0.0;
			double spreadMs = 0.0; ///< Standard deviation of passes.
			double events = 1.0;   ///< Passes of a stream.
			double waiting = 0.0;  ///< See GroupPressure.
			double passMs = 0.0;   ///< Now.
		};

		/// @returns Probability that a pass is over the gap.
		double overGap(const StreamModel& _streams, double _passMs)
		{
			return 0.5 * std::erfc((_streams.gapMs - _passMs) / (std::sqrt(2.0) * _streams.spreadMs));
		}

		/// @returns What the streams of some time are worth, 1 for all in time, if so many of their passes
		/// are as given and the others as now.
		double valueOf(const StreamModel& _streams, double _passMs, double _passes)
		{
			const double now = 1.0 - overGap(_streams, _streams.passMs);
			const double then = 1.0 - overGap(_streams, _passMs);
			const double inTime = std::pow(now, _streams.events - _passes) * std::pow(then, _passes);
			return kLateValue + (1.0 - kLateValue) * inTime;
		}

		/// @returns Gain against going on as now, in ms of whole service, while passes take _passMs for _forMs.
		/// Streams that begin before or end after that time have a part of their passes in it.
		double gainOf(const StreamModel& _streams, double _passMs, double _forMs)
		{
			const double lifeMs = _streams.events * _streams.passMs;
			const double mostPasses = std::min(_streams.events, _forMs / _passMs);
			const double now = valueOf(_streams, _streams.passMs, 0.0);
			const double most = valueOf(_streams, _passMs, mostPasses);
			double partly = 0.0;
			for (int part = 0; part < kParts; ++part)
			{
				partly += valueOf(_streams, _passMs, mostPasses * (double(part) + 0.5) / double(kParts)) / double(kParts);
			}
			const double gain = 2.0 * std::min(lifeMs, _forMs) * (partly - now) + std::abs(lifeMs - _forMs) * (most - now);
			// Shorter passes also answer more requests where some wait for places, or soon will since the passes
			// are too long for those that came: without it a map that takes several switches would never be begun.
			const double waiting = std::max(_streams.waiting, overGap(_streams, _streams.passMs));
			return gain + waiting * (_streams.passMs / _passMs - 1.0) * _forMs * most;
		}

		/// @returns Length of a pass if all places were taken, against now.
		double fullAgainstNow(const EngineModel& _model, double _active)
		{
			const double now = _model.stepMs + _model.perSequenceMs * _active;
			const double full = _model.stepMs + _model.perSequenceMs * std::max(_active, double(_model.slots));
			return 0.0 < now ? full / now : 1.0;
		}

		StreamModel streamsOf(const EngineModel& _model, const GroupPressure& _group)
		{
			StreamModel streams;
			streams.gapMs = double(_group.passes.gapObjectiveMs);
			streams.passMs = _group.passes.passMs;
			const double promptMs = 0.0 < _model.prefillTokensPerMs ? double(_model.usualPromptTokens) / _model.prefillTokensPerMs : 0.0;
			// Passes differ by whether the slowest rank reads a prompt more or less.
			streams.spreadMs = std::max(promptMs, kLeastSpread * streams.passMs);
			streams.events = std::max(1.0, double(_model.usualAnswerTokens) / double(std::max(1U, _model.stride)));
			streams.waiting = _group.waiting;
			return streams;
		}

		/// @returns Gain of a map that is in force for some time, at the given length of passes.
		double savingAt(StreamModel _streams, double _passMs, double _share, double _skew, double _savedSkew, double _lastsMs)
		{
			_streams.passMs = _passMs;
			const double after = _passMs * (1.0 + _share * (_skew - _savedSkew)) / (1.0 + _share * _skew);
			return gainOf(_streams, after, _lastsMs);
		}

		/// Share of the longest pause that the copy of one expert takes at least where switches are weighed. Where
		/// experts are copied faster a switch costs little more than its hold, and weighing showed no gain: worth of
		/// a busy day on 63 ranks, a tenth of the pause a copy, 0.484 by skew (six plays, 0.458 to 0.511) and
		/// 0.464 weighed (three, 0.437 to 0.491).
		constexpr double kLeastCopyShare = 0.125;

		/// @returns Whether counts and ranks are those of the group that a map was made for: it may have formed
		/// anew with fewer ranks, or its model may have changed.
		bool fits(const ExpertHosts& _hosts, const ExpertLoad& _load, std::uint32_t _ranks)
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

		/// @returns Whether it is time to follow another plan.
		bool trialIsDue(const SavingRecord& _record, Millis _now)
		{
			return _record.trials.empty() || _now - _record.trials.back().at >= kTrialEveryMs;
		}

		/// @returns What is gained beyond the cost, ms.
		double netOf(const SwitchWorth& _worth)
		{
			return _worth.savedMs - _worth.costMs;
		}

		bool pays(const SwitchWorth& _worth, const GroupPressure& _group)
		{
			const bool harmless = _worth.madeLate < kHarmless && _group.waiting < kFewWaiting;
			return harmless || netOf(_worth) > kLeastGainShare * _worth.expectedMs;
		}

		/// What a plan is weighed with.
		struct Weighing
		{
			const EngineModel& model;
			std::uint32_t ranks = 0;
			const ExpertHosts& hosts;
			const GroupPressure& group;
			const SavingRecord& record;
			SwitchTimes times;
		};

		/// Of two that are about as good the large one is taken: what is left would need another switch.
		bool isClearlyBetter(const SwitchChoice& _small, const SwitchChoice& _large)
		{
			const bool onlyOne = SwitchDoubt::None != _large.doubt && SwitchDoubt::None == _small.doubt;
			const bool neither = SwitchDoubt::None != _large.doubt || SwitchDoubt::None == _small.doubt;
			return onlyOne || (neither && netOf(_small.worth) > netOf(_large.worth) + kClearGainShare * _small.worth.expectedMs);
		}

		std::uint32_t mostCopies(const ExpertHosts& _from, const ExpertHosts& _to, std::uint32_t _ranks)
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

		SwitchChoice weigh(const Weighing& _with, MapDecision _plan)
		{
			const double copyMs = _plan.hosts.empty() ? 0.0 : _with.model.expertCopyMs * mostCopies(_with.hosts, _plan.hosts, _with.ranks);
			const SwitchWorth worth = worthOf(_with.model, _with.group, _plan, copyMs, _with.record, _with.times);
			return {pays(worth, _with.group) ? SwitchDoubt::None : SwitchDoubt::CostsMore, std::move(_plan), worth};
		}
	} // namespace

	bool isWeighed(const EngineModel& _model, Millis _gapObjectiveMs)
	{
		return 0 < _gapObjectiveMs && 0.0 < _model.expertShare && _model.expertCopyMs >= kLeastCopyShare * double(_gapObjectiveMs);
	}

	std::string_view toString(SwitchDoubt _doubt)
	{
		constexpr std::array<std::string_view, std::size_t(SwitchDoubt::Count)> kNames{"none", "little_skew", "no_better_map", "costs_more", "none_pays"};
		return kNames[std::size_t(_doubt)];
	}

	void addTrial(SavingRecord& _record, const ExpertHosts& _before, const MapDecision& _plan, Millis _now)
	{
		const double planned = _plan.skewBefore - _plan.skewAfter;
		if (trialIsDue(_record, _now) && 0.0 < planned && !_plan.hosts.empty())
		{
			_record.trials.push_back({_now, _before, _plan.hosts, planned, 0});
		}
	}

	void takeCounts(SavingRecord& _record, const ExpertLoad& _load, std::uint32_t _ranks, const std::vector<double>& _paces, Millis _now)
	{
		for (PlanTrial& trial : _record.trials)
		{
			const bool sameShape = fits(trial.before, _load, _ranks) && fits(trial.after, _load, _ranks);
			while (trial.nextAge < kSavingAges.size() && trial.at + kSavingAges[trial.nextAge] <= _now)
			{
				const std::size_t age = trial.nextAge++;
				const bool late = age + 1 < kSavingAges.size() && trial.at + kSavingAges[age + 1] <= _now;
				if (late || !sameShape)
				{
					continue; // no counts came in between; those of now are of a later age
				}
				const double saved = skewOf(trial.before, _load, _ranks, _paces) - skewOf(trial.after, _load, _ranks, _paces);
				_record.planned[age] = kTrialKept * _record.planned[age] + trial.planned;
				_record.saved[age] = kTrialKept * _record.saved[age] + std::min(saved, trial.planned);
			}
		}
		while (!_record.trials.empty() && kSavingAges.size() <= _record.trials.front().nextAge)
		{
			_record.trials.pop_front();
		}
	}

	SavingOutlook outlookOf(const SavingRecord& _record, double _streamMs, double _delayMs)
	{
		SavingOutlook outlook;
		double whole = 0.0;
		double from = 0.0;
		for (std::size_t age = 0; age < kSavingAges.size(); ++age)
		{
			const double until = double(kSavingAges[age]);
			const double guess = 0.0 < _streamMs ? std::exp(-until / (kDemandLives * _streamMs)) : 0.0;
			const double share = std::max(0.0, (_record.saved[age] + kGuessWeight * guess) / (_record.planned[age] + kGuessWeight));
			const double span = std::max(0.0, until - std::max(from, _delayMs));
			outlook.keptShare = 0.0 == whole ? std::max(outlook.keptShare, 0.0 < span ? share : 0.0) : outlook.keptShare;
			whole += share * span;
			from = until;
		}
		outlook.lastsMs = 0.0 < outlook.keptShare ? whole / outlook.keptShare : 0.0;
		return outlook;
	}

	SwitchTimes expectedTimes(const EngineModel& _model, const SwitchRecord& _record, Millis _now)
	{
		const double fullPassMs = double(_model.stride) * (_model.stepMs + _model.perSequenceMs * double(_model.slots));
		const SwitchTimes guess{kStoodPasses * fullPassMs, kOverheadPasses * fullPassMs};
		if (0 == _record.seenAt)
		{
			return guess;
		}
		const double kept = std::exp(-double(_now - _record.seenAt) / kSwitchForgottenMs);
		return {guess.stoodMs + kept * (_record.mean.stoodMs - guess.stoodMs), guess.overheadMs + kept * (_record.mean.overheadMs - guess.overheadMs)};
	}

	void noteSwitch(const EngineModel& _model, SwitchRecord& _record, const SwitchTimes& _seen, Millis _now)
	{
		const SwitchTimes expected = expectedTimes(_model, _record, _now);
		_record.mean.stoodMs = expected.stoodMs + kSwitchWeight * (_seen.stoodMs - expected.stoodMs);
		_record.mean.overheadMs = expected.overheadMs + kSwitchWeight * (_seen.overheadMs - expected.overheadMs);
		_record.seenAt = _now;
	}

	SwitchWorth worthOf(const EngineModel& _model, const GroupPressure& _group, const MapDecision& _plan, double _copyMs, const SavingRecord& _record, const SwitchTimes& _times)
	{
		const StreamModel streams = streamsOf(_model, _group);
		const double passMs = streams.passMs;
		const double stoodMs = _times.stoodMs;
		SavingOutlook outlook = outlookOf(_record, streams.events * passMs, _copyMs + _times.overheadMs);
		outlook.lastsMs = _group.leaving ? std::min(outlook.lastsMs, kLeavingMs) : outlook.lastsMs;
		const double saved = outlook.keptShare * (_plan.skewBefore - _plan.skewAfter);
		SwitchWorth worth;
		worth.keptShare = outlook.keptShare;
		worth.expectedMs = outlook.lastsMs;
		worth.copyMs = _copyMs;
		const double copyingMs = kCopyingStretch * passMs;
		worth.madeLate = 1.0 - (1.0 - overGap(streams, passMs + stoodMs)) * std::pow(1.0 - overGap(streams, copyingMs), std::min(streams.events, _copyMs / copyingMs));
		// The places may fill within the time that a switch takes: a map is also for then.
		const double fullMs = passMs * fullAgainstNow(_model, _group.active);
		worth.savedMs = std::max(savingAt(streams, passMs, _model.expertShare, _plan.skewBefore, saved, outlook.lastsMs), savingAt(streams, fullMs, _model.expertShare, _plan.skewBefore, saved, outlook.lastsMs));
		worth.costMs = -gainOf(streams, kCopyingStretch * passMs, _copyMs) - gainOf(streams, passMs + stoodMs, passMs + stoodMs);
		return worth;
	}

	SwitchChoice chooseSwitch(const EngineModel& _model, std::uint32_t _ranks, const ExpertHosts& _hosts, const ExpertLoad& _load, const GroupPressure& _group, const std::vector<double>& _paces, const SwitchRecord& _switches, SavingRecord& _record, Millis _now)
	{
		takeCounts(_record, _load, _ranks, _paces, _now);
		const Weighing weighing{_model, _ranks, _hosts, _group, _record, expectedTimes(_model, _switches, _now)};
		const bool weighed = isWeighed(_model, _group.passes.gapObjectiveMs) && 0.0 < _group.passes.passMs;
		SwitchChoice choice;
		choice.plan.skewBefore = skewOf(_hosts, _load, _ranks, _paces);
		if (choice.plan.skewBefore < toleratedSkew(_group.passes))
		{
			return choice;
		}
		if (weighed && !trialIsDue(_record, _now))
		{
			// If not even a map without skew would pay that needed no copies, none is planned.
			const SwitchChoice ideal = weigh(weighing, choice.plan);
			if (SwitchDoubt::None != ideal.doubt)
			{
				choice.doubt = SwitchDoubt::NonePays;
				return choice;
			}
		}
		choice.plan = decideMap(_model, _ranks, _hosts, _load, _group.passes, _paces);
		choice.doubt = choice.plan.worthwhile ? SwitchDoubt::None : SwitchDoubt::NoBetterMap;
		if (!choice.plan.worthwhile || !weighed)
		{
			return choice;
		}
		addTrial(_record, _hosts, choice.plan, _now);
		choice = weigh(weighing, std::move(choice.plan));
		MapDecision small = decideMap(_model, _ranks, _hosts, _load, _group.passes, _paces, kSmallSwitch * kCopyBudgetMs);
		if (!small.worthwhile || choice.plan.copies <= small.copies)
		{
			return choice;
		}
		SwitchChoice other = weigh(weighing, std::move(small));
		return isClearlyBetter(other, choice) ? other : choice;
	}
} // namespace archdyke
