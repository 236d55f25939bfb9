// Applies rows of the list of upstreams.
#include "gateway/board.h"

#include <algorithm>

#include "base/log.h"

namespace archdyke::gateway
{
	namespace
	{
		/// @returns Whether two records differ in nothing but the remaining cold time. It falls with each heartbeat, which
		/// isn't worth a log line.
		bool equalsExceptColdTime(UpstreamRecord _before, const UpstreamRecord& _after)
		{
			_before.coldForMs = _after.coldForMs;
			return _before == _after;
		}
	} // namespace

	UpstreamRef UpstreamRegistry::findUpstream(const std::string& _incarnation) const
	{
		const auto listed = this->byIncarnation.find(_incarnation);
		if (this->byIncarnation.end() != listed)
		{
			return listed->second;
		}
		const auto kept = this->inactive.find(_incarnation);
		return this->inactive.end() == kept ? nullptr : kept->second;
	}

	bool UpstreamRegistry::isNewerRun(const UpstreamRecord& _record) const
	{
		const UpstreamRef before = this->findUpstream(_record.incarnation);
		return nullptr != before && 0 != before->record.startedAt && before->record.startedAt < _record.startedAt;
	}

	bool UpstreamRegistry::isEarlierRun(const UpstreamRecord& _record) const
	{
		const UpstreamRef before = this->findUpstream(_record.incarnation);
		return nullptr != before && 0 != _record.startedAt && _record.startedAt < before->record.startedAt;
	}

	UpstreamRef UpstreamRegistry::activate(const UpstreamRecord& _record, Millis _now)
	{
		UpstreamRef& upstream = this->byIncarnation[_record.incarnation];
		const auto kept = this->inactive.find(_record.incarnation);
		if (this->inactive.end() != kept)
		{
			upstream = kept->second;
			this->inactive.erase(kept);
			this->moveToGroup(upstream, _record.service, "");
		}
		else if (nullptr == upstream)
		{
			upstream = std::make_shared<Upstream>();
			upstream->record = _record;
			upstream->selfReport = this->retainedSelfReport(_record, _now);
			this->addToGroup(upstream, this->groupNamed(_record.service, ""));
		}
		return upstream;
	}

	void UpstreamRegistry::assignAddress(const UpstreamRef& _upstream)
	{
		UpstreamRef& holder = this->byAddress[_upstream->record.address];
		if (nullptr != holder && holder != _upstream && !holder->superseded)
		{
			logInfo("upstream_superseded", {{"incarnation", holder->record.incarnation}, {"by", _upstream->record.incarnation}, {"address", _upstream->record.address}});
			holder->superseded = true;
			this->updateCounts(*holder->group);
		}
		const bool wasSuperseded = _upstream->superseded;
		_upstream->superseded = false;
		holder = _upstream;
		if (wasSuperseded)
		{
			this->updateCounts(*_upstream->group);
		}
	}

	void UpstreamRegistry::applyRecord(const UpstreamRef& _upstream, const UpstreamRecord& _record)
	{
		if (_upstream->record.service != _record.service || _upstream->record.address != _record.address)
		{
			this->relocate(_upstream, _record);
		}
		const Millis startedAt = std::max(_upstream->record.startedAt, _record.startedAt);
		_upstream->record = _record;
		_upstream->record.startedAt = startedAt; // a row without a start time belongs to the known run
		this->updateColdSends(*_upstream);
		_upstream->evacuated = this->evacuatedZones.contains(_record.zone);
		this->assignAddress(_upstream);
	}

	void UpstreamRegistry::learn(const UpstreamRecord& _record, Millis _now, Millis _defaultColdMs)
	{
		if (this->isEarlierRun(_record))
		{
			return; // a late write of the previous run
		}
		if (this->isNewerRun(_record))
		{
			logInfo("upstream_started_anew", {{"incarnation", _record.incarnation}, {"service", _record.service}, {"address", _record.address}, {"started_at", _record.startedAt}});
			this->forget(_record.incarnation, _now);
		}
		const bool isNew = nullptr == this->findUpstream(_record.incarnation);
		const bool wasListed = this->byIncarnation.contains(_record.incarnation);
		const UpstreamRef upstream = this->activate(_record, _now);
		const bool startsLeaving = (_record.leaving || upstream->selfReport.leaving) && !upstream->leavingSince;
		const bool changed = !wasListed || startsLeaving || !equalsExceptColdTime(upstream->record, _record);
		const bool updatesCold = changed || upstream->record.coldForMs != _record.coldForMs;
		const bool started = isNew || upstream->record.startedAt < _record.startedAt;
		this->applyRecord(upstream, _record);
		if (startsLeaving)
		{
			upstream->leavingSince = _now;
		}
		if (changed)
		{
			this->updateCounts(*upstream->group);
			logInfo("upstream_learned", {{"incarnation", _record.incarnation}, {"service", _record.service}, {"address", _record.address}, {"zone", _record.zone}, {"leaving", upstream->leavingSince.has_value()}});
		}
		if (updatesCold)
		{
			this->markCold(upstream, _record.coldForMs.value_or(started ? _defaultColdMs : 0), _now);
		}
	}

	void UpstreamRegistry::forget(const std::string& _incarnation, Millis _now)
	{
		const UpstreamRef upstream = this->findUpstream(_incarnation);
		if (nullptr == upstream)
		{
			return;
		}
		logInfo("upstream_gone", {{"incarnation", _incarnation}, {"service", upstream->record.service}, {"group", upstream->group->name}, {"address", upstream->record.address}, {"in_flight", upstream->inFlight}});
		upstream->leavingSince = upstream->leavingSince.value_or(_now);
		this->retainSelfReport(*upstream, _now);
		this->unlist(upstream);
		this->inactive.erase(_incarnation);
	}

	void UpstreamRegistry::deactivate(const std::string& _incarnation)
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
		this->inactive[_incarnation] = upstream;
	}

	void UpstreamRegistry::unlist(const UpstreamRef& _upstream)
	{
		this->removeFromGroup(_upstream);
		this->byIncarnation.erase(_upstream->record.incarnation);
		this->releaseAddress(_upstream, _upstream->record.address);
	}

	void UpstreamRegistry::relocate(const UpstreamRef& _upstream, const UpstreamRecord& _record)
	{
		const std::string before = _upstream->record.address;
		logInfo("upstream_moved", {{"incarnation", _record.incarnation}, {"service", _record.service}, {"address", _record.address}, {"service_before", _upstream->record.service}, {"address_before", before}});
		_upstream->record.service = _record.service;
		_upstream->record.address = _record.address;
		_upstream->reported.reset();
		this->moveToGroup(_upstream, _record.service, "");
		if (before != _record.address)
		{
			this->releaseAddress(_upstream, before);
		}
	}

	void UpstreamRegistry::releaseAddress(const UpstreamRef& _upstream, const std::string& _address)
	{
		const auto holder = this->byAddress.find(_address);
		if (this->byAddress.end() != holder && holder->second == _upstream)
		{
			this->byAddress.erase(holder);
		}
		this->restoreSuperseded(_address);
	}

	void UpstreamRegistry::restoreSuperseded(const std::string& _address)
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
				this->updateCounts(*upstream->group);
				return;
			}
		}
	}
} // namespace archdyke::gateway
