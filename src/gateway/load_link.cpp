#include "gateway/load_link.h"

#include "log.h"
#include "process.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Between two looks which groups to ask, and for those whose coordinator isn't known, ms.
		constexpr Millis kLookMs = 40;
		/// Between two questions for the loads of a group, ms: about two passes. What this
		/// gateway sent since is added to what was reported.
		constexpr Millis kAskMs = 120;
		/// In large groups, ms a rank: an answer has 16 bytes a rank, and all gateways ask.
		constexpr double kAskMsPerRank = 4.0;
		/// Longest wait for an answer, ms.
		constexpr Millis kAnswerMs = 250;

		class TaskErrors final : public kj::TaskSet::ErrorHandler
		{
		public:
			void taskFailed(kj::Exception&& _error) override
			{
				logWarning("load_question_failed", {{"reason", _error.getDescription().cStr()}});
			}
		};

		std::string ipOf(const std::string& _address)
		{
			return _address.substr(0, _address.rfind(':'));
		}

		Millis askEveryMs(std::size_t _ranks)
		{
			return std::max(kAskMs, Millis(kAskMsPerRank * double(_ranks)));
		}
	} // namespace

	LoadLink::LoadLink(GatewayState& _state, StoreWatch& _watch)
	    : state(_state)
	    , storeWatch(_watch)
	    , errors(kj::heap<TaskErrors>())
	    , tasks(*this->errors)
	{
		this->watching = this->watch().take().eagerlyEvaluate([](kj::Exception&& _error) {
			logError("load_link_ended", {{"reason", _error.getDescription().cStr()}, {"remedy", "restart the process and report this line"}});
		});
	}

	std::string LoadLink::daemonOf(const Upstream& _upstream) const
	{
		return ipOf(_upstream.record.address) + ":" + std::to_string(this->state.settings.place.peerPort);
	}

	void LoadLink::take(const std::string& _service, const group::GroupLoads& _loads)
	{
		GroupReport report;
		report.service = _service;
		report.name = _loads.newest.group;
		report.open = _loads.open;
		report.passMs = _loads.passMs;
		for (const group::RankLoad& rank : _loads.ranks)
		{
			report.ranks.push_back({rank.address, rank.requests, rank.pace});
		}
		this->storeWatch.takeNews({_service + "/" + report.name, _loads.proof, _loads.upstreams, _loads.reader});
		this->state.board.report(report, nowMs());
	}

	bool LoadLink::follow(const std::string& _service, const group::Coordination& _newest)
	{
		if (_newest.group.empty() || _newest.address.empty())
		{
			return false;
		}
		std::shared_ptr<FollowedGroup>& followed = this->groups[{_service, _newest.group}];
		if (nullptr != followed && followed->link->address() == _newest.address)
		{
			return false;
		}
		logInfo("coordinator_found", {{"service", _service}, {"group", _newest.group}, {"address", _newest.address}, {"term", _newest.term}});
		followed = std::make_shared<FollowedGroup>();
		followed->link = std::make_unique<group::RankLink>(this->state.loop, _newest.address);
		return true;
	}

	void LoadLink::lose(const GroupKey& _key, const std::string& _failure)
	{
		const auto found = this->groups.find(_key);
		if (this->groups.end() != found)
		{
			logWarning("coordinator_lost", {{"service", _key.first}, {"group", _key.second}, {"address", found->second->link->address()}, {"reason", _failure}});
			this->groups.erase(found);
		}
	}

	aio::Task<group::GroupLoads> LoadLink::question(group::RankLink& _link)
	{
		group::LoadsQuestion question{this->state.settings.place.name, this->storeWatch.upstreamsVersion(), this->storeWatch.proof()};
		return _link.loads(std::move(question), kAnswerMs);
	}

	aio::Task<void> LoadLink::ask(GroupKey _key)
	{
		const std::shared_ptr<FollowedGroup> followed = this->groups.at(_key);
		followed->asking = true;
		followed->askedAt = nowMs();
		std::string failure;
		group::GroupLoads loads;
		try
		{
			loads = co_await this->question(*followed->link);
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		followed->asking = false;
		const auto current = this->groups.find(_key);
		if (this->groups.end() == current || current->second != followed)
		{
			co_return; // another coordinator was found meanwhile
		}
		if (failure.empty() && loads.known && loads.newest.group == _key.second)
		{
			followed->ranks = loads.ranks.size();
			this->take(_key.first, loads);
			co_return;
		}
		if (!failure.empty() || !this->follow(_key.first, loads.newest))
		{
			this->lose(_key, failure.empty() ? "not the coordinator" : failure);
		}
	}

	aio::Task<void> LoadLink::search(std::string _service)
	{
		const UpstreamRef upstream = this->state.board.drawUnheard(_service, this->state.random, nowMs());
		if (nullptr == upstream)
		{
			co_return;
		}
		this->searching.insert(_service);
		group::RankLink link(this->state.loop, this->daemonOf(*upstream));
		std::string failure;
		try
		{
			const group::GroupLoads loads = co_await this->question(link);
			this->follow(_service, loads.newest);
			if (loads.known)
			{
				this->take(_service, loads);
			}
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		if (!failure.empty())
		{
			logInfo("daemon_unheard", {{"service", _service}, {"address", link.address()}, {"reason", failure}});
		}
		this->searching.erase(_service);
	}

	void LoadLink::askGroups(const std::string& _service)
	{
		const Millis now = nowMs();
		std::vector<GroupKey> due;
		for (const auto& [key, followed] : this->groups)
		{
			if (key.first == _service && !followed->asking && now - followed->askedAt >= askEveryMs(followed->ranks))
			{
				due.push_back(key);
			}
		}
		for (GroupKey& key : due)
		{
			this->tasks.add(this->ask(std::move(key)).take());
		}
		if (!this->searching.contains(_service))
		{
			std::string service = _service;
			this->tasks.add(this->search(std::move(service)).take());
		}
	}

	aio::Task<void> LoadLink::watch()
	{
		while (true)
		{
			co_await this->state.loop.timer.afterDelay(kLookMs * kj::MILLISECONDS);
			if (nullptr == this->state.catalog)
			{
				continue;
			}
			for (const CatalogService& service : this->state.catalog->catalog.services)
			{
				if (service.engine && 0 < service.engine->sets)
				{
					this->askGroups(service.name);
				}
			}
		}
	}
} // namespace archdyke::gateway
