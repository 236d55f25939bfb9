#include "archdyke/slow_rank.h"

namespace archdyke
{
	namespace
	{
		/// Pace from which on a rank is slow: each of its requests then costs the group as much as two on another
		/// rank.
		constexpr double kSlowPace = 2.0;
	} // namespace

	bool isSlow(double _pace)
	{
		return kSlowPace <= _pace;
	}

	bool shouldAbandonSlow(const RankTiming& _rank)
	{
		const bool isLate = 0 < _rank.gapObjectiveMs && double(_rank.gapObjectiveMs) < _rank.passMs;
		return isLate && isSlow(_rank.pace);
	}
} // namespace archdyke
