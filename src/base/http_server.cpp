#include "base/http_server.h"

#include <absl/synchronization/mutex.h>
#include <optional>
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
