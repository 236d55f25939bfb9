/// A thread with a kj event loop, and a queue through which other threads post jobs to it.
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

		/// Queues a job for the loop's thread. Jobs run in the order of posting; a job posted
		/// after stop doesn't run.
		void post(Job _job);

		/// Runs a job on the loop's thread and waits until it ends.
		void run(Job _job);

		/// Stops the loop and joins its thread. Objects that live on the loop must be destroyed before.
		void stop();

		/// To be called on the loop's thread only:
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
