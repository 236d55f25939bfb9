#include "archdyke/batch_admission.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		/// Share of the objective that a mean pass may take: passes in which prompts are read
		/// are longer than the mean.
		constexpr double kPassShare = 1.1;
		/// Requests that may wait at an engine beyond its batch: one ends about every fifth pass.
		constexpr double kQueueBeyondBatch = 1.0;
		/// More for a caller that was refused before: to refuse it again costs its answer.
		constexpr double kMoreForReturning = 2.0;
		/// Least limit: a group so slow that not even this fits is measured wrongly, or stands.
		constexpr double kLeastLimit = 2.0;
		/// Share of the objective that a request may wait for room: a caller that can't be served hears
		/// it after 60 ms of 500. Longer waits served nobody more.
		constexpr double kWaitShare = 0.12;
	} // namespace

	double batchLimit(const EngineModel& _model, const BatchView& _view, Millis _gapObjectiveMs)
	{
		const double slots = double(_model.slots) + kQueueBeyondBatch;
		const double modelled = double(_model.stride) * (_model.stepMs + _model.perSequenceMs * _view.meanLoad);
		if (_view.passMs <= 0.0 || _gapObjectiveMs <= 0 || modelled <= 0.0 || _model.perSequenceMs <= 0.0)
		{
			return slots;
		}
		// How much longer passes take than the engine alone would: skew, reading, slow ranks.
		const double stretch = std::max(1.0, _view.passMs / modelled);
		const double step = kPassShare * double(_gapObjectiveMs) / (stretch * double(_model.stride));
		const double fitting = (step - _model.stepMs) / _model.perSequenceMs;
		return std::clamp(fitting, kLeastLimit, slots);
	}

	bool mayEnter(const EngineModel& _model, const BatchView& _view, const BatchRequest& _request)
	{
		const double limit = batchLimit(_model, _view, _request.gapObjectiveMs);
		return _view.meanLoad + 1.0 <= limit + (_request.cameBack ? kMoreForReturning : 0.0);
	}

	Millis longestWait(Millis _objectiveMs)
	{
		return Millis(kWaitShare * double(_objectiveMs));
	}
} // namespace archdyke
