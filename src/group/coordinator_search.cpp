/// The part of the coordinator that finds the ranks of its group and polls engines directly.
#include <algorithm>

#include "base/log.h"
#include "base/process.h"
#include "group/coordinator.h"
#include "group/coordinator_p.h"

namespace archdyke::group
{
	namespace
	{
		/// Time without a response of a rank's daemon after which its engine is polled and ordered directly,
		/// ms. Otherwise a frozen or restarted daemon would keep its group on an outdated map, with passes
		/// twice as long, until it is back (all 4 s of a freeze of 4 s).
		constexpr Millis kDaemonSilentMs = 400;
		/// Interval between direct polls of an upstream that isn't known to be in the group, ms.
		constexpr Millis kDirectSearchIntervalMs = 1'000;
		/// Maximum wait for responses of searched upstreams, ms: a distant zone responds within 5.
		constexpr Millis kSearchMaxWaitMs = 30;
	} // namespace

	Coordinator::Rank* Coordinator::findRank(const std::string& _engine)
	{
		for (auto* known : {&this->ranks, &this->nonMembers})
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
		Rank& rank = nullptr == known ? this->nonMembers[_engine] : *known;
		rank.engineAddress = _engine;
		return rank;
	}

	void Coordinator::addCandidate(const std::string& _engine)
	{
		Rank& rank = this->rankAt(_engine);
		rank.search.listed = true;
		rank.search.otherGroupAt = 0;
	}

	void Coordinator::ensureDirectEngine(const std::string& _engine, Rank& _rank)
	{
		if (nullptr == _rank.direct)
		{
			_rank.direct = std::make_unique<Engine>(this->dependencies.loop, this->dependencies.codec, _engine);
			_rank.daemonHeardAt = nowMs();
		}
	}

	void Coordinator::assignMembership(const Rank& _rank)
	{
		const bool belongs = _rank.report.group == this->group;
		std::map<std::string, Rank>& from = belongs ? this->nonMembers : this->ranks;
		std::map<std::string, Rank>& to = belongs ? this->ranks : this->nonMembers;
		const std::string engine = _rank.engineAddress;
		if (from.contains(engine))
		{
			to.insert(from.extract(engine));
		}
		// An engine that is in no group may join this one at any time.
		const bool elsewhere = !belongs && !_rank.report.group.empty();
		this->rankAt(engine).search.otherGroupAt = elsewhere ? nowMs() : 0;
	}

	SearchProgress Coordinator::progress() const
	{
		SearchProgress progress;
		const Millis now = nowMs();
		for (const auto& [engine, rank] : this->ranks)
		{
			if (now - rank.observedAt <= kViewMaxAgeMs)
			{
				progress.found += 1;
				progress.ranks = std::max(progress.ranks, rank.report.ranks);
			}
		}
		return progress;
	}

	bool Coordinator::daemonIsSilent(const Rank& _rank) const
	{
		return 0 != _rank.daemonHeardAt && nowMs() - _rank.daemonHeardAt > kDaemonSilentMs;
	}

	void Coordinator::pollDirectly(const std::string& _engine, Rank& _rank, Millis _intervalMs)
	{
		const Millis now = nowMs();
		if (_rank.directPollInFlight || now - _rank.directPolledAt < _intervalMs)
		{
			return;
		}
		_rank.directPolledAt = now;
		std::string name = _engine;
		this->tasks.add(this->requestDirectReport(std::move(name)).take());
	}

	void Coordinator::searchGroup()
	{
		std::vector<Rank*> nonMemberRanks;
		std::vector<SearchCandidate> candidates;
		for (auto& [engine, rank] : this->nonMembers)
		{
			nonMemberRanks.push_back(&rank);
			candidates.push_back(rank.search);
		}
		BranchQuery query{this->coordination(), {}, kSearchMaxWaitMs, 0};
		for (const std::size_t index : selectCandidatesToPoll(candidates, this->progress(), nowMs()))
		{
			Rank& rank = *nonMemberRanks[index];
			this->ensureDirectEngine(rank.engineAddress, rank);
			rank.search.askedAt = nowMs();
			query.engines.push_back(rank.engineAddress);
			if (this->daemonIsSilent(rank) && rank.search.listed)
			{
				this->pollDirectly(rank.engineAddress, rank, kDirectSearchIntervalMs);
			}
		}
		if (!query.engines.empty())
		{
			this->tasks.add(this->pollNonMembers(std::move(query)).take());
		}
	}

	aio::Task<void> Coordinator::pollNonMembers(BranchQuery _query)
	{
		co_await this->dependencies.fanOut.poll(std::move(_query));
		// Includes responses to earlier queries: with 32 connections to open, most responses arrive after the
		// poll has ended, and a coordinator that dropped them saw only half of 129 ranks for 10 s.
		std::vector<std::string> engines;
		for (const auto& [engine, rank] : this->nonMembers)
		{
			engines.push_back(engine);
		}
		this->applyChildSnapshots(this->dependencies.fanOut.snapshots(engines), nowMs());
		this->disconnectNonMembers();
	}

	void Coordinator::disconnectNonMembers()
	{
		for (auto& [engine, rank] : this->nonMembers)
		{
			if (0 != rank.search.otherGroupAt)
			{
				this->dependencies.fanOut.disconnect(engine);
				rank.direct = rank.directPollInFlight ? std::move(rank.direct) : nullptr;
			}
		}
	}
} // namespace archdyke::group
