/// Turns of an event loop for work that may wait: one after the other, in order, each when no other event is due.
#pragma once

#include <deque>
#include <kj/async.h>

#include "aio/task.h"

namespace archdyke::aio
{
	class TurnQueue
	{
	public:
		TurnQueue()
		{
			this->running = this->run().take().eagerlyEvaluate(nullptr);
		}

		TurnQueue(const TurnQueue&) = delete;
		TurnQueue& operator=(const TurnQueue&) = delete;

		/// @returns A promise that is fulfilled at the next turn of its caller.
		kj::Promise<void> next()
		{
			auto paf = kj::newPromiseAndFulfiller<void>();
			this->waiting.push_back(kj::mv(paf.fulfiller));
			KJ_IF_MAYBE (waiter, this->idleWaiter)
			{
				(*waiter)->fulfill();
				this->idleWaiter = nullptr;
			}
			return kj::mv(paf.promise);
		}

	private:
		Task<void> run()
		{
			while (true)
			{
				while (this->waiting.empty())
				{
					auto paf = kj::newPromiseAndFulfiller<void>();
					this->idleWaiter = kj::mv(paf.fulfiller);
					co_await kj::mv(paf.promise);
				}
				co_await kj::evalLast([] {});
				kj::Own<kj::PromiseFulfiller<void>> turn = kj::mv(this->waiting.front());
				this->waiting.pop_front();
				turn->fulfill();
			}
		}

		std::deque<kj::Own<kj::PromiseFulfiller<void>>> waiting;
		kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> idleWaiter;
		kj::Promise<void> running = nullptr;
	};
} // namespace archdyke::aio
