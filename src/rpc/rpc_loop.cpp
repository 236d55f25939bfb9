#include "rpc/rpc_loop.h"

#include <absl/synchronization/notification.h>
#include <utility>

#include "base/log.h"

namespace archdyke
{
	RpcLoop::RpcLoop()
	{
		absl::Notification ready;
		this->thread = std::thread([this, &ready] {
			kj::AsyncIoContext context = kj::setupAsyncIo();
			kj::TaskSet set(*this);
			this->io = &context;
			this->tasks = &set;
			ready.Notify();
			this->serve();
		});
		ready.WaitForNotification();
	}

	RpcLoop::~RpcLoop()
	{
		this->stop();
	}

	void RpcLoop::post(Job _job)
	{
		absl::MutexLock lock(&this->mutex);
		if (this->stopped)
		{
			return;
		}
		this->jobs.push_back(std::move(_job));
		if (nullptr != this->wake.get())
		{
			this->wake->fulfill();
			this->wake = nullptr;
		}
	}

	void RpcLoop::run(Job _job)
	{
		absl::Notification done;
		this->post([job = std::move(_job), &done]() mutable {
			job();
			done.Notify();
		});
		done.WaitForNotification();
	}

	void RpcLoop::stop()
	{
		if (!this->thread.joinable())
		{
			return;
		}
		this->post([this] {
			absl::MutexLock lock(&this->mutex);
			this->stopped = true;
		});
		this->thread.join();
	}

	std::vector<RpcLoop::Job> RpcLoop::takeJobs(kj::WaitScope& _scope)
	{
		{
			absl::MutexLock lock(&this->mutex);
			if (!this->jobs.empty())
			{
				return std::exchange(this->jobs, {});
			}
		}
		auto woken = kj::newPromiseAndCrossThreadFulfiller<void>();
		{
			absl::MutexLock lock(&this->mutex);
			if (!this->jobs.empty())
			{
				return std::exchange(this->jobs, {});
			}
			this->wake = kj::mv(woken.fulfiller);
		}
		woken.promise.wait(_scope);
		absl::MutexLock lock(&this->mutex);
		return std::exchange(this->jobs, {});
	}

	void RpcLoop::serve()
	{
		while (true)
		{
			for (Job& job : this->takeJobs(this->io->waitScope))
			{
				job();
			}
			absl::MutexLock lock(&this->mutex);
			if (this->stopped)
			{
				return;
			}
		}
	}

	kj::Network& RpcLoop::network()
	{
		return this->io->provider->getNetwork();
	}

	kj::Timer& RpcLoop::timer()
	{
		return this->io->provider->getTimer();
	}

	void RpcLoop::spawn(kj::Promise<void>&& _task)
	{
		this->tasks->add(kj::mv(_task));
	}

	void RpcLoop::taskFailed(kj::Exception&& _error)
	{
		if (kj::Exception::Type::DISCONNECTED != _error.getType())
		{
			logWarning("rpc_task_failed", {{"error", _error.getDescription().cStr()}});
		}
	}
} // namespace archdyke
