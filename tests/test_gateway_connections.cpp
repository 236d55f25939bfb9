/// Many new connections at one gateway, as when the platform hands it most of those of a zone.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "descriptor_limit.h"
#include "gateway_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr rlim_t kDescriptors = 128;      ///< Limit of the gateway's file descriptors.
	constexpr std::size_t kConnections = 300; ///< Connections that callers open at once.

	/// Connections that send nothing.
	class Connections
	{
	public:
		Connections(const std::string& _address, std::size_t _count)
		{
			const Address address = parseAddress(_address);
			sockaddr_in target{};
			target.sin_family = AF_INET;
			target.sin_port = htons(std::uint16_t(address.port));
			inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
			for (std::size_t index = 0; index < _count; ++index)
			{
				const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
				connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
				this->descriptors.push_back(descriptor);
			}
		}

		~Connections()
		{
			for (const int descriptor : this->descriptors)
			{
				close(descriptor);
			}
		}

		Connections(const Connections&) = delete;
		Connections& operator=(const Connections&) = delete;

	private:
		std::vector<int> descriptors;
	};

	/// A gateway with few file descriptors.
	struct FloodRig
	{
		GatewayRig rig{{"a"}};
		RigGateway gateway;

		FloodRig()
		{
			const LoweredDescriptorLimit limit(kDescriptors);
			this->gateway = this->rig.startGatewayNamed("gateway-of-few");
			this->gateway.waitReady(1);
		}
	};
} // namespace

/// Guards against a gateway that never accepts a connection again after it ran out of file descriptors once.
Test(gateway, a_flood_of_connections_stops_no_listener)
{
	FloodRig flood;
	{
		const Connections connections(flood.gateway.callers, kConnections);
		lab::pauseMs(500);
	}
	cr_assert(lab::waitUntil(3'000, [&] {
		return flood.gateway.isReady() && 200 == flood.gateway.call("/safe/x?do=ok", GatewayRig::headersFor("after")).status;
	}));
	cr_assert(std::string::npos == flood.gateway.process->output().find("accept_stopped"));
}

/// Guards against connections that take all file descriptors: those that are open are served, readiness is answered, and what
/// can't be served is closed unread at once, so that callers go elsewhere.
Test(gateway, a_flood_of_connections_leaves_room_for_requests)
{
	constexpr Millis kMaxRefusalMs = 300;
	FloodRig flood;
	httplib::Client kept = clientOf(flood.gateway.callers);
	kept.set_keep_alive(true);
	cr_assert(kept.Get("/safe/x?do=ok", GatewayRig::headersFor("before")));
	const Connections connections(flood.gateway.callers, kConnections);
	lab::pauseMs(500);
	const httplib::Result answer = kept.Get("/safe/x?do=ok", GatewayRig::headersFor("kept"));
	cr_assert(answer && 200 == answer->status, "an open connection isn't served");
	cr_assert(flood.gateway.isReady(), "readiness isn't answered");
	const Millis begun = nowMs();
	cr_assert(0 == flood.gateway.call("/safe/x?do=ok", GatewayRig::headersFor("new")).status);
	cr_assert(nowMs() - begun < kMaxRefusalMs, "a new connection is left unread for %ld ms", long(nowMs() - begun));
}
