/// How much work engines that batch get at once, so that streams keep their objectives.
///
/// A pass of a batch lengthens with each request in it, and in a lock-step group all streams
/// wait for the longest pass. Beyond what fits the objective, one more stream makes all late:
/// it is refused at once, with a time to come back, instead.
///
/// Answers also the load of a burst of less urgent requests: they find room only in slots that are
/// free now and that no more urgent request is expected to need before the next look.
#pragma once

#include "archdyke/catalog.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// What is known of the engines of a group.
	struct BatchView
	{
		double passMs = 0.0;     ///< Mean time of the last passes; 0 when unknown.
		double meanLoad = 0.0;   ///< Requests of an engine, mean.
		double longPassMs = 0.0; ///< Time within which most of the last passes ended; 0 when unknown.
		double engines = 0.0;    ///< That take work.
		double freeSlots = 0.0;  ///< Of all of them; what one has beyond its slots is no debt of another.

		bool operator==(const BatchView&) const = default;
	};

	/// A request that asks to be let in.
	struct BatchRequest
	{
		Millis gapObjectiveMs = 0; ///< Longest pause between events; 0 when none is declared.
		bool cameBack = false;     ///< It was refused before.
		bool yields = false;       ///< More urgent requests of the service may come.
		double headroom = 0.0;     ///< Slots of the group that are left to them.

		bool operator==(const BatchRequest&) const = default;
	};

	/// @returns Requests that one engine may have at once for the objective to hold.
	double batchLimit(const EngineModel& _model, const BatchView& _view, Millis _gapObjectiveMs);

	/// @returns Requests that the group may still get of those that yield: its free slots, and what
	/// the long passes leave, without the headroom.
	double yieldingRoom(const EngineModel& _model, const BatchView& _view, const BatchRequest& _request);

	/// @returns Whether the request may be sent now.
	bool mayEnter(const EngineModel& _model, const BatchView& _view, const BatchRequest& _request);

	/// @returns How long a request may wait for room before it is refused, ms: refusals
	/// within a quarter of the objective let a caller come back in time.
	Millis longestWait(Millis _objectiveMs);

	/// Waits of a request that isn't alike to the others in urgency, ms.
	struct OrderedWait
	{
		Millis tellMs = 0;    ///< After this it is refused unless it can expect room.
		Millis longestMs = 0; ///< After this it is refused.

		bool operator==(const OrderedWait&) const = default;
	};

	/// @returns How long it may wait: as long as it can still begin in time with the passes as they are;
	/// and how long until it is told, were it refused: nearly a quarter of the objective. Where passes are
	/// so long that it can't begin in time, it waits that long too: no one is told sooner for being urgent.
	OrderedWait orderedWait(Millis _objectiveMs, double _longPassMs);
} // namespace archdyke
