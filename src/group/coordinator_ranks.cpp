/// The coordinator's part that looks at ranks and gives them orders.
#include <algorithm>

#include "archdyke/map_policy.h"
#include "group/coordinator.h"
#include "group/coordinator_p.h"
#include "log.h"
#include "process.h"

namespace archdyke::group
{
	namespace
	{
		/// Counts of chosen experts may take this share of the coordinator's link.
		constexpr double kSampleLinkShare = 0.2;
		constexpr double kBytesPerMegabit = 125'000.0;
		/// In large groups only some ranks are asked for counts, and less often: requests are
		/// spread over all ranks, so what some chose tells what all choose.
		constexpr double kSampleMsPerRank = 1.5;
		constexpr std::size_t kLeastSampled = 8;
		/// Time limit of a question to a rank's daemon, ms: some 5 ms across zones, more while the
		/// link is full.
		constexpr Millis kObserveTimeoutMs = 250;
		/// Time limit of an order through a rank's daemon, ms; its engine has 60 ms of it.
		constexpr Millis kOrderTimeoutMs = 150;
		/// More in large groups, ms a rank: all ranks are told at once over one link.
		constexpr double kOrderTimeoutMsPerRank = 6.0;
		/// An order without an answer is sent again after this, one that was accepted but shows
		/// no effect after the longer time, ms.
		constexpr Millis kRepeatMs = 60;
		constexpr Millis kRepeatAcceptedMs = 400;
		/// Between two direct questions while no switch is open, ms, so that the rank counts as seen
		/// all the time; each one is paid for.
		constexpr Millis kDirectEveryMs = 200;
		/// The same while a switch is open: it waits for what the rank says.
		constexpr Millis kDirectSwitchingMs = 25;
		/// Between two tries to reach a silent daemon, ms.
		constexpr Millis kSilentRetryMs = 300;
		/// Ranks that are asked while one of them is to hold.
		constexpr std::size_t kAskedWhileHolding = 3;
		/// From this pace on a rank is told to be slow, in the log; decisions take any pace as it is.
		constexpr double kSlowPace = 1.5;
		/// The time of a pass is the mean over about this long, ms: some passes.
		constexpr Millis kPassWindowMs = 500;
	} // namespace

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

	void Coordinator::notePace(const Rank& _rank, const EngineReport& _engine) const
	{
		const bool before = kSlowPace <= _rank.report.engine.pace;
		const bool now = kSlowPace <= _engine.pace;
		if (before != now)
		{
			logInfo(now ? "rank_slow" : "rank_not_slow", {{"engine", _rank.engineAddress}, {"group", _engine.group}, {"rank", _engine.rank}, {"pace", _engine.pace}, {"before", _rank.report.engine.pace}});
		}
	}

	void Coordinator::hear(Rank& _rank, const RankReport& _report)
	{
		if (_report.engine.group != this->group)
		{
			logInfo("rank_elsewhere", {{"engine", _rank.engineAddress}, {"group", this->group}, {"its_group", _report.engine.group.empty() ? "-" : _report.engine.group}});
		}
		const bool stateChanged = _rank.report.engine.view.open != _report.engine.view.open || _rank.report.engine.view.epoch != _report.engine.view.epoch || 0 == _rank.seenAt;
		if (stateChanged)
		{
			logInfo("rank_state", {{"engine", _rank.engineAddress}, {"group", _report.engine.group}, {"rank", _report.engine.rank}, {"epoch", _report.engine.view.epoch}, {"open", _report.engine.view.open}, {"map", _report.engine.view.map}});
		}
		this->notePace(_rank, _report.engine);
		this->takeChoices(_rank, _report.choices);
		_rank.report = _report;
		_rank.seenAt = nowMs();
		this->sortIn(_rank);
		if (_report.engine.group == this->group)
		{
			this->notePass(_report.engine);
		}
		else if (_rank.engineAddress == this->parts.settings.upstream)
		{
			this->end(CoordinatorEnd::GroupLeft);
		}
	}

	aio::Task<void> Coordinator::observe(std::string _engine, bool _counts)
	{
		Rank& rank = this->rankAt(_engine);
		rank.asking = true;
		rank.search.askedAt = nowMs();
		std::string failure;
		try
		{
			const Coordination mine = this->coordination();
			const Observation observation = co_await rank.link->observe(mine, _counts, rank.sample, kObserveTimeoutMs);
			if (!this->ended && observation.newest.group == this->group && observation.newest.term > this->intent.term)
			{
				logWarning("term_lost", {{"group", this->group}, {"term", this->intent.term}, {"newer", observation.newest.term}, {"coordinator", observation.newest.address}});
				this->end(CoordinatorEnd::TermLost);
			}
			rank.daemonHeardAt = nowMs();
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
		logWarning("rank_unseen", {{"group", this->group}, {"engine", _engine}, {"daemon", rank.link->address()}, {"silent_ms", nowMs() - rank.daemonHeardAt}, {"seen_ms", 0 == rank.seenAt ? -1 : nowMs() - rank.seenAt}, {"reason", failure}});
	}

	aio::Task<void> Coordinator::observeDirectly(std::string _engine)
	{
		Rank& rank = this->rankAt(_engine);
		rank.askingDirectly = true;
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
		rank.askingDirectly = false;
		if (!failure.empty())
		{
			logWarning("engine_unseen", {{"engine", _engine}, {"reason", failure}});
		}
	}

	Millis Coordinator::sampleMs() const
	{
		return std::max(kIdleLookMs, Millis(kSampleMsPerRank * double(this->ranks.size())));
	}

	std::size_t Coordinator::sampledRanks() const
	{
		const double bytes = !this->model ? 1.0 : double(sizeof(std::uint16_t)) * this->model->sets * this->model->experts;
		const double bytesPerSecond = kSampleLinkShare * kBytesPerMegabit * this->parts.settings.place.linkMbps;
		const double affordable = bytesPerSecond * double(this->sampleMs()) / 1'000.0 / std::max(1.0, bytes);
		return std::max(kLeastSampled, std::size_t(affordable));
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
			const bool silent = this->daemonIsSilent(rank);
			if (silent)
			{
				this->askDirectly(engine, rank, this->switchIsOpen() ? kDirectSwitchingMs : kDirectEveryMs);
			}
			const bool enough = SwitchPhase::Holding == this->intent.phase && !counts && kAskedWhileHolding <= asked;
			const bool rests = silent && now - rank.daemonAskedAt < kSilentRetryMs;
			if (rank.asking || enough || rests)
			{
				continue;
			}
			asked += silent ? 0 : 1;
			const bool sampled = !silent && 0 < left;
			left -= sampled ? 1 : 0;
			this->ask(engine, rank, sampled);
		}
		this->searchGroup();
	}

	Millis Coordinator::orderTimeoutMs() const
	{
		return std::max(kOrderTimeoutMs, Millis(kOrderTimeoutMsPerRank * double(this->ranks.size())));
	}

	const MapDifference& Coordinator::differenceFrom(bool _dealt, std::uint32_t _ranks)
	{
		KnownDifference& known = _dealt ? this->fromDealt : this->fromInForce;
		if (known.version != this->intent.version)
		{
			const std::uint32_t sets = std::uint32_t(this->intent.map.size());
			const std::uint32_t experts = 0 == sets ? 0 : std::uint32_t(this->intent.map.front().size());
			const ExpertHosts base = _dealt ? dealtInTurn(sets, experts, _ranks) : this->intent.inForce;
			known.version = this->intent.version;
			known.difference = differenceOf(_dealt ? 0 : this->intent.inForceVersion, expertsByRank(base, _ranks), expertsByRank(this->intent.map, _ranks), experts);
		}
		return known.difference;
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
			difference = this->differenceFrom(target->lacksBase || 0 == this->intent.inForceVersion, target->report.engine.ranks);
		}
		// A VM that freezes with a hold just given would keep the group standing: the hold is
		// given from here, so that the engine that has it can still be reached.
		bool direct = RankOrderKind::Hold == _plan.kind || this->daemonIsSilent(*target);
		OrderOutcome outcome;
		if (!direct)
		{
			try
			{
				EngineOrder copy = order;
				outcome = co_await target->link->order(this->coordination(), std::move(copy), std::move(difference), this->orderTimeoutMs());
				target->lacksBase = outcome.baseUnknown;
			}
			catch (const kj::Exception&)
			{
				direct = true; // told by the line of the direct order
			}
		}
		if (direct)
		{
			if (RankOrderKind::Prepare == _plan.kind)
			{
				if (this->intent.version != _plan.version || SwitchPhase::Preparing != this->intent.phase)
				{
					co_return; // a version must never be given with another one's map
				}
				order.expertsByRank = expertsByRank(this->intent.map, target->report.engine.ranks);
			}
			outcome = co_await target->direct->order(std::move(order));
		}
		if (outcome.after)
		{
			RankReport after;
			after.service = target->report.service;
			after.engine = *outcome.after;
			this->hear(*target, after);
		}
		SentOrder& sentOrder = this->sent[_plan];
		sentOrder.pending = false;
		sentOrder.accepted = outcome.accepted;
		sentOrder.refused = !outcome.accepted && 0 != outcome.status;
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

	std::optional<std::uint32_t> Coordinator::ownRank() const
	{
		const auto own = this->ranks.find(this->parts.settings.upstream);
		const bool known = this->ranks.end() != own && 0 != own->second.seenAt;
		return known ? std::optional(own->second.report.engine.rank) : std::nullopt;
	}
} // namespace archdyke::group
