#include "archdyke/retry_window.h"

namespace archdyke
{
	namespace
	{
		void dropExpired(std::deque<Millis>& _times, Millis _before)
		{
			while (!_times.empty() && _times.front() <= _before)
			{
				_times.pop_front();
			}
		}
	} // namespace

	void recordFirstSend(RetryWindow& _window, Millis _windowMs, Millis _now)
	{
		dropExpired(_window.firstSends, _now - _windowMs);
		_window.firstSends.push_back(_now);
	}

	double remainingResends(RetryWindow& _window, const RetryLimits& _bounds, Millis _now)
	{
		dropExpired(_window.firstSends, _now - _bounds.windowMs);
		dropExpired(_window.resends, _now - _bounds.windowMs);
		const double allowed = _bounds.ratio * double(_window.firstSends.size()) + _bounds.allowance + _bounds.rounding;
		return allowed - double(_window.resends.size());
	}

	bool hasSpareResend(RetryWindow& _window, const RetryLimits& _bounds, Millis _now)
	{
		const double remaining = remainingResends(_window, _bounds, _now);
		const double spent = double(_window.resends.size());
		return spent + 1.0 <= (remaining + spent) / 2.0;
	}

	bool takeResend(RetryWindow& _window, const RetryLimits& _bounds, Millis _now)
	{
		if (remainingResends(_window, _bounds, _now) < 1.0)
		{
			return false;
		}
		_window.resends.push_back(_now);
		return true;
	}
} // namespace archdyke
