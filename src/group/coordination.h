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
		std::string address; ///< IP:port of the coordinator's process; empty: nobody was heard.
		bool storeLost = false;

		bool operator==(const Coordination&) const = default;
	};
} // namespace archdyke::group
