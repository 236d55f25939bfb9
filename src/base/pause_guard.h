/// Detects that the process was stopped for a while (SIGSTOP, a paused VM). Its state may be stale then, and it
/// serves nothing until it has refreshed the state.
#pragma once

#include <absl/synchronization/mutex.h>
#include <cstdint>
#include <thread>

#include "archdyke/types.h"

namespace archdyke
{
	class PauseGuard
	{
	public:
		PauseGuard();
		~PauseGuard();
		PauseGuard(const PauseGuard&) = delete;
		PauseGuard& operator=(const PauseGuard&) = delete;

		/// @returns Number of pauses detected so far. Must be read before a refresh.
		std::uint64_t detectedPauses();

		/// Records a refresh that began when _pauses pauses had been detected.
		void recordRefresh(std::uint64_t _pauses);

		/// @returns Whether the state has been refreshed since the last pause.
		bool isFresh();

	private:
		void runPulses();
		void recordPulse() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

		absl::Mutex mutex;
		Millis lastPulse ABSL_GUARDED_BY(mutex);
		std::uint64_t pauseCount ABSL_GUARDED_BY(mutex) = 1; ///< The start counts as a pause.
		std::uint64_t refreshedCount ABSL_GUARDED_BY(mutex) = 0;
		bool stopping ABSL_GUARDED_BY(mutex) = false;
		std::thread thread;
	};
} // namespace archdyke
