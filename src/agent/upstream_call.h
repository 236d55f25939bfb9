/// HTTP calls of an agent to its upstream, an engine rank or a service.
#pragma once

#include "agent/agent_runs.h"

namespace archdyke
{
	/// @returns A call for use by one thread. Each run has a connection of its own.
	/// @param[in] _onBytes Called when more bytes of a streamed response are available.
	UpstreamCall makeUpstreamCall(const UpstreamSettings& _settings, std::function<void(const RunKey&)> _onBytes);

	/// @returns Whether the upstream responds to a health request.
	bool probeUpstream(const UpstreamSettings& _settings);
} // namespace archdyke
