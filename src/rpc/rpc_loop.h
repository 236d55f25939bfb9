/// A thread with a kj event loop, and a mailbox through which other threads give it work.
#pragma once

#include <absl/functional/any_invocable.h>
#include <absl/synchronization/mutex.h>
#include <kj/async-io.h>
#include <thread>
#include <vector>

namespace archdyke
{
	class RpcLoop : public kj::TaskSet::ErrorHandler
	{
	public:
		using Job = absl::AnyInvocable<void()>;

		RpcLoop();
		~RpcLoop();

		/// Runs a job on the loop's thread, later. Jobs run in the order of posting; a job
		/// posted after stop doesn't run.
		void post(Job _job);

		/// Runs a job on the loop's thread and waits for its end.
		void run(Job _job);

		/// Stops the loop and joins its thread. What lives on the loop must be gone.
		void stop();

		/// Only on the loop's thread:
		kj::Network& network();
		kj::Timer& timer();
		void spawn(kj::Promise<void>&& _task);
		void taskFailed(kj::Exception&& _error) override;

	private:
		void serve();
		std::vector<Job> takeJobs(kj::WaitScope& _scope);

		absl::Mutex mutex;
		std::vector<Job> jobs ABSL_GUARDED_BY(mutex);
		kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake ABSL_GUARDED_BY(mutex);
		bool stopped ABSL_GUARDED_BY(mutex) = false;
		kj::AsyncIoContext* io = nullptr;
		kj::TaskSet* tasks = nullptr;
		std::thread thread;
	};
} // namespace archdyke
