/// Sends a request to one upstream and relays the response to the caller.
#pragma once

#include "archdyke/retry.h"
#include "gateway/request.h"

namespace archdyke::gateway
{
	/// Result of one attempt at an upstream.
	struct AttemptResult
	{
		bool answered = false;                          ///< The caller has received the complete response.
		bool withheld = false;                          ///< Nothing was sent because the upstream accepts no more requests at present.
		std::optional<Refusal> refused;                 ///< Nothing was sent because the request may not be sent to any upstream any more.
		ExecutionProof proof = ExecutionProof::Unknown; ///< Whether the request ran, if not answered.
		RefusalReason refusal = RefusalReason::None;
		std::optional<http::FullResponse> failure; ///< Error response of the upstream that may be forwarded.
		std::optional<Millis> keepIdleMs;          ///< How long the connection may be kept idle; none to close it.
		bool groupFault = false;                   ///< The attempt failed because of another member of the group.
		bool endedByConnection = false;            ///< The response has neither a length nor chunks: only the end of its connection shows that it is complete.
		bool connectionLost = false;               ///< The connection ended while the upstream had the request.
		std::string reason;                        ///< For the log.
	};

	/// Forwards a complete response of an upstream to the caller.
	aio::Task<void> forwardResponse(RequestContext& _context, const http::FullResponse& _response);

	/// Sends the request to an upstream and relays its response.
	aio::Task<AttemptResult> attemptUpstream(RequestContext& _context, UpstreamRef _upstream);
} // namespace archdyke::gateway
