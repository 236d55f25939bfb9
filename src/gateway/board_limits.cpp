// Decides which of the available upstreams this gateway may send to now: back-off requests and limits of cold upstreams.
#include "gateway/board.h"

#include <algorithm>

#include "base/log.h"

namespace archdyke::gateway
{
	bool isBackedOff(const Upstream& _upstream, Millis _now)
	{
		return 0 < remainingBackOffMs(_upstream.selfReport.backOff, _now);
	}

	bool acceptsRequestsNow(const Upstream& _upstream, Millis _now)
	{
		// An upstream that rejects requests says for how long to back off; a request sent earlier only wastes an
		// attempt. Without this check a gateway sent three more within one back-off of 3 s and refused two of their callers
		// while other upstreams accepted requests.
		return acceptsRequests(_upstream) && !isBackedOff(_upstream, _now);
	}

	bool isAtNamedLimit(const Upstream& _upstream, Millis _now)
	{
		return _upstream.selfReport.limit && !maySendWithin(*_upstream.selfReport.limit, _now);
	}

	bool maySendTo(const Upstream& _upstream, Millis _now)
	{
		return acceptsRequestsNow(_upstream, _now) && !isAtNamedLimit(_upstream, _now) && (!isColdLimited(_upstream, _now) || maySendCold(_upstream.cold, *_upstream.coldSends, _now));
	}

	std::uint32_t countSendableMembers(const UpstreamGroup& _group, Millis _now)
	{
		if (_group.coldUntil <= _now && _group.backOffUntil <= _now && 0 == _group.limited)
		{
			return _group.availableMembers;
		}
		return std::uint32_t(std::count_if(_group.members.begin(), _group.members.end(), [&](const UpstreamRef& _upstream) {
			return maySendTo(*_upstream, _now);
		}));
	}

	std::optional<RefusalCause> refusalCauseOf(const std::vector<GroupRef>& _groups, Millis _now)
	{
		bool anyBackedOff = false;
		bool anyAtLimit = false;
		bool anyCold = false;
		for (const GroupRef& group : _groups)
		{
			if (isDown(*group, _now))
			{
				continue;
			}
			if (0 < countSendableMembers(*group, _now))
			{
				return std::nullopt;
			}
			for (const UpstreamRef& upstream : group->members)
			{
				anyBackedOff = anyBackedOff || (acceptsRequests(*upstream) && isBackedOff(*upstream, _now));
				const bool atLimit = acceptsRequestsNow(*upstream, _now) && isAtNamedLimit(*upstream, _now);
				anyAtLimit = anyAtLimit || atLimit;
				anyCold = anyCold || (!atLimit && acceptsRequestsNow(*upstream, _now)); // not sendable, so its limit for cold upstreams is reached
			}
		}
		if (anyCold)
		{
			return RefusalCause::ColdUpstreams; // takes precedence: they accept some each second, so callers may retry soonest
		}
		if (anyAtLimit)
		{
			return RefusalCause::UpstreamLimits;
		}
		return anyBackedOff ? std::optional(RefusalCause::BackOff) : std::nullopt;
	}

	void UpstreamRegistry::applyBackOff(const UpstreamRef& _upstream, Millis _askedMs, Millis _now)
	{
		if (recordBackOff(_upstream->selfReport.backOff, _askedMs, _now))
		{
			logInfo("upstream_asks_back_off", {{"upstream", _upstream->record.incarnation}, {"service", _upstream->record.service}, {"asked_ms", _askedMs}});
		}
		this->applySelfReport(_upstream, _now);
	}

	void UpstreamRegistry::recordLeaving(const UpstreamRef& _upstream, Millis _now)
	{
		if (_upstream->selfReport.leaving)
		{
			return;
		}
		logInfo("upstream_says_it_leaves", {{"upstream", _upstream->record.incarnation}, {"service", _upstream->record.service}, {"row_said_so", _upstream->leavingSince.has_value()}});
		// Acts at once: its row says so later, and some rows are just removed. Until then it would get as many requests as
		// any other upstream.
		_upstream->selfReport.leaving = true;
		this->applySelfReport(_upstream, _now);
	}

	UpstreamRef UpstreamRegistry::sameRunOf(const UpstreamRef& _upstream) const
	{
		const UpstreamRef known = this->findUpstream(_upstream->record.incarnation);
		const bool sameRun = nullptr != known && known->record.startedAt <= _upstream->record.startedAt;
		return sameRun ? known : _upstream;
	}

	void UpstreamRegistry::recordLimit(const UpstreamRef& _upstream, double _perSecond, Random& _random, Millis _now)
	{
		const UpstreamRef upstream = this->sameRunOf(_upstream);
		std::optional<UpstreamLimit>& limit = upstream->selfReport.limit;
		const double beforePerS = limit ? limit->perSecond : -1.0;
		if (!limit)
		{
			constexpr std::uint64_t kPhases = 1'000'000;
			limit = beginLimit(_perSecond, this->limitTerms, this->startedAt, double(randomBelow(_random, kPhases)) / double(kPhases), _now);
			this->updateCounts(*upstream->group);
		}
		else if (_perSecond != beforePerS)
		{
			adaptLimit(*limit, _perSecond, this->limitTerms, _now);
		}
		limit->namedAt = _now;
		if (_perSecond != beforePerS)
		{
			logInfo("upstream_names_limit", {{"upstream", upstream->record.incarnation}, {"service", upstream->record.service}, {"per_s", _perSecond}, {"before_per_s", beforePerS}, {"in_flight", upstream->inFlight}, {"gateways", this->limitTerms.gateways}, {"sends", limit->share.sends}, {"cycle_ms", limit->share.cycleMs}});
		}
		if (nullptr == this->findUpstream(upstream->record.incarnation))
		{
			this->retainSelfReport(*upstream, _now);
		}
	}

	void UpstreamRegistry::recordNoLimit(const UpstreamRef& _upstream, Millis _sentAt)
	{
		const UpstreamRef upstream = this->sameRunOf(_upstream);
		std::optional<UpstreamLimit>& limit = upstream->selfReport.limit;
		// A response to an earlier request may have been under way when the limit was named.
		if (limit && limit->namedAt < _sentAt)
		{
			logInfo("upstream_limit_ended", {{"upstream", upstream->record.incarnation}, {"service", upstream->record.service}, {"per_s", limit->perSecond}});
			limit.reset();
			this->updateCounts(*upstream->group);
		}
	}

	void UpstreamRegistry::setLimitTerms(const LimitTerms& _terms, Millis _now)
	{
		if (this->limitTerms == _terms)
		{
			return;
		}
		this->limitTerms = _terms;
		const auto adapt = [&](std::optional<UpstreamLimit>& _limit) {
			if (_limit)
			{
				adaptLimit(*_limit, _limit->perSecond, _terms, _now);
			}
		};
		for (const auto& [incarnation, upstream] : this->byIncarnation)
		{
			adapt(upstream->selfReport.limit);
		}
		for (const auto& [incarnation, upstream] : this->inactive)
		{
			adapt(upstream->selfReport.limit);
		}
		for (auto& [incarnation, retained] : this->retainedReports)
		{
			adapt(retained.report.limit);
		}
	}

	void UpstreamRegistry::applySelfReport(const UpstreamRef& _upstream, Millis _now)
	{
		UpstreamRef upstream = this->findUpstream(_upstream->record.incarnation);
		if (nullptr == upstream)
		{
			this->retainSelfReport(*_upstream, _now);
			upstream = _upstream;
		}
		else if (upstream != _upstream)
		{
			// Its row was removed and came back while the request was in flight.
			recordBackOff(upstream->selfReport.backOff, remainingBackOffMs(_upstream->selfReport.backOff, _now), _now);
			const bool sameRun = upstream->record.startedAt <= _upstream->record.startedAt;
			upstream->selfReport.leaving = upstream->selfReport.leaving || (sameRun && _upstream->selfReport.leaving);
		}
		UpstreamGroup& group = *upstream->group;
		group.backOffUntil = std::max(group.backOffUntil, upstream->selfReport.backOff.until);
		if (upstream->selfReport.leaving && !upstream->leavingSince)
		{
			upstream->leavingSince = _now;
			this->updateCounts(group);
		}
	}

	void UpstreamRegistry::retainSelfReport(const Upstream& _upstream, Millis _now)
	{
		/// Time for which an upstream's leaving state and limit are retained, ms: leaving upstreams go on serving for some ten
		/// seconds, and rows that expired while the store was unreachable are back seconds after its return.
		constexpr Millis kStateRetentionMs = 120'000;
		absl::erase_if(this->retainedReports, [_now](const auto& _entry) {
			return _entry.second.until <= _now;
		});
		const SelfReport& report = _upstream.selfReport;
		const Millis until = std::max(report.backOff.until, report.leaving || report.limit ? _now + kStateRetentionMs : 0);
		if (_now < until)
		{
			this->retainedReports[_upstream.record.incarnation] = {report, _upstream.record.startedAt, until};
		}
	}

	SelfReport UpstreamRegistry::retainedSelfReport(const UpstreamRecord& _record, Millis _now) const
	{
		const auto kept = this->retainedReports.find(_record.incarnation);
		if (this->retainedReports.end() == kept || kept->second.until <= _now)
		{
			return {};
		}
		SelfReport report = kept->second.report;
		// A new run of the incarnation isn't leaving and has named no limit. Its back-off is kept, since it may be of the new
		// run, whose row arrives late.
		const bool sameRun = _record.startedAt <= kept->second.startedAt;
		report.leaving = report.leaving && sameRun;
		report.limit = sameRun ? report.limit : std::nullopt;
		return report;
	}

	std::optional<Millis> UpstreamRegistry::backOffEndsInMs(const std::string& _service, Millis _now) const
	{
		std::optional<Millis> minMs;
		for (const GroupRef& group : this->groupsOf(_service))
		{
			for (const UpstreamRef& upstream : group->members)
			{
				if (acceptsRequests(*upstream))
				{
					const Millis left = remainingBackOffMs(upstream->selfReport.backOff, _now);
					minMs = std::min(minMs.value_or(left), left);
				}
			}
		}
		return 0 == minMs.value_or(0) ? std::nullopt : minMs;
	}
} // namespace archdyke::gateway
