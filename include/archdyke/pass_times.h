/// How long the passes of a group of engine ranks take, from what is seen of their steps.
///
/// A stream is late as soon as one of its passes is too long, so besides the mean of the last passes
/// the long ones count: a pass in which prompts are read, experts copied or a map is
/// switched takes several times the usual one.
#pragma once

#include <cstdint>
#include <deque>

#include "archdyke/types.h"

namespace archdyke
{
	/// When a step was first seen.
	struct SeenStep
	{
		std::uint64_t step = 0;
		Millis at = 0;

		bool operator==(const SeenStep&) const = default;
	};

	/// The steps of the last moments.
	struct PassTimes
	{
		std::uint64_t epoch = 0;   ///< Of the group; steps of another one don't compare.
		std::deque<SeenStep> seen; ///< Rising.
	};

	/// Takes in the step that a rank was seen at.
	void noteStep(PassTimes& _times, std::uint64_t _epoch, std::uint64_t _step, Millis _now);

	/// @returns Time within which nine passes in ten of the last moments ended, ms; 0 when unknown.
	double longPassMs(const PassTimes& _times);
} // namespace archdyke
