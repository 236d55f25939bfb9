/// Declarations shared by the source files of the relay.
#pragma once

#include "gateway/relay.h"

namespace archdyke::gateway
{
	/// @returns Whether a response states where its body ends.
	bool hasFraming(const http::ResponseHead& _head);

	/// @returns The result of an attempt that gave the caller no complete response.
	AttemptResult failed(ExecutionProof _proof, std::string _reason, RefusalReason _refusal = RefusalReason::None);

	/// @returns The result of an attempt whose complete response the caller has received.
	AttemptResult answered();

	/// Reads the next part of a response and records when the upstream was last heard.
	aio::Task<http::Part> readPart(RequestContext& _context, http::HttpConnection& _upstream);

	/// Records that the response head is sent.
	/// @returns The head for the caller.
	http::ResponseHead beginResponse(RequestContext& _context, const http::ResponseHead& _response);

	/// Relays the events of a stream. Forwards only complete events, each once and in order.
	aio::Task<AttemptResult> relayStream(RequestContext& _context, http::HttpConnection& _upstream, http::ResponseHead _response);
} // namespace archdyke::gateway
