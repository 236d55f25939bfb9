/// What the parts of the relay share.
#pragma once

#include "gateway/relay.h"

namespace archdyke::gateway
{
	/// @returns A try that brought the caller no whole answer.
	TryResult failed(Proof _proof, std::string _reason, RefusalReason _refusal = RefusalReason::None);

	/// @returns A try whose whole answer the caller has.
	TryResult answered();

	/// Waits for the next part of an answer; notes that something was heard.
	aio::Task<http::Part> nextPart(RequestContext& _context, http::HttpConnection& _upstream);

	/// @returns The head that the caller gets; notes that it is on its way.
	http::ResponseHead beginAnswer(RequestContext& _context, const http::ResponseHead& _answer);

	/// Relays the events of a stream. Only whole events go out, each once and in order.
	aio::Task<TryResult> relayStream(RequestContext& _context, http::HttpConnection& _upstream, http::ResponseHead _answer);
} // namespace archdyke::gateway
