/// Wire format of the gateway's requests and responses in a deployment. An adapter provides it as plain functions, which
/// only translate and make no decisions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/types.h"
#include "http/http_message.h"

namespace archdyke::gateway
{
	/// Part of a prompt that several requests may share.
	struct PromptPart
	{
		std::uint64_t id = 0;
		std::uint32_t tokens = 0;

		bool operator==(const PromptPart&) const = default;
	};

	/// Fields of a caller's request besides method, target and body.
	struct CallerRequest
	{
		std::string id; ///< Identifies one attempt of the caller; a repeated request has another one.
		std::string host;
		std::string key;                          ///< Empty when there is none.
		std::optional<Millis> patienceMs;         ///< How long the caller waits for the response.
		std::optional<std::uint64_t> resumeAfter; ///< Number of the last event that the caller has received.
		std::uint32_t promptTokens = 0;
		std::uint32_t maxResponseTokens = 0;                 ///< Maximum length of the response; 0 when unknown.
		std::optional<std::uint32_t> expectedResponseTokens; ///< The caller's estimate; right in the median, but often far off.
		std::vector<PromptPart> prompt;

		bool operator==(const CallerRequest&) const = default;
	};

	/// Fields of one attempt at one upstream.
	struct DispatchInfo
	{
		std::string incarnation;                  ///< The only incarnation that may run it.
		std::string organisation;                 ///< Empty on public routes without a key.
		Millis budgetMs = 0;                      ///< Time after which the upstream stops running it.
		std::optional<std::uint64_t> resumeAfter; ///< Number of the last event that the caller has received.
		std::optional<std::uint32_t> urgency;     ///< 0 to 9, 0 is the most urgent.

		bool operator==(const DispatchInfo&) const = default;
	};

	/// Fields of the head of an upstream's response.
	struct ResponseInfo
	{
		std::string requestId; ///< The request that it responds to.
		bool signedByUpstream = false;
		bool provedNotRun = false; ///< The upstream states that it did not run the request.
		bool wrongIncarnation = false;
		bool ambiguous = false;            ///< The head names one of these fields twice.
		bool encoded = false;              ///< The body has a content encoding that wasn't requested.
		std::optional<Millis> keepAliveMs; ///< How long the upstream keeps the idle connection open.
		std::string faultyMember;          ///< The group member that caused the failure; may be empty.
		bool leaving = false;              ///< The upstream states that it is shutting down.
		std::optional<Millis> backOffMs;   ///< How long the upstream asks this gateway to send it nothing.
		std::optional<double> limitPerS;   ///< Requests per second that the upstream takes from all gateways together.

		bool operator==(const ResponseInfo&) const = default;
	};

	/// A refusal that the gateway itself sends.
	struct Refusal
	{
		int status = 503;
		std::optional<Millis> comeBackMs; ///< When the caller should retry; none: no advice.
		std::string reason;               ///< Short code for logs and the body.

		bool operator==(const Refusal&) const = default;
	};

	/// Functions that the adapter provides.
	struct Codec
	{
		CallerRequest (*decodeRequest)(const http::RequestHead&);
		http::RequestHead (*encodeDispatch)(const http::RequestHead&, const CallerRequest&, const DispatchInfo&);
		ResponseInfo (*decodeResponse)(const http::ResponseHead&);
		http::ResponseHead (*encodeResponse)(const http::ResponseHead&);
		http::ResponseHead (*encodeRefusal)(const CallerRequest&, const Refusal&);
	};
} // namespace archdyke::gateway
