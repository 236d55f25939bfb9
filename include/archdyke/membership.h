/// What an entry knows of an upstream: from the VM list, which lags, from the agent's
/// own word, and from the link to it. Leaving from any source wins and stays for the
/// incarnation it was said of.
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

	/// An upstream as one entry sees it.
	struct Member
	{
		ListState list = ListState::Live;
		std::uint64_t incarnation = 0;        ///< Of the agent last heard; 0 for none.
		std::uint64_t leavingIncarnation = 0; ///< That was said to leave; 0 for none.
		bool linkUp = false;

		bool operator==(const Member&) const = default;
	};

	/// Takes in what the VM list says. A list that says live again doesn't take back
	/// that this incarnation leaves.
	void hearList(Member& _member, ListState _state);

	/// Takes in what the agent says of itself.
	void hearAgent(Member& _member, std::uint64_t _incarnation, bool _leaving);

	/// Takes in the state of the link.
	void hearLink(Member& _member, bool _up);

	/// @returns Whether new work may go there.
	bool mayReceiveWork(const Member& _member);
} // namespace archdyke
