/// A server in a thread of the test whose script writes any bytes: answers, parts of them, copies.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <criterion/criterion.h>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <fmt/format.h>

namespace archdyke::tests
{
	/// One accepted connection, used by its script.
	class ScriptedConnection
	{
	public:
		explicit ScriptedConnection(int _socket)
		    : socket(_socket)
		{
		}

		/// @returns The next complete request, head and body; none when the other side has closed.
		std::optional<std::string> request()
		{
			while (true)
			{
				const std::size_t head = this->received.find("\r\n\r\n");
				const std::size_t length = this->received.find("Content-Length: ");
				const std::size_t body = length < head ? std::stoul(this->received.substr(length + 16)) : 0;
				if (std::string::npos != head && this->received.size() >= head + 4 + body)
				{
					const std::string request = this->received.substr(0, head + 4 + body);
					this->received.erase(0, request.size());
					return request;
				}
				char buffer[4096];
				const ssize_t size = ::recv(this->socket, buffer, sizeof(buffer), 0);
				if (0 >= size)
				{
					return std::nullopt;
				}
				this->received.append(buffer, std::size_t(size));
			}
		}

		/// @returns Whether the other side still takes bytes.
		bool send(const std::string& _bytes)
		{
			for (std::size_t sent = 0; sent < _bytes.size();)
			{
				const ssize_t size = ::send(this->socket, _bytes.data() + sent, _bytes.size() - sent, MSG_NOSIGNAL);
				if (0 >= size)
				{
					return false;
				}
				sent += std::size_t(size);
			}
			return true;
		}

	private:
		int socket;
		std::string received;
	};

	class ScriptedServer
	{
	public:
		/// Runs for each connection, in a thread of its own; the connection is closed at its end.
		using Script = std::function<void(ScriptedConnection&)>;

		explicit ScriptedServer(Script _script)
		    : script(std::move(_script))
		    , listener(::socket(AF_INET, SOCK_STREAM, 0))
		{
			sockaddr_in address{};
			address.sin_family = AF_INET;
			address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
			socklen_t size = sizeof(address);
			cr_assert(0 == ::bind(this->listener, reinterpret_cast<sockaddr*>(&address), size));
			cr_assert(0 == ::listen(this->listener, 64));
			::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
			this->port = ntohs(address.sin_port);
			this->accepting = std::thread([this] {
				this->accept();
			});
		}

		~ScriptedServer()
		{
			::shutdown(this->listener, SHUT_RDWR);
			this->accepting.join();
			{
				const std::lock_guard lock(this->mutex);
				for (const int socket : this->sockets)
				{
					::shutdown(socket, SHUT_RDWR);
				}
			}
			for (std::thread& thread : this->threads)
			{
				thread.join();
			}
			::close(this->listener);
		}

		ScriptedServer(const ScriptedServer&) = delete;
		ScriptedServer& operator=(const ScriptedServer&) = delete;

		std::string address() const
		{
			return fmt::format("127.0.0.1:{}", this->port);
		}

		/// @returns Number of connections accepted so far.
		int connections() const
		{
			return this->accepted;
		}

	private:
		void accept()
		{
			for (int client = ::accept(this->listener, nullptr, nullptr); 0 <= client; client = ::accept(this->listener, nullptr, nullptr))
			{
				this->accepted += 1;
				const std::lock_guard lock(this->mutex);
				this->sockets.push_back(client);
				this->threads.emplace_back([this, client] {
					ScriptedConnection connection(client);
					this->script(connection);
					const std::lock_guard closing(this->mutex);
					std::erase(this->sockets, client);
					::close(client);
				});
			}
		}

		Script script;
		const int listener;
		int port = 0;
		std::atomic<int> accepted{0};
		std::mutex mutex;
		std::vector<int> sockets; ///< Of connections whose script runs.
		std::thread accepting;
		std::vector<std::thread> threads;
	};

	/// @returns The bytes of an answer.
	inline std::string answerOf(int _status, const std::string& _body, const std::string& _lines = "")
	{
		return fmt::format("HTTP/1.1 {} {}\r\n{}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}", _status, 200 == _status ? "OK" : "Other", _lines, _body.size(), _body);
	}

	/// Which bytes come a second time, and when.
	struct Repeat
	{
		std::size_t bytes = std::string::npos; ///< At the start of an answer; npos: all.
		bool late = true;                      ///< They come when the next request has arrived there, not with the answer.
	};

	/// Answers the requests of a connection, and sends what its answers began with again.
	/// @param[in] _answer Called with each request.
	inline void stutter(ScriptedConnection& _connection, const Repeat& _repeat, const std::function<std::string(const std::string& _request)>& _answer)
	{
		std::string behind;
		for (std::optional<std::string> request = _connection.request(); request; request = _connection.request())
		{
			const std::string answer = _answer(*request);
			const std::string again = answer.substr(0, _repeat.bytes);
			if (!_connection.send(behind + answer + (_repeat.late ? "" : again)))
			{
				return;
			}
			behind = _repeat.late ? again : "";
		}
	}
} // namespace archdyke::tests
