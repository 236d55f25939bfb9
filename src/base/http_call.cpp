#include "base/http_call.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <memory>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include "base/process.h"
#include "base/socket_end.h"

namespace archdyke
{
	namespace
	{
		constexpr std::size_t kReadBufferBytes = 16'384;

		struct AddressListDeleter
		{
			void operator()(addrinfo* _list) const
			{
				freeaddrinfo(_list);
			}
		};

		bool isControl(char _c)
		{
			return (0 <= _c && _c < 0x20) || 0x7f == _c;
		}

		/// @returns The target, with what can't be part of a request line percent-encoded.
		std::string encodeTarget(std::string_view _target)
		{
			constexpr std::string_view kDigits = "0123456789ABCDEF";
			std::string encoded;
			for (const char c : _target)
			{
				if (' ' == c || 0x7f < static_cast<unsigned char>(c) || isControl(c))
				{
					const auto byte = static_cast<unsigned char>(c);
					encoded += {'%', kDigits[byte >> 4], kDigits[byte & 0xf]};
				}
				else
				{
					encoded += c;
				}
			}
			return encoded.empty() ? "/" : encoded;
		}

		std::string serialize(const Address& _address, const HttpRequest& _request)
		{
			std::string text = _request.method + " " + encodeTarget(_request.target) + " HTTP/1.1\r\nHost: " + toString(_address) + "\r\nConnection: close\r\nAccept: */*\r\n";
			for (const HttpHeader& header : _request.headers)
			{
				if (std::none_of(header.value.begin(), header.value.end(), isControl))
				{
					text += header.name + ": " + header.value + "\r\n";
				}
			}
			if (!_request.body.empty() || ("GET" != _request.method && "HEAD" != _request.method))
			{
				text += "Content-Length: " + std::to_string(_request.body.size()) + "\r\n";
			}
			return text + "\r\n" + _request.body;
		}

		/// A connection that is closed with its call.
		class Connection
		{
		public:
			explicit Connection(Millis _deadline)
			    : deadline(_deadline)
			{
			}

			Connection(const Connection&) = delete;
			Connection& operator=(const Connection&) = delete;

			~Connection()
			{
				this->close();
			}

			/// @returns Whether the connection is established; otherwise error is set.
			bool connect(const Address& _address, Millis _timeoutMs)
			{
				addrinfo hints{};
				hints.ai_family = AF_UNSPEC;
				hints.ai_socktype = SOCK_STREAM;
				hints.ai_flags = AI_NUMERICSERV;
				addrinfo* found = nullptr;
				const int failure = getaddrinfo(_address.host.c_str(), std::to_string(_address.port).c_str(), &hints, &found);
				if (0 != failure)
				{
					this->error = gai_strerror(failure);
					return false;
				}
				const std::unique_ptr<addrinfo, AddressListDeleter> list(found);
				const Millis until = std::min(this->deadline, nowMs() + _timeoutMs);
				for (const addrinfo* address = list.get(); nullptr != address; address = address->ai_next)
				{
					if (this->connectTo(*address, until))
					{
						return true;
					}
				}
				return false;
			}

			/// @returns Whether the other side has sent bytes.
			bool hasBytes() const
			{
				char byte = 0;
				return 0 < ::recv(this->descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
			}

			/// Waits until the deadline.
			/// @returns The events that are ready; 0 once it has passed.
			short wait(short _events) const
			{
				return waitFor(this->descriptor, _events, this->deadline);
			}

			/// @returns Number of bytes sent; 0 if the connection takes none now, or none any more.
			std::size_t send(std::string_view _bytes)
			{
				const ssize_t sent = ::send(this->descriptor, _bytes.data(), _bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
				if (0 > sent && !isTemporary())
				{
					this->writable = false; // what was received before is still read
				}
				return std::size_t(std::max<ssize_t>(0, sent));
			}

			/// @returns Number of bytes received; 0 at the end of the connection; none if there are none now. Sets error
			/// if the connection broke.
			std::optional<std::size_t> receive(std::array<char, kReadBufferBytes>& _buffer)
			{
				const ssize_t size = ::recv(this->descriptor, _buffer.data(), _buffer.size(), MSG_DONTWAIT);
				if (0 > size && isTemporary())
				{
					return std::nullopt;
				}
				if (0 > size)
				{
					this->error = std::strerror(errno);
				}
				const std::size_t received = std::size_t(std::max<ssize_t>(0, size));
				this->receivedBytes += received;
				return received;
			}

			/// @param[in] _requestWritten Whether the request was sent to its last byte.
			/// @returns How the connection has ended, once nothing was received.
			ConnectionEnd end(bool _requestWritten) const
			{
				return {finStateOf(this->descriptor, this->receivedBytes), _requestWritten};
			}

			std::string error;
			bool refused = false;
			bool writable = true;

		private:
			static bool isTemporary()
			{
				return EAGAIN == errno || EWOULDBLOCK == errno || EINTR == errno;
			}

			static short waitFor(int _descriptor, short _events, Millis _until)
			{
				while (true)
				{
					const Millis leftMs = _until - nowMs();
					if (0 >= leftMs)
					{
						return 0;
					}
					pollfd item{_descriptor, _events, 0};
					if (0 < ::poll(&item, 1, int(leftMs)))
					{
						return item.revents;
					}
				}
			}

			bool connectTo(const addrinfo& _address, Millis _until)
			{
				this->close();
				this->descriptor = ::socket(_address.ai_family, _address.ai_socktype | SOCK_CLOEXEC | SOCK_NONBLOCK, _address.ai_protocol);
				if (0 > this->descriptor)
				{
					this->error = std::strerror(errno);
					return false;
				}
				const int yes = 1;
				::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
				// A closed connection leaves no local port in TIME_WAIT: there is one connection per call.
				const linger reset{1, 0};
				::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
				int failure = 0 == ::connect(this->descriptor, _address.ai_addr, _address.ai_addrlen) ? 0 : errno;
				if (EINPROGRESS == failure)
				{
					socklen_t size = sizeof(failure);
					failure = ETIMEDOUT;
					if (0 != waitFor(this->descriptor, POLLOUT, _until))
					{
						::getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &failure, &size);
					}
				}
				this->error = 0 == failure ? "" : std::strerror(failure);
				this->refused = ECONNREFUSED == failure;
				return 0 == failure;
			}

			void close()
			{
				if (0 <= this->descriptor)
				{
					::close(this->descriptor);
					this->descriptor = -1;
				}
			}

			const Millis deadline;
			int descriptor = -1;
			std::uint64_t receivedBytes = 0;
		};

		/// @returns Text for logs and errors.
		std::string describe(const ConnectionEnd& _end)
		{
			const std::string how = isOrderly(_end) ? "ended by the other side" : "reset";
			return how + (_end.requestWritten ? "" : " before the request was sent");
		}

		HttpCallResult transfer(Connection& _connection, std::string_view _unsent, ResponseReader& _reader)
		{
			std::array<char, kReadBufferBytes> buffer;
			while (true)
			{
				const bool sending = !_unsent.empty() && _connection.writable;
				const short events = _connection.wait(short(POLLIN | (sending ? POLLOUT : 0)));
				if (0 == events)
				{
					return {HttpCallEnd::TimedOut, ResponseState::Incomplete, ""};
				}
				if (sending && 0 != (events & POLLOUT))
				{
					_unsent.remove_prefix(_connection.send(_unsent));
				}
				const std::optional<std::size_t> size = 0 == (events & ~POLLOUT) ? std::nullopt : _connection.receive(buffer);
				if (!size)
				{
					continue;
				}
				if (!_connection.error.empty())
				{
					return {HttpCallEnd::Broken, ResponseState::Closed, _connection.error};
				}
				const ConnectionEnd end = 0 == *size ? _connection.end(_unsent.empty()) : ConnectionEnd();
				const ResponseState state = 0 == *size ? _reader.readEnd(end) : _reader.read({buffer.data(), *size});
				if (ResponseState::Incomplete != state)
				{
					const std::string error = ResponseState::Closed == state ? describe(end) : "";
					return {ResponseState::Complete == state ? HttpCallEnd::Complete : HttpCallEnd::Broken, state, error};
				}
			}
		}
	} // namespace

	std::string toString(const HttpCallResult& _result)
	{
		switch (_result.end)
		{
		case HttpCallEnd::Complete:
			return "complete";
		case HttpCallEnd::NotConnected:
			return "not connected: " + _result.error;
		case HttpCallEnd::Unrequested:
			return "bytes before the request";
		case HttpCallEnd::TimedOut:
			return "timed out";
		default:
			return "response " + std::string(toString(_result.response)) + (_result.error.empty() ? "" : ": " + _result.error);
		}
	}

	HttpCallResult callHttp(const Address& _address, const HttpRequest& _request, const HttpCallLimits& _limits, ResponseReceiver _receiver)
	{
		Connection connection(nowMs() + _limits.timeoutMs);
		if (!connection.connect(_address, _limits.connectTimeoutMs))
		{
			return {HttpCallEnd::NotConnected, ResponseState::Incomplete, connection.error, connection.refused};
		}
		if (connection.hasBytes())
		{
			return {HttpCallEnd::Unrequested, ResponseState::Incomplete, ""};
		}
		const std::string text = serialize(_address, _request);
		const ResponseBody body = "HEAD" == _request.method ? ResponseBody::Absent : ResponseBody::Announced;
		ResponseReader reader(_limits.response, body, std::move(_receiver));
		return transfer(connection, text, reader);
	}

	std::optional<HttpResponse> fetchHttp(const Address& _address, const HttpRequest& _request, const HttpCallLimits& _limits, HttpCallResult* _result)
	{
		HttpResponse response;
		const ResponseReceiver receiver{[&](const HttpResponseHead& _head) {
			response.head = _head;
			return true;
		                                },
		                                [&](std::string_view _bytes) {
			response.body += _bytes;
			return true;
		}};
		const HttpCallResult result = callHttp(_address, _request, _limits, receiver);
		if (nullptr != _result)
		{
			*_result = result;
		}
		return HttpCallEnd::Complete == result.end ? std::optional(std::move(response)) : std::nullopt;
	}
} // namespace archdyke
