/// Accepts connections for a Cap'n Proto server within a budget and closes those of unresponsive peers.
#pragma once

#include <capnp/capability.h>
#include <functional>
#include <kj/memory.h>
#include <string>

#include "base/http_server.h"
#include "base/metrics.h"
#include "http/resource_budget.h"
#include "rpc/rpc_loop.h"

namespace archdyke
{
	class RpcListener
	{
	public:
		/// Binds the address and starts to accept connections. Call it from any thread but the loop's.
		/// @param[in] _memoryMb Memory of the VM that this process may use, MiB.
		/// @throws ArchdykeError When the address can't be bound.
		RpcListener(RpcLoop& _loop, const Address& _address, std::function<capnp::Capability::Client()> _bootstrap, double _memoryMb, Metrics& _metrics);
		~RpcListener();
		RpcListener(const RpcListener&) = delete;
		RpcListener& operator=(const RpcListener&) = delete;

		const Address& address() const;

	private:
		struct State;

		RpcLoop& loop;
		http::ResourceCounters counters;
		Address bound;
		kj::Own<State> state;
	};
} // namespace archdyke
