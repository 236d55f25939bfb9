#include "archdyke/lease.h"

#include "base/config.h"

namespace archdyke
{
	namespace
	{
		void updateSeen(LeaseView& _view, const std::optional<LeaseRow>& _row, Millis _now)
		{
			if (_view.seen != _row)
			{
				_view.seen = _row;
				_view.seenSince = _now;
			}
		}
	} // namespace

	LeaseStep decideLease(LeaseView& _view, const std::optional<LeaseRow>& _row, Millis _now)
	{
		updateSeen(_view, _row, _now);
		if (!_row)
		{
			return {true, {_view.self, 1, 1}};
		}
		if (_view.self == _row->holder)
		{
			return {true, {_view.self, _row->fence, _row->renewal + 1}};
		}
		_view.mayActUntil = 0;
		const bool free = 0 == _row->holder;
		const bool expired = kLeaseDurationMs <= _now - _view.seenSince;
		if (free || expired)
		{
			return {true, {_view.self, _row->fence + 1, _row->renewal + 1}};
		}
		return {};
	}

	void recordLeaseWrite(LeaseView& _view, const LeaseRow& _row, Millis _begunAt, Millis _now)
	{
		updateSeen(_view, _row, _now);
		_view.mayActUntil = _view.self == _row.holder ? _begunAt + kLeaseHolderTimeoutMs : 0;
	}

	std::optional<std::uint64_t> actingFence(const LeaseView& _view, Millis _now)
	{
		if (!_view.seen || _view.self != _view.seen->holder || _view.mayActUntil <= _now)
		{
			return std::nullopt;
		}
		return _view.seen->fence;
	}
} // namespace archdyke
