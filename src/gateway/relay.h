/// One try at one upstream, and the way of its answer to the caller.
#pragma once

#include "archdyke/retry.h"
#include "gateway/request.h"

namespace archdyke::gateway
{
	/// How a try ended.
	struct TryResult
	{
		bool answered = false;        ///< The caller has the whole answer.
		bool withheld = false;        ///< Nothing was sent: the upstream takes no more now.
		Proof proof = Proof::Unknown; ///< If not answered.
		RefusalReason refusal = RefusalReason::None;
		std::optional<http::WholeAnswer> failure; ///< A failure of the upstream's own that may be handed on.
		std::optional<Millis> restMs;             ///< How long the connection may be kept; none to close it.
		bool groupFault = false;                  ///< Another member of its group made it fail.
		bool brokeOff = false;                    ///< The connection ended while the upstream had the request.
		std::string reason;                       ///< For the log.
	};

	/// Hands a whole answer of an upstream on to the caller.
	aio::Task<void> handOn(RequestContext& _context, const http::WholeAnswer& _answer);

	/// Sends the request to an upstream and relays the answer.
	aio::Task<TryResult> tryUpstream(RequestContext& _context, UpstreamRef _upstream);
} // namespace archdyke::gateway
