/// Retry budget of all gateways without a shared counter: over a sliding window, each gateway may
/// resend a share of its own first sends, plus its part of a fixed allowance. The sum over all
/// gateways stays within the budget for any number of gateways.
#pragma once

#include <deque>

#include "archdyke/types.h"

namespace archdyke
{
	/// Retry limits that all gateways keep together.
	struct RetryLimits
	{
		double ratio = 0.1;       ///< Resends per first send.
		double allowance = 0.0;   ///< Resends of this gateway per window beyond the ratio.
		Millis windowMs = 10'000; ///< Length of the sliding window.
		double rounding = 0.0;    ///< Fraction of a resend by which the limit is rounded up.

		bool operator==(const RetryLimits&) const = default;
	};

	/// First sends and resends of one gateway to one service, oldest first.
	struct RetryWindow
	{
		std::deque<Millis> firstSends;
		std::deque<Millis> resends;
		std::size_t awaiting = 0; ///< Requests that wait until a resend is allowed.
	};

	/// Records the first send of a request and drops those older than the window.
	void recordFirstSend(RetryWindow& _window, Millis _windowMs, Millis _now);

	/// @returns Resends left in the window; negative if first sends that earned them have expired.
	double remainingResends(RetryWindow& _window, const RetryLimits& _bounds, Millis _now);

	/// @returns Whether a resend may be spent on a request that would still be answered where it is.
	/// Half of the budget is reserved for requests that failed.
	bool hasSpareResend(RetryWindow& _window, const RetryLimits& _bounds, Millis _now);

	/// Takes one resend out of the budget.
	/// @returns false when the budget is exhausted.
	bool takeResend(RetryWindow& _window, const RetryLimits& _bounds, Millis _now);
} // namespace archdyke
