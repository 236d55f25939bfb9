// The part of the board that knows which upstreams that take work this gateway may send to now.
#include "gateway/board.h"

#include <algorithm>

#include "base/log.h"

namespace archdyke::gateway
{
	bool isBackingOff(const Upstream& _upstream, Millis _now)
	{
		return 0 < backOffLeftMs(_upstream.backOff, _now);
	}

	bool mayGet(const Upstream& _upstream, Millis _now)
	{
		// An upstream that turns requests away says when it wants them again: what is sent before only costs its
		// callers a try. In one time of 3 s a gateway sent four, and refused two of their callers, while others took work.
		const bool wanted = takesWork(_upstream) && !isBackingOff(_upstream, _now);
		return wanted && (!isLimitedCold(_upstream, _now) || maySendCold(_upstream.cold, *_upstream.coldSends, _now));
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
		std::optional<RefusalCause> cause;
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
				if (!takesWork(*upstream))
				{
					continue;
				}
				// Cold ones take some each second, so their callers may come back the soonest.
				const bool cold = !isBackingOff(*upstream, _now) || RefusalCause::ColdUpstreams == cause;
				cause = cold ? RefusalCause::ColdUpstreams : RefusalCause::BackOff;
			}
		}
		return cause;
	}

	void Board::backOff(const UpstreamRef& _upstream, Millis _askedMs, Millis _now)
	{
		if (noteBackOff(_upstream->backOff, _askedMs, _now))
		{
			logInfo("upstream_asks_back_off", {{"upstream", _upstream->record.incarnation}, {"service", _upstream->record.service}, {"asked_ms", _askedMs}});
		}
		_upstream->group->backOffUntil = std::max(_upstream->group->backOffUntil, _upstream->backOff.until);
		const UpstreamRef listed = this->known(_upstream->record.incarnation);
		if (nullptr == listed)
		{
			this->keepBackOff(*_upstream, _now);
		}
		else if (listed != _upstream)
		{
			this->backOff(listed, _askedMs, _now); // its row went and came back while the request was there
		}
	}

	void Board::keepBackOff(const Upstream& _upstream, Millis _now)
	{
		absl::erase_if(this->backOffsOfGone, [_now](const auto& _entry) {
			return 0 == backOffLeftMs(_entry.second, _now);
		});
		if (isBackingOff(_upstream, _now))
		{
			this->backOffsOfGone[_upstream.record.incarnation] = _upstream.backOff;
		}
	}

	std::optional<Millis> Board::nextBackMs(const std::string& _service, Millis _now) const
	{
		std::optional<Millis> least;
		for (const GroupRef& group : this->groupsOf(_service))
		{
			for (const UpstreamRef& upstream : group->members)
			{
				if (takesWork(*upstream))
				{
					const Millis left = backOffLeftMs(upstream->backOff, _now);
					least = std::min(least.value_or(left), left);
				}
			}
		}
		return 0 == least.value_or(0) ? std::nullopt : least;
	}
} // namespace archdyke::gateway
