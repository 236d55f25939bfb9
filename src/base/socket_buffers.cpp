#include "base/socket_buffers.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace archdyke
{
	namespace
	{
		/// Size of the send buffer, bytes. With a smaller one than two segments of a loopback connection the other side delays its
		/// acknowledgements.
		constexpr int kSendBufferBytes = 65'536;
	} // namespace

	void limitSocketBuffers(int _socket, std::size_t _bytes)
	{
		const int size = int(_bytes);
		setsockopt(_socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
		setsockopt(_socket, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof(kSendBufferBytes));
		setsockopt(_socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &size, sizeof(size));
		const int yes = 1;
		setsockopt(_socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes)); // what is written in pieces doesn't wait for acknowledgements
	}
} // namespace archdyke
