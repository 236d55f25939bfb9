/// Small stand-ins of the platform's store, of upstreams and of callers, for the cases of the second review. Blocking
/// sockets and one thread per connection; loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace standin
{
	using Json = nlohmann::json;
	using Headers = std::vector<std::pair<std::string, std::string>>;

	inline std::int64_t nowMs()
	{
		return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
	}

	inline void pauseMs(std::int64_t _ms)
	{
		std::this_thread::sleep_for(std::chrono::milliseconds(_ms));
	}

	/// Writes what was sent, answered and run. Thread-safe.
	class Record
	{
	public:
		explicit Record(const std::string& _path)
		    : file(std::fopen(_path.c_str(), "w"))
		    , startedAt(nowMs())
		{
			if (nullptr == this->file)
			{
				throw std::runtime_error("the record can't be opened: " + _path);
			}
		}

		void line(const std::string& _text)
		{
			const std::lock_guard<std::mutex> lock(this->mutex);
			std::fprintf(this->file, "%7.3f %s\n", double(nowMs() - this->startedAt) / 1000.0, _text.c_str());
			std::fflush(this->file);
		}

		void result(const std::string& _text)
		{
			this->line(_text);
			std::printf("%s\n", _text.c_str());
			std::fflush(stdout);
		}

	private:
		std::FILE* file;
		std::mutex mutex;
		std::int64_t startedAt;
	};

	inline bool equalNames(const std::string& _a, const std::string& _b)
	{
		return 0 == strcasecmp(_a.c_str(), _b.c_str());
	}

	inline std::string findHeader(const Headers& _headers, const std::string& _name)
	{
		for (const auto& [name, value] : _headers)
		{
			if (equalNames(name, _name))
			{
				return value;
			}
		}
		return "";
	}

	/// A request as an upstream or the store receives it, or a response as a caller receives it.
	struct Message
	{
		std::string start; ///< Request line or status line.
		std::string method;
		std::string target;
		int status = 0;
		Headers headers;
		std::string body;
		bool complete = false;
	};

	/// One TCP connection with buffered reads.
	class Socket
	{
	public:
		explicit Socket(int _descriptor = -1)
		    : descriptor(_descriptor)
		{
		}

		~Socket()
		{
			this->close();
		}

		Socket(const Socket&) = delete;
		Socket& operator=(const Socket&) = delete;

		bool connect(int _port, const std::string& _ip = "127.0.0.1")
		{
			this->close();
			this->buffer.clear();
			this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
			sockaddr_in address{};
			address.sin_family = AF_INET;
			address.sin_port = htons(std::uint16_t(_port));
			inet_pton(AF_INET, _ip.c_str(), &address.sin_addr);
			if (0 != ::connect(this->descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)))
			{
				this->close();
				return false;
			}
			this->setNoDelay();
			return true;
		}

		void setNoDelay()
		{
			const int on = 1;
			::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		}

		bool isOpen() const
		{
			return 0 <= this->descriptor;
		}

		void close()
		{
			if (0 <= this->descriptor)
			{
				::close(this->descriptor);
				this->descriptor = -1;
			}
		}

		/// Closes the connection by a reset.
		void reset()
		{
			const linger hard{1, 0};
			::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
			this->close();
		}

		bool send(const std::string& _bytes)
		{
			for (std::size_t sent = 0; sent < _bytes.size();)
			{
				const ssize_t count = ::send(this->descriptor, _bytes.data() + sent, _bytes.size() - sent, MSG_NOSIGNAL);
				if (count <= 0)
				{
					return false;
				}
				sent += std::size_t(count);
			}
			return true;
		}

		/// @returns Whether the other side has closed, without consuming bytes.
		bool isClosedByPeer()
		{
			char byte = 0;
			const ssize_t count = ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
			return 0 == count || (count < 0 && EAGAIN != errno && EWOULDBLOCK != errno);
		}

		/// Reads one message.
		/// @param[in] _response Whether it is a response, which may end with its connection.
		/// @returns Whether it was complete before the time was over.
		bool read(Message& _message, std::int64_t _until, bool _response, const std::function<void(const std::string&)>& _onBody = {})
		{
			_message = Message();
			std::size_t headEnd = std::string::npos;
			while (std::string::npos == (headEnd = this->buffer.find("\r\n\r\n")))
			{
				if (!this->fill(_until))
				{
					return false;
				}
			}
			this->parseHead(this->buffer.substr(0, headEnd), _message);
			this->buffer.erase(0, headEnd + 4);
			const std::string length = findHeader(_message.headers, "Content-Length");
			const bool chunked = equalNames(findHeader(_message.headers, "Transfer-Encoding"), "chunked");
			if (chunked)
			{
				_message.complete = this->readChunks(_message, _until, _onBody);
			}
			else if (!length.empty() || !_response)
			{
				const std::size_t size = length.empty() ? 0 : std::size_t(std::stoull(length));
				while (this->buffer.size() < size && this->fill(_until))
				{
				}
				_message.complete = size <= this->buffer.size();
				_message.body = this->buffer.substr(0, size);
				this->buffer.erase(0, size);
			}
			else
			{
				while (this->fill(_until))
				{
				}
				_message.body = this->buffer;
				this->buffer.clear();
				_message.complete = this->ended;
			}
			return _message.complete;
		}

		int descriptor = -1;

	private:
		/// Reads more bytes. @returns false at the end of the connection or of the time.
		bool fill(std::int64_t _until)
		{
			pollfd waiting{this->descriptor, POLLIN, 0};
			const std::int64_t left = _until - nowMs();
			if (left <= 0 || ::poll(&waiting, 1, int(std::min<std::int64_t>(left, 60'000))) <= 0)
			{
				return false;
			}
			char bytes[65536];
			const ssize_t count = ::recv(this->descriptor, bytes, sizeof(bytes), 0);
			this->ended = 0 == count;
			if (count <= 0)
			{
				return false;
			}
			this->buffer.append(bytes, std::size_t(count));
			return true;
		}

		static void parseHead(const std::string& _head, Message& _message)
		{
			std::istringstream lines(_head);
			std::string line;
			const auto withoutCr = [](std::string& _line) {
				if (!_line.empty() && '\r' == _line.back())
				{
					_line.pop_back();
				}
			};
			std::getline(lines, line);
			withoutCr(line);
			_message.start = line;
			std::istringstream words(line);
			std::string first;
			std::string second;
			words >> first >> second;
			_message.method = first;
			_message.target = second;
			_message.status = 0 == first.rfind("HTTP/", 0) ? std::atoi(second.c_str()) : 0;
			while (std::getline(lines, line))
			{
				withoutCr(line);
				const std::size_t colon = line.find(':');
				if (std::string::npos != colon)
				{
					const std::size_t begin = line.find_first_not_of(" \t", colon + 1);
					_message.headers.emplace_back(line.substr(0, colon), std::string::npos == begin ? "" : line.substr(begin));
				}
			}
		}

		bool readChunks(Message& _message, std::int64_t _until, const std::function<void(const std::string&)>& _onBody)
		{
			while (true)
			{
				std::size_t lineEnd = std::string::npos;
				while (std::string::npos == (lineEnd = this->buffer.find("\r\n")))
				{
					if (!this->fill(_until))
					{
						return false;
					}
				}
				const std::size_t size = std::size_t(std::stoull(this->buffer.substr(0, lineEnd), nullptr, 16));
				while (this->buffer.size() < lineEnd + 2 + size + 2)
				{
					if (!this->fill(_until))
					{
						return false;
					}
				}
				const std::string piece = this->buffer.substr(lineEnd + 2, size);
				this->buffer.erase(0, lineEnd + 2 + size + 2);
				if (0 == size)
				{
					return true;
				}
				_message.body += piece;
				if (_onBody)
				{
					_onBody(piece);
				}
			}
		}

		std::string buffer;
		bool ended = false;
	};

	/// A server with one thread per connection.
	class Server
	{
	public:
		/// @returns Whether to keep the connection open.
		using Handler = std::function<bool(const Message&, Socket&)>;

		explicit Server(Handler _handler, const std::string& _ip = "127.0.0.1", int _port = 0)
		    : handler(std::move(_handler))
		    , ip(_ip)
		{
			this->open(_port);
		}

		~Server()
		{
			this->stop();
		}

		Server(const Server&) = delete;
		Server& operator=(const Server&) = delete;

		int port() const
		{
			return this->boundPort;
		}

		std::string address() const
		{
			return this->ip + ":" + std::to_string(this->boundPort);
		}

		/// Closes the port and all connections, as a process that is killed.
		void stop()
		{
			this->generation += 1;
			const int old = this->listener.exchange(-1);
			if (0 <= old)
			{
				::shutdown(old, SHUT_RDWR);
				::close(old);
			}
			{
				const std::lock_guard<std::mutex> lock(this->mutex);
				for (const int descriptor : this->open_)
				{
					::shutdown(descriptor, SHUT_RDWR);
				}
			}
			if (this->accepting.joinable())
			{
				this->accepting.join();
			}
		}

		/// Opens the same port again, as a process that starts anew.
		void restart()
		{
			this->open(this->boundPort);
		}

		std::uint64_t life() const
		{
			return this->generation;
		}

	private:
		void open(int _port)
		{
			const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
			const int on = 1;
			::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
			sockaddr_in address{};
			address.sin_family = AF_INET;
			address.sin_port = htons(std::uint16_t(_port));
			inet_pton(AF_INET, this->ip.c_str(), &address.sin_addr);
			if (0 != ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) || 0 != ::listen(descriptor, 1024))
			{
				throw std::runtime_error("a port can't be opened");
			}
			socklen_t size = sizeof(address);
			::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
			this->boundPort = ntohs(address.sin_port);
			this->listener = descriptor;
			const std::uint64_t life = this->generation;
			this->accepting = std::thread([this, descriptor, life] {
				while (true)
				{
					const int client = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
					if (client < 0)
					{
						return;
					}
					std::thread([this, client, life] {
						this->serve(client, life);
					}).detach();
				}
			});
		}

		void serve(int _client, std::uint64_t _life)
		{
			Socket socket(_client);
			socket.setNoDelay();
			{
				const std::lock_guard<std::mutex> lock(this->mutex);
				this->open_.push_back(_client);
			}
			Message message;
			while (_life == this->generation && socket.read(message, nowMs() + 60'000, false) && _life == this->generation && this->handler(message, socket) && socket.isOpen())
			{
			}
			const std::lock_guard<std::mutex> lock(this->mutex);
			this->open_.remove(_client);
			socket.close();
		}

		Handler handler;
		std::string ip;
		int boundPort = 0;
		std::atomic<int> listener{-1};
		std::atomic<std::uint64_t> generation{0};
		std::thread accepting;
		std::mutex mutex;
		std::list<int> open_;
	};

	inline std::string base64(const std::string& _text)
	{
		static const char* const kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
		std::string encoded;
		for (std::size_t index = 0; index < _text.size(); index += 3)
		{
			const std::size_t left = std::min<std::size_t>(3, _text.size() - index);
			std::uint32_t bits = 0;
			for (std::size_t byte = 0; byte < 3; ++byte)
			{
				bits = bits << 8 | (byte < left ? std::uint8_t(_text[index + byte]) : 0U);
			}
			for (std::size_t digit = 0; digit < 4; ++digit)
			{
				encoded += digit <= left ? kDigits[bits >> (18 - 6 * digit) & 63] : '=';
			}
		}
		return encoded;
	}

	inline std::map<std::string, std::string> queryOf(const std::string& _target)
	{
		std::map<std::string, std::string> query;
		const std::size_t at = _target.find('?');
		std::istringstream fields(std::string::npos == at ? "" : _target.substr(at + 1));
		std::string field;
		while (std::getline(fields, field, '&'))
		{
			const std::size_t equals = field.find('=');
			std::string value;
			const std::string raw = std::string::npos == equals ? "" : field.substr(equals + 1);
			for (std::size_t index = 0; index < raw.size(); ++index)
			{
				if ('%' == raw[index] && index + 2 < raw.size())
				{
					value += char(std::stoi(raw.substr(index + 1, 2), nullptr, 16));
					index += 2;
				}
				else
				{
					value += raw[index];
				}
			}
			query[field.substr(0, equals)] = value;
		}
		return query;
	}

	/// The platform's store: rows in tables, transactions under conditions and a feed of changes.
	class Store
	{
	public:
		Store()
		    : server([this](const Message& _request, Socket& _socket) {
			    return this->serve(_request, _socket);
		    })
		    , refusingServer([this](const Message& _request, Socket& _socket) {
			    return this->refusesSome ? respond(_socket, 503, Json::object()) : this->serve(_request, _socket);
		    })
		{
		}

		/// @returns The address of the same store for daemons that it turns away while refusesSome is set.
		std::string refusingAddress() const
		{
			return this->refusingServer.address();
		}

		std::string address() const
		{
			return this->server.address();
		}

		/// Writes a row as the operator or an upstream does. The return is the confirmation.
		void put(const std::string& _table, const std::string& _key, const Json& _value)
		{
			const std::lock_guard<std::mutex> lock(this->mutex);
			this->newest += 1;
			this->rows[{_table, "", _key}] = {base64(_value.dump()), this->newest, false};
			this->changed.notify_all();
		}

		void remove(const std::string& _table, const std::string& _key)
		{
			const std::lock_guard<std::mutex> lock(this->mutex);
			this->newest += 1;
			this->rows[{_table, "", _key}] = {"", this->newest, true};
			this->changed.notify_all();
		}

		std::atomic<bool> busy{false};        ///< Answers all daemons with 503.
		std::atomic<bool> refusesSome{false}; ///< Answers those at refusingAddress() with 503.
		std::atomic<bool> silent{false};      ///< Answers no daemon.

	private:
		struct Stored
		{
			std::string value;
			std::uint64_t version = 0;
			bool gone = false;
		};
		using Name = std::tuple<std::string, std::string, std::string>;

		static Json rowJson(const Name& _name, const Stored& _row)
		{
			Json row{{"table", std::get<0>(_name)}, {"part", std::get<1>(_name)}, {"key", std::get<2>(_name)}, {"ver", _row.version}};
			if (_row.gone)
			{
				row["gone"] = true;
			}
			else
			{
				row["value"] = _row.value;
			}
			return row;
		}

		static bool respond(Socket& _socket, int _status, const Json& _body)
		{
			const std::string body = _body.dump();
			std::string bytes = "HTTP/1.1 " + std::to_string(_status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
			return _socket.send(bytes);
		}

		Json footer() const
		{
			return {{"ver", this->newest}, {"now_ms", nowMs() - this->startedAt + 1'000}};
		}

		bool serve(const Message& _request, Socket& _socket)
		{
			pauseMs(4);
			if (this->silent)
			{
				return sayNothing(_socket);
			}
			if (this->busy)
			{
				return respond(_socket, 503, Json::object());
			}
			const std::string path = _request.target.substr(0, _request.target.find('?'));
			std::map<std::string, std::string> query = queryOf(_request.target);
			if ("/rows-tx" == path)
			{
				return this->transact(Json::parse(_request.body), _socket);
			}
			if ("/rows-get" == path)
			{
				return this->get(query, _socket);
			}
			if ("/rows-feed" == path)
			{
				return this->feed(query, _socket);
			}
			return respond(_socket, 404, Json::object());
		}

		/// Once an answer is lost on a connection, that connection says nothing more.
		static bool sayNothing(Socket& _socket)
		{
			while (!_socket.isClosedByPeer())
			{
				pauseMs(20);
			}
			return false;
		}

		static Name nameOf(const Json& _row)
		{
			return {_row.value("table", ""), _row.value("part", ""), _row.value("key", "")};
		}

		bool transact(const Json& _body, Socket& _socket)
		{
			Json answer;
			bool holds = true;
			{
				const std::lock_guard<std::mutex> lock(this->mutex);
				Json present = Json::array();
				for (const Json& expected : _body.value("expectedRev", Json::array()))
				{
					const Name name = nameOf(expected);
					const auto found = this->rows.find(name);
					const bool there = this->rows.end() != found && !found->second.gone;
					const std::uint64_t version = there ? found->second.version : 0;
					holds = holds && version == expected.value("ver", std::uint64_t(0));
					present.push_back(there ? rowJson(name, found->second) : Json{{"table", std::get<0>(name)}, {"part", std::get<1>(name)}, {"key", std::get<2>(name)}, {"ver", 0}});
				}
				if (holds)
				{
					this->newest += 1;
					for (const Json& row : _body.value("put", Json::array()))
					{
						this->rows[nameOf(row)] = {row.value("value", ""), this->newest, false};
					}
					for (const Json& row : _body.value("remove", Json::array()))
					{
						const auto found = this->rows.find(nameOf(row));
						if (this->rows.end() != found)
						{
							found->second = {"", this->newest, true};
						}
					}
					this->changed.notify_all();
				}
				answer = this->footer();
				if (!holds)
				{
					answer["rows"] = present;
				}
			}
			return respond(_socket, holds ? 200 : 412, answer);
		}

		bool get(std::map<std::string, std::string>& _query, Socket& _socket)
		{
			Json answer;
			{
				const std::lock_guard<std::mutex> lock(this->mutex);
				answer = this->footer();
				answer["rows"] = Json::array();
				answer["more"] = false;
				for (const auto& [name, row] : this->rows)
				{
					if (std::get<0>(name) == _query["table"] && std::get<1>(name) == _query["part"] && std::get<2>(name) >= _query["from"] && !row.gone)
					{
						answer["rows"].push_back(rowJson(name, row));
					}
				}
			}
			return respond(_socket, 200, answer);
		}

		bool feed(std::map<std::string, std::string>& _query, Socket& _socket)
		{
			const std::uint64_t since = std::stoull(_query["sinceRev"]);
			const std::int64_t until = nowMs() + std::stoll(_query["waitMs"]);
			Json answer;
			{
				std::unique_lock<std::mutex> lock(this->mutex);
				while (true)
				{
					std::map<std::uint64_t, Json> found;
					for (const auto& [name, row] : this->rows)
					{
						if (std::get<0>(name) == _query["table"] && since < row.version)
						{
							found.emplace(row.version * 1'000 + found.size(), rowJson(name, row));
						}
					}
					answer = this->footer();
					answer["rows"] = Json::array();
					for (const auto& [order, row] : found)
					{
						answer["rows"].push_back(row);
					}
					if (!found.empty() || until <= nowMs() || this->silent || this->busy)
					{
						break;
					}
					this->changed.wait_for(lock, std::chrono::milliseconds(20));
					if (_socket.isClosedByPeer())
					{
						return false;
					}
				}
			}
			if (this->silent)
			{
				return sayNothing(_socket);
			}
			return this->busy ? respond(_socket, 503, Json::object()) : respond(_socket, 200, answer);
		}

		std::int64_t startedAt = nowMs();
		std::mutex mutex;
		std::condition_variable changed;
		std::map<Name, Stored> rows;
		std::uint64_t newest = 0;
		Server server;
		Server refusingServer;
	};

	/// A child process, killed with its parent and by the destructor.
	class Process
	{
	public:
		Process(const std::vector<std::string>& _command, const std::map<std::string, std::string>& _environment, const std::string& _log)
		    : log(_log)
		{
			::unlink(_log.c_str()); // lines of an earlier process must not be taken for this one's
			this->pid = ::fork();
			if (0 == this->pid)
			{
				::prctl(PR_SET_PDEATHSIG, SIGKILL);
				const int output = ::open(_log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
				::dup2(output, STDOUT_FILENO);
				::dup2(output, STDERR_FILENO);
				for (const auto& [name, value] : _environment)
				{
					::setenv(name.c_str(), value.c_str(), 1);
				}
				std::vector<char*> arguments;
				for (const std::string& word : _command)
				{
					arguments.push_back(const_cast<char*>(word.c_str()));
				}
				arguments.push_back(nullptr);
				::execv(arguments.front(), arguments.data());
				::_exit(127);
			}
		}

		~Process()
		{
			this->signal(SIGKILL);
			this->wait();
		}

		Process(const Process&) = delete;
		Process& operator=(const Process&) = delete;

		void signal(int _signal)
		{
			if (0 < this->pid && !this->ended)
			{
				::kill(this->pid, _signal);
			}
		}

		void wait()
		{
			if (!this->ended)
			{
				::waitpid(this->pid, &this->status, 0);
				this->ended = true;
			}
		}

		bool running()
		{
			if (!this->ended && this->pid == ::waitpid(this->pid, &this->status, WNOHANG))
			{
				this->ended = true;
			}
			return !this->ended;
		}

		/// @returns The value of a field of a line of the log; empty when there is none yet.
		std::string field(const std::string& _event, const std::string& _name) const
		{
			std::ifstream lines(this->log);
			std::string line;
			while (std::getline(lines, line) && !lines.eof()) // the last line may still be incomplete
			{
				const std::size_t at = line.find(" " + _name + "=");
				if (std::string::npos != line.find("event=" + _event) && std::string::npos != at)
				{
					const std::size_t begin = at + _name.size() + 2;
					return line.substr(begin, line.find_first_of(" \r\n", begin) - begin);
				}
			}
			return "";
		}

		std::string log;
		pid_t pid = -1;
		int status = 0;
		bool ended = false;
	};

	inline int portOf(const std::string& _address)
	{
		return std::atoi(_address.substr(_address.rfind(':') + 1).c_str());
	}

	/// One gateway, started with the command of deploy/system.toml and settings as its template makes them.
	class Gateway
	{
	public:
		Gateway(const std::string& _directory, const std::string& _name, const std::string& _store)
		{
			const std::string settings = _directory + "/" + _name + ".json";
			// deploy/gateway.json with the bounds of the small deployment; ports are chosen by the kernel.
			std::ofstream(settings) << Json{{"name", _name}, {"zone", "jackson-hall"}, {"ip", "127.0.0.1"}, {"peerPort", 7340}, {"metrics", "127.0.0.1:0"}, {"store", _store}, {"linkMbps", 1000.0}, {"callers", "127.0.0.1:0"}, {"readiness", "127.0.0.1:0"}, {"revocationMs", 5000}, {"strictRevocation", true}, {"configurationMs", 2000}, {"drainMs", 2000}, {"retryRatio", 0.2}, {"retryWindowS", 10}, {"retryAllowance", 90}, {"stallMs", 1500}, {"graceS", 8}}.dump(1);
			this->process = std::make_unique<Process>(std::vector<std::string>{"target/archdyke-gateway", "--settings-from", "ARCHDYKE_NODE_FILE"}, std::map<std::string, std::string>{{"ARCHDYKE_NODE_FILE", settings}}, _directory + "/" + _name + ".log");
			const std::int64_t until = nowMs() + 20'000;
			while (this->process->field("listening", "http").empty())
			{
				if (until <= nowMs() || !this->process->running())
				{
					throw std::runtime_error("the gateway doesn't start; see " + this->process->log);
				}
				pauseMs(20);
			}
			this->callers = portOf(this->process->field("listening", "http"));
			this->readiness = portOf(this->process->field("listening", "readiness"));
			this->metrics = portOf(this->process->field("listening", "metrics"));
		}

		bool isReady() const
		{
			Socket socket;
			Message answer;
			return socket.connect(this->readiness) && socket.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n") && socket.read(answer, nowMs() + 1'000, true) && 200 == answer.status;
		}

		Json dump() const
		{
			Socket socket;
			Message answer;
			const bool read = socket.connect(this->metrics) && socket.send("GET /dump HTTP/1.1\r\nHost: x\r\n\r\n") && socket.read(answer, nowMs() + 1'000, true);
			return read ? Json::parse(answer.body, nullptr, false) : Json();
		}

		void waitReady(std::size_t _upstreams) const
		{
			const std::int64_t until = nowMs() + 20'000;
			while (true)
			{
				const Json dump = this->dump();
				if (this->isReady() && dump.is_object() && _upstreams == dump["upstreams"].size())
				{
					return;
				}
				if (until <= nowMs())
				{
					throw std::runtime_error("the gateway isn't ready in 20 s");
				}
				pauseMs(50);
			}
		}

		std::unique_ptr<Process> process;
		int callers = 0;
		int readiness = 0;
		int metrics = 0;
	};

	/// A folder that is removed by the destructor.
	class Folder
	{
	public:
		Folder()
		{
			std::string pattern = "/tmp/archdyke-review-XXXXXX";
			if (nullptr == ::mkdtemp(pattern.data()))
			{
				throw std::runtime_error("no temporary folder");
			}
			this->path = pattern;
		}

		~Folder()
		{
			if (nullptr == std::getenv("KEEP"))
			{
				const std::string command = "rm -rf '" + this->path + "'";
				if (0 != std::system(command.c_str()))
				{
					std::fprintf(stderr, "%s stays\n", this->path.c_str());
				}
			}
		}

		std::string path;
	};

	/// @returns Whether the script plays the disruption.
	inline bool isTroubled()
	{
		const char* value = std::getenv("TROUBLE");
		return nullptr == value || 0 != std::strcmp(value, "0");
	}

	/// The route of a class of requests of the small deployment.
	inline Json routeOf(const std::string& _name, const std::string& _kind, int _attempts, const std::string& _service = "recipe-lookup")
	{
		return {{"name", _name}, {"host", "menus.example"}, {"pathPrefix", "/" + _name + "/"}, {"routeKind", _kind}, {"timeoutMs", 800}, {"sloMs", 300}, {"priority", 2}, {"service", _service}, {"maxAttempts", _attempts}, {"public", false}};
	}

	inline Json configurationOf(std::uint64_t _version, const Json& _routes, const Json& _tenants)
	{
		return {{"version", _version}, {"routes", _routes}, {"services", Json::array({{{"name", "recipe-lookup"}, {"healthPath", "/healthz"}, {"maxConns", 100}, {"protocol", "h1"}, {"tls", false}}})}, {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}, {"tenants", _tenants}};
	}

	inline Json upstreamOf(const std::string& _address, const std::string& _zone, int _slots = 6)
	{
		return {{"service", "recipe-lookup"}, {"address", _address}, {"zone", _zone}, {"version", "v1"}, {"slots", _slots}, {"state", "ready"}, {"coldLeftMs", 0}, {"seq", 1}};
	}

	/// @returns Exit code 2 with a reason when a case couldn't run.
	inline int runCase(const std::function<int()>& _case)
	{
		std::signal(SIGPIPE, SIG_IGN);
		try
		{
			return _case();
		}
		catch (const std::exception& error)
		{
			std::fprintf(stderr, "the case couldn't run: %s\n", error.what());
			return 2;
		}
	}
} // namespace standin
