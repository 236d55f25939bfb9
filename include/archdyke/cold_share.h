/// How many requests one gateway may send to an upstream that can't take its full share yet.
///
/// Answers the load of upstreams that come back together while callers wait: all gateways see them
/// empty at the same time, and each alone would send them what they bear from all. Gateways don't
/// speak with each other, so each goes by their number alone: it has a fixed count of sends in a
/// window, and by a hash of its name and of the upstream's incarnation perhaps one more. Hashes
/// scatter, so less is dealt out than an upstream survives: for one upstream in a million more
/// gateways than that have the further send.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

#include "archdyke/resend_share.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// What one cold upstream may get.
	struct ColdTerms
	{
		double bornePerS = 0.0;     ///< Arrivals a second that it bears, of all gateways together.
		double mostPerS = 0.0;      ///< Arrivals in any one second that it survives.
		std::uint32_t gateways = 1; ///< That share them.
		Millis assumedMs = 0;       ///< How long one counts as cold that may have turned cold and doesn't say.

		bool operator==(const ColdTerms&) const = default;
	};

	/// What one gateway may send to one cold upstream in a window.
	struct ColdShare
	{
		std::uint32_t sends = 0;   ///< Of each gateway.
		double chanceOfMore = 0.0; ///< Share of the gateways that have one send more, 0 to 1.

		bool operator==(const ColdShare&) const = default;
	};

	/// How cold an upstream is, and what this gateway sent there.
	struct ColdState
	{
		Millis until = 0;         ///< Own clock; 0: not cold.
		std::deque<Millis> sends; ///< Of the last window, oldest first.

		bool operator==(const ColdState&) const = default;
	};

	/// @returns How many gateways share what cold upstreams bear: as many as were told of steadily, else
	/// more than the upstreams suggest. One that was restarted or is cut off is told nothing.
	/// @param[in] _upstreams Of all services.
	/// @param[in] _windowMs Of what was told the most counts for this long.
	std::uint32_t gatewaysAssumed(const ResendShare& _told, std::size_t _upstreams, Millis _windowMs, Millis _now);

	/// @returns Shares that keep all gateways together within the terms.
	ColdShare coldShareOf(const ColdTerms& _terms);

	/// @returns Sends of a gateway to an upstream in a window. The same after a restart of the gateway.
	std::uint32_t sendsInWindow(const ColdShare& _share, std::string_view _gateway, std::string_view _incarnation);

	/// Takes in that an upstream is cold for some time. What was known of a longer time stays.
	void noteCold(ColdState& _state, Millis _forMs, Millis _now);

	/// @returns How much longer an upstream counts as cold, ms.
	Millis warmInMs(const ColdState& _state, Millis _now);

	/// @returns Whether this gateway may send to a cold upstream now.
	/// @param[in] _sends That it has in a window.
	bool maySendCold(const ColdState& _state, std::uint32_t _sends, Millis _now);

	/// Takes in that this gateway sends to a cold upstream.
	void noteColdSend(ColdState& _state, Millis _now);
} // namespace archdyke
