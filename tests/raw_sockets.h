/// Blocking sockets on the loopback, for tests that send bytes which no HTTP library would.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <functional>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "base/address.h"
#include "base/process.h"

namespace archdyke::tests
{
	/// How a side ends its connection.
	enum class SocketEnd
	{
		Close,
		CloseSending, ///< Reads on until the other side closes.
		Reset
	};

	inline sockaddr_in loopbackAddress(unsigned _port)
	{
		sockaddr_in address{};
		address.sin_family = AF_INET;
		address.sin_port = htons(std::uint16_t(_port));
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		return address;
	}

	/// @returns Bytes that came before the end of a head, with it; fewer if the connection ended.
	inline std::string readHeadBytes(int _socket)
	{
		std::string bytes;
		char byte = 0;
		while (std::string::npos == bytes.find("\r\n\r\n") && 1 == recv(_socket, &byte, 1, 0))
		{
			bytes += byte;
		}
		return bytes;
	}

	inline void endSocket(int _socket, SocketEnd _how)
	{
		if (SocketEnd::CloseSending == _how)
		{
			shutdown(_socket, SHUT_WR);
			char byte = 0;
			while (0 < recv(_socket, &byte, 1, 0))
			{
			}
		}
		const linger reset{1, 0};
		if (SocketEnd::Reset == _how)
		{
			setsockopt(_socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		}
		close(_socket);
	}

	/// A listener on loopback that serves each connection on a thread of its own.
	class ConnectionServer
	{
	public:
		/// @param[in] _serve Called with each connection's socket, which it closes.
		explicit ConnectionServer(std::function<void(int)> _serve)
		    : serve(std::move(_serve))
		    , listener(socket(AF_INET, SOCK_STREAM, 0))
		{
			sockaddr_in local = loopbackAddress(0);
			socklen_t size = sizeof(local);
			cr_assert(0 == bind(this->listener, reinterpret_cast<sockaddr*>(&local), size) && 0 == listen(this->listener, SOMAXCONN));
			cr_assert(0 == getsockname(this->listener, reinterpret_cast<sockaddr*>(&local), &size));
			this->address = fmt::format("127.0.0.1:{}", ntohs(local.sin_port));
			this->thread = std::thread([this] {
				this->acceptAll();
			});
		}

		~ConnectionServer()
		{
			shutdown(this->listener, SHUT_RDWR);
			this->thread.join();
			close(this->listener);
		}

		ConnectionServer(const ConnectionServer&) = delete;
		ConnectionServer& operator=(const ConnectionServer&) = delete;

		std::string address; ///< "IP:port".

	private:
		void acceptAll()
		{
			constexpr timeval kMaxWait{2, 0}; // for connections that stay silent
			std::vector<std::thread> connections;
			for (int connection = accept(this->listener, nullptr, nullptr); 0 <= connection; connection = accept(this->listener, nullptr, nullptr))
			{
				setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &kMaxWait, sizeof(kMaxWait));
				connections.emplace_back([this, connection] {
					this->serve(connection);
				});
			}
			for (std::thread& connection : connections)
			{
				connection.join();
			}
		}

		const std::function<void(int)> serve;
		const int listener;
		std::thread thread;
	};

	/// A server that answers the first request of each connection with the bytes that it is told to, then ends the connection.
	class RawServer
	{
	public:
		struct Reply
		{
			std::string bytes;
			SocketEnd end = SocketEnd::Close;
			std::string late = ""; ///< Sent some ms later.
		};

		/// @param[in] _reply Makes the reply to a request's head.
		explicit RawServer(std::function<Reply(const std::string&)> _reply)
		    : reply(std::move(_reply))
		    , server([this](int _connection) {
			    this->answer(_connection);
		    })
		    , address(this->server.address)
		{
		}

		std::atomic<int> replies = 0;

	private:
		void answer(int _connection)
		{
			const std::string head = readHeadBytes(_connection);
			const Reply made = head.empty() ? Reply() : this->reply(head);
			this->replies += head.empty() ? 0 : 1;
			send(_connection, made.bytes.data(), made.bytes.size(), MSG_NOSIGNAL);
			if (!made.late.empty())
			{
				constexpr useconds_t kLateUs = 5'000;
				usleep(kLateUs);
				send(_connection, made.late.data(), made.late.size(), MSG_NOSIGNAL);
			}
			endSocket(_connection, made.end);
		}

		const std::function<Reply(const std::string&)> reply;
		const ConnectionServer server;

	public:
		const std::string address; ///< "IP:port". Behind the server, which chooses it.
	};

	constexpr int kNoAnswer = 0;   ///< The server closed without an answer.
	constexpr int kStillOpen = -1; ///< The server didn't close in time.

	/// Sends bytes again and again until the server closes or the time is over.
	/// @returns Status of the answer, kNoAnswer or kStillOpen.
	inline int sendEndless(const std::string& _address, const std::string& _start, const std::string& _block, Millis _pauseMs, Millis _maxMs)
	{
		const sockaddr_in address = loopbackAddress(unsigned(parseAddress(_address).port));
		const int client = socket(AF_INET, SOCK_STREAM, 0);
		cr_assert(0 == connect(client, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
		send(client, _start.data(), _start.size(), MSG_NOSIGNAL);
		const Millis until = nowMs() + _maxMs;
		std::string answer;
		bool ended = false;
		while (!ended && nowMs() < until)
		{
			send(client, _block.data(), _block.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
			char bytes[4'096];
			const ssize_t size = recv(client, bytes, sizeof(bytes), MSG_DONTWAIT);
			answer.append(bytes, 0 < size ? std::size_t(size) : 0);
			ended = 0 == size || (0 > size && EAGAIN != errno && EWOULDBLOCK != errno);
			if (0 < _pauseMs)
			{
				usleep(useconds_t(_pauseMs * 1'000));
			}
		}
		close(client);
		const int status = answer.starts_with("HTTP/1.1 ") ? std::atoi(answer.c_str() + 9) : kNoAnswer;
		return ended ? status : kStillOpen;
	}
} // namespace archdyke::tests
