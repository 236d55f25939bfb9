#include "gateway/board.h"

#include <algorithm>

#include "log.h"

namespace archdyke::gateway
{
	namespace
	{
		/// A report older than this is left aside, ms: five missed reports of a coordinator.
		constexpr Millis kReportMaxAgeMs = 1'000;
	} // namespace

	double loadOf(const Upstream& _upstream, Millis _now)
	{
		if (!_upstream.reported || _now - _upstream.reported->at > kReportMaxAgeMs)
		{
			return _upstream.inFlight;
		}
		const ReportedLoad& report = *_upstream.reported;
		const double since = double(_upstream.inFlight) - double(report.ownThen);
		return std::max(double(_upstream.inFlight), double(report.requests) + since);
	}

	Board::Board(std::string _zone)
	    : zone(std::move(_zone))
	{
	}

	bool Board::learn(const UpstreamRecord& _record, Millis _now)
	{
		UpstreamRef& upstream = this->byIncarnation[_record.incarnation];
		const bool isNew = nullptr == upstream;
		if (isNew)
		{
			upstream = std::make_shared<Upstream>();
		}
		const bool leaves = _record.leaving && !upstream->leavingSince;
		const bool changed = isNew || leaves || upstream->record != _record;
		upstream->record = _record;
		if (leaves)
		{
			upstream->leavingSince = _now;
		}
		if (changed)
		{
			logInfo("upstream_learned", {{"incarnation", _record.incarnation}, {"service", _record.service}, {"address", _record.address}, {"zone", _record.zone}, {"leaving", upstream->leavingSince.has_value()}});
		}
		return changed;
	}

	void Board::forget(const std::string& _incarnation, Millis _now)
	{
		const auto it = this->byIncarnation.find(_incarnation);
		if (this->byIncarnation.end() == it)
		{
			return;
		}
		logInfo("upstream_gone", {{"incarnation", _incarnation}, {"service", it->second->record.service}, {"address", it->second->record.address}, {"in_flight", it->second->inFlight}});
		it->second->leavingSince = it->second->leavingSince.value_or(_now);
		this->byIncarnation.erase(it);
	}

	void Board::replaceAll(const std::vector<UpstreamRecord>& _records, Millis _now)
	{
		std::set<std::string> named;
		for (const UpstreamRecord& record : _records)
		{
			named.insert(record.incarnation);
			this->learn(record, _now);
		}
		std::vector<std::string> gone;
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			if (!named.contains(incarnation))
			{
				gone.push_back(incarnation);
			}
		}
		for (const std::string& incarnation : gone)
		{
			this->forget(incarnation, _now);
		}
	}

	void Board::report(const std::string& _address, std::uint32_t _requests, Millis _now)
	{
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			if (upstream->record.address == _address)
			{
				upstream->reported = ReportedLoad{_requests, _now, upstream->inFlight};
			}
		}
	}

	UpstreamRef Board::choose(const std::string& _service, const std::set<std::string>& _triedBefore, Random& _random, Millis _now) const
	{
		std::vector<UpstreamRef> open;
		std::vector<UpstreamCandidate> candidates;
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			if (upstream->record.service == _service && !upstream->leavingSince)
			{
				open.push_back(upstream);
				candidates.push_back({loadOf(*upstream, _now), upstream->record.slots, upstream->record.zone == this->zone, isSuspended(upstream->health, _now), _triedBefore.contains(incarnation), upstream->health.failureRate});
			}
		}
		const std::optional<std::size_t> chosen = chooseUpstream(candidates, _random);
		return chosen ? open[*chosen] : nullptr;
	}

	BoardLoad Board::loadOfService(const std::string& _service, Millis _now) const
	{
		BoardLoad result;
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			if (upstream->record.service == _service && !upstream->leavingSince)
			{
				const double load = loadOf(*upstream, _now);
				result.least = 0 == result.upstreams ? load : std::min(result.least, load);
				result.mean += load;
				result.upstreams += 1;
			}
		}
		result.mean /= double(std::max<std::size_t>(1, result.upstreams));
		return result;
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

	std::size_t Board::countOpen(const std::string& _service) const
	{
		return std::size_t(std::count_if(this->byIncarnation.begin(), this->byIncarnation.end(), [&](const auto& _entry) {
			return _entry.second->record.service == _service && !_entry.second->leavingSince;
		}));
	}
} // namespace archdyke::gateway
