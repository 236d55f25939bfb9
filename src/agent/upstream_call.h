/// Calls of an agent to its engine or service, by HTTP.
#pragma once

#include "agent/agent_runs.h"

namespace archdyke
{
	/// @returns A call with a connection of its own, for one thread.
	/// @param[in] _onBytes Told when more of an answer is there.
	UpstreamCall makeUpstreamCall(const UpstreamSettings& _settings, std::function<void(const RunKey&)> _onBytes);

	/// @returns Whether the upstream takes connections.
	bool probeUpstream(const UpstreamSettings& _settings);
} // namespace archdyke
