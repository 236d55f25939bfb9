#include "call.h"

#include <absl/time/time.h>
#include <algorithm>
#include <utility>

#include "process.h"

namespace archdyke
{
	void Call::push(CallEvent _event)
	{
		absl::MutexLock lock(&this->mutex);
		this->events.push_back(std::move(_event));
	}

	bool Call::hasEvent() const
	{
		return !this->events.empty();
	}

	std::optional<CallEvent> Call::wait(Millis _untilMs)
	{
		const absl::Duration timeout = absl::Milliseconds(std::max<Millis>(0, _untilMs - nowMs()));
		absl::MutexLock lock(&this->mutex);
		if (!this->mutex.AwaitWithTimeout(absl::Condition(this, &Call::hasEvent), timeout))
		{
			return std::nullopt;
		}
		CallEvent event = std::move(this->events.front());
		this->events.pop_front();
		return event;
	}
} // namespace archdyke
