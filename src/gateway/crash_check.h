/// Whether an upstream whose connection broke has ended: its port tells.
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

	/// A look whether an upstream's process is there.
	struct CrashCheck
	{
		Millis begunAt = 0;
		std::optional<bool> ended;       ///< Whether the process has ended; none: the look goes on.
		kj::ForkedPromise<void> looking; ///< Until it is known.
	};

	/// By incarnation.
	using CrashChecks = std::map<std::string, CrashCheck>;

	/// @returns The look at an upstream that broke a try; one that is under way or was just made serves all.
	CrashCheck& checkOf(GatewayState& _state, const UpstreamRecord& _upstream);
} // namespace archdyke::gateway
