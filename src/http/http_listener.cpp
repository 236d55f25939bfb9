#include "http/http_listener.h"

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

		kj::Own<kj::ConnectionReceiver> bind(LoopContext _loop, const std::string& _address)
		{
			sockaddr_in target = parseSocketAddress(_address);
			return _loop.network.getSockaddr(&target, sizeof(target))->listen();
		}

		aio::Task<void> serveConnection(std::unique_ptr<HttpConnection> _connection, RequestHandler _handler)
		{
			RequestHead head;
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
					std::string bytes = serialize(response.head, response.body);
					co_await _connection->write(std::move(bytes));
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

	Listener::Listener(LoopContext _loop, const std::string& _address, ConnectionHandler _handler, std::size_t _maxConnections)
	    : loop(_loop)
	    , handler(std::move(_handler))
	    , maxConnections(_maxConnections)
	    , receiver(bind(_loop, _address))
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
			if (failure.empty() && 0 < this->maxConnections && this->maxConnections <= this->openConnections)
			{
				this->recordUnserved("too many connections; closed unread");
				continue;
			}
			if (!failure.empty())
			{
				this->recordUnserved(failure);
				co_await this->loop.timer.afterDelay(kAcceptRetryMs * kj::MILLISECONDS);
				continue;
			}
			this->openConnections += 1;
			auto connection = std::make_unique<HttpConnection>(kj::mv(stream), Side::Server, MessageLimits());
			this->connections.add(this->handler(std::move(connection)).take().attach(kj::defer([this] {
				this->openConnections -= 1;
			})));
		}
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

	ConnectionHandler serveRequests(RequestHandler _handler)
	{
		return [handler = std::move(_handler)](std::unique_ptr<HttpConnection> _connection) {
			return serveConnection(std::move(_connection), handler);
		};
	}
} // namespace archdyke::http
