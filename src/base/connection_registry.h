/// Connections of HTTP servers that run each connection on its own thread, and the memory that they make the process hold.
///
/// When memory is short, the connection that would take the longest to move what it holds is shut down; its thread sees the end of
/// the connection and frees the memory.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <cstdint>
#include <memory>

#include "archdyke/memory_share.h"
#include "base/metrics.h"

namespace archdyke
{
	class ConnectionRegistry
	{
	public:
		/// @param[in] _limits Memory that all connections together may make the process hold, and the system's buffers for them. At most
		/// maxSockets connections are served at once. A further one takes the place of a silent one, or is closed.
		ConnectionRegistry(const MemoryLimits& _limits, Metrics& _metrics);
		ConnectionRegistry(const ConnectionRegistry&) = delete;
		ConnectionRegistry& operator=(const ConnectionRegistry&) = delete;

		/// One connection; used by its thread.
		class Connection
		{
		public:
			Connection(const std::shared_ptr<ConnectionRegistry>& _registry, int _socket);
			~Connection();
			Connection(const Connection&) = delete;
			Connection& operator=(const Connection&) = delete;

			/// @returns Whether the connection may be served.
			bool isAdmitted() const;

			/// Releases what the last request made the process hold.
			void beginRequest();

			/// Records bytes of a request that were received.
			void holdRequest(std::size_t _bytes);

			/// Records bytes of a response that are to be sent, unless they were recorded when they came for this connection.
			void holdResponse(std::size_t _bytes);

			/// Records bytes that were sent. They are held until those given to holdResponse() with them are sent as well.
			void recordSent(std::size_t _bytes);

			/// Releases bytes of a response that were sent.
			void releaseSent(std::size_t _bytes);

		private:
			ConnectionRegistry& registry;
			const std::uint64_t number;
			bool admitted = false;
		};

		/// Charges what comes for one connection before its thread sends it. Used on any thread; may outlive the connection.
		class Arrivals
		{
		public:
			/// Charges nothing.
			Arrivals() = default;
			Arrivals(std::shared_ptr<ConnectionRegistry> _registry, std::uint64_t _number);

			/// Records bytes of a response that came for the connection.
			/// @returns false if the connection is closed: they can't be sent.
			bool hold(std::size_t _bytes) const;

		private:
			std::shared_ptr<ConnectionRegistry> registry;
			std::uint64_t number = 0;
		};

		/// @returns What charges the connection that this thread serves.
		static Arrivals arrivalsOfThisThread();

	private:
		struct Holder
		{
			int socket = -1;
			std::size_t bytes = 0;
			std::size_t arrived = 0;          ///< Bytes of a response that are held already, and were not given to the connection to send.
			std::size_t extraBufferBytes = 0; ///< What the system's buffers may take beyond the smallest size.
			MoveRate rate;
			bool closing = false;
		};

		bool admit(std::uint64_t _number, int _socket);
		bool holdArrived(std::uint64_t _number, std::size_t _bytes);
		void limitBuffers(Holder& _holder) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		void remove(std::uint64_t _number);
		/// Changes what a connection holds.
		/// @param[in] _moved Bytes that were received or sent.
		/// @param[in] _bytesNow Computes its new bytes.
		template <typename BytesNow>
		void change(std::uint64_t _number, std::size_t _moved, BytesNow _bytesNow);
		void setBytes(Holder& _holder, std::size_t _bytes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		void makeRoomFor(const Holder& _for, Millis _now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		bool closeSilent(Millis _now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		void close(Holder& _holder, const char* _shortOf, Millis _now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
		std::uint64_t nextNumber();

		const MemoryLimits limits;
		const std::size_t maxConnections;
		prometheus::Counter& closed;
		prometheus::Gauge& heldBytes;
		absl::Mutex mutex;
		absl::flat_hash_map<std::uint64_t, Holder> holders ABSL_GUARDED_BY(mutex);
		std::uint64_t last ABSL_GUARDED_BY(mutex) = 0;
		std::size_t held ABSL_GUARDED_BY(mutex) = 0;
		std::size_t closing ABSL_GUARDED_BY(mutex) = 0;
		std::size_t open ABSL_GUARDED_BY(mutex) = 0;             ///< Connections that aren't closing.
		std::size_t extraBufferBytes ABSL_GUARDED_BY(mutex) = 0; ///< Sum of that of all connections.
		Millis loggedAt ABSL_GUARDED_BY(mutex) = 0;
	};

	/// @returns A registry for the HTTP servers of a process.
	/// @param[in] _memoryMb Memory of the VM that the process may use, MiB.
	std::shared_ptr<ConnectionRegistry> makeConnectionRegistry(double _memoryMb, Metrics& _metrics);
} // namespace archdyke
