/// A run that an entry dispatches to an agent, and the events that come back.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "archdyke/relay.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// One attempt of a request, dispatched to one agent.
	struct RunSpec
	{
		RunKey key;
		std::string organisation;
		std::uint32_t weight = 1;
		Millis budgetMs = 0;
		bool repeatable = false;
		std::string method;
		std::string path;
		std::string contentType;
		std::string body;
		std::string fingerprint;        ///< The same for all repeats of the request; empty: unknown.
		std::vector<std::string> parts; ///< Names of the parts of its prompt that other requests may share.

		bool operator==(const RunSpec&) const = default;
	};

	/// @returns What may crash upstreams under a run: its request, and the parts of its prompt.
	std::vector<std::string> suspectsOf(const RunSpec& _run);

	/// A chunk of a response.
	struct ResponseFrame
	{
		FrameHeader head;
		std::string bytes;
		int status = 0; ///< HTTP status of the upstream.
		std::string contentType;
		bool notRun = false; ///< In a failed frame: nothing reached the upstream.
		std::string crashed; ///< In a failed frame: incarnation of the upstream that ended during the run.

		bool operator==(const ResponseFrame&) const = default;
	};

	/// The agent has accepted the run, or refused it.
	struct VerdictEvent
	{
		bool accepted = false;
		RefusalReason reason = RefusalReason::None;
		Millis retryAfterMs = 0;

		bool operator==(const VerdictEvent&) const = default;
	};

	/// The link to the agent was lost.
	struct LinkLostEvent
	{
		bool neverSent = false; ///< It is proved that no byte of the dispatch was sent.

		bool operator==(const LinkLostEvent&) const = default;
	};

	/// Response to a revoke.
	struct RevokeEvent
	{
		bool available = false; ///< False while there is no link to the agent.
		RevokeState state = RevokeState::Unknown;

		bool operator==(const RevokeEvent&) const = default;
	};

	/// Response to a resume.
	struct ResumeEvent
	{
		bool available = false; ///< False while there is no link to the agent.
		bool known = false;

		bool operator==(const ResumeEvent&) const = default;
	};

	/// The caller's connection was closed because memory was short.
	struct CallerClosedEvent
	{
		bool operator==(const CallerClosedEvent&) const = default;
	};

	using CallEvent = std::variant<VerdictEvent, ResponseFrame, LinkLostEvent, RevokeEvent, ResumeEvent, CallerClosedEvent>;
} // namespace archdyke
