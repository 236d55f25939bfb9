/// How often something happens, as a moving mean: older events weigh less, none is kept.
#pragma once

#include "archdyke/types.h"

namespace archdyke
{
	struct EventRate
	{
		double events = 0.0; ///< Of the last moments, by their weight at the time below.
		Millis at = 0;

		bool operator==(const EventRate&) const = default;
	};

	/// Takes in an event.
	/// @param[in] _spanMs About how far back it looks; the same in all calls for one rate.
	void noteEvent(EventRate& _rate, Millis _spanMs, Millis _now);

	/// @returns Events of about the last span.
	double eventsOfSpan(const EventRate& _rate, Millis _spanMs, Millis _now);
} // namespace archdyke
