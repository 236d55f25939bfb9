/// A server on loopback that answers each request with raw bytes.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <functional>
#include <mutex>
#include <netinet/tcp.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace archdyke::tests
{
	/// One request as received, and the connection that it came on.
	class RawExchange
	{
	public:
		RawExchange(int _socket, std::string _request, int _number, int _numberOnConnection)
		    : request(std::move(_request))
		    , number(_number)
		    , numberOnConnection(_numberOnConnection)
		    , socket(_socket)
		{
		}

		/// @returns false once the other side has closed the connection.
		bool send(std::string_view _bytes) const
		{
			while (!_bytes.empty())
			{
				const ssize_t sent = ::send(this->socket, _bytes.data(), _bytes.size(), MSG_NOSIGNAL);
				if (0 >= sent)
				{
					return false;
				}
				_bytes.remove_prefix(std::size_t(sent));
			}
			return true;
		}

		bool isFor(std::string_view _target) const
		{
			return std::string::npos != this->request.find(" " + std::string(_target) + " ");
		}

		const std::string request;
		const int number;             ///< Of all requests, from 0.
		const int numberOnConnection; ///< From 0.

	private:
		const int socket;
	};

	class RawServer
	{
	public:
		/// @param[in] _answer Called for each request, on a thread for each connection. Returns whether the connection stays open.
		explicit RawServer(std::function<bool(const RawExchange&)> _answer)
		    : answer(std::move(_answer))
		    , listener(::socket(AF_INET, SOCK_STREAM, 0))
		{
			sockaddr_in address{};
			address.sin_family = AF_INET;
			address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
			socklen_t size = sizeof(address);
			if (0 != ::bind(this->listener, reinterpret_cast<sockaddr*>(&address), size) || 0 != ::listen(this->listener, 256))
			{
				throw std::runtime_error("can't listen");
			}
			::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
			this->port = ntohs(address.sin_port);
			this->thread = std::thread([this] {
				this->acceptAll();
			});
		}

		~RawServer()
		{
			::shutdown(this->listener, SHUT_RDWR);
			this->thread.join();
			{
				const std::lock_guard lock(this->mutex);
				for (const int socket : this->sockets)
				{
					::shutdown(socket, SHUT_RDWR);
				}
			}
			for (std::thread& connection : this->connections)
			{
				connection.join();
			}
			::close(this->listener);
		}

		RawServer(const RawServer&) = delete;
		RawServer& operator=(const RawServer&) = delete;

		std::string address() const
		{
			return "127.0.0.1:" + std::to_string(this->port);
		}

	private:
		void acceptAll()
		{
			while (true)
			{
				const int socket = ::accept(this->listener, nullptr, nullptr);
				if (0 > socket)
				{
					return;
				}
				const int yes = 1;
				::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
				const std::lock_guard lock(this->mutex);
				this->sockets.push_back(socket);
				this->connections.emplace_back([this, socket] {
					this->serve(socket);
				});
			}
		}

		void serve(int _socket)
		{
			std::string received;
			for (int number = 0; true; ++number)
			{
				const std::string request = readRequest(_socket, received);
				if (request.empty() || !this->answer(RawExchange(_socket, request, this->requests++, number)))
				{
					break;
				}
			}
			const std::lock_guard lock(this->mutex);
			std::erase(this->sockets, _socket);
			::close(_socket);
		}

		static std::string readRequest(int _socket, std::string& _received)
		{
			while (true)
			{
				const std::size_t head = _received.find("\r\n\r\n");
				if (std::string::npos != head)
				{
					const std::string_view kLength = "Content-Length: ";
					const std::size_t at = _received.find(kLength);
					const std::size_t size = head + 4 + (at < head ? std::stoul(_received.substr(at + kLength.size())) : 0);
					if (size <= _received.size())
					{
						std::string request = _received.substr(0, size);
						_received.erase(0, size);
						return request;
					}
				}
				char buffer[4096];
				const ssize_t size = ::recv(_socket, buffer, sizeof(buffer), 0);
				if (0 >= size)
				{
					return "";
				}
				_received.append(buffer, std::size_t(size));
			}
		}

		const std::function<bool(const RawExchange&)> answer;
		const int listener;
		int port = 0;
		std::atomic<int> requests{0};
		std::mutex mutex;
		std::vector<int> sockets;
		std::vector<std::thread> connections;
		std::thread thread;
	};
} // namespace archdyke::tests
