/// Types for a caller's request in the pipeline of an entry:
/// accept -> authenticate -> limit -> resolve -> claim -> route and dispatch -> relay -> account.
#pragma once

#include <optional>
#include <string>

#include "archdyke/document.h"
#include "archdyke/errors.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// A request as received from a caller.
	struct CallerRequest
	{
		std::string method;
		std::string path;   ///< Decoded; used by the routing rules.
		std::string target; ///< As sent, with its query; forwarded to the upstream.
		std::string apiKey; ///< API key of the organisation.
		std::string idempotencyKey;
		bool markedNotRepeatable = false;
		std::string contentType;
		std::string body;
		Millis receivedAt = 0;

		bool operator==(const CallerRequest&) const = default;
	};

	/// A request that has passed the filters and may be dispatched.
	struct ResolvedRequest
	{
		std::string id;
		std::string fingerprint;        ///< The same for all repeats of the request, through any entry.
		std::vector<std::string> parts; ///< Names of the parts of its prompt that other requests may share.
		Organisation organisation;
		Service service;
		std::string upstreamPath;
		bool repeatable = true;
		bool streamed = false;
		std::optional<std::uint64_t> prefix; ///< Hash of the prompt's prefix.
		Millis deadline = 0;

		bool operator==(const ResolvedRequest&) const = default;
	};

	/// @returns What may crash upstreams under a request: the request itself, and the parts of its prompt.
	std::vector<std::string> suspectsOf(const ResolvedRequest& _request);

	/// A final response that the entry itself produces.
	struct FinalResponse
	{
		int status = 500;
		Outcome outcome = Outcome::NotRun;
		Millis retryAfterMs = 0; ///< 0: a retry makes no sense.
		std::string reason;      ///< Short reason code.
		std::string message;     ///< What happened and what the caller can do.

		bool operator==(const FinalResponse&) const = default;
	};

	/// Thrown to end a request with a final response.
	struct RejectedError : ArchdykeError
	{
		explicit RejectedError(FinalResponse _final)
		    : ArchdykeError(_final.message)
		    , response(std::move(_final))
		{
		}

		FinalResponse response;
	};
} // namespace archdyke
