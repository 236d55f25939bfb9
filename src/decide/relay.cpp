#include "archdyke/relay.h"

namespace archdyke
{
	FrameDecision acceptFrame(RelayState& _state, const FrameHeader& _frame)
	{
		if (_state.complete || _frame.key != _state.key)
		{
			return {FrameAction::Drop, 0};
		}
		if (_frame.offset > _state.nextOffset)
		{
			return {FrameAction::Gap, 0};
		}
		const std::uint64_t skip = _state.nextOffset - _frame.offset;
		if (skip > _frame.size)
		{
			return {FrameAction::Drop, 0};
		}
		if (_frame.failed)
		{
			return {FrameAction::Broken, 0};
		}
		const std::uint64_t last = _frame.offset + _frame.size;
		if (_frame.end && last != _frame.total)
		{
			return {FrameAction::Broken, 0};
		}
		if (skip == _frame.size && !_frame.end)
		{
			return {FrameAction::Drop, 0};
		}
		_state.nextOffset = last;
		_state.complete = _frame.end;
		return {FrameAction::Deliver, skip};
	}
} // namespace archdyke
