/// The gateway's process: takes callers' requests to upstreams that speak HTTP themselves.
#pragma once

#include "gateway/codec.h"
#include "gateway/watch.h"

namespace archdyke::gateway
{
	/// What an adapter brings for one kind of deployment.
	struct Deployment
	{
		Codec codec;
		DocumentDecoders decoders;
		store::TableNames tables;
		std::unique_ptr<store::TableStore> (*makeStore)(http::LoopParts _loop, std::string _address);
	};

	/// Reads the command line and the settings, serves until a stop signal, and ends whole.
	/// @returns Exit code: 0, or 2 with a message when it can't start.
	int runGateway(const Deployment& _deployment, int _argc, char** _argv);
} // namespace archdyke::gateway
