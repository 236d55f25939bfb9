#include "archdyke/slow_rank.h"

namespace archdyke
{
	namespace
	{
		/// From this pace on a rank counts as slow: each of its requests costs the group as much as
		/// two elsewhere.
		constexpr double kSlowPace = 2.0;
	} // namespace

	bool isSlow(double _pace)
	{
		return kSlowPace <= _pace;
	}

	bool shouldLeaveSlow(const RankSlowness& _rank)
	{
		const bool late = 0 < _rank.gapObjectiveMs && double(_rank.gapObjectiveMs) < _rank.passMs;
		return late && isSlow(_rank.pace);
	}
} // namespace archdyke
