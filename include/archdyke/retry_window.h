/// One retry budget over all gateways without a shared counter: each spends only a share of
/// what it carried itself, plus its part of a fixed allowance, over a sliding window. The
/// sum over the gateways then stays within the budget whatever number of them lives.
#pragma once

#include <deque>

#include "archdyke/types.h"

namespace archdyke
{
	/// Bounds that all gateways keep together.
	struct RetryBounds
	{
		double ratio = 0.1;       ///< Resends for each first send.
		double allowance = 0.0;   ///< Resends of this gateway beyond the ratio, a window.
		Millis windowMs = 10'000; ///< Length of the sliding window.
		double rounding = 0.0;    ///< Part of a resend by which the sum of both is rounded up.

		bool operator==(const RetryBounds&) const = default;
	};

	/// First sends and resends of one gateway to one service, oldest first.
	struct RetryWindow
	{
		std::deque<Millis> firsts;
		std::deque<Millis> resends;
	};

	/// Notes a request that went to an upstream for the first time; forgets those before the window.
	void noteFirstSend(RetryWindow& _window, Millis _windowMs, Millis _now);

	/// @returns Resends that the window still holds; negative when firsts have left it since.
	double resendsLeft(RetryWindow& _window, const RetryBounds& _bounds, Millis _now);

	/// @returns Whether the window holds so many that one may be spent on a request that still gets
	/// its answer where it is: the rest is kept for those that failed.
	bool hasResendToSpare(RetryWindow& _window, const RetryBounds& _bounds, Millis _now);

	/// Takes one resend out of the budget.
	/// @returns false when the window holds no more.
	bool takeResend(RetryWindow& _window, const RetryBounds& _bounds, Millis _now);
} // namespace archdyke
