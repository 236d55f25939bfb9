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
		/// @param[in] _memoryBytes Memory that all connections together may make the process hold.
		/// @param[in] _maxConnections Connections that are served at once. A further one takes the place of a silent one, or is closed.
		ConnectionRegistry(std::size_t _memoryBytes, std::size_t _maxConnections, Metrics& _metrics);
		ConnectionRegistry(const ConnectionRegistry&) = delete;
		ConnectionRegistry& operator=(const ConnectionRegistry&) = delete;

		/// One connection; used by its thread.
		class Connection
		{
		public:
			Connection(ConnectionRegistry& _registry, int _socket);
			~Connection();
			Connection(const Connection&) = delete;
			Connection& operator=(const Connection&) = delete;

			/// @returns Whether the connection may be served.
			bool isAdmitted() const;

			/// Releases what the last request made the process hold.
			void beginRequest();

			/// Records bytes of a request that were received, or of a response that is to be sent.
			/// @param[in] _moved Whether they were received or sent already.
			void hold(std::size_t _bytes, bool _moved);

			/// Records bytes that were sent, and releases them.
			void recordSent(std::size_t _bytes);

		private:
			ConnectionRegistry& registry;
			const std::uint64_t number;
			bool admitted = false;
		};

	private:
		struct Holder
		{
			int socket = -1;
			std::size_t bytes = 0;
			MoveRate rate;
			bool closing = false;
		};

		bool admit(std::uint64_t _number, int _socket);
		void remove(std::uint64_t _number);
		/// Changes what a connection holds.
		/// @param[in] _moved Bytes that were received or sent.
		/// @param[in] _bytesNow Computes its new bytes from those before.
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
		std::size_t open ABSL_GUARDED_BY(mutex) = 0; ///< Connections that aren't closing.
		Millis loggedAt ABSL_GUARDED_BY(mutex) = 0;
	};

	/// @returns A registry for the HTTP servers of a process.
	/// @param[in] _memoryMb Memory of the VM that the process may use, MiB.
	std::shared_ptr<ConnectionRegistry> makeConnectionRegistry(double _memoryMb, Metrics& _metrics);
} // namespace archdyke
