#include "archdyke/batch_admission.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		/// Mean pass time allowed, relative to the objective. Passes with prefill are longer than the mean.
		constexpr double kPassShare = 1.1;
		/// Requests that may queue at an engine beyond its batch: a slot is freed about every fifth pass.
		constexpr double kQueueBeyondBatch = 1.0;
		/// Extra requests per engine for returning callers: one that is refused again is usually lost.
		constexpr double kMoreForReturning = 2.0;
		/// Minimum limit, requests: a group that seems too slow for even this is stalled or measured wrongly.
		constexpr double kMinLimit = 2.0;
		/// Share of the objective that a request may wait for capacity: with an objective of 500 ms a
		/// caller is refused after 60 ms. Longer waits did not serve more callers.
		constexpr double kWaitShare = 0.12;
	} // namespace

	double batchLimit(const EngineModel& _model, const BatchLoad& _view, Millis _gapObjectiveMs)
	{
		const double slots = double(_model.slots) + kQueueBeyondBatch;
		const double modelledPassMs = double(_model.stride) * (_model.stepMs + _model.perSequenceMs * _view.meanLoad);
		if (_view.passMs <= 0.0 || _gapObjectiveMs <= 0 || modelledPassMs <= 0.0 || _model.perSequenceMs <= 0.0)
		{
			return slots;
		}
		// Slowdown of passes relative to the engine model, due to skew, prefill and slow ranks.
		const double slowdown = std::max(1.0, _view.passMs / modelledPassMs);
		const double maxStepMs = kPassShare * double(_gapObjectiveMs) / (slowdown * double(_model.stride));
		const double fittingRequests = (maxStepMs - _model.stepMs) / _model.perSequenceMs;
		return std::clamp(fittingRequests, kMinLimit, slots);
	}

	bool mayAdmit(const EngineModel& _model, const BatchLoad& _view, const BatchRequest& _request)
	{
		const double limit = batchLimit(_model, _view, _request.gapObjectiveMs);
		return _view.meanLoad + 1.0 <= limit + (_request.isReturningCaller ? kMoreForReturning : 0.0);
	}

	Millis maxCapacityWaitMs(Millis _objectiveMs)
	{
		return Millis(kWaitShare * double(_objectiveMs));
	}
} // namespace archdyke
