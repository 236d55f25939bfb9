/// Who coordinates a group.
#pragma once

#include <cstdint>
#include <string>

namespace archdyke::group
{
	struct Coordination
	{
		std::string group;
		std::uint64_t term = 0;
		std::string address;    ///< IP:port of the coordinator's process; empty: no coordinator was heard.
		bool storeLost = false; ///< The coordinator can't reach the store.

		bool operator==(const Coordination&) const = default;
	};
} // namespace archdyke::group
