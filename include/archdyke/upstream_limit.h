/// Divides the request rate that an upstream takes from all gateways together.
///
/// Handles an upstream in need that names a limit in its responses. Each gateway receives the limit itself, and
/// gateways don't communicate with each other, so each derives its share from the number of gateways alone: a
/// fixed number of sends per window and, where that leaves a fraction, one more in a short turn at regular
/// intervals. Turns start at independent random times and unused ones lapse, so that callers who arrive at all
/// gateways at once don't make all of them send. In a large fleet the turns are rarer than the limit allows, since
/// the number of gateways that have one at the same time varies.
#pragma once

#include <cstdint>
#include <deque>

#include "archdyke/types.h"

namespace archdyke
{
	/// How strictly a limit must be kept, and who shares it.
	struct LimitTerms
	{
		Millis windowMs = 4'000;        ///< Span in which an upstream's arrivals are counted.
		double overshoot = 1.5;         ///< Arrivals in a window that it survives, relative to its limit.
		double allowance = 5.0;         ///< Further arrivals in a window that it survives.
		std::uint32_t gateways = 2'048; ///< Gateways that share the limit.

		bool operator==(const LimitTerms&) const = default;
	};

	/// Share of one gateway in a limit.
	struct LimitShare
	{
		std::uint32_t sends = 0; ///< Sends per span, see limitSpanMs().
		Millis cycleMs = 0;      ///< Interval between two turns, in each of which it may send once more; 0: no turns.

		bool operator==(const LimitShare&) const = default;
	};

	/// A limit that an upstream names, and the use that this gateway makes of its share. Times are on the local clock.
	struct UpstreamLimit
	{
		double perSecond = 0.0; ///< Requests that it takes from all gateways together.
		Millis namedAt = 0;     ///< When a response last named it.
		Millis spanMs = 0;      ///< Span over which sends are counted, see limitSpanMs().
		LimitShare share;
		double phase = 0.0;       ///< Position in the cycle of turns at phaseAt; a turn begins at each whole number.
		Millis phaseAt = 0;       ///< When the share last changed.
		Millis quietUntil = 0;    ///< No sends before.
		std::deque<Millis> sends; ///< Sends in the last span, oldest first.

		bool operator==(const UpstreamLimit&) const = default;
	};

	/// @returns Span over which the sends of a gateway are counted, ms: the window of the terms, and the time by which a
	/// send may arrive later than the next one.
	Millis limitSpanMs(const LimitTerms& _terms);

	/// @returns Shares that keep all gateways together within a limit on average, and within what the upstream
	/// survives in each window.
	LimitShare computeLimitShare(double _perSecond, const LimitTerms& _terms);

	/// Begins to keep a limit. Assumes that the share of the last span is used up evenly.
	/// @param[in] _startedAt Start of this process. Until a span after it nothing is sent: the process before it may have used
	/// the share.
	/// @param[in] _phase Random number in [0, 1).
	UpstreamLimit beginLimit(double _perSecond, const LimitTerms& _terms, Millis _startedAt, double _phase, Millis _now);

	/// Adapts the share to another limit or number of gateways. Turns go on from their position in the cycle: if
	/// they started anew, each change would give all gateways another chance of a turn.
	void adaptLimit(UpstreamLimit& _limit, double _perSecond, const LimitTerms& _terms, Millis _now);

	/// @returns Whether this gateway may send to the upstream now.
	bool maySendWithin(const UpstreamLimit& _limit, Millis _now);

	/// Records a send of this gateway.
	void recordLimitedSend(UpstreamLimit& _limit, Millis _now);

	/// Moves a recorded send to the time at which it took place, after it waited for a connection.
	void moveLimitedSend(UpstreamLimit& _limit, Millis _recordedAt, Millis _now);
} // namespace archdyke
