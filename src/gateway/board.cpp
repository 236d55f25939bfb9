#include "gateway/board.h"

#include <algorithm>

#include "base/log.h"
#include "base/process.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Maximum age of a report that is used, ms: five missed reports of a coordinator.
		constexpr Millis kMaxReportAgeMs = 1'000;
		/// One of so many random picks considers all zones: the daemons of the local zone may all be cut off from the
		/// coordinator, or in other groups.
		constexpr std::uint64_t kRemotePickInterval = 8;

		bool hasRecentReport(const Upstream& _upstream, Millis _now)
		{
			return _upstream.reported && _now - _upstream.reported->at <= kMaxReportAgeMs;
		}
	} // namespace

	double paceOf(const Upstream& _upstream, Millis _now)
	{
		return hasRecentReport(_upstream, _now) ? std::max(1.0, _upstream.reported->pace) : 1.0;
	}

	bool isServing(const Upstream& _upstream)
	{
		return !_upstream.leavingSince && !_upstream.superseded;
	}

	bool acceptsRequests(const Upstream& _upstream)
	{
		return isServing(_upstream) && !_upstream.evacuated;
	}

	double loadOf(const Upstream& _upstream, Millis _now)
	{
		if (!hasRecentReport(_upstream, _now))
		{
			return _upstream.inFlight;
		}
		const ReportedLoad& report = *_upstream.reported;
		const double since = double(_upstream.inFlight) - double(report.ownAtReport);
		return std::max(double(_upstream.inFlight), double(report.requests) + since);
	}

	double meanLoad(const UpstreamGroup& _group, Millis _now)
	{
		if (0 < _group.evacuated || 0 < _group.limited || _now < _group.backOffUntil)
		{
			// Only members that still get requests count: load and capacity of the others mean nothing for new requests.
			double load = 0.0;
			std::uint32_t accepting = 0;
			for (const UpstreamRef& upstream : _group.members)
			{
				const bool accepts = acceptsRequestsNow(*upstream, _now) && !isAtNamedLimit(*upstream, _now);
				load += accepts ? loadOf(*upstream, _now) : 0.0;
				accepting += accepts ? 1 : 0;
			}
			return load / double(std::max<std::uint32_t>(1, accepting));
		}
		const double own = double(_group.inFlight);
		const double total = hasFreshReport(_group, _now) ? std::max(own, double(_group.reported) + own - double(_group.ownAtReport)) : own;
		return total / double(std::max<std::uint32_t>(1, _group.availableMembers));
	}

	bool hasFreshReport(const UpstreamGroup& _group, Millis _now)
	{
		return 0 != _group.view.at && _now - _group.view.at <= kMaxReportAgeMs;
	}

	bool isDown(const UpstreamGroup& _group, Millis _now)
	{
		const bool reportedDown = hasFreshReport(_group, _now) && !_group.view.open;
		return reportedDown || _now < _group.view.faultUntil;
	}

	UpstreamActivity activityOf(const Upstream& _upstream, Millis _now)
	{
		const UpstreamGroup& group = *_upstream.group;
		const bool hasQueue = 0 < _upstream.record.slots && loadOf(_upstream, _now) > double(_upstream.record.slots);
		return {_upstream.inFlight, _upstream.silentSince, group.lastActiveAt, hasFreshReport(group, _now) ? group.view.passMs : 0.0, hasQueue};
	}

	void recordActivity(Upstream& _upstream, Millis _now)
	{
		_upstream.silentSince = _now;
		_upstream.group->lastActiveAt = _now;
	}

	InFlight::InFlight(UpstreamRef _upstream, Millis _now)
	    : upstream(std::move(_upstream))
	{
		this->upstream->silentSince = 0 == this->upstream->inFlight ? _now : this->upstream->silentSince;
		this->upstream->inFlight += 1;
		this->upstream->group->inFlight += 1;
	}

	InFlight::~InFlight()
	{
		if (isSilent(activityOf(*this->upstream, nowMs()), nowMs()))
		{
			recordAttempt(this->upstream->health, true, nowMs());
		}
		this->upstream->inFlight -= 1;
		this->upstream->group->inFlight -= 1;
	}

	UpstreamRegistry::UpstreamRegistry(std::string _zone, std::string _gateway, Millis _startedAt)
	    : zone(std::move(_zone))
	    , gateway(std::move(_gateway))
	    , startedAt(_startedAt)
	{
	}

	UpstreamRegistry::~UpstreamRegistry()
	{
		// Breaks the reference cycles between groups and their members.
		for (const auto& [service, groups] : this->byService)
		{
			for (const GroupRef& group : groups)
			{
				group->members.clear();
			}
		}
	}

	void UpstreamRegistry::report(const GroupReport& _report, Millis _now)
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
				this->moveToGroup(upstream, _report.service, _report.name);
			}
			upstream->reported = ReportedLoad{rank.requests, at, upstream->inFlight, rank.pace};
			group->reported += rank.requests;
		}
		group->ownAtReport = group->inFlight;
		if (group->members.empty())
		{
			std::erase(this->byService[_report.service], group);
		}
	}

	const std::vector<GroupRef>& UpstreamRegistry::groupsOf(const std::string& _service) const
	{
		static const std::vector<GroupRef> kNone;
		const auto found = this->byService.find(_service);
		return this->byService.end() == found ? kNone : found->second;
	}

	UpstreamRef UpstreamRegistry::choose(const UpstreamGroup& _group, const std::set<std::string>& _triedBefore, Random& _random, Millis _now) const
	{
		std::vector<UpstreamRef> open;
		std::vector<UpstreamCandidate> candidates;
		for (const UpstreamRef& upstream : _group.members)
		{
			if (maySendTo(*upstream, _now))
			{
				open.push_back(upstream);
				candidates.push_back({loadOf(*upstream, _now), upstream->record.slots, upstream->record.zone == this->zone, isSuspended(upstream->health, _now) || isSilent(activityOf(*upstream, _now), _now), _triedBefore.contains(upstream->record.incarnation), upstream->health.failureRate, paceOf(*upstream, _now)});
			}
		}
		const std::optional<std::size_t> chosen = chooseUpstream(candidates, _random);
		return chosen ? open[*chosen] : nullptr;
	}

	UpstreamRef UpstreamRegistry::pickPreferringOwnZone(const std::vector<UpstreamRef>& _upstreams, Random& _random) const
	{
		std::vector<UpstreamRef> near;
		std::copy_if(_upstreams.begin(), _upstreams.end(), std::back_inserter(near), [&](const UpstreamRef& _upstream) {
			return _upstream->record.zone == this->zone;
		});
		const bool anywhere = near.empty() || 0 == randomBelow(_random, kRemotePickInterval);
		const std::vector<UpstreamRef>& from = anywhere ? _upstreams : near;
		return from.empty() ? nullptr : from[randomBelow(_random, from.size())];
	}

	UpstreamRef UpstreamRegistry::pickGroupMember(const std::string& _service, const std::string& _group, Random& _random) const
	{
		for (const GroupRef& group : this->groupsOf(_service))
		{
			if (group->name == _group)
			{
				return this->pickPreferringOwnZone(group->members, _random);
			}
		}
		return nullptr;
	}

	UpstreamRef UpstreamRegistry::pickUnreportedUpstream(const std::string& _service, Random& _random, Millis _now) const
	{
		std::vector<UpstreamRef> unreported;
		for (const GroupRef& group : this->groupsOf(_service))
		{
			if (!hasFreshReport(*group, _now))
			{
				unreported.insert(unreported.end(), group->members.begin(), group->members.end());
			}
		}
		return this->pickPreferringOwnZone(unreported, _random);
	}

	std::vector<GroupRef> UpstreamRegistry::allGroups() const
	{
		std::vector<GroupRef> result;
		for (const auto& [service, groups] : this->byService)
		{
			result.insert(result.end(), groups.begin(), groups.end());
		}
		return result;
	}

	std::size_t UpstreamRegistry::addresses() const
	{
		return this->byAddress.size();
	}

	std::vector<UpstreamRef> UpstreamRegistry::all() const
	{
		std::vector<UpstreamRef> result;
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			result.push_back(upstream);
		}
		return result;
	}

	bool UpstreamRegistry::isListed(const std::string& _incarnation) const
	{
		return nullptr != this->findUpstream(_incarnation);
	}

	std::vector<std::string> UpstreamRegistry::incarnations() const
	{
		std::vector<std::string> result;
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			result.push_back(incarnation);
		}
		for (const auto& [incarnation, upstream] : this->inactive)
		{
			result.push_back(incarnation);
		}
		return result;
	}

	GroupRef UpstreamRegistry::groupNamed(const std::string& _service, const std::string& _name)
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

	void UpstreamRegistry::addToGroup(const UpstreamRef& _upstream, const GroupRef& _group)
	{
		_upstream->group = _group;
		_group->members.push_back(_upstream);
		_group->inFlight += _upstream->inFlight;
		_group->coldUntil = std::max(_group->coldUntil, _upstream->cold.until);
		_group->backOffUntil = std::max(_group->backOffUntil, _upstream->selfReport.backOff.until);
		this->updateCounts(*_group);
	}

	void UpstreamRegistry::moveToGroup(const UpstreamRef& _upstream, const std::string& _service, const std::string& _name)
	{
		_upstream->group->inFlight -= _upstream->inFlight;
		this->removeFromGroup(_upstream);
		this->addToGroup(_upstream, this->groupNamed(_service, _name));
	}

	void UpstreamRegistry::removeFromGroup(const UpstreamRef& _upstream)
	{
		const GroupRef group = _upstream->group;
		std::erase(group->members, _upstream);
		this->updateCounts(*group);
		if (group->members.empty())
		{
			std::erase(this->byService[group->service], group);
		}
	}

	void UpstreamRegistry::updateCounts(UpstreamGroup& _group) const
	{
		_group.availableMembers = 0;
		_group.availableInZone = 0;
		_group.evacuated = 0;
		_group.limited = 0;
		for (const UpstreamRef& upstream : _group.members)
		{
			const bool works = acceptsRequests(*upstream);
			_group.availableMembers += works ? 1 : 0;
			_group.evacuated += upstream->evacuated ? 1 : 0;
			_group.limited += upstream->selfReport.limit ? 1 : 0;
			_group.availableInZone += works && upstream->record.zone == this->zone ? 1 : 0;
		}
	}
} // namespace archdyke::gateway
