#include "rpc/rpc_listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include "archdyke/errors.h"
#include "base/log.h"
#include "base/process.h"
#include "rpc/peer_server.h"

namespace archdyke
{
	namespace
	{
		constexpr double kMiB = 1'048'576.0;
		/// The budget is one half of the memory that it is given; the other half is for callers and operators.
		constexpr double kMemoryDivisor = 2.0;
		/// Part of the descriptors for connections of peers; the rest is for callers, operators, other daemons and upstreams.
		constexpr std::size_t kDescriptorsPerPeer = 4;
	} // namespace

	struct RpcListener::State
	{
		State(kj::Timer& _timer, std::size_t _memoryBytes, http::ResourceCounters& _counters, capnp::Capability::Client _bootstrap, kj::Own<kj::ConnectionReceiver> _receiver)
		    : resources(_memoryBytes, descriptorLimit() / kDescriptorsPerPeer, _counters)
		    , server(_timer, this->resources, kj::mv(_bootstrap), descriptorLimit() / kDescriptorsPerPeer)
		    , receiver(kj::mv(_receiver))
		    , accepting(this->server.listen(*this->receiver).eagerlyEvaluate([](kj::Exception&& _error) {
			    logError("accept_stopped", {{"reason", _error.getDescription().cStr()}, {"remedy", "restart the process and report this"}});
		    }))
		{
		}

		http::ResourceBudget resources;
		PeerServer server;
		kj::Own<kj::ConnectionReceiver> receiver;
		kj::Promise<void> accepting;
	};

	RpcListener::RpcListener(RpcLoop& _loop, const Address& _address, std::function<capnp::Capability::Client()> _bootstrap, double _memoryMb, Metrics& _metrics)
	    : loop(_loop)
	    , counters(_metrics)
	    , bound(_address)
	{
		std::string error;
		this->loop.run([&] {
			try
			{
				sockaddr_in target{};
				target.sin_family = AF_INET;
				target.sin_port = htons(static_cast<std::uint16_t>(_address.port));
				if (1 != inet_pton(AF_INET, _address.host.c_str(), &target.sin_addr))
				{
					error = "not an IPv4 address";
					return;
				}
				kj::Own<kj::ConnectionReceiver> receiver = this->loop.network().getSockaddr(&target, sizeof(target))->listen();
				this->bound.port = int(receiver->getPort());
				this->state = kj::heap<State>(this->loop.timer(), std::size_t(_memoryMb * kMiB / kMemoryDivisor), this->counters, _bootstrap(), kj::mv(receiver));
			}
			catch (const kj::Exception& exception)
			{
				error = exception.getDescription().cStr();
			}
		});
		if (!error.empty())
		{
			throw ArchdykeError("can't listen on " + toString(_address) + " (" + error + "): free the port or set another in the settings");
		}
	}

	RpcListener::~RpcListener()
	{
		this->loop.run([this] {
			this->state = nullptr;
		});
	}

	const Address& RpcListener::address() const
	{
		return this->bound;
	}
} // namespace archdyke
