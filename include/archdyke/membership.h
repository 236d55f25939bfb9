/// Membership of an upstream as known to an entry: from the VM list, which lags, from the agent's own
/// reports, and from the link to it. A report from any source that it is leaving takes precedence and
/// is permanent for that incarnation.
#pragma once

#include <cstdint>
#include <string>

#include "archdyke/types.h"

namespace archdyke
{
	enum class ListState
	{
		Live,
		Leaving,
		Gone,
		Count
	};

	/// @returns The name used by the VM list.
	std::string_view toString(ListState _state);

	/// State of an upstream as seen by one entry.
	struct Member
	{
		ListState list = ListState::Live;
		std::uint64_t incarnation = 0;        ///< Incarnation of the agent that reported last; 0 for none.
		std::uint64_t leavingIncarnation = 0; ///< Incarnation that was reported as leaving; 0 for none.
		bool linkUp = false;

		bool operator==(const Member&) const = default;
	};

	/// Applies the state in the VM list. If the list reports Live again, the incarnation that was
	/// reported as leaving stays so.
	void applyListState(Member& _member, ListState _state);

	/// Applies a report of the agent.
	void applyAgentState(Member& _member, std::uint64_t _incarnation, bool _leaving);

	/// Applies the state of the link.
	void applyLinkState(Member& _member, bool _up);

	/// @returns Whether new requests may be sent there.
	bool mayReceiveWork(const Member& _member);
} // namespace archdyke
