#include "archdyke/event_rate.h"

#include <cmath>

namespace archdyke
{
	double eventsOfSpan(const EventRate& _rate, Millis _spanMs, Millis _now)
	{
		return _rate.events * std::exp(-double(_now - _rate.at) / double(_spanMs));
	}

	void noteEvent(EventRate& _rate, Millis _spanMs, Millis _now)
	{
		_rate.events = eventsOfSpan(_rate, _spanMs, _now) + 1.0;
		_rate.at = _now;
	}
} // namespace archdyke
