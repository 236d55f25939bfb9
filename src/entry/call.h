/// The queue through which a caller's thread hears what happens to its request.
#pragma once

#include <absl/synchronization/mutex.h>
#include <deque>
#include <optional>

#include "rpc/run.h"

namespace archdyke
{
	class Call
	{
	public:
		void push(CallEvent _event);

		/// Waits for the next event that asks for something to be done. That a run was
		/// accepted doesn't wake the waiting thread: it comes first when the next event does.
		/// @param[in] _untilMs Time on nowMs.
		/// @returns Nothing when the time has come first.
		std::optional<CallEvent> wait(Millis _untilMs);

	private:
		bool hasUrgent() const ABSL_SHARED_LOCKS_REQUIRED(mutex);

		absl::Mutex mutex;
		std::deque<CallEvent> events ABSL_GUARDED_BY(mutex);
		std::size_t urgent ABSL_GUARDED_BY(mutex) = 0; ///< Events that wake the waiting thread.
	};
} // namespace archdyke
