#include "gateway/board.h"

#include <algorithm>

#include "log.h"

namespace archdyke::gateway
{
	namespace
	{
		/// A report older than this is left aside, ms: five missed reports of a coordinator.
		constexpr Millis kReportMaxAgeMs = 1'000;

		bool isRecent(const Upstream& _upstream, Millis _now)
		{
			return _upstream.reported && _now - _upstream.reported->at <= kReportMaxAgeMs;
		}

		double paceOf(const Upstream& _upstream, Millis _now)
		{
			return isRecent(_upstream, _now) ? std::max(1.0, _upstream.reported->pace) : 1.0;
		}

		bool takesWork(const Upstream& _upstream, const std::string& _service)
		{
			return _upstream.record.service == _service && !_upstream.leavingSince;
		}
	} // namespace

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

	Board::Board(std::string _zone)
	    : zone(std::move(_zone))
	{
	}

	void Board::learn(const UpstreamRecord& _record, Millis _now)
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

	void Board::report(const std::string& _address, std::uint32_t _requests, double _pace, Millis _now)
	{
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			if (upstream->record.address == _address)
			{
				upstream->reported = ReportedLoad{_requests, _now, upstream->inFlight, _pace};
			}
		}
	}

	UpstreamRef Board::choose(const std::string& _service, const std::set<std::string>& _triedBefore, Random& _random, Millis _now) const
	{
		std::vector<UpstreamRef> open;
		std::vector<UpstreamCandidate> candidates;
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			if (takesWork(*upstream, _service))
			{
				open.push_back(upstream);
				candidates.push_back({loadOf(*upstream, _now), upstream->record.slots, upstream->record.zone == this->zone, isSuspended(upstream->health, _now), _triedBefore.contains(incarnation), upstream->health.failureRate, paceOf(*upstream, _now)});
			}
		}
		const std::optional<std::size_t> chosen = chooseUpstream(candidates, _random);
		return chosen ? open[*chosen] : nullptr;
	}

	double Board::meanLoad(const std::string& _service, Millis _now) const
	{
		double total = 0.0;
		std::size_t upstreams = 0;
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			if (takesWork(*upstream, _service))
			{
				total += loadOf(*upstream, _now);
				upstreams += 1;
			}
		}
		return total / double(std::max<std::size_t>(1, upstreams));
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
} // namespace archdyke::gateway
