#include "base/connection_registry.h"

#include <algorithm>
#include <sys/socket.h>
#include <utility>

#include "base/config.h"
#include "base/log.h"
#include "base/process.h"
#include "base/socket_buffers.h"

namespace archdyke
{
	namespace
	{
		constexpr double kMiB = 1'048'576.0;
		/// Part of the VM's memory for connections of HTTP servers and their buffers; another one is for those of other daemons.
		constexpr std::size_t kMemoryDivisor = 2;
		constexpr std::size_t kSmallBytes = 262'144;
		/// Memory of a connection on which nothing happens: what its thread has used of its stack, and its objects.
		constexpr std::size_t kConnectionBytes = 49'152;
		/// Part of the total that connections on which nothing happens may take.
		constexpr std::size_t kIdleDivisor = 2;
		/// A body is held by the HTTP library, whose buffer grows by doubling, by the request, and by the message to an agent.
		constexpr std::size_t kBodyCopies = 4;
		/// A response is held while it is sent; blocks that grow take up to twice as much.
		constexpr std::size_t kResponseCopies = 2;
		/// A connection that moved nothing for this long may be closed for a new one, ms.
		constexpr Millis kSilentMs = 1'000;
		constexpr Millis kLogIntervalMs = 1'000;
		/// Part of the descriptors for connections of HTTP servers; the rest is for other daemons, the platform and upstreams.
		constexpr std::size_t kDescriptorDivisor = 2;

		thread_local ConnectionRegistry::Arrivals arrivalsOfThread;
	} // namespace

	ConnectionRegistry::ConnectionRegistry(const MemoryLimits& _limits, Metrics& _metrics)
	    : limits(_limits)
	    , maxConnections(std::max<std::size_t>(1, std::min(this->limits.maxSockets, this->limits.totalBytes / kIdleDivisor / kConnectionBytes)))
	    , closed(_metrics.counter("archdyke_http_connections_closed_for_resources_total", "Connections closed because memory or connections were short"))
	    , heldBytes(_metrics.gauge("archdyke_http_connection_memory_bytes", "Memory held because of connections to the HTTP ports"))
	{
	}

	std::uint64_t ConnectionRegistry::nextNumber()
	{
		absl::MutexLock lock(&this->mutex);
		this->last += 1;
		return this->last;
	}

	bool ConnectionRegistry::admit(std::uint64_t _number, int _socket)
	{
		absl::MutexLock lock(&this->mutex);
		const Millis now = nowMs();
		if (this->maxConnections <= this->open && !this->closeSilent(now))
		{
			return false;
		}
		Holder& holder = this->holders[_number];
		holder.socket = _socket;
		holder.rate = {0.0, now};
		this->open += 1;
		this->limitBuffers(holder);
		this->setBytes(holder, kConnectionBytes);
		this->makeRoomFor(holder, now);
		return true;
	}

	void ConnectionRegistry::limitBuffers(Holder& _holder)
	{
		const std::size_t size = bufferBytes(this->limits, this->extraBufferBytes);
		_holder.extraBufferBytes = extraOf(size);
		this->extraBufferBytes += _holder.extraBufferBytes;
		limitSocketBuffers(_holder.socket, size);
	}

	bool ConnectionRegistry::holdArrived(std::uint64_t _number, std::size_t _bytes)
	{
		absl::MutexLock lock(&this->mutex);
		const auto found = this->holders.find(_number);
		if (this->holders.end() == found || found->second.closing)
		{
			return false;
		}
		Holder& holder = found->second;
		holder.arrived += _bytes;
		this->setBytes(holder, holder.bytes + kResponseCopies * _bytes);
		this->makeRoomFor(holder, nowMs());
		return !holder.closing;
	}

	void ConnectionRegistry::remove(std::uint64_t _number)
	{
		absl::MutexLock lock(&this->mutex);
		const auto found = this->holders.find(_number);
		if (this->holders.end() != found)
		{
			this->setBytes(found->second, 0);
			this->open -= found->second.closing ? 0 : 1;
			this->extraBufferBytes -= found->second.extraBufferBytes;
			this->holders.erase(found);
		}
	}

	void ConnectionRegistry::setBytes(Holder& _holder, std::size_t _bytes)
	{
		this->held = this->held + _bytes - _holder.bytes;
		this->closing = _holder.closing ? this->closing + _bytes - _holder.bytes : this->closing;
		_holder.bytes = _bytes;
		this->heldBytes.Set(double(this->held));
	}

	template <typename BytesNow>
	void ConnectionRegistry::change(std::uint64_t _number, std::size_t _moved, BytesNow _bytesNow)
	{
		absl::MutexLock lock(&this->mutex);
		const auto found = this->holders.find(_number);
		if (this->holders.end() == found)
		{
			return;
		}
		const Millis now = nowMs();
		Holder& holder = found->second;
		holder.rate = 0 < _moved ? withMoved(holder.rate, _moved, now) : holder.rate;
		this->setBytes(holder, _bytesNow(holder));
		this->makeRoomFor(holder, now);
	}

	void ConnectionRegistry::makeRoomFor(const Holder& _for, Millis _now)
	{
		const bool small = _for.bytes <= this->limits.smallBytes;
		const std::size_t limit = this->limits.totalBytes - (small ? 0 : this->limits.reservedBytes);
		while (limit < this->held - this->closing)
		{
			Holder* victim = nullptr;
			double heaviest = -1.0;
			for (auto& [number, holder] : this->holders)
			{
				const double burden = burdenOf({holder.bytes, withMoved(holder.rate, 0, _now).perS, HeldFor::Request, _now - holder.rate.at});
				const bool better = !holder.closing && heaviest < burden;
				victim = better ? &holder : victim;
				heaviest = better ? burden : heaviest;
			}
			if (nullptr == victim)
			{
				return;
			}
			this->close(*victim, "memory", _now);
		}
	}

	bool ConnectionRegistry::closeSilent(Millis _now)
	{
		Holder* victim = nullptr;
		for (auto& [number, holder] : this->holders)
		{
			const bool silent = !holder.closing && holder.bytes <= kConnectionBytes && kSilentMs <= _now - holder.rate.at;
			victim = silent && (nullptr == victim || holder.rate.at < victim->rate.at) ? &holder : victim;
		}
		if (nullptr != victim)
		{
			this->close(*victim, "connections", _now);
		}
		return nullptr != victim;
	}

	void ConnectionRegistry::close(Holder& _holder, const char* _shortOf, Millis _now)
	{
		this->closed.Increment();
		if (this->loggedAt + kLogIntervalMs <= _now)
		{
			logWarning("connections_closed_for_resources", {{"short_of", _shortOf}, {"held_bytes", this->held}, {"limit_bytes", this->limits.totalBytes}, {"connections", this->holders.size()}, {"last_held_bytes", _holder.bytes}, {"remedy", "add entries, or raise memoryMb if the VM has more"}});
			this->loggedAt = _now;
		}
		_holder.closing = true;
		this->closing += _holder.bytes;
		this->open -= 1;
		shutdown(_holder.socket, SHUT_RDWR);
	}

	ConnectionRegistry::Connection::Connection(const std::shared_ptr<ConnectionRegistry>& _registry, int _socket)
	    : registry(*_registry)
	    , number(_registry->nextNumber())
	    , admitted(_registry->admit(this->number, _socket))
	{
		arrivalsOfThread = {_registry, this->number};
	}

	ConnectionRegistry::Connection::~Connection()
	{
		arrivalsOfThread = {};
		this->registry.remove(this->number);
	}

	bool ConnectionRegistry::Connection::isAdmitted() const
	{
		return this->admitted;
	}

	void ConnectionRegistry::Connection::beginRequest()
	{
		this->registry.change(this->number, 0, [](Holder& _holder) {
			_holder.arrived = 0;
			return kConnectionBytes;
		});
	}

	void ConnectionRegistry::Connection::holdRequest(std::size_t _bytes)
	{
		this->registry.change(this->number, _bytes, [_bytes](const Holder& _holder) {
			return _holder.bytes + kBodyCopies * _bytes;
		});
	}

	void ConnectionRegistry::Connection::holdResponse(std::size_t _bytes)
	{
		this->registry.change(this->number, 0, [_bytes](Holder& _holder) {
			const std::size_t held = std::min(_holder.arrived, _bytes);
			_holder.arrived -= held;
			return _holder.bytes + kResponseCopies * (_bytes - held);
		});
	}

	void ConnectionRegistry::Connection::recordSent(std::size_t _bytes)
	{
		this->registry.change(this->number, _bytes, [](const Holder& _holder) {
			return _holder.bytes;
		});
	}

	void ConnectionRegistry::Connection::releaseSent(std::size_t _bytes)
	{
		this->registry.change(this->number, 0, [_bytes](const Holder& _holder) {
			return std::max(kConnectionBytes, _holder.bytes - std::min(_holder.bytes, kResponseCopies * _bytes));
		});
	}

	ConnectionRegistry::Arrivals::Arrivals(std::shared_ptr<ConnectionRegistry> _registry, std::uint64_t _number)
	    : registry(std::move(_registry))
	    , number(_number)
	{
	}

	bool ConnectionRegistry::Arrivals::hold(std::size_t _bytes) const
	{
		return nullptr == this->registry || this->registry->holdArrived(this->number, _bytes);
	}

	ConnectionRegistry::Arrivals ConnectionRegistry::arrivalsOfThisThread()
	{
		return arrivalsOfThread;
	}

	std::shared_ptr<ConnectionRegistry> makeConnectionRegistry(double _memoryMb, Metrics& _metrics)
	{
		MemoryLimits limits = memoryLimits(std::size_t(_memoryMb * kMiB) / kMemoryDivisor, std::min(kMaxConnections, descriptorLimit() / kDescriptorDivisor));
		limits.smallBytes = kSmallBytes;
		return std::make_shared<ConnectionRegistry>(limits, _metrics);
	}
} // namespace archdyke
