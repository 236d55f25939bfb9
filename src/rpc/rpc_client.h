/// Client side of an RPC connection to another daemon.
#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

namespace archdyke
{
	/// Calls the interface at the other end of a stream. A message of the other side ends the connection if it is larger than any
	/// that daemons send.
	class RpcClient
	{
	public:
		/// @param[in] _stream Must outlive this object.
		explicit RpcClient(kj::AsyncIoStream& _stream);

		/// @returns The interface that the other side offers.
		capnp::Capability::Client bootstrap();

		kj::Promise<void> onDisconnect();

	private:
		capnp::TwoPartyVatNetwork network;
		capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
	};
} // namespace archdyke
