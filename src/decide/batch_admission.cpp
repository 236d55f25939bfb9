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
		/// Likewise where requests differ in urgency: short of the quarter of the objective within which a
		/// refusal still lets the caller be served in time, less what the refusal's way takes.
		constexpr double kWaitShareInOrder = 0.22;
		/// Passes from a send to the first event: the one under way, and the one that reads the prompt.
		constexpr double kPassesToFirstEvent = 2.0;
		/// Least part of the slots that long passes leave to requests that yield: passes that would be too
		/// long with half a batch are long for other reasons, and an emptier batch would only serve fewer.
		constexpr double kLeastSlotShare = 0.5;

		/// @returns Requests of an engine with which passes that now take so long keep the objective.
		double fittingLoad(const EngineModel& _model, double _passMs, double _meanLoad, double _objectiveMs)
		{
			const double modelled = double(_model.stride) * (_model.stepMs + _model.perSequenceMs * _meanLoad);
			// How much longer passes take than the engine alone would: skew, reading, slow ranks.
			const double stretch = std::max(1.0, _passMs / modelled);
			const double step = _objectiveMs / (stretch * double(_model.stride));
			return (step - _model.stepMs) / _model.perSequenceMs;
		}

		/// @returns Whether the declared speed tells what a request more costs.
		bool hasModel(const EngineModel& _model, double _meanLoad)
		{
			const double step = _model.stepMs + _model.perSequenceMs * _meanLoad;
			return 0.0 < _model.perSequenceMs && 0.0 < step && 0 < _model.stride;
		}
	} // namespace

	double batchLimit(const EngineModel& _model, const BatchView& _view, Millis _gapObjectiveMs)
	{
		const double slots = double(_model.slots) + kQueueBeyondBatch;
		if (_view.passMs <= 0.0 || _gapObjectiveMs <= 0 || !hasModel(_model, _view.meanLoad))
		{
			return slots;
		}
		const double fitting = fittingLoad(_model, _view.passMs, _view.meanLoad, kPassShare * double(_gapObjectiveMs));
		return std::clamp(fitting, kLeastLimit, slots);
	}

	double yieldingRoom(const EngineModel& _model, const BatchView& _view, const BatchRequest& _request)
	{
		double room = _view.freeSlots;
		const double longPassMs = std::max(_view.passMs, _view.longPassMs);
		if (0.0 < longPassMs && 0 < _request.gapObjectiveMs && hasModel(_model, _view.meanLoad))
		{
			const double fitting = fittingLoad(_model, longPassMs, _view.meanLoad, double(_request.gapObjectiveMs));
			const bool emptierHelps = kLeastSlotShare * double(_model.slots) <= fitting;
			room = emptierHelps ? std::min(room, (fitting - _view.meanLoad) * _view.engines) : room;
		}
		return room - _request.headroom;
	}

	bool mayEnter(const EngineModel& _model, const BatchView& _view, const BatchRequest& _request)
	{
		const double limit = batchLimit(_model, _view, _request.gapObjectiveMs);
		const bool fits = _view.meanLoad + 1.0 <= limit + (_request.cameBack ? kMoreForReturning : 0.0);
		return fits && (!_request.yields || 1.0 <= yieldingRoom(_model, _view, _request));
	}

	Millis longestWait(Millis _objectiveMs)
	{
		return Millis(kWaitShare * double(_objectiveMs));
	}

	OrderedWait orderedWait(Millis _objectiveMs, double _longPassMs)
	{
		const double tell = kWaitShareInOrder * double(_objectiveMs);
		const double untilTooLate = double(_objectiveMs) - kPassesToFirstEvent * _longPassMs;
		return {Millis(tell), Millis(std::max(tell, untilTooLate))};
	}
} // namespace archdyke
