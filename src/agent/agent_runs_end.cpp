/// The part of an agent's runs that records how they ended.
#include "agent/agent_runs.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke
{
	std::string AgentRuns::recordEnd(const ActiveRun& _run, CallResult _result, Millis _now)
	{
		if (CallResult::Completed == _result)
		{
			recordCompletedRun(this->ends, suspectsOf(_run.spec), _now);
		}
		if (CallResult::UpstreamEnded != _result)
		{
			return "";
		}
		const std::vector<Crash> crashes = recordUpstreamEnd(this->ends, suspectsOf(_run.spec), _run.process, _now);
		logWarning("upstream_crashed", {{"fingerprint", _run.spec.fingerprint}, {"request", _run.spec.key.requestId}, {"attempt", _run.spec.key.attempt}, {"process", _run.process}, {"attributed", crashes.size()}});
		if (crashes.empty())
		{
			return "";
		}
		this->crashes.Increment();
		return crashes.front().incarnation;
	}

	void AgentRuns::finish(const ActiveRun& _run, CallResult _result, Millis _startedAt)
	{
		const Millis now = nowMs();
		this->runSeconds.Observe(double(now - _startedAt) / 1000.0);
		if (CallResult::Completed != _result)
		{
			this->failed.Increment();
		}
		std::vector<RefusedRun> dropped;
		this->recordResult(_run, _result, _startedAt, dropped);
		this->notifyRefused(dropped);
	}

	void AgentRuns::recordResult(const ActiveRun& _run, CallResult _result, Millis _startedAt, std::vector<RefusedRun>& _dropped)
	{
		const Millis now = nowMs();
		const Millis requestedMs = _run.response->backOffMs;
		absl::MutexLock lock(&this->mutex);
		const std::string crashed = this->recordEnd(_run, _result, now);
		if (!crashed.empty())
		{
			// They would crash the upstream again as soon as it is back.
			this->dropQueued(_run.spec.fingerprint, {false, RefusalReason::Overloaded, kUpstreamDownRetryMs}, _dropped);
		}
		if (CallResult::Completed == _result)
		{
			_run.response->complete();
		}
		else
		{
			_run.response->fail(CallResult::NotReached == _result, crashed);
		}
		if (0 < requestedMs && recordBackOff(this->backOff, requestedMs, now))
		{
			logInfo("upstream_asks_back_off", {{"asked_ms", requestedMs}, {"queued", this->admission.queued}});
		}
		archdyke::endRun(this->admission, now - _startedAt);
		if (CallResult::NotReached != _result)
		{
			finishRun(this->ledger, _run.spec.key, now);
		}
		else
		{
			withdrawRun(this->ledger, _run.spec.key, now);
		}
		const auto it = this->runs.find(_run.spec.key);
		if (this->runs.end() != it)
		{
			it->second.endedAt = now;
		}
	}
} // namespace archdyke
