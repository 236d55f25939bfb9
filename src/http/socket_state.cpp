#include "http/socket_state.h"

#include <cerrno>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace archdyke::http
{
	Waiting peek(const kj::AsyncIoStream& _stream)
	{
		KJ_IF_MAYBE (descriptor, _stream.getFd())
		{
			char byte = 0;
			const ssize_t size = recv(*descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
			const bool nothing = 0 > size && (EAGAIN == errno || EWOULDBLOCK == errno);
			return nothing ? Waiting::Nothing : 0 < size ? Waiting::Bytes
			                                             : Waiting::End;
		}
		return Waiting::Nothing;
	}

	std::size_t countWaiting(const kj::AsyncIoStream& _stream)
	{
		int waiting = 0;
		KJ_IF_MAYBE (descriptor, _stream.getFd())
		{
			const bool known = 0 == ioctl(*descriptor, FIONREAD, &waiting); // fails once the connection has ended
			waiting = known ? waiting : 0;
		}
		return std::size_t(waiting);
	}

	bool isHungUp(const kj::AsyncIoStream& _stream)
	{
		KJ_IF_MAYBE (descriptor, _stream.getFd())
		{
			pollfd state{*descriptor, POLLRDHUP, 0};
			return 0 < poll(&state, 1, 0) && 0 != (state.revents & (POLLRDHUP | POLLHUP | POLLERR));
		}
		return false;
	}
} // namespace archdyke::http
