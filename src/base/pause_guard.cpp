#include "base/pause_guard.h"

#include <absl/time/time.h>

#include "base/log.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		constexpr Millis kPulseMs = 100;
		/// A gap between pulses that counts as a pause, ms.
		constexpr Millis kPauseMs = 1'000;
	} // namespace

	PauseGuard::PauseGuard()
	    : lastPulse(nowMs())
	    , thread([this] {
		    this->pulse();
	    })
	{
	}

	PauseGuard::~PauseGuard()
	{
		{
			absl::MutexLock lock(&this->mutex);
			this->stopping = true;
		}
		this->thread.join();
	}

	void PauseGuard::notePulse()
	{
		const Millis now = nowMs();
		if (kPauseMs < now - this->lastPulse)
		{
			this->count += 1;
			logWarning("process_paused", {{"ms", now - this->lastPulse}});
		}
		this->lastPulse = now;
	}

	void PauseGuard::pulse()
	{
		absl::MutexLock lock(&this->mutex);
		while (!this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), absl::Milliseconds(kPulseMs)))
		{
			this->notePulse();
		}
	}

	std::uint64_t PauseGuard::pauses()
	{
		absl::MutexLock lock(&this->mutex);
		this->notePulse();
		return this->count;
	}

	void PauseGuard::looked(std::uint64_t _pauses)
	{
		absl::MutexLock lock(&this->mutex);
		this->lookedAt = _pauses;
	}

	bool PauseGuard::isFresh()
	{
		absl::MutexLock lock(&this->mutex);
		this->notePulse();
		return this->lookedAt == this->count;
	}
} // namespace archdyke
