/// Accepts connections for a Cap'n Proto server and closes those of unresponsive peers.
#pragma once

#include <capnp/rpc-twoparty.h>
#include <string>

#include "base/http_server.h"
#include "rpc/rpc_loop.h"

namespace archdyke
{
	class RpcListener
	{
	public:
		/// Binds the address and starts to accept connections. Call it from any thread but the loop's.
		/// @throws ArchdykeError When the address can't be bound.
		RpcListener(RpcLoop& _loop, const Address& _address, std::function<capnp::Capability::Client()> _bootstrap);
		~RpcListener();
		RpcListener(const RpcListener&) = delete;
		RpcListener& operator=(const RpcListener&) = delete;

		const Address& address() const;

	private:
		struct State;

		RpcLoop& loop;
		Address bound;
		kj::Own<State> state;
	};
} // namespace archdyke
