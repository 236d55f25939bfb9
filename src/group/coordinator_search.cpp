/// The coordinator's part that finds the ranks of its group and asks each, through its daemon or
/// directly.
#include <algorithm>

#include "group/coordinator.h"
#include "group/coordinator_p.h"
#include "log.h"
#include "process.h"

namespace archdyke::group
{
	namespace
	{
		/// A rank whose daemon is silent for this long is asked and ordered directly, ms: a frozen or
		/// restarted daemon would keep its group on a map that no longer fits, with passes twice as
		/// long, until it is back (4 s of a freeze of 4 s).
		constexpr Millis kDirectAfterMs = 400;
		/// The same for an upstream that isn't known to be in the group.
		constexpr Millis kDirectSearchMs = 1'000;

		std::string daemonAddress(const std::string& _engine, int _peerPort)
		{
			return _engine.substr(0, _engine.rfind(':') + 1) + std::to_string(_peerPort);
		}
	} // namespace

	Coordinator::Rank& Coordinator::rankAt(const std::string& _engine)
	{
		const auto own = this->ranks.find(_engine);
		return this->ranks.end() != own ? own->second : this->strangers.at(_engine);
	}

	void Coordinator::sortIn(const Rank& _rank)
	{
		const bool belongs = _rank.report.engine.group == this->group;
		std::map<std::string, Rank>& from = belongs ? this->strangers : this->ranks;
		std::map<std::string, Rank>& to = belongs ? this->ranks : this->strangers;
		const std::string engine = _rank.engineAddress;
		if (from.contains(engine))
		{
			to.insert(from.extract(engine));
		}
		// One that is in no group may join this one at any time.
		const bool elsewhere = !belongs && !_rank.report.engine.group.empty();
		this->rankAt(engine).search.elsewhereAt = elsewhere ? nowMs() : 0;
	}

	SearchProgress Coordinator::progress() const
	{
		SearchProgress progress;
		const Millis now = nowMs();
		for (const auto& [engine, rank] : this->ranks)
		{
			if (now - rank.seenAt <= kViewMaxAgeMs)
			{
				progress.found += 1;
				progress.ranks = std::max(progress.ranks, rank.report.engine.ranks);
			}
		}
		return progress;
	}

	bool Coordinator::daemonIsSilent(const Rank& _rank) const
	{
		return 0 != _rank.daemonHeardAt && nowMs() - _rank.daemonHeardAt > kDirectAfterMs;
	}

	void Coordinator::ask(const std::string& _engine, Rank& _rank, bool _counts)
	{
		const Millis now = nowMs();
		if (nullptr == _rank.link)
		{
			_rank.link = std::make_unique<RankLink>(this->parts.loop, daemonAddress(_engine, this->parts.settings.place.peerPort));
			_rank.direct = std::make_unique<Engine>(this->parts.loop, this->parts.codec, _engine);
			_rank.daemonHeardAt = now;
		}
		_rank.daemonAskedAt = now;
		std::string name = _engine;
		this->tasks.add(this->observe(std::move(name), _counts).take());
	}

	void Coordinator::askDirectly(const std::string& _engine, Rank& _rank, Millis _everyMs)
	{
		const Millis now = nowMs();
		if (_rank.askingDirectly || now - _rank.directAt < _everyMs)
		{
			return;
		}
		_rank.directAt = now;
		std::string name = _engine;
		this->tasks.add(this->observeDirectly(std::move(name)).take());
	}

	void Coordinator::searchGroup()
	{
		const SearchProgress progress = this->progress();
		std::vector<std::pair<const std::string*, Rank*>> resting;
		std::vector<SearchCandidate> candidates;
		for (auto& [engine, rank] : this->strangers)
		{
			if (!rank.asking)
			{
				resting.emplace_back(&engine, &rank);
				candidates.push_back(rank.search);
			}
		}
		for (const std::size_t index : searchRanks(candidates, progress, nowMs()))
		{
			const std::string& engine = *resting[index].first;
			Rank& rank = *resting[index].second;
			this->ask(engine, rank, false);
			if (this->daemonIsSilent(rank) && rank.search.listed)
			{
				this->askDirectly(engine, rank, kDirectSearchMs);
			}
		}
	}
} // namespace archdyke::group
