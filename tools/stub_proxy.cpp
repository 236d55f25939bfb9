/// TCP proxy that injects faults: one process with many links.
///
/// Options: {}. Control routes:
///   POST /links      {"name", "target"}           returns {"address"}
///   GET  /counts     bytes forwarded on each link
///   POST /faults     {"name", "delayMs"?, "cutToTarget"?, "cutToClient"?, "holdExisting"?, "reset"?}
/// cutToTarget and cutToClient hold bytes back in one direction without closing the connection; they
/// are delivered once the fault is cleared. holdExisting does the same, in both directions, for the
/// connections that are open now; new ones are not affected. reset resets all connections of the link.
/// A side that ends in order is ended in order towards the other one; one that is reset resets the other one.
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <list>
#include <map>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "base/http_server.h"
#include "base/log.h"
#include "base/process.h"
#include "base/socket_end.h"
#include "stub_main.h"

namespace archdyke::stub
{
	namespace
	{
		using Json = nlohmann::json;

		/// Size of the system's buffers for bytes towards the target, each.
		constexpr int kBufferBytes = 65'536;

		struct LinkFaults
		{
			Millis delayMs = 0;
			bool cutToTarget = false;
			bool cutToClient = false;
		};

		sockaddr_in toSockaddr(const Address& _address)
		{
			sockaddr_in result{};
			result.sin_family = AF_INET;
			result.sin_port = htons(static_cast<std::uint16_t>(_address.port));
			inet_pton(AF_INET, _address.host.c_str(), &result.sin_addr);
			return result;
		}

		/// The two sockets of one connection through a link.
		struct Connection
		{
			const int client;
			const int target;
			bool isHeld = false;
			std::atomic<bool> isBroken{false}; ///< It is reset once all bytes were forwarded.
		};

		/// Ends a connection as broken. Its threads stop waiting for bytes.
		void breakConnection(Connection& _connection)
		{
			_connection.isBroken = true;
			::shutdown(_connection.client, SHUT_RD);
			::shutdown(_connection.target, SHUT_RD);
		}

		/// Closes a socket. The other side is told of a reset if the connection is broken.
		void closeSocket(int _socket, bool _isBroken)
		{
			const linger reset{1, 0};
			if (_isBroken)
			{
				::setsockopt(_socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
			}
			::close(_socket);
		}

		class Link
		{
		public:
			explicit Link(const std::string& _target)
			    : target(toSockaddr(parseAddress(_target)))
			    , listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
			{
				sockaddr_in local = toSockaddr({"127.0.0.1", 0});
				if (0 != ::bind(this->listener, reinterpret_cast<sockaddr*>(&local), sizeof(local)))
				{
					throw std::runtime_error("failed to bind a port on the loopback interface");
				}
				::listen(this->listener, 1024);
				socklen_t size = sizeof(local);
				::getsockname(this->listener, reinterpret_cast<sockaddr*>(&local), &size);
				this->port = ntohs(local.sin_port);
				std::thread([this] {
					this->acceptLoop();
				})
				    .detach();
			}

			int listenPort() const
			{
				return this->port;
			}

			/// @returns Bytes forwarded so far, in both directions.
			std::uint64_t bytes() const
			{
				return this->forwardedBytes;
			}

			void setFaults(const Json& _json)
			{
				absl::MutexLock lock(&this->mutex);
				this->faults.delayMs = _json.value("delayMs", this->faults.delayMs);
				this->faults.cutToTarget = _json.value("cutToTarget", this->faults.cutToTarget);
				this->faults.cutToClient = _json.value("cutToClient", this->faults.cutToClient);
				if (_json.contains("holdExisting"))
				{
					for (const std::shared_ptr<Connection>& connection : this->connections)
					{
						connection->isHeld = _json["holdExisting"];
					}
				}
				if (_json.value("reset", false))
				{
					for (const std::shared_ptr<Connection>& connection : this->connections)
					{
						breakConnection(*connection);
					}
				}
			}

		private:
			void acceptLoop()
			{
				while (true)
				{
					const int client = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
					if (0 <= client)
					{
						std::thread([this, client] {
							this->serve(client);
						})
						    .detach();
					}
				}
			}

			void serve(int _client)
			{
				// A cut delays the first bytes of a connection, not the TCP handshake: retries of
				// TCP itself are not modelled.
				const int upstream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
				const int enable = 1;
				::setsockopt(upstream, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
				::setsockopt(_client, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
				// A side that doesn't read stalls the other one soon, as it does without a proxy.
				::setsockopt(upstream, SOL_SOCKET, SO_SNDBUF, &kBufferBytes, sizeof(kBufferBytes));
				::setsockopt(_client, SOL_SOCKET, SO_RCVBUF, &kBufferBytes, sizeof(kBufferBytes));
				if (0 != ::connect(upstream, reinterpret_cast<const sockaddr*>(&this->target), sizeof(this->target)))
				{
					::close(upstream);
					::close(_client);
					return;
				}
				const std::shared_ptr<Connection> connection(new Connection{_client, upstream});
				{
					absl::MutexLock lock(&this->mutex);
					this->connections.push_back(connection);
				}
				std::thread toClient([this, upstream, _client, connection] {
					this->pump(*connection, upstream, _client, &LinkFaults::cutToClient);
				});
				this->pump(*connection, _client, upstream, &LinkFaults::cutToTarget);
				toClient.join();
				absl::MutexLock lock(&this->mutex);
				this->connections.remove(connection);
				closeSocket(upstream, connection->isBroken);
				closeSocket(_client, connection->isBroken);
			}

			void awaitDelivery(const Connection& _connection, bool LinkFaults::*_cut)
			{
				absl::MutexLock lock(&this->mutex);
				if (0 < this->faults.delayMs)
				{
					const bool never = false;
					this->mutex.AwaitWithTimeout(absl::Condition(&never), absl::Milliseconds(this->faults.delayMs));
				}
				const auto isOpen = [this, _cut, &_connection]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
					return !(this->faults.*_cut) && !_connection.isHeld;
				};
				this->mutex.Await(absl::Condition(&isOpen));
			}

			/// Sends bytes, until the connection is broken.
			/// @returns Whether all were sent.
			static bool sendAll(const Connection& _connection, int _to, std::string_view _bytes)
			{
				constexpr int kPollMs = 50; // the connection may break while the other side takes nothing
				while (!_bytes.empty() && !_connection.isBroken)
				{
					const ssize_t sent = ::send(_to, _bytes.data(), _bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
					if (0 > sent && EAGAIN != errno && EWOULDBLOCK != errno)
					{
						return false;
					}
					if (0 <= sent)
					{
						_bytes.remove_prefix(std::size_t(sent));
						continue;
					}
					pollfd state{_to, POLLOUT, 0};
					::poll(&state, 1, kPollMs);
				}
				return _bytes.empty();
			}

			void pump(Connection& _connection, int _from, int _to, bool LinkFaults::*_cut)
			{
				char buffer[16384];
				std::uint64_t received = 0;
				while (true)
				{
					const ssize_t size = ::recv(_from, buffer, sizeof(buffer), 0);
					this->awaitDelivery(_connection, _cut);
					received += std::uint64_t(std::max<ssize_t>(0, size));
					this->forwardedBytes += std::uint64_t(std::max<ssize_t>(0, size));
					if (0 == size && FinState::Missing != finStateOf(_from, received))
					{
						::shutdown(_to, SHUT_WR);
						return;
					}
					if (0 >= size)
					{
						breakConnection(_connection);
						return;
					}
					if (!sendAll(_connection, _to, {buffer, std::size_t(size)}))
					{
						::shutdown(_from, SHUT_RD);
						return;
					}
				}
			}

			const sockaddr_in target;
			const int listener;
			int port = 0;
			std::atomic<std::uint64_t> forwardedBytes{0};
			absl::Mutex mutex;
			LinkFaults faults ABSL_GUARDED_BY(mutex);
			std::list<std::shared_ptr<Connection>> connections ABSL_GUARDED_BY(mutex);
		};
	} // namespace

	void runStub(const nlohmann::json&)
	{
		absl::Mutex mutex;
		std::map<std::string, std::unique_ptr<Link>> links;
		std::vector<std::unique_ptr<Link>> retired; // replaced links; their threads still use them
		HttpServer server;
		server.routes().Post("/links", [&](const httplib::Request& _request, httplib::Response& _response) {
			const Json body = Json::parse(_request.body);
			absl::MutexLock lock(&mutex);
			std::unique_ptr<Link>& link = links[body.at("name")];
			if (nullptr != link)
			{
				retired.push_back(std::move(link));
			}
			link = std::make_unique<Link>(body.at("target").get<std::string>());
			_response.set_content(Json{{"address", "127.0.0.1:" + std::to_string(link->listenPort())}}.dump(), "application/json");
		});
		server.routes().Post("/faults", [&](const httplib::Request& _request, httplib::Response&) {
			const Json body = Json::parse(_request.body);
			absl::MutexLock lock(&mutex);
			links.at(body.at("name"))->setFaults(body);
		});
		server.routes().Get("/counts", [&](const httplib::Request&, httplib::Response& _response) {
			Json counts = Json::object();
			absl::MutexLock lock(&mutex);
			for (const auto& [name, link] : links)
			{
				counts[name] = link->bytes();
			}
			_response.set_content(counts.dump(), "application/json");
		});
		const Address address = server.start({"127.0.0.1", 0});
		logInfo("listening", {{"http", toString(address)}});
		waitForStopSignal();
		std::_Exit(0); // skips destructors: detached threads still use the links, and no state needs saving
	}
} // namespace archdyke::stub
