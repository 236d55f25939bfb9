#include "http/connection_pool.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "aio/task.h"
#include "base/process.h"
#include "http/socket_address.h"

namespace archdyke::http
{
	namespace
	{
		/// Time until a silent peer with unacknowledged bytes counts as lost, ms. Below the
		/// deadlines of calls, above the retransmission of a single lost packet.
		constexpr int kUserTimeoutMs = 3'000;
		/// Between two looks for kept connections that are over their time, ms.
		constexpr Millis kSweepMs = 1'000;
		/// Kept connections to one address, at most: as many as a busy slot count of one gateway.
		constexpr std::size_t kMaxKept = 32;

		aio::Task<WholeAnswer> readWhole(HttpConnection& _connection)
		{
			WholeAnswer answer;
			while (true)
			{
				Part part = co_await _connection.next();
				switch (part.kind)
				{
				case PartKind::Head:
					answer.head = std::move(part.response);
					break;
				case PartKind::Body:
					answer.body += part.body;
					break;
				case PartKind::End:
					co_return std::move(answer);
				default:
					kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "the connection ended before a whole answer"));
				}
			}
		}

		aio::Task<WholeAnswer> exchangeOn(ConnectionPool& _pool, std::string _address, RequestHead _head, std::string _body, Millis _timeoutMs)
		{
			ConnectOptions options;
			options.connectTimeoutMs = std::min(options.connectTimeoutMs, _timeoutMs);
			Lease lease = co_await _pool.take(_address, options);
			std::string bytes = serialize(_head, _body);
			co_await lease.connection->write(std::move(bytes));
			WholeAnswer answer = co_await readWhole(*lease.connection);
			if (answer.head.keepAlive)
			{
				constexpr Millis kRestMs = 4'000;
				_pool.giveBack(std::move(lease), kRestMs);
			}
			co_return answer;
		}
	} // namespace

	ConnectionPool::ConnectionPool(LoopParts _loop)
	    : loop(_loop)
	{
	}

	aio::Task<Lease> ConnectionPool::take(std::string _address, ConnectOptions _options)
	{
		this->dropOld();
		const Millis now = nowMs();
		std::deque<Kept>& rested = this->kept[_address];
		while (!rested.empty())
		{
			Kept candidate = std::move(rested.back());
			rested.pop_back();
			const bool usable = !candidate.connection->hasUnread() && !candidate.connection->isGone() && now < candidate.until && now - candidate.since <= _options.maxRestMs;
			if (usable)
			{
				Lease lease;
				lease.connection = std::move(candidate.connection);
				lease.address = _address;
				lease.connection->setLimits(_options.limits);
				co_return lease;
			}
		}
		co_return co_await this->connect(std::move(_address), _options);
	}

	aio::Task<Lease> ConnectionPool::connect(std::string _address, ConnectOptions _options)
	{
		sockaddr_in target = socketAddress(_address);
		kj::Own<kj::NetworkAddress> destination = this->loop.network.getSockaddr(&target, sizeof(target));
		kj::Own<kj::AsyncIoStream> stream = co_await this->loop.timer.timeoutAfter(_options.connectTimeoutMs * kj::MILLISECONDS, destination->connect());
		stream->setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof(kUserTimeoutMs));
		this->openedCount += 1;
		Lease lease;
		lease.connection = std::make_unique<HttpConnection>(kj::mv(stream), Side::Client, _options.limits);
		lease.address = _address;
		co_return lease;
	}

	void ConnectionPool::giveBack(Lease _lease, Millis _restLimitMs)
	{
		std::deque<Kept>& rested = this->kept[_lease.address];
		const bool sound = !_lease.connection->hasUnread() && !_lease.connection->isGone();
		if (!sound || _restLimitMs <= 0 || rested.size() >= kMaxKept)
		{
			return;
		}
		const Millis now = nowMs();
		rested.push_back({std::move(_lease.connection), now, now + _restLimitMs});
	}

	std::uint64_t ConnectionPool::opened() const
	{
		return this->openedCount;
	}

	void ConnectionPool::dropOld()
	{
		const Millis now = nowMs();
		if (now < this->sweptAt + kSweepMs)
		{
			return;
		}
		this->sweptAt = now;
		for (auto& [address, rested] : this->kept)
		{
			std::erase_if(rested, [&](const Kept& _kept) {
				return _kept.until <= now || _kept.connection->isGone() || _kept.connection->hasUnread();
			});
		}
		absl::erase_if(this->kept, [](const auto& _entry) {
			return _entry.second.empty();
		});
	}

	kj::Promise<WholeAnswer> exchange(ConnectionPool& _pool, kj::Timer& _timer, std::string _address, RequestHead _head, std::string _body, Millis _timeoutMs)
	{
		return _timer.timeoutAfter(_timeoutMs * kj::MILLISECONDS, exchangeOn(_pool, std::move(_address), std::move(_head), std::move(_body), _timeoutMs).take());
	}
} // namespace archdyke::http
