/// The coordinator's part that finds the ranks of its group and asks each, through its daemon or
/// directly.
#include <algorithm>

#include "base/log.h"
#include "base/process.h"
#include "group/coordinator.h"
#include "group/coordinator_p.h"

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
		/// Wait for the answers of those that are searched, ms: a zone that is far answers in 5.
		constexpr Millis kSearchPatienceMs = 30;
	} // namespace

	Coordinator::Rank* Coordinator::findRank(const std::string& _engine)
	{
		for (auto* known : {&this->ranks, &this->strangers})
		{
			const auto found = known->find(_engine);
			if (known->end() != found)
			{
				return &found->second;
			}
		}
		return nullptr;
	}

	Coordinator::Rank& Coordinator::rankAt(const std::string& _engine)
	{
		Rank* known = this->findRank(_engine);
		Rank& rank = nullptr == known ? this->strangers[_engine] : *known;
		rank.engineAddress = _engine;
		return rank;
	}

	void Coordinator::invite(const std::string& _engine)
	{
		Rank& rank = this->rankAt(_engine);
		rank.search.listed = true;
		rank.search.otherGroupAt = 0;
	}

	void Coordinator::meet(const std::string& _engine, Rank& _rank)
	{
		if (nullptr == _rank.direct)
		{
			_rank.direct = std::make_unique<Engine>(this->parts.loop, this->parts.codec, _engine);
			_rank.daemonHeardAt = nowMs();
		}
	}

	void Coordinator::sortIn(const Rank& _rank)
	{
		const bool belongs = _rank.report.group == this->group;
		std::map<std::string, Rank>& from = belongs ? this->strangers : this->ranks;
		std::map<std::string, Rank>& to = belongs ? this->ranks : this->strangers;
		const std::string engine = _rank.engineAddress;
		if (from.contains(engine))
		{
			to.insert(from.extract(engine));
		}
		// One that is in no group may join this one at any time.
		const bool elsewhere = !belongs && !_rank.report.group.empty();
		this->rankAt(engine).search.otherGroupAt = elsewhere ? nowMs() : 0;
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
				progress.ranks = std::max(progress.ranks, rank.report.ranks);
			}
		}
		return progress;
	}

	bool Coordinator::daemonIsSilent(const Rank& _rank) const
	{
		return 0 != _rank.daemonHeardAt && nowMs() - _rank.daemonHeardAt > kDirectAfterMs;
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
		std::vector<Rank*> resting;
		std::vector<SearchCandidate> candidates;
		for (auto& [engine, rank] : this->strangers)
		{
			resting.push_back(&rank);
			candidates.push_back(rank.search);
		}
		BranchQuestion question{this->coordination(), {}, kSearchPatienceMs, 0};
		for (const std::size_t index : selectCandidatesToPoll(candidates, this->progress(), nowMs()))
		{
			Rank& rank = *resting[index];
			this->meet(rank.engineAddress, rank);
			rank.search.askedAt = nowMs();
			question.engines.push_back(rank.engineAddress);
			if (this->daemonIsSilent(rank) && rank.search.listed)
			{
				this->askDirectly(rank.engineAddress, rank, kDirectSearchMs);
			}
		}
		if (!question.engines.empty())
		{
			this->tasks.add(this->lookAtStrangers(std::move(question)).take());
		}
	}

	aio::Task<void> Coordinator::lookAtStrangers(BranchQuestion _question)
	{
		co_await this->parts.fanOut.look(std::move(_question));
		// All of them, not those of this question alone: with 32 connections to make, most answers come
		// after a look has ended, and a coordinator that dropped them saw half of 129 ranks for 10 s.
		std::vector<std::string> engines;
		for (const auto& [engine, rank] : this->strangers)
		{
			engines.push_back(engine);
		}
		this->takeChildren(this->parts.fanOut.sights(engines), nowMs());
		this->leaveStrangers();
	}

	void Coordinator::leaveStrangers()
	{
		for (auto& [engine, rank] : this->strangers)
		{
			if (0 != rank.search.otherGroupAt)
			{
				this->parts.fanOut.forget(engine);
				rank.direct = rank.askingDirectly ? std::move(rank.direct) : nullptr;
			}
		}
	}
} // namespace archdyke::group
