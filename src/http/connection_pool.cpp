#include "http/connection_pool.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "http/socket_address.h"

namespace archdyke::http
{
	namespace
	{
		/// Time after which a connection with unacknowledged bytes is dropped, ms. Below the deadlines of calls,
		/// above the time to retransmit a single lost packet.
		constexpr int kUserTimeoutMs = 3'000;
		/// Interval between sweeps for expired idle connections, ms.
		constexpr Millis kSweepIntervalMs = 1'000;
		/// Maximum number of idle connections per address: the slots that one gateway keeps busy at a loaded upstream.
		constexpr std::size_t kMaxIdlePerAddress = 32;

		/// Logs bytes that arrived while no exchange was under way.
		/// @param[in] _when Where in the connection's life they were noticed.
		/// @returns Whether there are any.
		bool logUnattributed(const HttpConnection& _connection, const std::string& _address, std::string_view _when)
		{
			if (!_connection.hasStrayBytes())
			{
				return false;
			}
			const std::optional<PartKind> unread = _connection.unreadKind();
			logWarning("unattributed_bytes", {{"address", _address}, {"connection", _connection.number()}, {"when", _when}, {"unread", unread ? toString(*unread) : "bytes"}, {"within_head", _connection.isMidMessage()}});
			return true;
		}
	} // namespace

	ConnectionPool::ConnectionPool(LoopContext _loop, ResourceBudget* _resources)
	    : loop(_loop)
	    , resources(_resources)
	{
	}

	aio::Task<Lease> ConnectionPool::take(std::string _address, ConnectOptions _options)
	{
		this->closeExpired();
		Lease lease = this->takeIdle(_address, _options);
		if (nullptr == lease.connection)
		{
			co_return co_await this->connect(std::move(_address), _options);
		}
		lease.connection->setLimits(_options.limits);
		lease.connection->beginExchange(_options.tag);
		co_return lease;
	}

	Lease ConnectionPool::takeIdle(const std::string& _address, const ConnectOptions& _options)
	{
		const Millis now = nowMs();
		std::deque<IdleConnection>& idleConnections = this->idle[_address];
		for (std::size_t at = _options.reuse ? idleConnections.size() : 0; 0 < at; --at)
		{
			const auto position = idleConnections.begin() + std::ptrdiff_t(at - 1);
			if (position->connection->hasCarried(_options.tag))
			{
				continue; // a second response to the earlier exchange couldn't be told from the one to this
			}
			IdleConnection candidate = std::move(*position);
			idleConnections.erase(position);
			const bool quiet = candidate.connection->isQuiet();
			if (quiet && now < candidate.until && now - candidate.since <= _options.maxIdleMs)
			{
				return {std::move(candidate.connection), _address, true, std::move(candidate.responses)};
			}
			this->unattributedCount += !quiet && logUnattributed(*candidate.connection, _address, "idle") ? 1 : 0;
		}
		return {};
	}

	aio::Task<Lease> ConnectionPool::connect(std::string _address, ConnectOptions _options)
	{
		sockaddr_in target = parseSocketAddress(_address);
		kj::Own<kj::NetworkAddress> destination = this->loop.network.getSockaddr(&target, sizeof(target));
		kj::Own<kj::AsyncIoStream> stream = co_await this->loop.timer.timeoutAfter(_options.connectTimeoutMs * kj::MILLISECONDS, destination->connect());
		stream->setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof(kUserTimeoutMs));
		this->openedCount += 1;
		Lease lease;
		lease.connection = std::make_unique<HttpConnection>(kj::mv(stream), Side::Client, _options.limits);
		if (nullptr != this->resources)
		{
			lease.connection->limitBuffers(this->resources->grantBuffers());
		}
		lease.connection->beginExchange(_options.tag);
		lease.address = _address;
		co_return lease;
	}

	void ConnectionPool::returnToPool(Lease _lease, Millis _idleLimitMs)
	{
		std::deque<IdleConnection>& idleConnections = this->idle[_lease.address];
		if (!_lease.connection->isQuiet())
		{
			this->unattributedCount += logUnattributed(*_lease.connection, _lease.address, "behind_answer") ? 1 : 0;
			return;
		}
		const bool spare = nullptr == this->resources || this->resources->hasSpareSockets();
		if (_idleLimitMs <= 0 || idleConnections.size() >= kMaxIdlePerAddress || !spare)
		{
			return;
		}
		_lease.connection->chargeTo(nullptr);
		_lease.connection->endExchange();
		const Millis now = nowMs();
		idleConnections.push_back({std::move(_lease.connection), std::move(_lease.responses), now, now + _idleLimitMs});
	}

	void ConnectionPool::closeIdle()
	{
		this->idle.clear();
	}

	std::uint64_t ConnectionPool::opened() const
	{
		return this->openedCount;
	}

	std::uint64_t ConnectionPool::unattributed() const
	{
		return this->unattributedCount;
	}

	void ConnectionPool::closeExpired()
	{
		const Millis now = nowMs();
		if (now < this->lastSweepAt + kSweepIntervalMs)
		{
			return;
		}
		this->lastSweepAt = now;
		for (auto& entry : this->idle)
		{
			std::erase_if(entry.second, [&](const IdleConnection& _idle) {
				this->unattributedCount += logUnattributed(*_idle.connection, entry.first, "idle") ? 1 : 0;
				return _idle.until <= now || _idle.connection->isDisconnected() || _idle.connection->hasUnread();
			});
		}
		absl::erase_if(this->idle, [](const auto& _entry) {
			return _entry.second.empty();
		});
	}
} // namespace archdyke::http
