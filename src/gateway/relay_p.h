/// Declarations shared by the source files of the relay.
#pragma once

#include "gateway/relay.h"

namespace archdyke::gateway
{
	/// Maximum size of a response that is buffered before it is forwarded, bytes.
	constexpr std::size_t kMaxResponseBytes = std::size_t(8) << 20;

	/// @returns The result of an attempt that gave the caller no complete response.
	AttemptResult failed(ExecutionProof _proof, std::string _reason, RefusalReason _refusal = RefusalReason::None);

	/// @returns The result of an attempt whose complete response the caller has received.
	AttemptResult answered();

	/// Reads the next part of a response and records when the upstream was last heard.
	aio::Task<http::Part> readPart(RequestContext& _context, http::HttpConnection& _upstream);

	/// How the body of a response ended.
	enum class BodyEnd
	{
		Whole,
		Lost,   ///< The connection was closed or broke.
		InDoubt ///< It may hold bytes of another response, isn't valid, or is too large.
	};

	struct BodyResult
	{
		BodyEnd end = BodyEnd::Lost;
		std::string text; ///< As far as it was read.

		bool operator==(const BodyResult&) const = default;
	};

	/// Reads the body of a response.
	aio::Task<BodyResult> readBody(RequestContext& _context, http::HttpConnection& _upstream, http::ResponseHead _head);

	/// Reads the head of the response to a request and records what it states about the upstream itself. Responses to other requests
	/// are skipped.
	/// @param[out] _ending What came in the place of a head, for the log.
	/// @returns None when what comes can't be attributed to the request.
	aio::Task<std::optional<http::ResponseHead>> readHead(RequestContext& _context, http::HttpConnection& _upstream, std::string_view& _ending);

	/// Records that the response head is sent.
	/// @returns The head for the caller.
	http::ResponseHead beginResponse(RequestContext& _context, const http::ResponseHead& _response);

	/// Relays the events of a stream. Forwards only complete events, each once and in order.
	aio::Task<AttemptResult> relayStream(RequestContext& _context, http::HttpConnection& _upstream, http::ResponseHead _response);
} // namespace archdyke::gateway
