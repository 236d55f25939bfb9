/// How much work engines that batch get at once, so that streams keep their objectives.
///
/// A pass of a batch lengthens with each request in it, and in a lock-step group all streams
/// wait for the longest pass. Beyond what fits the objective, one more stream makes all late:
/// it is refused at once, with a time to come back, instead.
#pragma once

#include "archdyke/catalog.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// What is known of the engines of a service.
	struct BatchView
	{
		double passMs = 0.0;   ///< Mean time of the last passes; 0 when unknown.
		double meanLoad = 0.0; ///< Requests of an engine, mean.

		bool operator==(const BatchView&) const = default;
	};

	/// A request that asks to be let in.
	struct BatchRequest
	{
		Millis gapObjectiveMs = 0; ///< Longest pause between events; 0 when none is declared.
		bool cameBack = false;     ///< It was refused before.

		bool operator==(const BatchRequest&) const = default;
	};

	/// @returns Requests that one engine may have at once for the objective to hold.
	double batchLimit(const EngineModel& _model, const BatchView& _view, Millis _gapObjectiveMs);

	/// @returns Whether the request may be sent now.
	bool mayEnter(const EngineModel& _model, const BatchView& _view, const BatchRequest& _request);

	/// @returns How long a request may wait for room before it is refused, ms: refusals
	/// within a quarter of the objective let a caller come back in time.
	Millis longestWait(Millis _objectiveMs);
} // namespace archdyke
