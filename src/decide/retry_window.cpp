#include "archdyke/retry_window.h"

namespace archdyke
{
	namespace
	{
		void dropOld(std::deque<Millis>& _times, Millis _before)
		{
			while (!_times.empty() && _times.front() <= _before)
			{
				_times.pop_front();
			}
		}
	} // namespace

	void noteFirstSend(RetryWindow& _window, Millis _windowMs, Millis _now)
	{
		dropOld(_window.firsts, _now - _windowMs);
		_window.firsts.push_back(_now);
	}

	double resendsLeft(RetryWindow& _window, const RetryBounds& _bounds, Millis _now)
	{
		dropOld(_window.firsts, _now - _bounds.windowMs);
		dropOld(_window.resends, _now - _bounds.windowMs);
		const double allowed = _bounds.ratio * double(_window.firsts.size()) + _bounds.allowance + _bounds.rounding;
		return allowed - double(_window.resends.size());
	}

	bool hasResendToSpare(RetryWindow& _window, const RetryBounds& _bounds, Millis _now)
	{
		const double left = resendsLeft(_window, _bounds, _now);
		const double taken = double(_window.resends.size());
		return taken + 1.0 <= (left + taken) / 2.0;
	}

	bool takeResend(RetryWindow& _window, const RetryBounds& _bounds, Millis _now)
	{
		if (resendsLeft(_window, _bounds, _now) < 1.0)
		{
			return false;
		}
		_window.resends.push_back(_now);
		return true;
	}
} // namespace archdyke
