#include "archdyke/relay_tree.h"

#include <algorithm>
#include <map>

namespace archdyke
{
	namespace
	{
		/// @returns Number of relays for the ranks of one zone.
		std::size_t relaysFor(std::size_t _ranks, std::size_t _zones)
		{
			const std::size_t needed = (_ranks + kTreeFanOut - 1) / kTreeFanOut;
			// With many zones the coordinator's own fan-out is the limit, and one relay per zone is the minimum.
			const std::size_t redundant = _zones * kRelaysPerZone <= kTreeFanOut ? kRelaysPerZone : 1;
			return std::max(needed, redundant);
		}

		TreeBranch singleBranch(const std::vector<TreeMember>& _members)
		{
			TreeBranch branch;
			for (std::size_t index = 0; index < _members.size(); ++index)
			{
				branch.members.push_back(index);
			}
			return branch;
		}

		/// @returns The members of a zone, preferred relays first.
		std::vector<std::size_t> byDoubt(const std::vector<TreeMember>& _members, std::vector<std::size_t> _zone)
		{
			std::stable_sort(_zone.begin(), _zone.end(), [&](std::size_t _a, std::size_t _b) {
				return _members[_a].doubt < _members[_b].doubt;
			});
			return _zone;
		}
	} // namespace

	std::vector<TreeBranch> makeTree(const std::vector<TreeMember>& _members)
	{
		if (_members.size() <= kTreeFanOut)
		{
			return {singleBranch(_members)};
		}
		std::map<std::string, std::vector<std::size_t>> zones;
		for (std::size_t index = 0; index < _members.size(); ++index)
		{
			zones[_members[index].zone].push_back(index);
		}
		std::vector<TreeBranch> tree;
		for (const auto& [zone, ranks] : zones)
		{
			const std::size_t relays = std::min(ranks.size(), relaysFor(ranks.size(), zones.size()));
			const std::size_t first = tree.size();
			const std::vector<std::size_t> ordered = byDoubt(_members, ranks);
			for (std::size_t position = 0; position < ordered.size(); ++position)
			{
				if (position < relays)
				{
					tree.push_back({ordered[position], {}});
				}
				tree[first + position % relays].members.push_back(ordered[position]);
			}
		}
		return tree;
	}
} // namespace archdyke
