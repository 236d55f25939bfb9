/// Crowds of clients that don't behave, at the ports of a sidecar: it lives, stays within the memory of its machine and its
/// descriptors, and answers an ordinary call beside the crowd and after it.
#include <kj/async-io.h>

// Before Criterion, whose macros break Abseil's headers.
#include "group/rank_link.h"

#include "crowd.h"
#include "gateway_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// @returns A port that nobody listens on.
	unsigned freePort()
	{
		const int listener = socket(AF_INET, SOCK_STREAM, 0);
		sockaddr_in address = loopbackAddress(0);
		socklen_t size = sizeof(address);
		cr_assert(0 == bind(listener, reinterpret_cast<sockaddr*>(&address), size));
		cr_assert(0 == getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size));
		close(listener);
		return ntohs(address.sin_port);
	}

	/// A sidecar with little memory and few descriptors, whose engine doesn't answer.
	struct SidecarRig
	{
		ScratchDirectory directory;
		RigStore store{this->directory.path + "/store.log"};
		std::unique_ptr<lab::ChildProcess> process;
		const unsigned peerPort = freePort();
		const std::string peers = fmt::format("127.0.0.1:{}", this->peerPort);
		const std::string metrics = fmt::format("127.0.0.1:{}", freePort());

		SidecarRig()
		{
			const std::string path = this->directory.path + "/sidecar.json";
			std::ofstream(path) << Json{{"name", "side"}, {"zone", "here"}, {"ip", "127.0.0.1"}, {"peerPort", this->peerPort}, {"metrics", this->metrics}, {"store", this->store.address}, {"upstream", "127.0.0.1:9"}, {"service", "svc"}, {"memoryMb", kMemoryMb}, {"graceS", 8}}.dump();
			const LoweredDescriptorLimit limit(kDescriptors);
			this->process = std::make_unique<lab::ChildProcess>(std::string(ARCHDYKE_BIN_DIR) + "/archdyke-sidecar", std::vector<std::string>{"--settings", path}, this->directory.path + "/sidecar.log");
			cr_assert(this->answersMetrics());
		}

		bool answersMetrics() const
		{
			return lab::waitUntil(kAnswerWaitMs, [&] {
				const httplib::Result result = clientOf(this->metrics).Get("/metrics");
				return result && 200 == result->status;
			});
		}

		/// @returns Whether another daemon's call is answered, at the latest when it is made again.
		bool answersPeer() const
		{
			return lab::waitUntil(kAnswerWaitMs, [&] {
				kj::AsyncIoContext io = kj::setupAsyncIo();
				group::RankLink link({io.provider->getNetwork(), io.provider->getTimer()}, this->peers);
				try
				{
					link.join("127.0.0.1:1", "group", 2'000).take().wait(io.waitScope);
					return true;
				}
				catch (const kj::Exception&)
				{
					return false;
				}
			});
		}

		void checkCrowd(const std::string& _address, std::size_t _clients, const CrowdPlan& _plan)
		{
			const ProcessWatch watch(this->process->id(), {this->peerPort, unsigned(parseAddress(this->metrics).port)}, {});
			{
				const Crowd crowd(_address, _clients, _plan);
				crowd.waitUntilStuck();
				cr_expect(this->answersPeer(), "a peer isn't answered beside the crowd");
				cr_expect(this->answersMetrics(), "metrics aren't answered beside the crowd");
			}
			cr_expect(this->answersPeer(), "a peer isn't answered after the crowd");
			checkBounds(*this->process, watch);
		}
	};
} // namespace

Test(sidecarcrowds, messages_that_stop_short)
{
	SidecarRig rig;
	rig.checkCrowd(rig.peers, 60, {segmentTable(524'288), std::string(65'536, '\0'), 63});
}

Test(sidecarcrowds, messages_far_too_large)
{
	SidecarRig rig;
	rig.checkCrowd(rig.peers, 60, {segmentTable(8'000'000), std::string(65'536, '\0'), 900});
}

/// Connections to the ports for daemons and metrics that send nothing.
Test(sidecarcrowds, silent_connections)
{
	SidecarRig rig;
	const Crowd metrics(rig.metrics, 600, {"GET /metrics HTTP/1.1\r\n", "", 0});
	rig.checkCrowd(rig.peers, 450, {"", "", 0});
}

Test(sidecarcrowds, bodies_at_the_metrics)
{
	SidecarRig rig;
	rig.checkCrowd(rig.metrics, 300, {"POST /metrics HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf(65'536), 200});
}
