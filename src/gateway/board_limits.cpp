// The part of the board that knows which upstreams that take work this gateway may send to now.
#include "gateway/board.h"

#include <algorithm>

#include "base/log.h"

namespace archdyke::gateway
{
	bool isBackedOff(const Upstream& _upstream, Millis _now)
	{
		return 0 < backOffLeftMs(_upstream.selfReport.backOff, _now);
	}

	bool wantsRequests(const Upstream& _upstream, Millis _now)
	{
		// An upstream that turns requests away says when it wants them again: what is sent before only costs its
		// callers a try. In one time of 3 s a gateway sent three more, and refused two of their callers, while others
		// took work.
		return takesWork(_upstream) && !isBackedOff(_upstream, _now);
	}

	bool mayGet(const Upstream& _upstream, Millis _now)
	{
		return wantsRequests(_upstream, _now) && (!isLimitedCold(_upstream, _now) || maySendCold(_upstream.cold, *_upstream.coldSends, _now));
	}

	std::uint32_t membersThatMayGet(const UpstreamGroup& _group, Millis _now)
	{
		if (_group.coldUntil <= _now && _group.backOffUntil <= _now)
		{
			return _group.working;
		}
		return std::uint32_t(std::count_if(_group.members.begin(), _group.members.end(), [&](const UpstreamRef& _upstream) {
			return mayGet(*_upstream, _now);
		}));
	}

	std::optional<RefusalCause> whyNoneMayGet(const std::vector<GroupRef>& _groups, Millis _now)
	{
		bool anyBackedOff = false;
		bool anyCold = false;
		for (const GroupRef& group : _groups)
		{
			if (isDown(*group, _now))
			{
				continue;
			}
			if (0 < membersThatMayGet(*group, _now))
			{
				return std::nullopt;
			}
			for (const UpstreamRef& upstream : group->members)
			{
				anyBackedOff = anyBackedOff || (takesWork(*upstream) && isBackedOff(*upstream, _now));
				anyCold = anyCold || wantsRequests(*upstream, _now); // and may get none: it has its share
			}
		}
		if (anyCold)
		{
			return RefusalCause::ColdUpstreams; // they take some each second: callers may come back the soonest
		}
		return anyBackedOff ? std::optional(RefusalCause::BackOff) : std::nullopt;
	}

	void Board::takeBackOff(const UpstreamRef& _upstream, Millis _askedMs, Millis _now)
	{
		if (noteBackOff(_upstream->selfReport.backOff, _askedMs, _now))
		{
			logInfo("upstream_asks_back_off", {{"upstream", _upstream->record.incarnation}, {"service", _upstream->record.service}, {"asked_ms", _askedMs}});
		}
		this->applySelfReport(_upstream, _now);
	}

	void Board::takeLeaving(const UpstreamRef& _upstream, Millis _now)
	{
		if (_upstream->selfReport.leaving)
		{
			return;
		}
		logInfo("upstream_says_it_leaves", {{"upstream", _upstream->record.incarnation}, {"service", _upstream->record.service}, {"row_said_so", _upstream->leavingSince.has_value()}});
		// Its row says so later, and some rows only go: until then it would get as many requests as any.
		_upstream->selfReport.leaving = true;
		this->applySelfReport(_upstream, _now);
	}

	void Board::applySelfReport(const UpstreamRef& _upstream, Millis _now)
	{
		UpstreamRef upstream = this->known(_upstream->record.incarnation);
		if (nullptr == upstream)
		{
			this->keepSelfReport(*_upstream, _now);
			upstream = _upstream;
		}
		else if (upstream != _upstream)
		{
			// Its row went and came back while the request was there.
			noteBackOff(upstream->selfReport.backOff, backOffLeftMs(_upstream->selfReport.backOff, _now), _now);
			const bool sameRun = upstream->record.startedAt <= _upstream->record.startedAt;
			upstream->selfReport.leaving = upstream->selfReport.leaving || (sameRun && _upstream->selfReport.leaving);
		}
		UpstreamGroup& group = *upstream->group;
		group.backOffUntil = std::max(group.backOffUntil, upstream->selfReport.backOff.until);
		if (upstream->selfReport.leaving && !upstream->leavingSince)
		{
			upstream->leavingSince = _now;
			this->count(group);
		}
	}

	void Board::keepSelfReport(const Upstream& _upstream, Millis _now)
	{
		/// How long it is kept that an upstream leaves, ms: those that leave go on serving for some ten seconds.
		constexpr Millis kLeavingKeptMs = 120'000;
		absl::erase_if(this->reportsOfGone, [_now](const auto& _entry) {
			return _entry.second.until <= _now;
		});
		const SelfReport& said = _upstream.selfReport;
		const Millis until = std::max(said.backOff.until, said.leaving ? _now + kLeavingKeptMs : 0);
		if (_now < until)
		{
			this->reportsOfGone[_upstream.record.incarnation] = {said, _upstream.record.startedAt, until};
		}
	}

	SelfReport Board::selfReportOf(const UpstreamRecord& _record, Millis _now) const
	{
		const auto kept = this->reportsOfGone.find(_record.incarnation);
		if (this->reportsOfGone.end() == kept || kept->second.until <= _now)
		{
			return {};
		}
		SelfReport said = kept->second.report;
		// A new run under the name doesn't leave. But the time that was asked for may be its own: it is told of late.
		said.leaving = said.leaving && _record.startedAt <= kept->second.startedAt;
		return said;
	}

	std::optional<Millis> Board::backOffEndsInMs(const std::string& _service, Millis _now) const
	{
		std::optional<Millis> least;
		for (const GroupRef& group : this->groupsOf(_service))
		{
			for (const UpstreamRef& upstream : group->members)
			{
				if (takesWork(*upstream))
				{
					const Millis left = backOffLeftMs(upstream->selfReport.backOff, _now);
					least = std::min(least.value_or(left), left);
				}
			}
		}
		return 0 == least.value_or(0) ? std::nullopt : least;
	}
} // namespace archdyke::gateway
