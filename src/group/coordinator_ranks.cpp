/// The coordinator's part that takes in what ranks say, and asks engines whose daemon is away.
#include <algorithm>

#include "base/log.h"
#include "base/process.h"
#include "group/coordinator.h"
#include "group/coordinator_p.h"

namespace archdyke::group
{
	namespace
	{
		/// From this pace on a rank is told to be slow, in the log; decisions take any pace as it is.
		constexpr double kSlowPace = 1.5;
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
			if (!this->passes.empty())
			{
				this->noteStand(this->passes.back(), {_engine.view.step, now});
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

	void Coordinator::notePace(const Rank& _rank, const EngineReport& _engine) const
	{
		const bool before = kSlowPace <= _rank.report.pace;
		const bool now = kSlowPace <= _engine.pace;
		if (before != now)
		{
			logInfo(now ? "rank_slow" : "rank_not_slow", {{"engine", _rank.engineAddress}, {"group", _engine.group}, {"rank", _engine.rank}, {"pace", _engine.pace}, {"before", _rank.report.pace}});
		}
	}

	void Coordinator::hear(Rank& _rank, const EngineReport& _report, Millis _seenAt)
	{
		if (_seenAt < _rank.seenAt)
		{
			return; // it came a longer way than what is known
		}
		if (_report.group != this->group)
		{
			logInfo("rank_elsewhere", {{"engine", _rank.engineAddress}, {"group", this->group}, {"its_group", _report.group.empty() ? "-" : _report.group}});
		}
		const bool stateChanged = _rank.report.view.open != _report.view.open || _rank.report.view.epoch != _report.view.epoch || 0 == _rank.seenAt;
		if (stateChanged)
		{
			logInfo("rank_state", {{"engine", _rank.engineAddress}, {"group", _report.group}, {"rank", _report.rank}, {"epoch", _report.view.epoch}, {"open", _report.view.open}, {"map", _report.view.map}});
		}
		this->notePace(_rank, _report);
		_rank.report = _report;
		_rank.seenAt = _seenAt;
		this->sortIn(_rank);
		if (_report.group == this->group)
		{
			this->notePass(_report);
		}
		else if (_rank.engineAddress == this->parts.settings.upstream)
		{
			this->end(CoordinatorEnd::GroupLeft);
		}
	}

	aio::Task<void> Coordinator::observeDirectly(std::string _engine)
	{
		Rank& rank = this->rankAt(_engine);
		rank.askingDirectly = true;
		std::string failure;
		try
		{
			const Millis askedAt = nowMs();
			const EngineReport report = co_await rank.direct->report();
			this->hear(rank, report, askedAt);
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

	std::optional<std::uint32_t> Coordinator::ownRank() const
	{
		const auto own = this->ranks.find(this->parts.settings.upstream);
		const bool known = this->ranks.end() != own && 0 != own->second.seenAt;
		return known ? std::optional(own->second.report.rank) : std::nullopt;
	}
} // namespace archdyke::group
