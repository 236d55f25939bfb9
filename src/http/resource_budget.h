/// What other processes may take of this one through their connections: memory, buffers of the system, and turns of the event
/// loop. One budget bounds all connections of a process.
///
/// Each connection has a holder, to which everything is charged that is held because of it: its own bytes, its request, the copies
/// for an upstream, and its response. When memory is short, the holder that holds much and moves little loses its connection. It is
/// used on one event loop only.
#pragma once

#include <absl/container/flat_hash_set.h>
#include <array>
#include <kj/async.h>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "aio/turn_queue.h"
#include "archdyke/memory_share.h"
#include "base/metrics.h"

namespace archdyke::http
{
	class ResourceHolder;

	/// Metrics of a budget; the registry owns them.
	struct ResourceCounters
	{
		explicit ResourceCounters(Metrics& _metrics);

		prometheus::Gauge& heldBytes;
		prometheus::Gauge& limitBytes;
		std::array<prometheus::Counter*, std::size_t(HeldFor::Count)> closed{}; ///< By what the connection's memory was held for.
	};

	/// What the buffers of the system for open connections may take.
	struct GrantedBuffers
	{
		std::size_t sockets = 0;
		std::size_t extraBytes = 0; ///< Beyond the smallest size.
	};

	/// Memory that a connection's buffers of the system may take; given back by the destructor.
	class BufferGrant
	{
	public:
		/// @param[in] _granted Sum of all grants, which outlives this one.
		BufferGrant(GrantedBuffers& _granted, std::size_t _bufferBytes);
		~BufferGrant();
		BufferGrant(const BufferGrant&) = delete;
		BufferGrant& operator=(const BufferGrant&) = delete;

		const std::size_t bufferBytes; ///< Size of each of the two buffers.

	private:
		GrantedBuffers& granted;
	};

	class ResourceBudget
	{
	public:
		/// @param[in] _machineBytes Memory of the machine that this process may use.
		/// @param[in] _sockets Connections that it may have open at once.
		ResourceBudget(std::size_t _machineBytes, std::size_t _sockets, ResourceCounters& _counters);
		ResourceBudget(const ResourceBudget&) = delete;
		ResourceBudget& operator=(const ResourceBudget&) = delete;

		/// @returns A holder for a new connection.
		std::shared_ptr<ResourceHolder> open();

		/// @returns Whether more is held than the total: nothing may be read or parsed then. Holders that lose their connections free
		/// their memory some events later.
		bool isOver() const;

		/// @returns A promise that is fulfilled once that may have changed.
		kj::Promise<void> whenFreed();

		/// @returns A grant for a new connection.
		std::unique_ptr<BufferGrant> grantBuffers();

		/// @returns Whether a request of this size can be held once those that move little have lost their connections.
		bool canHold(std::size_t _bytes) const;

		/// Closes one of these connections so that a new one is served: the one that moved nothing for the longest time and has no request
		/// at an upstream; else one with further bytes behind such a request.
		/// @returns Whether one was silent for _silentMs.
		bool closeSilent(const absl::flat_hash_set<ResourceHolder*>& _holders, Millis _silentMs);

		/// @returns Number of connections that may be served at once, if each may need another one.
		std::size_t maxConnections() const;

		/// @returns Whether a connection that isn't in use may stay open.
		bool hasSpareSockets() const;

		/// Turns for connections that send much in one message.
		aio::TurnQueue& turns();

		/// @returns The budget and its largest holders.
		nlohmann::json dump() const;

	private:
		friend class ResourceHolder;

		void wakeWaiting();
		/// Closes holders until the total is within its limit again.
		void makeRoomFor(ResourceHolder& _holder);
		/// @returns The holder that loses its connection next; null if there is none.
		ResourceHolder* findVictim(const ResourceHolder& _for) const;
		void close(ResourceHolder& _victim, const char* _reason);
		/// Gives freed memory back to the system now and then while much is held: blocks that grow leave pages behind.
		void trimIfShort();
		void logClosed(const ResourceHolder& _victim, const char* _reason);

		const MemoryLimits limits;
		aio::TurnQueue turnQueue;
		absl::flat_hash_set<ResourceHolder*> holders;
		std::size_t held = 0;
		std::size_t closing = 0; ///< Part of it that is held by holders which lose their connections.
		GrantedBuffers granted;
		std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiting; ///< For memory to be freed.
		std::size_t closedSinceLog = 0;
		Millis loggedAt = 0;
		Millis trimmedAt = 0;
		ResourceCounters& counters;
	};

	/// What one connection makes this process hold.
	class ResourceHolder
	{
	public:
		explicit ResourceHolder(ResourceBudget& _budget);
		~ResourceHolder();
		ResourceHolder(const ResourceHolder&) = delete;
		ResourceHolder& operator=(const ResourceHolder&) = delete;

		void setHeldFor(HeldFor _what);

		/// Records whether bytes wait behind a request that is run.
		void setBehind(bool _behind);

		/// Records bytes that were received or sent.
		void recordMoved(std::size_t _bytes);

		/// @returns Whether nothing more may be read or parsed for this holder at present.
		bool mustWait() const;

		/// @returns A promise that is fulfilled once that may have changed.
		kj::Promise<void> whenRoom();

		/// @returns Whether it loses its connection, because memory or connections are short.
		bool isClosing() const;

		/// @returns A promise that is fulfilled once it loses its connection.
		kj::Promise<void> whenClosing();

		ResourceBudget& resources() const;

	private:
		friend class ResourceBudget;
		friend class MemoryCharge;

		void change(std::size_t _before, std::size_t _after);
		HolderView view(Millis _now) const;

		ResourceBudget& budget;
		std::size_t bytes = 0;
		MoveRate rate;
		HeldFor what = HeldFor::Idle;
		bool behind = false;
		bool closing = false;
		kj::Own<kj::PromiseFulfiller<void>> closer;
		kj::ForkedPromise<void> closed;
	};

	/// Memory charged to a holder; given back by the destructor.
	class MemoryCharge
	{
	public:
		MemoryCharge() = default;
		explicit MemoryCharge(std::shared_ptr<ResourceHolder> _holder);
		~MemoryCharge();
		MemoryCharge(const MemoryCharge&) = delete;
		MemoryCharge& operator=(const MemoryCharge&) = delete;

		/// Charges this many bytes in place of those before.
		void set(std::size_t _bytes);

		/// Charges the same bytes to another holder; null: to none.
		void moveTo(std::shared_ptr<ResourceHolder> _holder);

		/// @returns The holder; null when there is none.
		const std::shared_ptr<ResourceHolder>& chargedTo() const;

	private:
		std::shared_ptr<ResourceHolder> holder;
		std::size_t bytes = 0;
	};
} // namespace archdyke::http
