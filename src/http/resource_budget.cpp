#include "http/resource_budget.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/process.h"

namespace archdyke::http
{
	namespace
	{
		/// Memory of a connection on which nothing happens: its objects, the frames of its coroutines and its smallest read buffer.
		constexpr std::size_t kConnectionBytes = 12'288;
		/// Part of the total that connections on which nothing happens may take.
		constexpr std::size_t kIdleDivisor = 2;
		constexpr Millis kLogIntervalMs = 1'000;
		/// While more than this part of the total is held, freed memory is given back at this interval, ms.
		constexpr std::size_t kTrimDivisor = 2;
		constexpr Millis kTrimIntervalMs = 100;
		constexpr std::size_t kDumpedHolders = 10;
	} // namespace

	BufferGrant::BufferGrant(GrantedBuffers& _granted, std::size_t _bufferBytes)
	    : bufferBytes(_bufferBytes)
	    , granted(_granted)
	{
		this->granted.sockets += 1;
		this->granted.extraBytes += extraOf(this->bufferBytes);
	}

	BufferGrant::~BufferGrant()
	{
		this->granted.sockets -= 1;
		this->granted.extraBytes -= extraOf(this->bufferBytes);
	}

	ResourceCounters::ResourceCounters(Metrics& _metrics)
	    : heldBytes(_metrics.gauge("archdyke_connection_memory_bytes", "Memory held because of connections of other processes"))
	    , limitBytes(_metrics.gauge("archdyke_connection_memory_limit_bytes", "Limit of the memory held because of connections of other processes"))
	{
		for (std::size_t what = 0; what < this->closed.size(); ++what)
		{
			this->closed[what] = &_metrics.counter("archdyke_connections_closed_for_resources_total", "Connections closed because memory or connections were short, by what their memory was held for", {{"held_for", toString(HeldFor(what))}});
		}
	}

	ResourceBudget::ResourceBudget(std::size_t _machineBytes, std::size_t _sockets, ResourceCounters& _counters)
	    : limits(memoryLimits(_machineBytes, _sockets))
	    , counters(_counters)
	{
		this->counters.limitBytes.Set(double(this->limits.totalBytes));
	}

	std::shared_ptr<ResourceHolder> ResourceBudget::open()
	{
		return std::make_shared<ResourceHolder>(*this);
	}

	std::unique_ptr<BufferGrant> ResourceBudget::grantBuffers()
	{
		return std::make_unique<BufferGrant>(this->granted, bufferBytes(this->limits, this->granted.extraBytes));
	}

	bool ResourceBudget::isOver() const
	{
		return this->limits.totalBytes < this->held;
	}

	kj::Promise<void> ResourceBudget::whenFreed()
	{
		auto paf = kj::newPromiseAndFulfiller<void>();
		this->waiting.push_back(kj::mv(paf.fulfiller));
		return kj::mv(paf.promise);
	}

	bool ResourceBudget::canHold(std::size_t _bytes) const
	{
		if (_bytes <= this->limits.smallBytes)
		{
			return true;
		}
		std::size_t kept = 0;
		const Millis now = nowMs();
		for (const ResourceHolder* holder : this->holders)
		{
			kept += mayLoseMemory(holder->view(now), this->limits, false) ? 0 : holder->bytes;
		}
		return kept + _bytes <= this->limits.totalBytes - this->limits.reservedBytes;
	}

	bool ResourceBudget::closeSilent(const absl::flat_hash_set<ResourceHolder*>& _holders, Millis _silentMs)
	{
		const Millis now = nowMs();
		ResourceHolder* victim = nullptr;
		for (ResourceHolder* holder : _holders)
		{
			const bool runs = HeldFor::Run == holder->what;
			const bool mayClose = !holder->closing && (!runs || holder->behind) && _silentMs <= now - holder->rate.at;
			const bool better = nullptr == victim || std::pair(runs, holder->rate.at) < std::pair(HeldFor::Run == victim->what, victim->rate.at);
			victim = mayClose && better ? holder : victim;
		}
		if (nullptr != victim)
		{
			this->close(*victim, "connections");
		}
		return nullptr != victim;
	}

	std::size_t ResourceBudget::maxConnections() const
	{
		constexpr std::size_t kSocketsPerConnection = 2;
		return std::max<std::size_t>(1, std::min(this->limits.totalBytes / kIdleDivisor / kConnectionBytes, this->limits.maxSockets / kSocketsPerConnection));
	}

	bool ResourceBudget::hasSpareSockets() const
	{
		return this->granted.sockets < this->limits.maxSockets;
	}

	aio::TurnQueue& ResourceBudget::turns()
	{
		return this->turnQueue;
	}

	ResourceHolder* ResourceBudget::findVictim(const ResourceHolder& _for) const
	{
		const Millis now = nowMs();
		const bool forSmall = _for.bytes <= this->limits.smallBytes;
		ResourceHolder* victim = nullptr;
		double heaviest = -1.0;
		for (ResourceHolder* holder : this->holders)
		{
			const HolderView view = holder->view(now);
			const double burden = burdenOf(view);
			if (!holder->closing && heaviest < burden && (holder == &_for || mayLoseMemory(view, this->limits, forSmall)))
			{
				victim = holder;
				heaviest = burden;
			}
		}
		return victim;
	}

	void ResourceBudget::trimIfShort()
	{
		const Millis now = this->held <= this->limits.totalBytes / kTrimDivisor ? 0 : nowMs();
		if (this->trimmedAt + kTrimIntervalMs <= now)
		{
			trimMemory();
			this->trimmedAt = now;
		}
	}

	void ResourceBudget::makeRoomFor(ResourceHolder& _holder)
	{
		this->trimIfShort();
		while (true)
		{
			const bool small = _holder.bytes <= this->limits.smallBytes;
			const std::size_t limit = this->limits.totalBytes - (small ? 0 : this->limits.reservedBytes);
			ResourceHolder* victim = this->held - this->closing <= limit ? nullptr : this->findVictim(_holder);
			if (nullptr == victim)
			{
				return;
			}
			this->close(*victim, "memory");
		}
	}

	void ResourceBudget::wakeWaiting()
	{
		std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiters;
		std::swap(waiters, this->waiting);
		for (kj::Own<kj::PromiseFulfiller<void>>& waiter : waiters)
		{
			waiter->fulfill();
		}
	}

	void ResourceBudget::close(ResourceHolder& _victim, const char* _reason)
	{
		this->logClosed(_victim, _reason);
		this->counters.closed[std::size_t(_victim.what)]->Increment();
		_victim.closing = true;
		this->closing += _victim.bytes;
		_victim.closer->fulfill();
	}

	void ResourceBudget::logClosed(const ResourceHolder& _victim, const char* _reason)
	{
		const Millis now = nowMs();
		this->closedSinceLog += 1;
		if (this->loggedAt + kLogIntervalMs <= now)
		{
			logWarning("connections_closed_for_resources", {{"short_of", _reason}, {"count", this->closedSinceLog}, {"held_bytes", this->held}, {"limit_bytes", this->limits.totalBytes}, {"connections", this->holders.size()}, {"last_held_bytes", _victim.bytes}, {"last_held_for", toString(_victim.what)}, {"last_moved_per_s", _victim.view(now).movedPerS}, {"remedy", "add gateways, or raise memoryMb if the machine has more"}});
			this->closedSinceLog = 0;
			this->loggedAt = now;
		}
	}

	nlohmann::json ResourceBudget::dump() const
	{
		std::vector<const ResourceHolder*> largest(this->holders.begin(), this->holders.end());
		const std::size_t count = std::min(kDumpedHolders, largest.size());
		std::partial_sort(largest.begin(), largest.begin() + std::ptrdiff_t(count), largest.end(), [](const ResourceHolder* _a, const ResourceHolder* _b) {
			return _a->bytes > _b->bytes;
		});
		nlohmann::json holdersJson = nlohmann::json::array();
		for (std::size_t index = 0; index < count; ++index)
		{
			const HolderView view = largest[index]->view(nowMs());
			holdersJson.push_back({{"bytes", view.bytes}, {"movedPerS", view.movedPerS}, {"heldFor", toString(view.what)}});
		}
		return {{"heldBytes", this->held}, {"limitBytes", this->limits.totalBytes}, {"sockets", this->granted.sockets}, {"maxSockets", this->limits.maxSockets}, {"extraBufferBytes", this->granted.extraBytes}, {"extraBufferLimitBytes", this->limits.extraBytes}, {"connections", this->holders.size()}, {"largest", holdersJson}};
	}

	ResourceHolder::ResourceHolder(ResourceBudget& _budget)
	    : budget(_budget)
	    , rate{0.0, nowMs()}
	    , closed(nullptr)
	{
		auto paf = kj::newPromiseAndFulfiller<void>();
		this->closer = kj::mv(paf.fulfiller);
		this->closed = paf.promise.fork();
		this->budget.holders.insert(this);
		this->change(0, kConnectionBytes);
	}

	ResourceHolder::~ResourceHolder()
	{
		this->change(this->bytes, 0);
		this->budget.holders.erase(this);
	}

	void ResourceHolder::change(std::size_t _before, std::size_t _after)
	{
		this->bytes = this->bytes + _after - _before;
		this->budget.held = this->budget.held + _after - _before;
		if (this->closing)
		{
			this->budget.closing = this->budget.closing + _after - _before;
		}
		this->budget.counters.heldBytes.Set(double(this->budget.held));
		if (_before < _after)
		{
			this->budget.makeRoomFor(*this);
		}
		else if (!this->budget.isOver())
		{
			this->budget.wakeWaiting();
		}
	}

	void ResourceHolder::setHeldFor(HeldFor _what)
	{
		this->what = _what;
	}

	void ResourceHolder::setBehind(bool _behind)
	{
		this->behind = _behind;
	}

	void ResourceHolder::recordMoved(std::size_t _bytes)
	{
		this->rate = withMoved(this->rate, _bytes, nowMs());
	}

	kj::Promise<void> ResourceHolder::whenRoom()
	{
		return this->closing ? kj::Promise<void>(kj::NEVER_DONE) : this->budget.whenFreed();
	}

	bool ResourceHolder::mustWait() const
	{
		return this->closing || this->budget.isOver();
	}

	bool ResourceHolder::isClosing() const
	{
		return this->closing;
	}

	kj::Promise<void> ResourceHolder::whenClosing()
	{
		return this->closed.addBranch();
	}

	ResourceBudget& ResourceHolder::resources() const
	{
		return this->budget;
	}

	HolderView ResourceHolder::view(Millis _now) const
	{
		return {this->bytes, withMoved(this->rate, 0, _now).perS, this->what, _now - this->rate.at};
	}

	MemoryCharge::MemoryCharge(std::shared_ptr<ResourceHolder> _holder)
	    : holder(std::move(_holder))
	{
	}

	MemoryCharge::~MemoryCharge()
	{
		this->set(0);
	}

	void MemoryCharge::set(std::size_t _bytes)
	{
		const std::size_t before = std::exchange(this->bytes, _bytes);
		if (nullptr != this->holder && before != _bytes)
		{
			this->holder->change(before, _bytes);
		}
	}

	void MemoryCharge::moveTo(std::shared_ptr<ResourceHolder> _holder)
	{
		const std::size_t size = this->bytes;
		this->set(0);
		this->holder = std::move(_holder);
		this->set(size);
	}

	const std::shared_ptr<ResourceHolder>& MemoryCharge::chargedTo() const
	{
		return this->holder;
	}
} // namespace archdyke::http
