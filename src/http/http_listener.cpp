#include "http/http_listener.h"

#include <algorithm>
#include <sys/socket.h>

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "http/socket_address.h"

namespace archdyke::http
{
	namespace
	{
		/// Delay after a failed accept, ms: without free file descriptors each further one fails, too.
		constexpr Millis kAcceptRetryMs = 50;
		constexpr Millis kUnservedLogIntervalMs = 1'000;

		/// File descriptors of the process for each connection of a caller: its own, and one to an upstream.
		constexpr std::size_t kDescriptorsPerCaller = 2;
		/// Size of the system's buffer for what comes on a connection before it is accepted, bytes.
		constexpr int kUnacceptedBufferBytes = 16'384;
		/// File descriptors for everything else: operators, probes, the store, other daemons. A process with few keeps a part of them.
		constexpr std::size_t kReservedDescriptors = 256;
		constexpr std::size_t kReservedDivisor = 4;
		/// Part of these for one port of operators or probes.
		constexpr std::size_t kAdminDivisor = 4;
		/// Time without bytes after which a caller's connection may be closed for a new one, ms.
		constexpr Millis kSilentCallerMs = 1'000;
		/// Time for which a caller's connection goes on once it has lost its memory: its refusal is sent, ms.
		constexpr Millis kCloseCallerMs = 2'000;

		std::size_t reservedDescriptors(std::size_t _descriptors)
		{
			return std::min(kReservedDescriptors, _descriptors / kReservedDivisor);
		}

		/// @param[in] _limited Whether the system's buffers are limited.
		kj::Own<kj::ConnectionReceiver> bind(LoopContext _loop, const std::string& _address, bool _limited)
		{
			sockaddr_in target = parseSocketAddress(_address);
			kj::Own<kj::ConnectionReceiver> receiver = _loop.network.getSockaddr(&target, sizeof(target))->listen();
			if (_limited)
			{
				receiver->setsockopt(SOL_SOCKET, SO_RCVBUF, &kUnacceptedBufferBytes, sizeof(kUnacceptedBufferBytes));
			}
			return receiver;
		}

		aio::Task<void> serveConnection(std::unique_ptr<HttpConnection> _connection, RequestHandler _handler)
		{
			RequestHead head;
			MemoryCharge charge(_connection->chargedTo());
			while (true)
			{
				Part part = co_await _connection->next();
				if (PartKind::Head == part.kind)
				{
					head = std::move(part.request);
				}
				else if (PartKind::End == part.kind)
				{
					FullResponse response = _handler(head);
					response.head.keepAlive = head.keepAlive;
					std::string start = serializeStart(response.head, response.body.size());
					charge.set(response.body.size());
					co_await _connection->write(std::move(start), response.body);
					charge.set(0);
					if (!head.keepAlive)
					{
						co_return;
					}
				}
				else if (PartKind::Body != part.kind)
				{
					co_return;
				}
			}
		}
	} // namespace

	Listener::Listener(LoopContext _loop, const std::string& _address, ConnectionHandler _handler, ResourceBudget* _resources, ListenerLimits _limits)
	    : loop(_loop)
	    , handler(std::move(_handler))
	    , resources(_resources)
	    , limits(_limits)
	    , receiver(bind(_loop, _address, nullptr != _resources))
	    , connections(*this)
	{
		this->accepting = this->accept().take().eagerlyEvaluate([](kj::Exception&& _error) {
			logError("accept_stopped", {{"reason", _error.getDescription().cStr()}, {"remedy", "restart the process and report this"}});
		});
	}

	aio::Task<void> Listener::accept()
	{
		while (true)
		{
			kj::Own<kj::AsyncIoStream> stream;
			std::string failure;
			try
			{
				stream = co_await this->receiver->accept();
			}
			catch (const kj::Exception& error)
			{
				failure = error.getDescription().cStr();
			}
			if (!failure.empty())
			{
				this->recordUnserved(failure);
				co_await this->loop.timer.afterDelay(kAcceptRetryMs * kj::MILLISECONDS);
			}
			else if (!this->hasPlace())
			{
				this->recordUnserved("too many connections; closed unread");
			}
			else
			{
				this->serve(kj::mv(stream));
			}
		}
	}

	bool Listener::hasPlace()
	{
		const bool full = 0 < this->limits.maxConnections && this->limits.maxConnections <= this->openConnections;
		return !full || (nullptr != this->resources && this->resources->closeSilent(this->holders, this->limits.silentMs));
	}

	void Listener::serve(kj::Own<kj::AsyncIoStream> _stream)
	{
		this->openConnections += 1;
		auto connection = std::make_unique<HttpConnection>(kj::mv(_stream), Side::Server, MessageLimits());
		kj::Promise<void> lost = kj::NEVER_DONE;
		std::shared_ptr<ResourceHolder> holder;
		if (nullptr != this->resources)
		{
			holder = this->resources->open();
			connection->chargeTo(holder);
			connection->limitBuffers(this->resources->grantBuffers());
			this->holders.insert(holder.get());
			lost = holder->whenClosing().then([this] {
				return this->loop.timer.afterDelay(this->limits.closeWithinMs * kj::MILLISECONDS);
			});
		}
		kj::Promise<void> served = this->handler(std::move(connection)).take();
		this->connections.add(served.exclusiveJoin(kj::mv(lost)).attach(kj::defer([this, holder] {
			this->openConnections -= 1;
			this->holders.erase(holder.get());
		})));
	}

	void Listener::recordUnserved(const std::string& _reason)
	{
		const Millis now = nowMs();
		this->unserved += 1;
		if (this->unservedLoggedAt + kUnservedLogIntervalMs <= now)
		{
			logWarning("connections_not_served", {{"count", this->unserved}, {"reason", _reason}, {"open", this->openConnections}, {"remedy", "raise the limit of file descriptors, or add gateways"}});
			this->unserved = 0;
			this->unservedLoggedAt = now;
		}
	}

	void Listener::taskFailed(kj::Exception&& _error)
	{
		// Disconnects of callers aren't logged here: the affected request is accounted for when it ends.
		if (kj::Exception::Type::DISCONNECTED != _error.getType())
		{
			logWarning("connection_failed", {{"reason", _error.getDescription().cStr()}});
		}
	}

	unsigned Listener::port()
	{
		return this->receiver->getPort();
	}

	std::size_t maxSockets(std::size_t _descriptors)
	{
		return _descriptors - reservedDescriptors(_descriptors);
	}

	ListenerLimits callerLimits(std::size_t _descriptors, const ResourceBudget& _resources)
	{
		const std::size_t byDescriptors = maxSockets(_descriptors) / kDescriptorsPerCaller;
		return {std::min(byDescriptors, _resources.maxConnections()), kSilentCallerMs, kCloseCallerMs};
	}

	ListenerLimits adminLimits(std::size_t _descriptors)
	{
		return {std::max<std::size_t>(1, reservedDescriptors(_descriptors) / kAdminDivisor), 0, 0};
	}

	std::size_t peerConnections(std::size_t _descriptors)
	{
		return maxSockets(_descriptors) / 2; // the daemon connects to others, too
	}

	ConnectionHandler serveRequests(RequestHandler _handler)
	{
		return [handler = std::move(_handler)](std::unique_ptr<HttpConnection> _connection) {
			return serveConnection(std::move(_connection), handler);
		};
	}
} // namespace archdyke::http
