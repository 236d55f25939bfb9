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

	void noteFirstSend(RetryWindow& _window, Millis _windowMs, Millis _now)
	{
		dropExpired(_window.firsts, _now - _windowMs);
		_window.firsts.push_back(_now);
	}

	double resendsLeft(RetryWindow& _window, const RetryBounds& _bounds, Millis _now)
	{
		dropExpired(_window.firsts, _now - _bounds.windowMs);
		dropExpired(_window.resends, _now - _bounds.windowMs);
		const double allowed = _bounds.ratio * double(_window.firsts.size()) + _bounds.allowance + _bounds.rounding;
		return allowed - double(_window.resends.size());
	}

	bool hasResendToSpare(RetryWindow& _window, const RetryBounds& _bounds, Millis _now)
	{
		const double remaining = resendsLeft(_window, _bounds, _now);
		const double spent = double(_window.resends.size());
		return spent + 1.0 <= (remaining + spent) / 2.0;
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
