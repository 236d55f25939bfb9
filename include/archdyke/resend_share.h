/// Which part of the fixed allowance of resends one gateway may spend, so that the sum over all
/// gateways stays within it whatever number of them lives.
///
/// Answers the load of a fault that makes many requests fail at once, in a deployment whose number of
/// gateways nobody has set: the allowance was dealt to 64 of them, and 149 spent 2.3 times as much.
/// Gateways are told how many they are by the coordinators that they ask. A gateway goes by the most
/// that it was told in some windows, so that those that left or were cut off don't enlarge the others' shares
/// while their own resends still count; it spends nothing of the allowance before it was told steadily for a while,
/// as all count slowly upwards after a mass restart; and what it was told lapses.
///
/// In a large fleet a share is less than one resend in a window. Each gateway rounds it up or down by
/// a number of its own, drawn evenly, so that the part that may be spent is the same at any size.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "archdyke/random.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// How many gateways there were, as told at one time.
	struct GatewayCount
	{
		Millis at = 0;
		std::uint32_t count = 0;

		bool operator==(const GatewayCount&) const = default;
	};

	/// What one gateway was told of their number.
	struct ResendShare
	{
		std::deque<GatewayCount> told; ///< Of the last windows, oldest first.
		Millis firstToldAt = 0;        ///< In this life of the process; 0: never told.
		Millis steadySince = 0;        ///< Since when it has been told without a gap and without growth; 0: never told.
		double rounding = 0.0;         ///< Part of a resend by which shares are rounded up, below 1.
		Millis roundingUntil = 0;      ///< When it is drawn anew.
	};

	/// Takes in a number that was told.
	/// @param[in] _windowMs In which resends are counted.
	void noteGateways(ResendShare& _share, std::uint32_t _count, Millis _windowMs, Millis _now);

	/// Gateways that are assumed while nobody tells: more than any deployment has, five times the
	/// daemons it is planned for.
	constexpr std::uint32_t kMostGateways = 2'048;

	/// @param[in] _steadyMs For how long the number must have been told without a gap and without growth.
	/// @returns The most gateways that were told of in a window; none when it wasn't told steadily.
	std::optional<std::uint32_t> gatewaysTold(const ResendShare& _share, Millis _windowMs, Millis _steadyMs, Millis _now);

	/// @returns Part of the allowance that this gateway may spend in a window, 0 to 1.
	double allowanceShare(const ResendShare& _share, Millis _windowMs, Millis _now);

	/// Draws the rounding when it is time: no gateway stays without a resend for good. Few gateways draw in the
	/// same window, or more of them could spend in it than their shares add up to.
	void drawRounding(ResendShare& _share, Millis _windowMs, Random& _random, Millis _now);
} // namespace archdyke
