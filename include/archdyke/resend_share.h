/// Share of the fixed resend allowance that one gateway may spend, so that the sum over all gateways
/// stays within the allowance for any number of gateways.
///
/// Handles a fault that makes many requests fail at once in a deployment whose number of gateways isn't
/// configured: with the allowance divided by a fixed 64, 149 gateways spent 2.3 times as much.
/// Coordinators report the number of gateways to the gateways that poll them.
/// - A gateway uses the maximum reported in the last few windows, so that gateways that left or were
///   partitioned don't enlarge the shares of the others while their own resends still count.
/// - It uses only a minimum share until the reported count has been stable for a while, since the
///   count rises slowly after a mass restart.
/// - Reports expire.
///
/// In a large fleet a share is less than one resend per window. Each gateway rounds it up or down by
/// a uniformly random offset of its own, so that the total is the same for any size of the fleet.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "archdyke/random.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// Number of gateways as reported at one time.
	struct GatewayCount
	{
		Millis at = 0;
		std::uint32_t count = 0;

		bool operator==(const GatewayCount&) const = default;
	};

	/// Gateway counts reported to one gateway, and its rounding offset.
	struct ResendShare
	{
		std::deque<GatewayCount> told; ///< Reports of the last windows, oldest first.
		Millis firstReportAt = 0;      ///< First report since the process started; 0: none.
		Millis steadySince = 0;        ///< Since when counts were reported without a gap and without growth; 0: no report yet.
		double rounding = 0.0;         ///< Rounding offset added to the share, resends, below 1.
		Millis roundingUntil = 0;      ///< When the offset is renewed.
	};

	/// Records a reported number of gateways.
	/// @param[in] _windowMs Window in which resends are counted.
	void recordGatewayCount(ResendShare& _share, std::uint32_t _count, Millis _windowMs, Millis _now);

	/// Gateways that are assumed while no count is reported: more than in any deployment, five times
	/// the planned number of daemons.
	constexpr std::uint32_t kMaxGateways = 2'048;

	/// @param[in] _steadyMs How long counts must have been reported without a gap and without growth.
	/// @returns Maximum count reported in a window; none if the reports weren't stable for that long.
	std::optional<std::uint32_t> reportedGatewayCount(const ResendShare& _share, Millis _windowMs, Millis _steadyMs, Millis _now);

	/// @returns Time until the reported count counts as stable if it doesn't grow, ms; none if no count is reported now, or if
	/// it is stable already.
	std::optional<Millis> untilCountIsSteadyMs(const ResendShare& _share, Millis _windowMs, Millis _now);

	/// @returns Share of the allowance that this gateway may spend in a window, 0 to 1.
	double allowanceShare(const ResendShare& _share, Millis _windowMs, Millis _now);

	/// Renews the rounding offset when it is due, so that no gateway is left without resends for good. The
	/// renewals are staggered: if many gateways renewed in one window, they could spend more in it than their
	/// shares add up to.
	void renewRounding(ResendShare& _share, Millis _windowMs, Random& _random, Millis _now);
} // namespace archdyke
