/// A run as it travels from an entry to an agent, and what comes back.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "archdyke/relay.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// One request for one agent.
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

		bool operator==(const RunSpec&) const = default;
	};

	/// A piece of an answer with its bytes.
	struct AnswerFrame
	{
		FrameHeader head;
		std::string bytes;
		int status = 0; ///< HTTP status of the upstream.
		std::string contentType;
		bool notRun = false; ///< With failed: nothing reached the upstream.

		bool operator==(const AnswerFrame&) const = default;
	};

	/// The agent has started the run, or refuses it.
	struct VerdictEvent
	{
		bool accepted = false;
		RefusalReason reason = RefusalReason::None;
		Millis retryAfterMs = 0;

		bool operator==(const VerdictEvent&) const = default;
	};

	/// The link to the agent is lost.
	struct LinkLostEvent
	{
		bool neverSent = false; ///< Proved: no byte of the dispatch left.

		bool operator==(const LinkLostEvent&) const = default;
	};

	/// Answer to a revoke. Not available: no link to that incarnation now.
	struct RevokeEvent
	{
		bool available = false;
		RevokeState state = RevokeState::Unknown;

		bool operator==(const RevokeEvent&) const = default;
	};

	/// Answer to a resume.
	struct ResumeEvent
	{
		bool available = false;
		bool known = false;

		bool operator==(const ResumeEvent&) const = default;
	};

	using CallEvent = std::variant<VerdictEvent, AnswerFrame, LinkLostEvent, RevokeEvent, ResumeEvent>;
} // namespace archdyke
