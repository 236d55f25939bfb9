#include "gateway/load_link.h"

#include <algorithm>

#include "base/log.h"
#include "base/process.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Between two looks which groups to ask, ms.
		constexpr Millis kLookMs = 20;
		/// Between two questions for the loads of a group, ms: about two passes. What this
		/// gateway sent since is added to what was reported.
		constexpr Millis kAskMs = 100;
		/// Longest wait for an answer, ms: a daemon of the own zone answers within 5 ms as a rule.
		constexpr Millis kAnswerMs = 250;
		/// News older than this are no news, ms: the daemon doesn't hear its coordinator, another one may.
		constexpr Millis kStaleMs = 500;
		/// After the first failure another daemon is asked at once, after more in a row with pauses up
		/// to this, ms: when a group is cut off or has no coordinator, all gateways look for it. Looking
		/// for one then costs its daemons no more than following it does.
		constexpr Millis kFirstPauseMs = 20;
		constexpr Millis kMostPauseMs = 160;

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

	Millis LoadLink::spread(Millis _pauseMs)
	{
		return _pauseMs / 2 + Millis(randomBelow(this->state.random, std::uint64_t(_pauseMs) + 1));
	}

	aio::Task<group::NewsAnswer> LoadLink::question(group::RankLink& _source, const group::Roster& _roster, const std::string& _name)
	{
		const group::HeldVersions held{_roster.term, _roster.version, this->storeWatch.versions()};
		group::NewsQuestion question{_name, held, this->storeWatch.proof()};
		return _source.news(std::move(question), kAnswerMs);
	}

	std::string LoadLink::nameInSearch() const
	{
		// A gateway that asks some daemons in a row is counted at each, and its share of a cold upstream is as
		// much smaller. Shares of resends are only safer by it.
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

	bool LoadLink::take(const GroupKey& _key, FollowedGroup& _followed, const group::NewsAnswer& _answer)
	{
		const group::GroupNews& news = _answer.bundle.news;
		if (0 == news.number || kStaleMs < news.ageMs || news.coordination.group != _key.second)
		{
			return false;
		}
		if (0 != _answer.bundle.roster.version)
		{
			_followed.roster = _answer.bundle.roster;
		}
		const Millis now = nowMs();
		_followed.heardAt = now;
		_followed.pauseMs = kFirstPauseMs;
		const Millis windowMs = this->state.settings.bounds.retryWindowMs;
		noteGateways(this->state.resendShare, news.gateways, windowMs, now);
		drawRounding(this->state.resendShare, windowMs, this->state.random, now);
		this->storeWatch.takeNews({news.proof, _answer.bundle.tables, news.gateways});
		if (_followed.roster.term == news.rosterTerm && _followed.roster.version == news.rosterVersion)
		{
			this->state.board.report(reportOf(_key.first, _followed.roster, news), now);
		}
		if (_followed.failing)
		{
			logInfo("group_heard_again", {{"service", _key.first}, {"group", _key.second}, {"coordinator", news.coordination.address}, {"age_ms", news.ageMs}});
		}
		_followed.failing = false;
		return true;
	}

	void LoadLink::leaveSource(const GroupKey& _key, FollowedGroup& _followed, const std::string& _reason)
	{
		if (!_followed.failing)
		{
			logInfo("group_source_left", {{"service", _key.first}, {"group", _key.second}, {"daemon", _followed.source->address()}, {"reason", _reason}});
		}
		_followed.failing = true;
		_followed.source = nullptr;
		_followed.askAt = nowMs() + this->spread(_followed.pauseMs);
		_followed.pauseMs = std::min(kMostPauseMs, 2 * _followed.pauseMs);
	}

	aio::Task<void> LoadLink::ask(GroupKey _key)
	{
		const std::shared_ptr<FollowedGroup> followed = this->groups.at(_key);
		followed->asking = true;
		followed->askAt = nowMs() + kAskMs;
		if (nullptr == followed->source)
		{
			const UpstreamRef upstream = this->state.board.drawMember(_key.first, _key.second, this->state.random);
			if (nullptr == upstream)
			{
				this->groups.erase(_key); // none of its ranks is listed: it is found anew
				co_return;
			}
			followed->source = std::make_unique<group::RankLink>(this->state.loop, this->daemonOf(*upstream));
		}
		std::string failure;
		try
		{
			const std::string name = followed->failing ? this->nameInSearch() : this->state.settings.place.name;
			const group::NewsAnswer answer = co_await this->question(*followed->source, followed->roster, name);
			failure = this->take(_key, *followed, answer) ? "" : "no fresh news";
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		followed->asking = false;
		if (!failure.empty())
		{
			this->leaveSource(_key, *followed, failure);
		}
	}

	aio::Task<void> LoadLink::search(std::string _service)
	{
		const UpstreamRef upstream = this->state.board.drawUnheard(_service, this->state.random, nowMs());
		if (nullptr == upstream)
		{
			co_return;
		}
		Search& search = this->searches[_service];
		search.underWay = true;
		std::unique_ptr<group::RankLink> link = std::make_unique<group::RankLink>(this->state.loop, this->daemonOf(*upstream));
		bool found = false;
		try
		{
			const group::Roster none;
			const group::NewsAnswer answer = co_await this->question(*link, none, this->nameInSearch());
			const GroupKey key{_service, answer.newest.group};
			std::shared_ptr<FollowedGroup> followed = this->groups.contains(key) ? this->groups.at(key) : std::make_shared<FollowedGroup>();
			found = this->take(key, *followed, answer);
			if (found && nullptr == followed->source)
			{
				logInfo("group_found", {{"service", _service}, {"group", key.second}, {"daemon", link->address()}, {"coordinator", answer.newest.address}, {"term", answer.newest.term}});
				followed->source = std::move(link);
				followed->askAt = nowMs(); // the roster came without the tables
				this->groups[key] = followed;
			}
		}
		catch (const kj::Exception&)
		{
			found = false; // told by the group that stays unheard; others are tried
		}
		if (!found)
		{
			this->storeWatch.noteUntold();
		}
		search.underWay = false;
		search.pauseMs = found ? kFirstPauseMs : std::clamp(2 * search.pauseMs, kFirstPauseMs, kMostPauseMs);
		search.nextAt = nowMs() + this->spread(search.pauseMs);
	}

	void LoadLink::askGroups(const std::string& _service)
	{
		const Millis now = nowMs();
		std::vector<GroupKey> due;
		for (const auto& [key, followed] : this->groups)
		{
			if (key.first == _service && !followed->asking && followed->askAt <= now)
			{
				due.push_back(key);
			}
		}
		for (GroupKey& key : due)
		{
			this->tasks.add(this->ask(std::move(key)).take());
		}
		const Search& search = this->searches[_service];
		if (!search.underWay && search.nextAt <= now)
		{
			std::string service = _service;
			this->tasks.add(this->search(std::move(service)).take());
		}
	}

	void LoadLink::askAny()
	{
		const std::vector<UpstreamRef> upstreams = this->state.board.all();
		if (!upstreams.empty())
		{
			this->askGroups(upstreams[randomBelow(this->state.random, upstreams.size())]->record.service);
		}
	}

	aio::Task<void> LoadLink::watch()
	{
		while (true)
		{
			co_await this->state.loop.timer.afterDelay(kLookMs * kj::MILLISECONDS);
			if (nullptr == this->state.catalog)
			{
				this->askAny();
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
