/// Tells when streams should leave a rank that is slow. The load pattern: all ranks of a group step
/// together, so the requests of one slow rank lengthen each pass of all of them for as long as
/// they run.
#pragma once

#include "archdyke/types.h"

namespace archdyke
{
	/// What is known of a rank and of its group.
	struct RankSlowness
	{
		double pace = 1.0;         ///< Time of the rank's steps against the declared one.
		double passMs = 0.0;       ///< Mean of the group's last passes; 0 when unknown.
		Millis gapObjectiveMs = 0; ///< Longest pause between events; 0 when none is declared.

		bool operator==(const RankSlowness&) const = default;
	};

	/// @returns Whether a rank is so slow that new requests go elsewhere.
	bool isSlow(double _pace);

	/// @returns Whether a stream that another rank can resume should leave: the rank is slow and its
	/// group is late already, so that the move makes no stream late that wasn't.
	bool shouldLeaveSlow(const RankSlowness& _rank);
} // namespace archdyke
