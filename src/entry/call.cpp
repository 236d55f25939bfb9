#include "entry/call.h"

#include <absl/time/time.h>
#include <algorithm>
#include <utility>

#include "base/process.h"

namespace archdyke
{
	namespace
	{
		bool isUrgent(const CallEvent& _event)
		{
			const VerdictEvent* verdict = std::get_if<VerdictEvent>(&_event);
			return nullptr == verdict || !verdict->accepted;
		}
	} // namespace

	Call::Call(ConnectionRegistry::Arrivals _arrivals)
	    : arrivals(std::move(_arrivals))
	{
	}

	void Call::push(CallEvent _event)
	{
		ResponseFrame* frame = std::get_if<ResponseFrame>(&_event);
		if (nullptr != frame && !this->arrivals.hold(frame->bytes.size()))
		{
			_event = CallerClosedEvent();
		}
		absl::MutexLock lock(&this->mutex);
		this->urgent += isUrgent(_event) ? 1 : 0;
		this->events.push_back(std::move(_event));
	}

	bool Call::hasUrgent() const
	{
		return 0 < this->urgent;
	}

	std::optional<CallEvent> Call::wait(Millis _untilMs)
	{
		const absl::Duration timeout = absl::Milliseconds(std::max<Millis>(0, _untilMs - nowMs()));
		absl::MutexLock lock(&this->mutex);
		this->mutex.AwaitWithTimeout(absl::Condition(this, &Call::hasUrgent), timeout);
		if (this->events.empty())
		{
			return std::nullopt;
		}
		CallEvent event = std::move(this->events.front());
		this->events.pop_front();
		this->urgent -= isUrgent(event) ? 1 : 0;
		return event;
	}
} // namespace archdyke
