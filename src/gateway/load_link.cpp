#include "gateway/load_link.h"

#include "log.h"
#include "process.h"

namespace archdyke::gateway
{
	namespace
	{
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

	std::optional<std::string> LoadLink::anyDaemon(const std::string& _service)
	{
		std::vector<std::string> daemons;
		for (const UpstreamRef& upstream : this->state.board.all())
		{
			if (upstream->record.service == _service)
			{
				daemons.push_back(ipOf(upstream->record.address) + ":" + std::to_string(this->state.settings.place.peerPort));
			}
		}
		if (daemons.empty())
		{
			return std::nullopt;
		}
		return daemons[randomBelow(this->state.random, daemons.size())];
	}

	void LoadLink::take(const std::string& _service, const group::GroupLoads& _loads)
	{
		const Millis now = nowMs();
		GroupView& view = this->state.groups[_service];
		if (view.open != _loads.open || 0 == view.at)
		{
			logInfo(_loads.open ? "group_open" : "group_down", {{"service", _service}, {"term", _loads.newest.term}, {"coordinator", _loads.newest.address}, {"pass_ms", _loads.passMs}});
		}
		view.open = _loads.open;
		view.passMs = _loads.passMs;
		view.at = now;
		this->storeWatch.takeNews(_loads.proof, _loads.upstreams, _loads.reader);
		this->mostRanks = std::max(this->mostRanks, _loads.ranks.size());
		for (const group::RankLoad& rank : _loads.ranks)
		{
			this->state.board.report(rank.address, rank.requests, rank.pace, now);
		}
	}

	void LoadLink::noteCoordinator(const std::string& _service, const group::RankLink* _link, const std::string& _failure)
	{
		const bool found = _failure.empty();
		const bool before = this->up[_service];
		this->up[_service] = found;
		if (before != found)
		{
			logWarning(found ? "coordinator_found" : "coordinator_lost", {{"service", _service}, {"address", nullptr == _link ? "-" : _link->address()}, {"reason", found ? "-" : _failure}});
		}
	}

	aio::Task<void> LoadLink::ask(std::string _service)
	{
		this->asking.insert(_service);
		std::unique_ptr<group::RankLink>& link = this->links[_service];
		if (nullptr == link)
		{
			const std::optional<std::string> daemon = this->anyDaemon(_service);
			link = daemon ? std::make_unique<group::RankLink>(this->state.loop, *daemon) : nullptr;
		}
		std::string failure;
		if (nullptr != link)
		{
			try
			{
				group::LoadsQuestion question{this->state.settings.place.name, this->storeWatch.upstreamsVersion(), this->storeWatch.proof()};
				const group::GroupLoads loads = co_await link->loads(std::move(question), kAnswerMs);
				if (loads.known)
				{
					this->take(_service, loads);
				}
				else
				{
					failure = "not the coordinator";
					const bool named = !loads.newest.address.empty() && loads.newest.address != link->address();
					link = named ? std::make_unique<group::RankLink>(this->state.loop, loads.newest.address) : nullptr;
				}
			}
			catch (const kj::Exception& error)
			{
				failure = error.getDescription().cStr();
				link = nullptr;
			}
		}
		this->noteCoordinator(_service, link.get(), failure);
		this->asking.erase(_service);
	}

	aio::Task<void> LoadLink::watch()
	{
		while (true)
		{
			const Millis wait = std::max(kAskMs, Millis(kAskMsPerRank * double(this->mostRanks)));
			co_await this->state.loop.timer.afterDelay(wait * kj::MILLISECONDS);
			if (nullptr == this->state.catalog)
			{
				continue;
			}
			for (const CatalogService& service : this->state.catalog->catalog.services)
			{
				const bool grouped = service.engine && 0 < service.engine->sets;
				if (grouped && !this->asking.contains(service.name))
				{
					std::string name = service.name;
					this->tasks.add(this->ask(std::move(name)).take());
				}
			}
		}
	}
} // namespace archdyke::gateway
