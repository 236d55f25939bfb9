/// Finds out whether an upstream whose connection broke has ended, by connecting to its port.
#pragma once

#include <kj/async.h>
#include <map>
#include <optional>
#include <string>

#include "archdyke/types.h"
#include "archdyke/upstream_choice.h"

namespace archdyke::gateway
{
	struct GatewayState;

	/// Check whether an upstream's process has ended.
	struct CrashCheck
	{
		Millis startedAt = 0;
		std::optional<bool> ended;          ///< Whether the process has ended; none: the check is still running.
		kj::ForkedPromise<void> completion; ///< Resolves when the result is known.
	};

	/// By incarnation.
	using CrashChecks = std::map<std::string, CrashCheck>;

	/// @returns The check of an upstream whose connection broke. Starts one unless it is running, or has found just now that
	/// the process ended.
	CrashCheck& crashCheckFor(GatewayState& _state, const UpstreamRecord& _upstream);
} // namespace archdyke::gateway
