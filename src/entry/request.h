/// A caller's request on its way through the filters of an entry:
/// accept -> authenticate -> limit -> resolve -> claim -> route and dispatch -> relay -> account.
#pragma once

#include <optional>
#include <string>

#include "archdyke/document.h"
#include "archdyke/errors.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// What came in.
	struct CallerRequest
	{
		std::string method;
		std::string path;   ///< Decoded, for rules.
		std::string target; ///< As sent, with its query, for the upstream.
		std::string key;    ///< Of the organisation.
		std::string idempotencyKey;
		bool markedNotRepeatable = false;
		std::string contentType;
		std::string body;
		Millis receivedAt = 0;

		bool operator==(const CallerRequest&) const = default;
	};

	/// A request that may be dispatched.
	struct ResolvedRequest
	{
		std::string id;
		Organisation organisation;
		Service service;
		std::string upstreamPath;
		bool repeatable = true;
		bool streamed = false;
		std::optional<std::uint64_t> prefix; ///< Hash of the prompt's prefix.
		Millis deadline = 0;

		bool operator==(const ResolvedRequest&) const = default;
	};

	/// A final answer that is not an upstream's.
	struct FinalAnswer
	{
		int status = 500;
		Outcome outcome = Outcome::NotRun;
		Millis retryAfterMs = 0; ///< 0: coming back makes no sense.
		std::string reason;      ///< Short, for counters.
		std::string message;     ///< What happened and what to do.

		bool operator==(const FinalAnswer&) const = default;
	};

	/// Thrown by a filter that ends a request.
	struct RejectedError : ArchdykeError
	{
		explicit RejectedError(FinalAnswer _answer)
		    : ArchdykeError(_answer.message)
		    , answer(std::move(_answer))
		{
		}

		FinalAnswer answer;
	};
} // namespace archdyke
