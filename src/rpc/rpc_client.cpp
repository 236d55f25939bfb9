#include "rpc/rpc_client.h"

#include <capnp/message.h>
#include <cstdint>

namespace archdyke
{
	namespace
	{
		/// Maximum size of a message, bytes: several times the tables of the largest deployment, and a small part of a VM's memory.
		constexpr std::uint64_t kMaxMessageBytes = std::uint64_t(16) << 20;

		capnp::ReaderOptions readerOptions()
		{
			capnp::ReaderOptions options;
			options.traversalLimitInWords = kMaxMessageBytes / sizeof(capnp::word);
			return options;
		}
	} // namespace

	RpcClient::RpcClient(kj::AsyncIoStream& _stream)
	    : network(_stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions())
	    , rpc(capnp::makeRpcClient(this->network))
	{
	}

	capnp::Capability::Client RpcClient::bootstrap()
	{
		capnp::MallocMessageBuilder message;
		auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
		server.setSide(capnp::rpc::twoparty::Side::SERVER);
		return this->rpc.bootstrap(server);
	}

	kj::Promise<void> RpcClient::onDisconnect()
	{
		return this->network.onDisconnect();
	}
} // namespace archdyke
