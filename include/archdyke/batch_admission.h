/// Limits the number of concurrent requests of batching engines, so that streams meet their
/// objectives.
///
/// A pass takes longer with each request in the batch, and in a lock-step group all streams wait
/// for the longest pass. One stream more than the objective allows would make all of them late,
/// so it is refused at once with a retry delay instead.
#pragma once

#include "archdyke/catalog.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// Load of the engines of a service, as reported.
	struct BatchLoad
	{
		double passMs = 0.0;   ///< Mean time of recent passes; 0 when unknown.
		double meanLoad = 0.0; ///< Mean number of requests per engine.

		bool operator==(const BatchLoad&) const = default;
	};

	/// A request to be admitted.
	struct BatchRequest
	{
		Millis gapObjectiveMs = 0;      ///< Maximum gap between events; 0 when none is declared.
		bool isReturningCaller = false; ///< It was refused before.

		bool operator==(const BatchRequest&) const = default;
	};

	/// @returns Maximum number of concurrent requests per engine that meets the objective.
	double batchLimit(const EngineModel& _model, const BatchLoad& _view, Millis _gapObjectiveMs);

	/// @returns Whether the request is admitted now.
	bool mayAdmit(const EngineModel& _model, const BatchLoad& _view, const BatchRequest& _request);

	/// @returns How long a request may wait for capacity before it is refused, ms. A refusal within
	/// a quarter of the objective lets the caller retry in time.
	Millis maxCapacityWaitMs(Millis _objectiveMs);
} // namespace archdyke
