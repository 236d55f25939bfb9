// Cold upstreams and their limits.
#include "gateway/board.h"

#include <algorithm>

#include "base/log.h"

namespace archdyke::gateway
{
	bool isColdLimited(const Upstream& _upstream, Millis _now)
	{
		return _upstream.coldSends && 0 < remainingColdMs(_upstream.cold, _now);
	}

	void UpstreamRegistry::markCold(const UpstreamRef& _upstream, Millis _durationMs, Millis _now)
	{
		if (_durationMs <= 0)
		{
			return;
		}
		const bool wasLimited = isColdLimited(*_upstream, _now);
		recordCold(_upstream->cold, _durationMs, _now);
		_upstream->group->coldUntil = std::max(_upstream->group->coldUntil, _upstream->cold.until);
		if (!wasLimited && _upstream->coldSends)
		{
			logInfo("upstream_cold", {{"incarnation", _upstream->record.incarnation}, {"service", _upstream->record.service}, {"group", _upstream->group->name.empty() ? "-" : _upstream->group->name}, {"for_ms", _durationMs}, {"told", _upstream->record.coldForMs.has_value()}, {"sends", *_upstream->coldSends}, {"gateways", this->coldLimits.at(_upstream->record.service).terms.gateways}});
		}
	}

	void UpstreamRegistry::expireCold(Millis _now)
	{
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			if (0 == upstream->cold.until || _now < upstream->cold.until)
			{
				continue;
			}
			if (upstream->coldSends)
			{
				logInfo("upstream_warm", {{"incarnation", incarnation}, {"service", upstream->record.service}, {"group", upstream->group->name.empty() ? "-" : upstream->group->name}});
			}
			upstream->cold = {};
		}
	}

	void UpstreamRegistry::setColdTerms(const std::string& _service, const std::optional<ColdCapacity>& _terms)
	{
		const auto current = this->coldLimits.find(_service);
		const bool same = this->coldLimits.end() == current ? !_terms : _terms && current->second.terms == *_terms;
		if (same)
		{
			return;
		}
		this->coldLimits.erase(_service);
		if (_terms)
		{
			this->coldLimits[_service] = {*_terms, computeColdShare(*_terms)};
		}
		for (const GroupRef& group : this->groupsOf(_service))
		{
			for (const UpstreamRef& upstream : group->members)
			{
				this->updateColdSends(*upstream);
			}
		}
	}

	std::vector<std::string> UpstreamRegistry::servicesWithColdTerms() const
	{
		std::vector<std::string> result;
		for (const auto& [service, limits] : this->coldLimits)
		{
			result.push_back(service);
		}
		return result;
	}

	void UpstreamRegistry::updateColdSends(Upstream& _upstream) const
	{
		const auto limits = this->coldLimits.find(_upstream.record.service);
		_upstream.coldSends.reset();
		if (this->coldLimits.end() != limits)
		{
			_upstream.coldSends = coldSendsPerWindow(limits->second.share, this->gateway, _upstream.record.incarnation);
		}
	}

	std::optional<Millis> UpstreamRegistry::nextWarmMs(const std::string& _service, Millis _now) const
	{
		std::optional<Millis> minMs;
		for (const GroupRef& group : this->groupsOf(_service))
		{
			for (const UpstreamRef& upstream : group->members)
			{
				if (acceptsRequests(*upstream) && isColdLimited(*upstream, _now))
				{
					const Millis left = remainingColdMs(upstream->cold, _now);
					minMs = std::min(minMs.value_or(left), left);
				}
			}
		}
		return minMs;
	}
} // namespace archdyke::gateway
