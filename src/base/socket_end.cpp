#include "base/socket_end.h"

#include <cstddef>
#include <linux/tcp.h> // the C library's tcp_info has no byte counts
#include <netinet/in.h>
#include <sys/socket.h>

namespace archdyke
{
	FinState finStateOf(int _socket, std::uint64_t _readBytes)
	{
		tcp_info info{};
		socklen_t size = sizeof(info);
		constexpr std::size_t kNeededBytes = offsetof(tcp_info, tcpi_bytes_received) + sizeof(info.tcpi_bytes_received);
		if (0 != getsockopt(_socket, IPPROTO_TCP, TCP_INFO, &info, &size) || size < kNeededBytes)
		{
			return FinState::Unknown;
		}
		// Linux counts sequence numbers that were received in order, of which a FIN has one.
		if (_readBytes + 1 == info.tcpi_bytes_received)
		{
			return FinState::Received;
		}
		return _readBytes == info.tcpi_bytes_received ? FinState::Missing : FinState::Unknown;
	}
} // namespace archdyke
