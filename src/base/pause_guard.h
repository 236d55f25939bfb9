/// Notices that the process was stopped for a while (SIGSTOP, a paused VM): what it
/// knows may be old then, and it serves nothing until it has looked again.
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

		/// @returns Pauses noticed so far. Read it before a look around.
		std::uint64_t pauses();

		/// Notes a look around that began when there had been _pauses.
		void looked(std::uint64_t _pauses);

		/// @returns Whether the process has looked around since its last pause.
		bool isFresh();

	private:
		void pulse();
		void notePulse() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

		absl::Mutex mutex;
		Millis lastPulse ABSL_GUARDED_BY(mutex);
		std::uint64_t count ABSL_GUARDED_BY(mutex) = 1; ///< The start is one.
		std::uint64_t lookedAt ABSL_GUARDED_BY(mutex) = 0;
		bool stopping ABSL_GUARDED_BY(mutex) = false;
		std::thread thread;
	};
} // namespace archdyke
