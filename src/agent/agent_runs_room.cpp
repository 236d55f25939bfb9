/// The part of an agent's runs that keeps them within their memory.
#include "agent/agent_runs.h"
#include "base/log.h"

namespace archdyke
{
	namespace
	{
		/// A response's block grows by doubling.
		constexpr std::size_t kResponseCopies = 2;
	} // namespace

	bool AgentRuns::dropKeptResponse()
	{
		auto oldest = this->runs.end();
		for (auto it = this->runs.begin(); this->runs.end() != it; ++it)
		{
			const bool droppable = 0 != it->second.endedAt && !it->second.wanted;
			oldest = droppable && (this->runs.end() == oldest || it->second.endedAt < oldest->second.endedAt) ? it : oldest;
		}
		if (this->runs.end() == oldest)
		{
			return false;
		}
		this->droppedResponses.Increment();
		this->runs.erase(oldest);
		return true;
	}

	bool AgentRuns::takeRoom(RunCharge& _charge, std::size_t _bytes)
	{
		while (!_charge.take(_bytes))
		{
			if (!this->dropKeptResponse())
			{
				this->memoryShort.Increment();
				logWarning("run_memory_short", {{"bytes", _bytes}, {"runs", this->runs.size()}, {"remedy", "add upstreams, or raise memoryMb if the VM has more"}});
				return false;
			}
		}
		return true;
	}

	void AgentRuns::recordDelivered(const RunKey& _key)
	{
		absl::MutexLock lock(&this->mutex);
		const auto it = this->runs.find(_key);
		if (this->runs.end() != it)
		{
			it->second.wanted = false;
		}
	}

	std::shared_ptr<ResponseBuffer> AgentRuns::makeResponse(const RunKey& _key, const std::shared_ptr<RunCharge>& _charge)
	{
		return std::make_shared<ResponseBuffer>(_key, [this, charge = _charge](std::size_t _bytes) {
			if (charge->take(kResponseCopies * _bytes))
			{
				return true;
			}
			absl::MutexLock lock(&this->mutex);
			return this->takeRoom(*charge, kResponseCopies * _bytes);
		});
	}
} // namespace archdyke
