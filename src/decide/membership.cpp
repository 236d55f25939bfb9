#include "archdyke/membership.h"

namespace archdyke
{
	std::string_view toString(ListState _state)
	{
		switch (_state)
		{
		case ListState::Live:
			return "live";
		case ListState::Leaving:
			return "leaving";
		default:
			return "gone";
		}
	}

	void applyListState(Member& _member, ListState _state)
	{
		_member.list = _state;
		if (ListState::Live != _state)
		{
			_member.leavingIncarnation = _member.incarnation;
		}
	}

	void applyAgentState(Member& _member, std::uint64_t _incarnation, bool _leaving)
	{
		_member.incarnation = _incarnation;
		if (_leaving)
		{
			_member.leavingIncarnation = _incarnation;
		}
	}

	void applyLinkState(Member& _member, bool _up)
	{
		_member.linkUp = _up;
	}

	bool mayReceiveWork(const Member& _member)
	{
		return _member.linkUp && ListState::Live == _member.list && 0 != _member.incarnation && _member.incarnation != _member.leavingIncarnation;
	}
} // namespace archdyke
