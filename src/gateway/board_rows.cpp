// The part of the board that takes in rows of the list of upstreams.
#include "gateway/board.h"

#include <algorithm>

#include "base/log.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Remaining cold time falls with each heartbeat: that is no change worth a line.
		bool saysTheSame(UpstreamRecord _before, const UpstreamRecord& _after)
		{
			_before.coldForMs = _after.coldForMs;
			return _before == _after;
		}
	} // namespace

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

	UpstreamRef Board::listed(const UpstreamRecord& _record, Millis _now)
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
			upstream->selfReport = this->selfReportOf(_record, _now);
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
		const UpstreamRef upstream = this->listed(_record, _now);
		const bool leaves = (_record.leaving || upstream->selfReport.leaving) && !upstream->leavingSince;
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
		this->keepSelfReport(*upstream, _now);
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
} // namespace archdyke::gateway
