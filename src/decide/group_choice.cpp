#include "archdyke/group_choice.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace archdyke
{
	namespace
	{
		/// How much fuller the own zone's groups may be than the emptiest one before a request
		/// leaves its zone: its answer's bytes between zones are paid for, and each way is longer.
		constexpr double kZoneAdvantage = 0.25;
		/// Least room that counts in the draw: a group with room for a part of a request has some.
		constexpr double kLeastRoom = 0.1;

		bool isUsable(const GroupCandidate& _candidate)
		{
			return _candidate.hasRoom && GroupStanding::Down != _candidate.standing;
		}

		/// The less the better: groups that failed the request only when there are no others, then
		/// the ones in time. Of late and unknown ones neither is known to be better.
		std::tuple<bool, bool> tierOf(const GroupCandidate& _candidate)
		{
			return {_candidate.failedRequest, GroupStanding::InTime != _candidate.standing};
		}

		std::vector<std::size_t> bestTier(const std::vector<GroupCandidate>& _candidates)
		{
			std::vector<std::size_t> best;
			for (std::size_t index = 0; index < _candidates.size(); ++index)
			{
				const GroupCandidate& candidate = _candidates[index];
				if (!isUsable(candidate))
				{
					continue;
				}
				if (!best.empty() && tierOf(candidate) < tierOf(_candidates[best.front()]))
				{
					best.clear();
				}
				if (best.empty() || tierOf(candidate) == tierOf(_candidates[best.front()]))
				{
					best.push_back(index);
				}
			}
			return best;
		}

		std::size_t emptiestOf(const std::vector<GroupCandidate>& _candidates, const std::vector<std::size_t>& _among)
		{
			return *std::min_element(_among.begin(), _among.end(), [&](std::size_t _a, std::size_t _b) {
				return _candidates[_a].fullness < _candidates[_b].fullness;
			});
		}

		double weightOf(const GroupCandidate& _candidate)
		{
			return std::max(kLeastRoom, _candidate.room);
		}

		std::size_t drawByRoom(const std::vector<GroupCandidate>& _candidates, const std::vector<std::size_t>& _among, Random& _random)
		{
			constexpr std::uint64_t kDraws = 1'000'000;
			double total = 0.0;
			for (const std::size_t index : _among)
			{
				total += weightOf(_candidates[index]);
			}
			double left = total * double(randomBelow(_random, kDraws)) / double(kDraws);
			for (const std::size_t index : _among)
			{
				left -= weightOf(_candidates[index]);
				if (left < 0.0)
				{
					return index;
				}
			}
			return _among.back();
		}
	} // namespace

	std::string_view toString(GroupStanding _standing)
	{
		switch (_standing)
		{
		case GroupStanding::InTime:
			return "in_time";
		case GroupStanding::Late:
			return "late";
		case GroupStanding::Unknown:
			return "unknown";
		default:
			return "down";
		}
	}

	std::optional<std::size_t> chooseGroup(const std::vector<GroupCandidate>& _candidates, Random& _random)
	{
		const std::vector<std::size_t> best = bestTier(_candidates);
		if (best.empty())
		{
			return std::nullopt;
		}
		const double near = _candidates[emptiestOf(_candidates, best)].fullness + kZoneAdvantage;
		std::vector<std::size_t> local;
		for (const std::size_t index : best)
		{
			if (0.0 < _candidates[index].ownZoneShare && _candidates[index].fullness <= near)
			{
				local.push_back(index);
			}
		}
		return drawByRoom(_candidates, local.empty() ? best : local, _random);
	}

	std::optional<std::size_t> chooseEmptiestGroup(const std::vector<GroupCandidate>& _candidates)
	{
		const std::vector<std::size_t> best = bestTier(_candidates);
		return best.empty() ? std::nullopt : std::optional(emptiestOf(_candidates, best));
	}
} // namespace archdyke
