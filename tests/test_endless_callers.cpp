/// Processes that call servers whose answers don't end: they live, answer others meanwhile, and stay within the memory of their
/// machine. The gateway's calls of upstreams are in test_gateway_endless.cpp.
#include <kj/async-io.h>

// Before Criterion, whose macros break Abseil's headers.
#include "group/rank_link.h"

#include <criterion/criterion.h>
#include <cstring>
#include <fmt/format.h>
#include <thread>

#include "raw_answers.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr std::size_t kMiB = std::size_t(1) << 20;
} // namespace

/// Guards against a daemon that announces a message of any size and fills the memory of its caller with it.
Test(endlesscallers, a_message_of_a_peer_takes_little_memory)
{
	constexpr Millis kTimeoutMs = 2'000;
	constexpr std::size_t kMaxGrowthBytes = 24 * kMiB;
	// A segment table of one segment, in words of 8 bytes: just below the RPC library's own limit.
	constexpr std::uint32_t kSegmentWords = 8'000'000;
	std::string table(8, '\0');
	std::memcpy(table.data() + 4, &kSegmentWords, sizeof(kSegmentWords));
	const EndlessBytes bytes{"message", table, std::string(1, '\0')};
	const int listener = socket(AF_INET, SOCK_STREAM, 0);
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	socklen_t size = sizeof(address);
	cr_assert(0 == bind(listener, reinterpret_cast<sockaddr*>(&address), size) && 0 == listen(listener, 8) && 0 == getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size));
	std::thread peer([&] {
		const int connection = accept(listener, nullptr, nullptr);
		sendEndless(RawExchange(connection, "", 0, 0), bytes, 65'536, std::chrono::milliseconds(0));
		close(connection);
	});
	const std::size_t before = peakMemory();
	bool failed = false;
	{
		kj::AsyncIoContext io = kj::setupAsyncIo();
		group::RankLink link({io.provider->getNetwork(), io.provider->getTimer()}, fmt::format("127.0.0.1:{}", ntohs(address.sin_port)));
		try
		{
			link.join("127.0.0.1:1", "group", kTimeoutMs).take().wait(io.waitScope);
		}
		catch (const kj::Exception&)
		{
			failed = true;
		}
	}
	peer.join();
	close(listener);
	cr_expect(failed);
	cr_expect(peakMemory() - before <= kMaxGrowthBytes, "%zu KiB", (peakMemory() - before) / 1'024);
}
