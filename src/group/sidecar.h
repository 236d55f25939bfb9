/// The daemon beside one engine rank: reports the rank's state, passes orders to the engine, and
/// coordinates the group when no other daemon does.
#pragma once

#include "gateway/gateway_process.h"
#include "group/engine_codec.h"

namespace archdyke::group
{
	/// What an adapter provides for one kind of deployment.
	struct SidecarDeployment
	{
		EngineCodec codec;
		gateway::DocumentDecoders decoders;
		store::TableNames tables;
		std::unique_ptr<store::TableStore> (*makeStore)(http::LoopContext _loop, std::string _address);
	};

	/// @returns Exit code: 0, or 2 with a message when it can't start.
	int runSidecar(const SidecarDeployment& _deployment, int _argc, char** _argv);
} // namespace archdyke::group
