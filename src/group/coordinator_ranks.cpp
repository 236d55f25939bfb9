/// The part of the coordinator that records the reports of ranks and polls engines directly while
/// their daemons don't respond.
#include <algorithm>

#include "base/log.h"
#include "base/process.h"
#include "group/coordinator.h"
#include "group/coordinator_p.h"

namespace archdyke::group
{
	namespace
	{
		/// Minimum pace at which a rank is logged as slow; decisions use the pace itself.
		constexpr double kSlowPace = 1.5;
	} // namespace

	void Coordinator::recordPass(const EngineReport& _engine)
	{
		const Millis now = nowMs();
		if (this->passEpoch != _engine.view.epoch)
		{
			this->passes.clear();
			this->passEpoch = _engine.view.epoch;
		}
		if (this->passes.empty() || this->passes.back().step < _engine.view.step)
		{
			if (!this->passes.empty())
			{
				this->recordStall(this->passes.back(), {_engine.view.step, now});
			}
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
			this->passMs = meanPassMs(first, last);
		}
	}

	void Coordinator::logPaceChange(const Rank& _rank, const EngineReport& _engine) const
	{
		const bool before = kSlowPace <= _rank.report.pace;
		const bool now = kSlowPace <= _engine.pace;
		if (before != now)
		{
			logInfo(now ? "rank_slow" : "rank_not_slow", {{"engine", _rank.engineAddress}, {"group", _engine.group}, {"rank", _engine.rank}, {"pace", _engine.pace}, {"before", _rank.report.pace}});
		}
	}

	void Coordinator::recordReport(Rank& _rank, const EngineReport& _report, Millis _observedAt)
	{
		if (_observedAt < _rank.observedAt)
		{
			return; // older than the known report: it was delayed on its way
		}
		if (_report.group != this->group)
		{
			logInfo("rank_elsewhere", {{"engine", _rank.engineAddress}, {"group", this->group}, {"its_group", _report.group.empty() ? "-" : _report.group}});
		}
		const bool stateChanged = _rank.report.view.open != _report.view.open || _rank.report.view.epoch != _report.view.epoch || 0 == _rank.observedAt;
		if (stateChanged)
		{
			logInfo("rank_state", {{"engine", _rank.engineAddress}, {"group", _report.group}, {"rank", _report.rank}, {"epoch", _report.view.epoch}, {"open", _report.view.open}, {"map", _report.view.map}});
		}
		this->logPaceChange(_rank, _report);
		_rank.report = _report;
		_rank.observedAt = _observedAt;
		this->assignMembership(_rank);
		if (_report.group == this->group)
		{
			this->recordPass(_report);
		}
		else if (_rank.engineAddress == this->dependencies.settings.upstream)
		{
			this->end(CoordinatorEnd::GroupLeft);
		}
	}

	aio::Task<void> Coordinator::requestDirectReport(std::string _engine)
	{
		Rank& rank = this->rankAt(_engine);
		rank.directPollInFlight = true;
		std::string failure;
		try
		{
			const Millis askedAt = nowMs();
			const EngineReport report = co_await rank.direct->report();
			this->recordReport(rank, report, askedAt);
		}
		catch (const std::exception& error)
		{
			failure = error.what();
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		rank.directPollInFlight = false;
		if (0 != rank.search.otherGroupAt)
		{
			rank.direct->closeIdle(); // the search may have ended before this response
		}
		if (!failure.empty())
		{
			logWarning("engine_unseen", {{"engine", _engine}, {"reason", failure}});
		}
	}

	std::optional<std::uint32_t> Coordinator::ownRank() const
	{
		const auto own = this->ranks.find(this->dependencies.settings.upstream);
		const bool known = this->ranks.end() != own && 0 != own->second.observedAt;
		return known ? std::optional(own->second.report.rank) : std::nullopt;
	}
} // namespace archdyke::group
