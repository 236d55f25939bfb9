#include "base/socket_stream.h"

#include <algorithm>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

#include "base/process.h"

namespace archdyke
{
	namespace
	{
		/// Bytes of a request beyond those of its body.
		constexpr std::size_t kMaxHeadBytes = 65'536;
		/// Bytes of a body in chunks of one byte, for each of its bytes.
		constexpr std::size_t kMaxFramingFactor = 6;
		/// Time for a request to come whole once its server stops reading, ms.
		constexpr Millis kStopReadMs = 500;
		/// Interval between checks whether a server stops, ms.
		constexpr Millis kStopPollMs = 50;
		/// Time for which the rest of a request that was cut short is read, ms.
		constexpr Millis kDiscardMs = 500;

		/// @returns Whether the socket is ready for these events, or has ended, within the time.
		bool awaitSocket(socket_t _socket, short _events, Millis _ms)
		{
			pollfd state{_socket, _events, 0};
			return 0 < poll(&state, 1, int(_ms));
		}
	} // namespace

	SocketStream::SocketStream(socket_t _socket, ConnectionRegistry::Connection* _connection, const StopTimes& _stop, std::size_t _maxBodyBytes, StreamTimeouts _timeouts)
	    : descriptor(_socket)
	    , connection(_connection)
	    , stop(_stop)
	    , maxBytes(kMaxHeadBytes + kMaxFramingFactor * _maxBodyBytes)
	    , timeouts(_timeouts)
	{
	}

	void SocketStream::beginRequest()
	{
		this->begunAt = nowMs();
		this->received = 0;
		this->unsent = 0;
		this->sentBytes = 0;
		if (nullptr != this->connection)
		{
			this->connection->beginRequest();
		}
	}

	bool SocketStream::hasBytes(Millis _waitMs) const
	{
		return this->begin < this->end || awaitSocket(this->descriptor, POLLIN, _waitMs);
	}

	bool SocketStream::is_readable() const
	{
		const Millis until = nowMs() + 1'000 * Millis(this->timeouts.readS);
		while (nowMs() < until && !this->isReadingOver())
		{
			if (this->hasBytes(kStopPollMs))
			{
				return true;
			}
		}
		return false;
	}

	bool SocketStream::is_writable() const
	{
		const Millis until = nowMs() + 1'000 * Millis(this->timeouts.writeS);
		while (nowMs() < std::min<Millis>(until, this->stop.writeUntil))
		{
			if (awaitSocket(this->descriptor, POLLOUT, kStopPollMs))
			{
				return true;
			}
		}
		return false;
	}

	void SocketStream::discardRest()
	{
		if (!this->cutShort)
		{
			return;
		}
		::shutdown(this->descriptor, SHUT_WR);
		const Millis until = nowMs() + kDiscardMs;
		bool open = true;
		while (open && nowMs() < until)
		{
			if (awaitSocket(this->descriptor, POLLIN, kStopPollMs))
			{
				open = 0 < recv(this->descriptor, this->buffer.data(), this->buffer.size(), MSG_DONTWAIT);
			}
		}
	}

	ssize_t SocketStream::read(char* _bytes, std::size_t _size)
	{
		if (this->begin == this->end && !this->fill())
		{
			return this->ended ? 0 : -1;
		}
		const std::size_t size = std::min(_size, this->end - this->begin);
		std::memcpy(_bytes, this->buffer.data() + this->begin, size);
		this->begin += size;
		return ssize_t(size);
	}

	ssize_t SocketStream::write(const char* _bytes, std::size_t _size)
	{
		// The library calls again for what wasn't sent.
		const std::size_t more = _size - std::min(_size, this->unsent);
		this->unsent += more;
		if (nullptr != this->connection)
		{
			this->connection->holdResponse(more);
		}
		if (!this->is_writable())
		{
			return -1;
		}
		const ssize_t sent = send(this->descriptor, _bytes, _size, MSG_NOSIGNAL | MSG_DONTWAIT);
		const std::size_t done = std::size_t(std::max<ssize_t>(0, sent));
		this->unsent -= std::min(this->unsent, done);
		this->sentBytes += done;
		if (0 < done && nullptr != this->connection)
		{
			this->connection->recordSent(done);
		}
		if (0 == this->unsent && nullptr != this->connection)
		{
			this->connection->releaseSent(std::exchange(this->sentBytes, 0));
		}
		return sent;
	}

	void SocketStream::get_remote_ip_and_port(std::string&, int&) const
	{
	}

	void SocketStream::get_local_ip_and_port(std::string&, int&) const
	{
	}

	socket_t SocketStream::socket() const
	{
		return this->descriptor;
	}

	bool SocketStream::isReadingOver() const
	{
		const Millis from = this->stop.readFrom;
		const Millis now = nowMs();
		return from <= now && kStopReadMs < now - std::max(from, this->begunAt);
	}

	bool SocketStream::fill()
	{
		if (this->maxBytes < this->received)
		{
			return false;
		}
		if (!this->is_readable())
		{
			this->cutShort = 0 < this->received && this->isReadingOver();
			return false;
		}
		const ssize_t size = recv(this->descriptor, this->buffer.data(), this->buffer.size(), 0);
		this->ended = 0 == size;
		this->begin = 0;
		this->end = 0 < size ? std::size_t(size) : 0;
		this->received += this->end;
		if (0 < size && nullptr != this->connection)
		{
			this->connection->holdRequest(this->end);
		}
		return 0 < size;
	}
} // namespace archdyke
