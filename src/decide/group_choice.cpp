#include "archdyke/group_choice.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace archdyke
{
	namespace
	{
		/// Extra utilization accepted to stay in the own zone: traffic between zones is billed and
		/// has a higher latency.
		constexpr double kZoneAdvantage = 0.25;
		/// Minimum weight in the random choice, requests: a group that has capacity for a fraction
		/// of a request is still eligible.
		constexpr double kMinWeight = 0.1;

		bool isUsable(const GroupCandidate& _candidate)
		{
			return _candidate.hasCapacity && GroupStatus::Down != _candidate.standing;
		}

		/// Lower is better: groups that didn't fail the request come first, then groups in time.
		/// Late and unknown groups are equivalent, since neither is known to be better.
		std::tuple<bool, bool> tierOf(const GroupCandidate& _candidate)
		{
			return {_candidate.failedRequest, GroupStatus::InTime != _candidate.standing};
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

		std::size_t leastUtilized(const std::vector<GroupCandidate>& _candidates, const std::vector<std::size_t>& _among)
		{
			return *std::min_element(_among.begin(), _among.end(), [&](std::size_t _a, std::size_t _b) {
				return _candidates[_a].utilization < _candidates[_b].utilization;
			});
		}

		double weightOf(const GroupCandidate& _candidate)
		{
			return std::max(kMinWeight, _candidate.room);
		}

		std::size_t pickByFreeCapacity(const std::vector<GroupCandidate>& _candidates, const std::vector<std::size_t>& _among, Random& _random)
		{
			constexpr std::uint64_t kRandomSteps = 1'000'000;
			double total = 0.0;
			for (const std::size_t index : _among)
			{
				total += weightOf(_candidates[index]);
			}
			double remaining = total * double(randomBelow(_random, kRandomSteps)) / double(kRandomSteps);
			for (const std::size_t index : _among)
			{
				remaining -= weightOf(_candidates[index]);
				if (remaining < 0.0)
				{
					return index;
				}
			}
			return _among.back();
		}
	} // namespace

	std::string_view toString(GroupStatus _standing)
	{
		switch (_standing)
		{
		case GroupStatus::InTime:
			return "in_time";
		case GroupStatus::Late:
			return "late";
		case GroupStatus::Unknown:
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
		const double maxLocalFullness = _candidates[leastUtilized(_candidates, best)].utilization + kZoneAdvantage;
		std::vector<std::size_t> local;
		for (const std::size_t index : best)
		{
			if (0.0 < _candidates[index].ownZoneShare && _candidates[index].utilization <= maxLocalFullness)
			{
				local.push_back(index);
			}
		}
		return pickByFreeCapacity(_candidates, local.empty() ? best : local, _random);
	}

	std::optional<std::size_t> chooseLeastUtilizedGroup(const std::vector<GroupCandidate>& _candidates)
	{
		const std::vector<std::size_t> best = bestTier(_candidates);
		return best.empty() ? std::nullopt : std::optional(leastUtilized(_candidates, best));
	}
} // namespace archdyke
