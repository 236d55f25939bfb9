#include "base/http_server.h"

#include <absl/synchronization/mutex.h>
#include <algorithm>
#include <array>
#include <cstring>
#include <optional>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include "archdyke/errors.h"
#include "base/config.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		constexpr std::size_t kRefusalThreads = 4;
		constexpr int kMaxKeepAliveRequests = 1'000'000;
		constexpr int kKeepAliveTimeoutSeconds = 30;
		/// Time for a request to come whole once its server stops reading, ms.
		constexpr Millis kStopReadMs = 500;
		/// Interval between checks whether a server stops, ms.
		constexpr Millis kStopPollMs = 50;
		/// After a request that was cut short what its client still sends is read for this long, ms, so that the client sees the response.
		constexpr Millis kDiscardMs = 500;

		/// Set on threads that refuse all requests.
		thread_local bool isRefusalThread = false;

		using Job = std::function<void()>;

		/// Runs each connection on its own detached thread. The stacks are small, so that thousands of open streams
		/// fit into the memory of an entry VM.
		class ConnectionThreads : public httplib::TaskQueue
		{
		public:
			void enqueue(Job _job) override
			{
				{
					absl::MutexLock lock(&this->mutex);
					if (kMaxConnections <= this->count)
					{
						this->refusals.enqueue([job = std::move(_job)]() {
							isRefusalThread = true;
							job();
						});
						return;
					}
					this->count += 1;
				}
				this->startThread(std::move(_job));
			}

			void shutdown() override
			{
				this->refusals.shutdown();
				absl::MutexLock lock(&this->mutex);
				this->mutex.Await(absl::Condition(
				    +[](std::size_t* _count) {
					    return 0 == *_count;
				    },
				    &this->count));
			}

		private:
			struct Start
			{
				ConnectionThreads* threads;
				Job job;
			};

			static void* run(void* _start)
			{
				Start* start = static_cast<Start*>(_start);
				start->job();
				ConnectionThreads* threads = start->threads;
				delete start;
				absl::MutexLock lock(&threads->mutex);
				threads->count -= 1;
				return nullptr;
			}

			void startThread(Job _job)
			{
				pthread_attr_t attributes;
				pthread_attr_init(&attributes);
				pthread_attr_setstacksize(&attributes, kConnectionStackBytes);
				pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
				pthread_t thread{};
				Start* start = new Start{this, std::move(_job)};
				if (0 != pthread_create(&thread, &attributes, &ConnectionThreads::run, start))
				{
					ConnectionThreads::run(start);
				}
				pthread_attr_destroy(&attributes);
			}

			absl::Mutex mutex;
			std::size_t count ABSL_GUARDED_BY(mutex) = 0;
			httplib::ThreadPool refusals{kRefusalThreads};
		};

		/// Times for the next bytes of a connection, s.
		struct StreamTimeouts
		{
			time_t readS = 0;
			time_t writeS = 0;
		};

		/// @returns Whether the socket is ready for these events, or has ended, within the time.
		bool awaitSocket(socket_t _socket, short _events, Millis _ms)
		{
			pollfd state{_socket, _events, 0};
			return 0 < poll(&state, 1, int(_ms));
		}

		/// A connection's bytes, which are counted in the registry. A request that is longer than its limit is cut.
		class SocketStream final : public httplib::Stream
		{
		public:
			/// @param[in] _connection Null: bytes aren't counted.
			SocketStream(socket_t _socket, ConnectionRegistry::Connection* _connection, const StopTimes& _stop, std::size_t _maxBodyBytes, StreamTimeouts _timeouts)
			    : descriptor(_socket)
			    , connection(_connection)
			    , stop(_stop)
			    , maxBytes(kMaxHeadBytes + kMaxFramingFactor * _maxBodyBytes)
			    , timeouts(_timeouts)
			{
			}

			void beginRequest()
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

			bool hasBytes(Millis _waitMs) const
			{
				return this->begin < this->end || awaitSocket(this->descriptor, POLLIN, _waitMs);
			}

			bool is_readable() const override
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

			bool is_writable() const override
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

			/// Reads on, if the server stopped reading within a request, and drops what comes.
			void discardRest()
			{
				if (!this->isReadingOver())
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

			ssize_t read(char* _bytes, std::size_t _size) override
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

			ssize_t write(const char* _bytes, std::size_t _size) override
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

			void get_remote_ip_and_port(std::string&, int&) const override
			{
			}

			void get_local_ip_and_port(std::string&, int&) const override
			{
			}

			socket_t socket() const override
			{
				return this->descriptor;
			}

		private:
			static constexpr std::size_t kBufferBytes = 4'096;
			static constexpr std::size_t kMaxHeadBytes = 65'536;
			/// Bytes of a body in chunks of one byte, for each of its bytes.
			static constexpr std::size_t kMaxFramingFactor = 6;

			/// @returns Whether the request has had its time since the server stopped reading.
			bool isReadingOver() const
			{
				const Millis from = this->stop.readFrom;
				const Millis now = nowMs();
				return from <= now && kStopReadMs < now - std::max(from, this->begunAt);
			}

			/// @returns Whether bytes were read.
			bool fill()
			{
				if (this->maxBytes < this->received || !this->is_readable())
				{
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

			const socket_t descriptor;
			ConnectionRegistry::Connection* const connection;
			const StopTimes& stop;
			const std::size_t maxBytes;
			const StreamTimeouts timeouts;
			std::array<char, kBufferBytes> buffer{};
			Millis begunAt = 0;
			std::size_t begin = 0;
			std::size_t end = 0;
			std::size_t received = 0;  ///< Bytes of the request that is being read.
			std::size_t unsent = 0;    ///< Bytes of the response that were given to write() and not sent.
			std::size_t sentBytes = 0; ///< Bytes that were given with these and sent.
			bool ended = false;
		};

		httplib::Server::HandlerResponse refuseWhenFull(const httplib::Request&, httplib::Response& _response)
		{
			if (!isRefusalThread)
			{
				return httplib::Server::HandlerResponse::Unhandled;
			}
			_response.status = 503;
			_response.set_header("Retry-After", "1");
			_response.set_header("X-Archdyke-Outcome", "not-run");
			_response.set_content(R"({"error":{"message":"too many connections; retry in 1 s","outcome":"not-run"}})", "application/json");
			return httplib::Server::HandlerResponse::Handled;
		}
	} // namespace

	RegisteredServer::RegisteredServer(std::shared_ptr<ConnectionRegistry> _registry)
	    : registry(std::move(_registry))
	{
	}

	bool RegisteredServer::process_and_close_socket(socket_t _socket)
	{
		std::optional<ConnectionRegistry::Connection> connection;
		if (nullptr != this->registry)
		{
			connection.emplace(this->registry, _socket);
		}
		bool open = !connection || connection->isAdmitted();
		SocketStream stream(_socket, connection ? &*connection : nullptr, this->stopTimes, this->payload_max_length_, {this->read_timeout_sec_, this->write_timeout_sec_});
		for (std::size_t left = this->keep_alive_max_count_; open && 0 < left && this->awaitRequest(stream); --left)
		{
			stream.beginRequest();
			bool closed = false;
			open = this->process_request(stream, 1 == left || this->stopTimes.readFrom <= nowMs(), closed, nullptr) && !closed;
		}
		stream.discardRest();
		::shutdown(_socket, SHUT_RDWR);
		connection.reset(); // before the descriptor is used for another connection
		::close(_socket);
		return true;
	}

	bool RegisteredServer::awaitRequest(httplib::Stream& _stream) const
	{
		constexpr Millis kPollIntervalMs = 50;
		const Millis until = nowMs() + 1'000 * Millis(this->keep_alive_timeout_sec_);
		while (INVALID_SOCKET != this->svr_sock_ && nowMs() < until)
		{
			if (static_cast<SocketStream&>(_stream).hasBytes(kPollIntervalMs))
			{
				return true;
			}
		}
		return false;
	}

	HttpServer::HttpServer(std::shared_ptr<ConnectionRegistry> _registry)
	    : server(std::move(_registry))
	{
		this->server.new_task_queue = [] {
			return new ConnectionThreads();
		};
		this->server.set_pre_routing_handler(refuseWhenFull);
		this->server.set_tcp_nodelay(true);
		this->server.set_payload_max_length(kMaxBodyBytes);
		this->server.set_read_timeout(kCallerReadTimeoutSeconds);
		this->server.set_write_timeout(kCallerWriteTimeoutSeconds);
		this->server.set_keep_alive_max_count(kMaxKeepAliveRequests);
		this->server.set_keep_alive_timeout(kKeepAliveTimeoutSeconds);
		this->server.set_socket_options([this](socket_t _socket) {
			const int yes = 1;
			setsockopt(_socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
			this->listenSocket = _socket;
		});
	}

	HttpServer::~HttpServer()
	{
		this->stop();
	}

	httplib::Server& HttpServer::routes()
	{
		return this->server;
	}

	Address HttpServer::start(const Address& _address)
	{
		int port = _address.port;
		const bool bound = 0 == port ? 0 < (port = this->server.bind_to_any_port(_address.host.c_str())) : this->server.bind_to_port(_address.host.c_str(), port);
		if (!bound)
		{
			throw ArchdykeError("can't listen on " + toString(_address) + ": free the port or set another in the settings");
		}
		// The library listens with a queue of 5 connections, which overflows in a burst of new ones. A second call
		// to listen only changes the queue length.
		::listen(this->listenSocket, kListenBacklog);
		this->thread = std::thread([this] {
			this->server.listen_after_bind();
		});
		while (!this->server.is_running())
		{
			std::this_thread::yield();
		}
		return {_address.host, port};
	}

	void HttpServer::stopReading()
	{
		this->server.stopTimes.readFrom = nowMs();
	}

	void HttpServer::stop()
	{
		if (this->thread.joinable())
		{
			this->stopReading();
			this->server.stopTimes.writeUntil = nowMs() + 1'000 * Millis(kCallerWriteTimeoutSeconds);
			this->server.stop();
			this->thread.join();
		}
	}
} // namespace archdyke
