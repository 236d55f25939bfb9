#include "gateway/load_link.h"

#include <algorithm>

#include "base/log.h"
#include "base/process.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Interval between checks which groups to poll, ms.
		constexpr Millis kScheduleIntervalMs = 20;
		/// Interval between polls for the loads of a group, ms: about two forward passes. Requests that this gateway has
		/// sent since are added to the reported loads.
		constexpr Millis kPollIntervalMs = 100;
		/// Timeout of a poll, ms: a daemon of the same zone usually responds within 5 ms.
		constexpr Millis kPollTimeoutMs = 250;
		/// Maximum age of a daemon's update, ms. An older one means that the daemon gets none from its coordinator, while
		/// another daemon may.
		constexpr Millis kMaxNewsAgeMs = 500;
		/// Initial and maximum delay before another daemon is polled after a failure, ms. When a group is cut off or has no
		/// coordinator, all gateways search for it; with these delays that costs its daemons no more than regular polls do.
		constexpr Millis kMinRetryMs = 20;
		constexpr Millis kMaxRetryMs = 160;

		class TaskErrors final : public kj::TaskSet::ErrorHandler
		{
		public:
			void taskFailed(kj::Exception&& _error) override
			{
				logWarning("load_poll_failed", {{"reason", _error.getDescription().cStr()}});
			}
		};

		std::string ipOf(const std::string& _address)
		{
			return _address.substr(0, _address.rfind(':'));
		}

		GroupReport reportOf(const std::string& _service, const group::Roster& _roster, const group::GroupNews& _news)
		{
			GroupReport report;
			report.service = _service;
			report.name = _news.coordination.group;
			report.open = _news.open;
			report.passMs = _news.passMs;
			report.ageMs = _news.ageMs;
			std::vector<double> paces(_roster.engines.size(), 1.0);
			for (const group::RankPace& rank : _news.paces)
			{
				if (rank.rank < paces.size())
				{
					paces[rank.rank] = rank.pace;
				}
			}
			for (std::size_t rank = 0; rank < _roster.engines.size() && rank < _news.loads.size(); ++rank)
			{
				if (!_roster.engines[rank].empty() && group::kLoadUnknown != _news.loads[rank])
				{
					report.ranks.push_back({_roster.engines[rank], _news.loads[rank], paces[rank]});
				}
			}
			return report;
		}
	} // namespace

	LoadPoller::LoadPoller(GatewayState& _state, StoreWatch& _watch)
	    : state(_state)
	    , storeWatch(_watch)
	    , errors(kj::heap<TaskErrors>())
	    , tasks(*this->errors)
	{
		this->watching = this->watch().take().eagerlyEvaluate([](kj::Exception&& _error) {
			logError("load_link_ended", {{"reason", _error.getDescription().cStr()}, {"remedy", "restart the process and report this line"}});
		});
	}

	std::string LoadPoller::daemonAddressOf(const Upstream& _upstream) const
	{
		return ipOf(_upstream.record.address) + ":" + std::to_string(this->state.settings.place.peerPort);
	}

	Millis LoadPoller::withJitter(Millis _pauseMs)
	{
		return _pauseMs / 2 + Millis(randomBelow(this->state.random, std::uint64_t(_pauseMs) + 1));
	}

	aio::Task<group::NewsResponse> LoadPoller::requestNews(group::RankLink& _source, const group::Roster& _roster, const std::string& _name)
	{
		const group::HeldVersions held{_roster.term, _roster.version, this->storeWatch.versions()};
		group::NewsRequest request{_name, held, this->storeWatch.proof()};
		return _source.news(std::move(request), kPollTimeoutMs);
	}

	std::string LoadPoller::nameForSearch() const
	{
		// Each daemon that is polled counts this gateway. In a search that would inflate the number of gateways and shrink
		// their shares of cold upstreams, so no name is sent where these have limits. Smaller shares of resends do no
		// harm.
		if (nullptr == this->state.catalog)
		{
			return "";
		}
		const std::vector<CatalogService>& services = this->state.catalog->catalog.services;
		const bool anyCold = std::any_of(services.begin(), services.end(), [](const CatalogService& _service) {
			return _service.cold.has_value();
		});
		return anyCold ? "" : this->state.settings.place.name;
	}

	bool LoadPoller::applyNews(const GroupKey& _key, FollowedGroup& _followed, const group::NewsResponse& _response)
	{
		const group::GroupNews& news = _response.bundle.news;
		if (0 == news.number || kMaxNewsAgeMs < news.ageMs || news.coordination.group != _key.second)
		{
			return false;
		}
		if (0 != _response.bundle.roster.version)
		{
			_followed.roster = _response.bundle.roster;
		}
		const Millis now = nowMs();
		_followed.lastUpdateAt = now;
		_followed.pauseMs = kMinRetryMs;
		const Millis windowMs = this->state.settings.bounds.retryWindowMs;
		recordGatewayCount(this->state.resendShare, news.gateways, windowMs, now);
		renewRounding(this->state.resendShare, windowMs, this->state.random, now);
		this->storeWatch.applyUpdate({news.proof, _response.bundle.tables, news.gateways});
		if (_followed.roster.term == news.rosterTerm && _followed.roster.version == news.rosterVersion)
		{
			this->state.registry.report(reportOf(_key.first, _followed.roster, news), now);
		}
		if (_followed.failing)
		{
			logInfo("group_heard_again", {{"service", _key.first}, {"group", _key.second}, {"coordinator", news.coordination.address}, {"age_ms", news.ageMs}});
		}
		_followed.failing = false;
		return true;
	}

	void LoadPoller::dropSource(const GroupKey& _key, FollowedGroup& _followed, const std::string& _reason)
	{
		if (!_followed.failing)
		{
			logInfo("group_source_left", {{"service", _key.first}, {"group", _key.second}, {"daemon", _followed.source->address()}, {"reason", _reason}});
		}
		_followed.failing = true;
		_followed.source = nullptr;
		_followed.nextPollAt = nowMs() + this->withJitter(_followed.pauseMs);
		_followed.pauseMs = std::min(kMaxRetryMs, 2 * _followed.pauseMs);
	}

	aio::Task<void> LoadPoller::pollGroup(GroupKey _key)
	{
		const std::shared_ptr<FollowedGroup> followed = this->groups.at(_key);
		followed->isPolling = true;
		followed->nextPollAt = nowMs() + kPollIntervalMs;
		if (nullptr == followed->source)
		{
			const UpstreamRef upstream = this->state.registry.pickGroupMember(_key.first, _key.second, this->state.random);
			if (nullptr == upstream)
			{
				this->groups.erase(_key); // none of its ranks is listed; a search finds the group again
				co_return;
			}
			followed->source = std::make_unique<group::RankLink>(this->state.loop, this->daemonAddressOf(*upstream));
		}
		std::string failure;
		try
		{
			const std::string name = followed->failing ? this->nameForSearch() : this->state.settings.place.name;
			const group::NewsResponse response = co_await this->requestNews(*followed->source, followed->roster, name);
			failure = this->applyNews(_key, *followed, response) ? "" : "no recent update";
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		followed->isPolling = false;
		if (!failure.empty())
		{
			this->dropSource(_key, *followed, failure);
		}
	}

	aio::Task<void> LoadPoller::search(std::string _service)
	{
		const UpstreamRef upstream = this->state.registry.pickUnreportedUpstream(_service, this->state.random, nowMs());
		if (nullptr == upstream)
		{
			co_return;
		}
		Search& search = this->searches[_service];
		search.isRunning = true;
		std::unique_ptr<group::RankLink> link = std::make_unique<group::RankLink>(this->state.loop, this->daemonAddressOf(*upstream));
		bool found = false;
		try
		{
			const group::Roster none;
			const group::NewsResponse response = co_await this->requestNews(*link, none, this->nameForSearch());
			const GroupKey key{_service, response.newest.group};
			std::shared_ptr<FollowedGroup> followed = this->groups.contains(key) ? this->groups.at(key) : std::make_shared<FollowedGroup>();
			found = this->applyNews(key, *followed, response);
			if (found && nullptr == followed->source)
			{
				logInfo("group_found", {{"service", _service}, {"group", key.second}, {"daemon", link->address()}, {"coordinator", response.newest.address}, {"term", response.newest.term}});
				followed->source = std::move(link);
				followed->nextPollAt = nowMs(); // the response had the roster, but not the tables
				this->groups[key] = followed;
			}
		}
		catch (const kj::Exception&)
		{
			found = false; // not logged: the group stays unreported, and other daemons are polled
		}
		if (!found)
		{
			this->storeWatch.recordEmptyUpdate();
		}
		search.isRunning = false;
		search.pauseMs = found ? kMinRetryMs : std::clamp(2 * search.pauseMs, kMinRetryMs, kMaxRetryMs);
		search.nextAt = nowMs() + this->withJitter(search.pauseMs);
	}

	void LoadPoller::pollGroups(const std::string& _service)
	{
		const Millis now = nowMs();
		std::vector<GroupKey> due;
		for (const auto& [key, followed] : this->groups)
		{
			if (key.first == _service && !followed->isPolling && followed->nextPollAt <= now)
			{
				due.push_back(key);
			}
		}
		for (GroupKey& key : due)
		{
			this->tasks.add(this->pollGroup(std::move(key)).take());
		}
		const Search& search = this->searches[_service];
		if (!search.isRunning && search.nextAt <= now)
		{
			std::string service = _service;
			this->tasks.add(this->search(std::move(service)).take());
		}
	}

	void LoadPoller::pollAnyGroup()
	{
		const std::vector<UpstreamRef> upstreams = this->state.registry.all();
		if (!upstreams.empty())
		{
			this->pollGroups(upstreams[randomBelow(this->state.random, upstreams.size())]->record.service);
		}
	}

	aio::Task<void> LoadPoller::watch()
	{
		while (true)
		{
			co_await this->state.loop.timer.afterDelay(kScheduleIntervalMs * kj::MILLISECONDS);
			if (nullptr == this->state.catalog)
			{
				this->pollAnyGroup();
				continue;
			}
			for (const CatalogService& service : this->state.catalog->catalog.services)
			{
				if (service.engine && 0 < service.engine->sets)
				{
					this->pollGroups(service.name);
				}
			}
		}
	}
} // namespace archdyke::gateway
