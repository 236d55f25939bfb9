/// TCP proxy that injects faults: one process, many links.
///
/// Options: {}. Control routes:
///   POST /links      {"name", "target"}           answers {"address"}
///   GET  /counts     bytes that went over each link
///   POST /faults     {"name", "delayMs"?, "cutToTarget"?, "cutToClient"?, "holdExisting"?, "reset"?}
/// cutTo... holds bytes back without closing: they are delivered late, once it is taken
/// back. holdExisting does so for the connections there are, and lets new ones through.
/// reset breaks all connections of the link now.
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>
#include <arpa/inet.h>
#include <atomic>
#include <list>
#include <map>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "base/http_server.h"
#include "base/log.h"
#include "base/process.h"
#include "stub_main.h"

namespace archdyke::stub
{
	namespace
	{
		using Json = nlohmann::json;

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

		class Link
		{
		public:
			explicit Link(const std::string& _target)
			    : target(toSockaddr(parseAddress(_target)))
			    , listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
			{
				sockaddr_in any = toSockaddr({"127.0.0.1", 0});
				if (0 != ::bind(this->listener, reinterpret_cast<sockaddr*>(&any), sizeof(any)))
				{
					throw std::runtime_error("can't listen on the loopback");
				}
				::listen(this->listener, 1024);
				socklen_t size = sizeof(any);
				::getsockname(this->listener, reinterpret_cast<sockaddr*>(&any), &size);
				this->port = ntohs(any.sin_port);
				std::thread([this] {
					this->acceptLoop();
				})
				    .detach();
			}

			int listenPort() const
			{
				return this->port;
			}

			/// @returns Bytes handed on so far, both ways.
			std::uint64_t bytes() const
			{
				return this->handedOn;
			}

			void setFaults(const Json& _json)
			{
				absl::MutexLock lock(&this->mutex);
				this->faults.delayMs = _json.value("delayMs", this->faults.delayMs);
				this->faults.cutToTarget = _json.value("cutToTarget", this->faults.cutToTarget);
				this->faults.cutToClient = _json.value("cutToClient", this->faults.cutToClient);
				if (_json.contains("holdExisting"))
				{
					for (const std::shared_ptr<bool>& held : this->holds)
					{
						*held = _json["holdExisting"];
					}
				}
				if (_json.value("reset", false))
				{
					for (const int socket : this->sockets)
					{
						::shutdown(socket, SHUT_RDWR);
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
				// A cut in either direction holds up the handshake's first bytes, not the
				// connection itself: TCP's own retries are not modelled.
				const int upstream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
				const int yes = 1;
				::setsockopt(upstream, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
				::setsockopt(_client, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
				if (0 != ::connect(upstream, reinterpret_cast<const sockaddr*>(&this->target), sizeof(this->target)))
				{
					::close(upstream);
					::close(_client);
					return;
				}
				const auto held = std::make_shared<bool>(false);
				{
					absl::MutexLock lock(&this->mutex);
					this->holds.push_back(held);
					this->sockets.push_back(_client);
					this->sockets.push_back(upstream);
				}
				std::thread back([this, upstream, _client, held] {
					this->pump(upstream, _client, &LinkFaults::cutToClient, *held);
				});
				this->pump(_client, upstream, &LinkFaults::cutToTarget, *held);
				back.join();
				absl::MutexLock lock(&this->mutex);
				this->holds.remove(held);
				this->sockets.remove(_client);
				this->sockets.remove(upstream);
				::close(upstream);
				::close(_client);
			}

			void holdBack(bool LinkFaults::*_cut, const bool& _held)
			{
				absl::MutexLock lock(&this->mutex);
				if (0 < this->faults.delayMs)
				{
					const bool never = false;
					this->mutex.AwaitWithTimeout(absl::Condition(&never), absl::Milliseconds(this->faults.delayMs));
				}
				const auto open = [this, _cut, &_held]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
					return !(this->faults.*_cut) && !_held;
				};
				this->mutex.Await(absl::Condition(&open));
			}

			void pump(int _from, int _to, bool LinkFaults::*_cut, const bool& _held)
			{
				char buffer[16384];
				while (true)
				{
					const ssize_t size = ::recv(_from, buffer, sizeof(buffer), 0);
					this->holdBack(_cut, _held);
					this->handedOn += std::uint64_t(std::max<ssize_t>(0, size));
					if (size <= 0)
					{
						::shutdown(_to, SHUT_WR);
						return;
					}
					for (ssize_t sent = 0; sent < size;)
					{
						const ssize_t step = ::send(_to, buffer + sent, std::size_t(size - sent), MSG_NOSIGNAL);
						if (step <= 0)
						{
							::shutdown(_from, SHUT_RDWR);
							return;
						}
						sent += step;
					}
				}
			}

			const sockaddr_in target;
			const int listener;
			int port = 0;
			std::atomic<std::uint64_t> handedOn{0};
			absl::Mutex mutex;
			LinkFaults faults ABSL_GUARDED_BY(mutex);
			std::list<int> sockets ABSL_GUARDED_BY(mutex);
			std::list<std::shared_ptr<bool>> holds ABSL_GUARDED_BY(mutex); ///< One a connection.
		};
	} // namespace

	void runStub(const nlohmann::json&)
	{
		absl::Mutex mutex;
		std::map<std::string, std::unique_ptr<Link>> links;
		std::vector<std::unique_ptr<Link>> retired; // their threads still use them
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
		std::_Exit(0); // Its detached threads hold nothing that must be kept.
	}
} // namespace archdyke::stub
