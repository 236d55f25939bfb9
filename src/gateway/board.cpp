#include "gateway/board.h"

#include <algorithm>

#include "log.h"
#include "process.h"

namespace archdyke::gateway
{
	namespace
	{
		/// A report older than this is left aside, ms: five missed reports of a coordinator.
		constexpr Millis kReportMaxAgeMs = 1'000;
		/// One draw in so many looks beyond the own zone: its daemons may all be cut off from the
		/// coordinator, or in other groups.
		constexpr std::uint64_t kFarDraws = 8;

		/// Remaining cold time falls with each heartbeat: that is no change worth a line.
		bool saysTheSame(UpstreamRecord _before, const UpstreamRecord& _after)
		{
			_before.coldForMs = _after.coldForMs;
			return _before == _after;
		}

		bool isRecent(const Upstream& _upstream, Millis _now)
		{
			return _upstream.reported && _now - _upstream.reported->at <= kReportMaxAgeMs;
		}
	} // namespace

	double paceOf(const Upstream& _upstream, Millis _now)
	{
		return isRecent(_upstream, _now) ? std::max(1.0, _upstream.reported->pace) : 1.0;
	}

	bool isServing(const Upstream& _upstream)
	{
		return !_upstream.leavingSince && !_upstream.superseded;
	}

	bool takesWork(const Upstream& _upstream)
	{
		return isServing(_upstream) && !_upstream.evacuated;
	}

	double loadOf(const Upstream& _upstream, Millis _now)
	{
		if (!isRecent(_upstream, _now))
		{
			return _upstream.inFlight;
		}
		const ReportedLoad& report = *_upstream.reported;
		const double since = double(_upstream.inFlight) - double(report.ownThen);
		return std::max(double(_upstream.inFlight), double(report.requests) + since);
	}

	double meanLoad(const UpstreamGroup& _group, Millis _now)
	{
		if (0 < _group.evacuated)
		{
			// What still runs in an evacuated zone takes no place of those that are left.
			double left = 0.0;
			for (const UpstreamRef& upstream : _group.members)
			{
				left += takesWork(*upstream) ? loadOf(*upstream, _now) : 0.0;
			}
			return left / double(std::max<std::uint32_t>(1, _group.working));
		}
		const double own = double(_group.inFlight);
		const double total = isKnown(_group, _now) ? std::max(own, double(_group.reported) + own - double(_group.ownThen)) : own;
		return total / double(std::max<std::uint32_t>(1, _group.working));
	}

	bool isKnown(const UpstreamGroup& _group, Millis _now)
	{
		return 0 != _group.view.at && _now - _group.view.at <= kReportMaxAgeMs;
	}

	bool isDown(const UpstreamGroup& _group, Millis _now)
	{
		const bool told = isKnown(_group, _now) && !_group.view.open;
		return told || _now < _group.view.faultUntil;
	}

	Hearing hearingOf(const Upstream& _upstream, Millis _now)
	{
		const UpstreamGroup& group = *_upstream.group;
		const bool hasQueue = 0 < _upstream.record.slots && loadOf(_upstream, _now) > double(_upstream.record.slots);
		return {_upstream.inFlight, _upstream.quietSince, group.heardAt, isKnown(group, _now) ? group.view.passMs : 0.0, hasQueue};
	}

	void noteHeard(Upstream& _upstream, Millis _now)
	{
		_upstream.quietSince = _now;
		_upstream.group->heardAt = _now;
	}

	InFlight::InFlight(UpstreamRef _upstream, Millis _now)
	    : upstream(std::move(_upstream))
	{
		this->upstream->quietSince = 0 == this->upstream->inFlight ? _now : this->upstream->quietSince;
		this->upstream->inFlight += 1;
		this->upstream->group->inFlight += 1;
	}

	InFlight::~InFlight()
	{
		if (isSilent(hearingOf(*this->upstream, nowMs()), nowMs()))
		{
			noteTry(this->upstream->health, true, nowMs());
		}
		this->upstream->inFlight -= 1;
		this->upstream->group->inFlight -= 1;
	}

	Board::Board(std::string _zone, std::string _gateway)
	    : zone(std::move(_zone))
	    , gateway(std::move(_gateway))
	{
	}

	Board::~Board()
	{
		// Groups and their members hold each other.
		for (const auto& [service, groups] : this->byService)
		{
			for (const GroupRef& group : groups)
			{
				group->members.clear();
			}
		}
	}

	UpstreamRef Board::known(const std::string& _incarnation) const
	{
		const auto listed = this->byIncarnation.find(_incarnation);
		if (this->byIncarnation.end() != listed)
		{
			return listed->second;
		}
		const auto kept = this->aside.find(_incarnation);
		return this->aside.end() == kept ? nullptr : kept->second;
	}

	bool Board::startedAnew(const UpstreamRecord& _record) const
	{
		const UpstreamRef before = this->known(_record.incarnation);
		return nullptr != before && 0 != before->record.startedAt && before->record.startedAt < _record.startedAt;
	}

	bool Board::isOfEarlierRun(const UpstreamRecord& _record) const
	{
		const UpstreamRef before = this->known(_record.incarnation);
		return nullptr != before && 0 != _record.startedAt && _record.startedAt < before->record.startedAt;
	}

	UpstreamRef Board::listed(const UpstreamRecord& _record)
	{
		UpstreamRef& upstream = this->byIncarnation[_record.incarnation];
		const auto kept = this->aside.find(_record.incarnation);
		if (this->aside.end() != kept)
		{
			upstream = kept->second;
			this->aside.erase(kept);
			this->regroup(upstream, _record.service, "");
		}
		else if (nullptr == upstream)
		{
			upstream = std::make_shared<Upstream>();
			upstream->record = _record;
			this->put(upstream, this->groupNamed(_record.service, ""));
		}
		return upstream;
	}

	void Board::takeAddress(const UpstreamRef& _upstream)
	{
		UpstreamRef& holder = this->byAddress[_upstream->record.address];
		if (nullptr != holder && holder != _upstream && !holder->superseded)
		{
			logInfo("upstream_superseded", {{"incarnation", holder->record.incarnation}, {"by", _upstream->record.incarnation}, {"address", _upstream->record.address}});
			holder->superseded = true;
			this->count(*holder->group);
		}
		const bool isBack = _upstream->superseded;
		_upstream->superseded = false;
		holder = _upstream;
		if (isBack)
		{
			this->count(*_upstream->group);
		}
	}

	void Board::takeRecord(const UpstreamRef& _upstream, const UpstreamRecord& _record)
	{
		if (_upstream->record.service != _record.service || _upstream->record.address != _record.address)
		{
			this->move(_upstream, _record);
		}
		const Millis startedAt = std::max(_upstream->record.startedAt, _record.startedAt);
		_upstream->record = _record;
		_upstream->record.startedAt = startedAt; // a row that doesn't say is of the run that is known
		this->setColdSends(*_upstream);
		_upstream->evacuated = this->evacuatedZones.contains(_record.zone);
		this->takeAddress(_upstream);
	}

	void Board::learn(const UpstreamRecord& _record, Millis _now, Millis _coldIfNewMs)
	{
		if (this->isOfEarlierRun(_record))
		{
			return; // a write of the run before that was late
		}
		if (this->startedAnew(_record))
		{
			logInfo("upstream_started_anew", {{"incarnation", _record.incarnation}, {"service", _record.service}, {"address", _record.address}, {"started_at", _record.startedAt}});
			this->forget(_record.incarnation, _now);
		}
		const bool isNew = nullptr == this->known(_record.incarnation);
		const bool wasListed = this->byIncarnation.contains(_record.incarnation);
		const UpstreamRef upstream = this->listed(_record);
		const bool leaves = _record.leaving && !upstream->leavingSince;
		const bool changed = !wasListed || leaves || !saysTheSame(upstream->record, _record);
		const bool tellsCold = changed || upstream->record.coldForMs != _record.coldForMs;
		const bool started = isNew || upstream->record.startedAt < _record.startedAt;
		this->takeRecord(upstream, _record);
		if (leaves)
		{
			upstream->leavingSince = _now;
		}
		if (changed)
		{
			this->count(*upstream->group);
			logInfo("upstream_learned", {{"incarnation", _record.incarnation}, {"service", _record.service}, {"address", _record.address}, {"zone", _record.zone}, {"leaving", upstream->leavingSince.has_value()}});
		}
		if (tellsCold)
		{
			this->beginCold(upstream, _record.coldForMs.value_or(started ? _coldIfNewMs : 0), _now);
		}
	}

	void Board::forget(const std::string& _incarnation, Millis _now)
	{
		const UpstreamRef upstream = this->known(_incarnation);
		if (nullptr == upstream)
		{
			return;
		}
		logInfo("upstream_gone", {{"incarnation", _incarnation}, {"service", upstream->record.service}, {"group", upstream->group->name}, {"address", upstream->record.address}, {"in_flight", upstream->inFlight}});
		upstream->leavingSince = upstream->leavingSince.value_or(_now);
		this->unlist(upstream);
		this->aside.erase(_incarnation);
	}

	void Board::setAside(const std::string& _incarnation)
	{
		const auto found = this->byIncarnation.find(_incarnation);
		if (this->byIncarnation.end() == found)
		{
			return;
		}
		const UpstreamRef upstream = found->second;
		logInfo("upstream_set_aside", {{"incarnation", _incarnation}, {"service", upstream->record.service}, {"group", upstream->group->name}, {"address", upstream->record.address}, {"in_flight", upstream->inFlight}});
		this->unlist(upstream);
		upstream->reported.reset();
		this->aside[_incarnation] = upstream;
	}

	void Board::unlist(const UpstreamRef& _upstream)
	{
		this->takeOut(_upstream);
		this->byIncarnation.erase(_upstream->record.incarnation);
		this->freeAddress(_upstream, _upstream->record.address);
	}

	void Board::move(const UpstreamRef& _upstream, const UpstreamRecord& _record)
	{
		const std::string before = _upstream->record.address;
		logInfo("upstream_moved", {{"incarnation", _record.incarnation}, {"service", _record.service}, {"address", _record.address}, {"service_before", _upstream->record.service}, {"address_before", before}});
		_upstream->record.service = _record.service;
		_upstream->record.address = _record.address;
		_upstream->reported.reset();
		this->regroup(_upstream, _record.service, "");
		if (before != _record.address)
		{
			this->freeAddress(_upstream, before);
		}
	}

	void Board::freeAddress(const UpstreamRef& _upstream, const std::string& _address)
	{
		const auto holder = this->byAddress.find(_address);
		if (this->byAddress.end() != holder && holder->second == _upstream)
		{
			this->byAddress.erase(holder);
		}
		this->reinstate(_address);
	}

	void Board::reinstate(const std::string& _address)
	{
		if (this->byAddress.contains(_address))
		{
			return;
		}
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			if (upstream->record.address == _address)
			{
				upstream->superseded = false;
				this->byAddress[_address] = upstream;
				this->count(*upstream->group);
				return;
			}
		}
	}

	void Board::report(const GroupReport& _report, Millis _now)
	{
		const GroupRef group = this->groupNamed(_report.service, _report.name);
		if (group->view.open != _report.open || 0 == group->view.at)
		{
			logInfo(_report.open ? "group_open" : "group_down", {{"service", _report.service}, {"group", _report.name}, {"pass_ms", _report.passMs}, {"ranks", _report.ranks.size()}});
		}
		group->view.open = _report.open;
		group->view.passMs = _report.passMs;
		const Millis at = _now - _report.ageMs;
		group->view.at = at;
		group->reported = 0;
		for (const GroupReport::Rank& rank : _report.ranks)
		{
			const auto found = this->byAddress.find(rank.address);
			if (this->byAddress.end() == found || found->second->record.service != _report.service)
			{
				continue;
			}
			const UpstreamRef upstream = found->second;
			if (upstream->group != group)
			{
				this->regroup(upstream, _report.service, _report.name);
			}
			upstream->reported = ReportedLoad{rank.requests, at, upstream->inFlight, rank.pace};
			group->reported += rank.requests;
		}
		group->ownThen = group->inFlight;
		if (group->members.empty())
		{
			std::erase(this->byService[_report.service], group);
		}
	}

	const std::vector<GroupRef>& Board::groupsOf(const std::string& _service) const
	{
		static const std::vector<GroupRef> kNone;
		const auto found = this->byService.find(_service);
		return this->byService.end() == found ? kNone : found->second;
	}

	UpstreamRef Board::choose(const UpstreamGroup& _group, const std::set<std::string>& _triedBefore, Random& _random, Millis _now) const
	{
		std::vector<UpstreamRef> open;
		std::vector<UpstreamCandidate> candidates;
		for (const UpstreamRef& upstream : _group.members)
		{
			if (mayGet(*upstream, _now))
			{
				open.push_back(upstream);
				candidates.push_back({loadOf(*upstream, _now), upstream->record.slots, upstream->record.zone == this->zone, isSuspended(upstream->health, _now) || isSilent(hearingOf(*upstream, _now), _now), _triedBefore.contains(upstream->record.incarnation), upstream->health.failureRate, paceOf(*upstream, _now)});
			}
		}
		const std::optional<std::size_t> chosen = chooseUpstream(candidates, _random);
		return chosen ? open[*chosen] : nullptr;
	}

	UpstreamRef Board::drawNear(const std::vector<UpstreamRef>& _upstreams, Random& _random) const
	{
		std::vector<UpstreamRef> near;
		std::copy_if(_upstreams.begin(), _upstreams.end(), std::back_inserter(near), [&](const UpstreamRef& _upstream) {
			return _upstream->record.zone == this->zone;
		});
		const bool anywhere = near.empty() || 0 == randomBelow(_random, kFarDraws);
		const std::vector<UpstreamRef>& from = anywhere ? _upstreams : near;
		return from.empty() ? nullptr : from[randomBelow(_random, from.size())];
	}

	UpstreamRef Board::drawMember(const std::string& _service, const std::string& _group, Random& _random) const
	{
		for (const GroupRef& group : this->groupsOf(_service))
		{
			if (group->name == _group)
			{
				return this->drawNear(group->members, _random);
			}
		}
		return nullptr;
	}

	UpstreamRef Board::drawUnheard(const std::string& _service, Random& _random, Millis _now) const
	{
		std::vector<UpstreamRef> unheard;
		for (const GroupRef& group : this->groupsOf(_service))
		{
			if (!isKnown(*group, _now))
			{
				unheard.insert(unheard.end(), group->members.begin(), group->members.end());
			}
		}
		return this->drawNear(unheard, _random);
	}

	std::vector<GroupRef> Board::allGroups() const
	{
		std::vector<GroupRef> result;
		for (const auto& [service, groups] : this->byService)
		{
			result.insert(result.end(), groups.begin(), groups.end());
		}
		return result;
	}

	std::size_t Board::addresses() const
	{
		return this->byAddress.size();
	}

	std::vector<UpstreamRef> Board::all() const
	{
		std::vector<UpstreamRef> result;
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			result.push_back(upstream);
		}
		return result;
	}

	std::vector<std::string> Board::incarnations() const
	{
		std::vector<std::string> result;
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			result.push_back(incarnation);
		}
		for (const auto& [incarnation, upstream] : this->aside)
		{
			result.push_back(incarnation);
		}
		return result;
	}

	GroupRef Board::groupNamed(const std::string& _service, const std::string& _name)
	{
		std::vector<GroupRef>& groups = this->byService[_service];
		const auto found = std::find_if(groups.begin(), groups.end(), [&](const GroupRef& _group) {
			return _group->name == _name;
		});
		if (groups.end() != found)
		{
			return *found;
		}
		groups.push_back(std::make_shared<UpstreamGroup>());
		groups.back()->service = _service;
		groups.back()->name = _name;
		return groups.back();
	}

	void Board::put(const UpstreamRef& _upstream, const GroupRef& _group)
	{
		_upstream->group = _group;
		_group->members.push_back(_upstream);
		_group->inFlight += _upstream->inFlight;
		_group->coldUntil = std::max(_group->coldUntil, _upstream->cold.until);
		this->count(*_group);
	}

	void Board::regroup(const UpstreamRef& _upstream, const std::string& _service, const std::string& _name)
	{
		_upstream->group->inFlight -= _upstream->inFlight;
		this->takeOut(_upstream);
		this->put(_upstream, this->groupNamed(_service, _name));
	}

	void Board::takeOut(const UpstreamRef& _upstream)
	{
		const GroupRef group = _upstream->group;
		std::erase(group->members, _upstream);
		this->count(*group);
		if (group->members.empty())
		{
			std::erase(this->byService[group->service], group);
		}
	}

	void Board::count(UpstreamGroup& _group) const
	{
		_group.working = 0;
		_group.workingInZone = 0;
		_group.evacuated = 0;
		for (const UpstreamRef& upstream : _group.members)
		{
			const bool works = takesWork(*upstream);
			_group.working += works ? 1 : 0;
			_group.evacuated += upstream->evacuated ? 1 : 0;
			_group.workingInZone += works && upstream->record.zone == this->zone ? 1 : 0;
		}
	}
} // namespace archdyke::gateway
