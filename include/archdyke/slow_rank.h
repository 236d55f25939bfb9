/// Decides when streams should move away from a slow rank. All ranks of a group execute each step together, so the
/// requests on one slow rank lengthen every pass of all ranks for as long as they run.
#pragma once

#include "archdyke/types.h"

namespace archdyke
{
	/// Timing of a rank and of its group.
	struct RankTiming
	{
		double pace = 1.0;         ///< Step time of the rank relative to the declared one.
		double passMs = 0.0;       ///< Mean duration of the group's last passes; 0: unknown.
		Millis gapObjectiveMs = 0; ///< Longest accepted pause between events; 0: none declared.

		bool operator==(const RankTiming&) const = default;
	};

	/// @returns Whether a rank is so slow that new requests are sent to other ranks.
	bool isSlow(double _pace);

	/// @returns Whether a stream that another rank can resume should move there: the rank is slow, and its group is
	/// late already, so the move itself makes no further stream late.
	bool shouldAbandonSlow(const RankTiming& _rank);
} // namespace archdyke
