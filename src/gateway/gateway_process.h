/// The gateway process: forwards callers' requests to HTTP upstreams.
#pragma once

#include "gateway/codec.h"
#include "gateway/watch.h"

namespace archdyke::gateway
{
	/// Functions and names that an adapter provides for one kind of deployment.
	struct Deployment
	{
		Codec codec;
		DocumentDecoders decoders;
		store::TableNames tables;
		std::unique_ptr<store::TableStore> (*makeStore)(http::LoopContext _loop, std::string _address);
	};

	/// Reads the command line and the settings, serves until a stop signal, and shuts down gracefully.
	/// @returns Exit code: 0, or 2 with a message when it can't start.
	int runGateway(const Deployment& _deployment, int _argc, char** _argv);
} // namespace archdyke::gateway
