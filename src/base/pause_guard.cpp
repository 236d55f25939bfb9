#include "base/pause_guard.h"

#include <absl/time/time.h>

#include "base/log.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		constexpr Millis kPulseIntervalMs = 100;
		/// Gap between pulses above which the process counts as paused, ms.
		constexpr Millis kPauseThresholdMs = 1'000;
	} // namespace

	PauseGuard::PauseGuard()
	    : lastPulse(nowMs())
	    , thread([this] {
		    this->runPulses();
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

	void PauseGuard::recordPulse()
	{
		const Millis now = nowMs();
		if (kPauseThresholdMs < now - this->lastPulse)
		{
			this->pauseCount += 1;
			logWarning("process_paused", {{"ms", now - this->lastPulse}});
		}
		this->lastPulse = now;
	}

	void PauseGuard::runPulses()
	{
		absl::MutexLock lock(&this->mutex);
		while (!this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping), absl::Milliseconds(kPulseIntervalMs)))
		{
			this->recordPulse();
		}
	}

	std::uint64_t PauseGuard::detectedPauses()
	{
		absl::MutexLock lock(&this->mutex);
		this->recordPulse();
		return this->pauseCount;
	}

	void PauseGuard::recordRefresh(std::uint64_t _pauses)
	{
		absl::MutexLock lock(&this->mutex);
		this->refreshedCount = _pauses;
	}

	bool PauseGuard::isFresh()
	{
		absl::MutexLock lock(&this->mutex);
		this->recordPulse();
		return this->refreshedCount == this->pauseCount;
	}
} // namespace archdyke
