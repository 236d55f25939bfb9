/// Limits how many requests one gateway sends to a cold upstream, which can't take its full load yet.
///
/// Handles upstreams that restart together while callers wait: all gateways see them idle at the same
/// time, and each gateway alone would send as much as they can take from all. Gateways don't communicate
/// with each other, so each derives its share from the number of gateways alone: a fixed number of sends
/// per window, plus one for a part of the gateways, selected by a hash of the gateway's name and the
/// upstream's incarnation. The number of selected gateways varies, so the shares add up to less than the
/// peak rate: the probability that an upstream gets more is one in a million.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

#include "archdyke/resend_share.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// Capacity of a cold upstream and who shares it.
	struct ColdCapacity
	{
		double sustainedPerS = 0.0; ///< Arrivals per second that it sustains, from all gateways together.
		double peakPerS = 0.0;      ///< Arrivals in any one second that it survives.
		std::uint32_t gateways = 1; ///< Gateways that share these rates.
		Millis assumedColdMs = 0;   ///< Assumed cold time of an upstream that may have become cold and doesn't report it.

		bool operator==(const ColdCapacity&) const = default;
	};

	/// Sends of one gateway to one cold upstream in a window.
	struct ColdShare
	{
		std::uint32_t sends = 0;           ///< Sends of each gateway.
		double extraSendProbability = 0.0; ///< Share of the gateways that get one more send, 0 to 1.

		bool operator==(const ColdShare&) const = default;
	};

	/// Cold state of an upstream and the recent sends of this gateway to it.
	struct ColdState
	{
		Millis until = 0;         ///< End of the cold time, local clock; 0: not cold.
		std::deque<Millis> sends; ///< Sends in the last window, oldest first.

		bool operator==(const ColdState&) const = default;
	};

	/// Estimates how many gateways share the capacity of cold upstreams: the reported count if it was
	/// stable, else a high estimate from the number of upstreams. A gateway that just restarted or is
	/// partitioned gets no reports.
	/// @param[in] _upstreams Number of upstreams of all services.
	/// @param[in] _windowMs The maximum of the counts reported in this time is used.
	std::uint32_t estimateGatewayCount(const ResendShare& _told, std::size_t _upstreams, Millis _windowMs, Millis _now);

	/// @returns Shares that keep all gateways together within the capacity.
	ColdShare computeColdShare(const ColdCapacity& _terms);

	/// @returns Sends of a gateway to an upstream per window. Unchanged by a restart of the gateway.
	std::uint32_t coldSendsPerWindow(const ColdShare& _share, std::string_view _gateway, std::string_view _incarnation);

	/// Records that an upstream is cold for some time. Never shortens a known cold time.
	void recordCold(ColdState& _state, Millis _forMs, Millis _now);

	/// @returns Remaining cold time of an upstream, ms.
	Millis remainingColdMs(const ColdState& _state, Millis _now);

	/// @returns Whether this gateway may send to a cold upstream now.
	/// @param[in] _sends Sends per window that this gateway has; see coldSendsPerWindow.
	bool maySendCold(const ColdState& _state, std::uint32_t _sends, Millis _now);

	/// Records a send of this gateway to a cold upstream.
	void recordColdSend(ColdState& _state, Millis _now);
} // namespace archdyke
