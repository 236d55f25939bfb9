/// Event queue from an agent link to the thread that handles a request.
#pragma once

#include <absl/synchronization/mutex.h>
#include <deque>
#include <optional>

#include "base/connection_registry.h"
#include "rpc/run.h"

namespace archdyke
{
	class Call
	{
	public:
		/// @param[in] _arrivals Charges the bytes of responses to the caller's connection.
		explicit Call(ConnectionRegistry::Arrivals _arrivals);

		/// Queues an event. When the caller's connection is closed for memory, a CallerClosedEvent takes the place of a frame.
		void push(CallEvent _event);

		/// Waits for an urgent event, then returns the oldest event in the queue. An accepted
		/// verdict is not urgent: it doesn't wake the waiting thread and is returned before the
		/// next urgent event.
		/// @param[in] _untilMs Time limit on the clock of nowMs, ms.
		/// @returns Nothing when the time limit is reached with an empty queue.
		std::optional<CallEvent> wait(Millis _untilMs);

	private:
		bool hasUrgent() const ABSL_SHARED_LOCKS_REQUIRED(mutex);

		const ConnectionRegistry::Arrivals arrivals;
		absl::Mutex mutex;
		std::deque<CallEvent> events ABSL_GUARDED_BY(mutex);
		std::size_t urgent ABSL_GUARDED_BY(mutex) = 0; ///< Events that wake the waiting thread.
	};
} // namespace archdyke
