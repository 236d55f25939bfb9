#include "agent/agent_runs.h"

#include "base/config.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		/// How long the response of an ended run is kept for a resume, ms.
		constexpr Millis kResponseRetentionMs = 2 * kResumeTimeoutMs;
		/// Retry delay that entries get while the upstream is unreachable, ms.
		constexpr Millis kUpstreamDownRetryMs = 1000;
	} // namespace

	AgentRuns::AgentRuns(std::uint64_t _incarnation, const UpstreamSettings& _settings, Metrics& _metrics, std::function<UpstreamCall()> _makeCall, RunObserver _observer)
	    : observer(std::move(_observer))
	    , makeCall(std::move(_makeCall))
	    , started(_metrics.counter("archdyke_agent_runs_started_total", "Runs sent to the upstream."))
	    , refused(_metrics.counter("archdyke_agent_runs_refused_total", "Runs refused as not run."))
	    , failed(_metrics.counter("archdyke_agent_runs_failed_total", "Runs whose response is incomplete."))
	    , runSeconds(_metrics.seconds("archdyke_agent_run_seconds", "Time of a run at the upstream."))
	{
		{
			absl::MutexLock lock(&this->mutex);
			this->ledger.incarnation = _incarnation;
			this->admission.slots = _settings.slots;
			this->admission.capacity = kMaxQueuedRuns;
		}
		for (std::uint32_t index = 0; index < _settings.slots; ++index)
		{
			this->threads.emplace_back([this] {
				this->runWorker();
			});
		}
	}

	AgentRuns::~AgentRuns()
	{
		this->stop();
	}

	bool AgentRuns::open(const Session& _session)
	{
		absl::MutexLock lock(&this->mutex);
		return _session.agent == this->ledger.incarnation && openSession(this->ledger, _session, nowMs());
	}

	std::optional<Millis> AgentRuns::unavailableForMs(Millis _now) const
	{
		if (!this->upstreamReachable)
		{
			return kUpstreamDownRetryMs;
		}
		const Millis remainingMs = remainingBackOffMs(this->backOff, _now);
		return 0 < remainingMs ? std::optional(remainingMs) : std::nullopt;
	}

	VerdictEvent AgentRuns::offerLocked(const RunSpec& _run, const Session& _session, std::vector<RefusedRun>& _evicted)
	{
		const Millis now = nowMs();
		const std::optional<Millis> retryAfterMs = this->unavailableForMs(now);
		if (retryAfterMs)
		{
			// The session is opened even so, so that a later revoke on it is checked against the right session floor.
			openSession(this->ledger, _session, now);
			return {false, RefusalReason::Overloaded, *retryAfterMs};
		}
		const RefusalReason reason = offerRun(this->ledger, _run.key, _session, _run.repeatable, now);
		if (RefusalReason::None != reason)
		{
			return {false, reason, 0};
		}
		const AdmissionResult result = admitRun(this->admission, {_run.key, _run.organisation, _run.weight, now + _run.budgetMs, now}, now);
		if (RefusalReason::None != result.refusal)
		{
			dropRun(this->ledger, _run.key, now);
			return {false, result.refusal, result.retryAfterMs};
		}
		this->runs[_run.key] = {_run, std::make_shared<ResponseBuffer>(_run.key), 0};
		if (result.evicted)
		{
			dropRun(this->ledger, *result.evicted, now);
			this->runs.erase(*result.evicted);
			_evicted.push_back({*result.evicted, {false, RefusalReason::Overloaded, result.retryAfterMs}});
		}
		return {true, RefusalReason::None, 0};
	}

	void AgentRuns::notifyRefused(const std::vector<RefusedRun>& _refused)
	{
		for (const RefusedRun& item : _refused)
		{
			this->refused.Increment();
			this->observer.onVerdict(item.key, item.verdict);
		}
	}

	void AgentRuns::offer(const RunSpec& _run, const Session& _session)
	{
		std::vector<RefusedRun> refusals;
		{
			absl::MutexLock lock(&this->mutex);
			const VerdictEvent verdict = this->offerLocked(_run, _session, refusals);
			if (!verdict.accepted)
			{
				refusals.push_back({_run.key, verdict});
			}
		}
		this->notifyRefused(refusals);
	}

	RevokeState AgentRuns::revoke(const RunKey& _key, const Session& _session)
	{
		absl::MutexLock lock(&this->mutex);
		const RevokeState state = revokeRun(this->ledger, _key, _session, nowMs());
		if (RevokeState::NotRun == state)
		{
			removeRun(this->admission, _key);
			this->runs.erase(_key);
		}
		return state;
	}

	void AgentRuns::cancel(const RunKey& _key)
	{
		absl::MutexLock lock(&this->mutex);
		if (dropRun(this->ledger, _key, nowMs()))
		{
			removeRun(this->admission, _key);
			this->runs.erase(_key);
			return;
		}
		const auto it = this->runs.find(_key);
		if (this->runs.end() != it && it->second.spec.repeatable)
		{
			it->second.response->cancelled = true;
		}
	}

	std::shared_ptr<ResponseBuffer> AgentRuns::response(const RunKey& _key)
	{
		absl::MutexLock lock(&this->mutex);
		const auto it = this->runs.find(_key);
		return this->runs.end() == it ? nullptr : it->second.response;
	}

	void AgentRuns::leave()
	{
		absl::MutexLock lock(&this->mutex);
		this->ledger.leaving = true;
	}

	void AgentRuns::setUpstreamReachable(bool _up)
	{
		absl::MutexLock lock(&this->mutex);
		this->upstreamReachable = _up;
	}

	void AgentRuns::sweep()
	{
		absl::MutexLock lock(&this->mutex);
		const Millis now = nowMs();
		removeExpiredRuns(this->ledger, now);
		absl::erase_if(this->runs, [&](const auto& _run) {
			return 0 != _run.second.endedAt && kResponseRetentionMs < now - _run.second.endedAt;
		});
	}

	LoadReport AgentRuns::load()
	{
		absl::MutexLock lock(&this->mutex);
		LoadReport report;
		report.running = this->admission.running;
		report.queued = std::uint32_t(this->admission.queued);
		report.slots = this->unavailableForMs(nowMs()) ? 0 : this->admission.slots;
		report.leaving = this->ledger.leaving;
		report.meanRunMs = std::uint32_t(this->admission.meanRunMs);
		report.incarnation = this->ledger.incarnation;
		return report;
	}

	std::size_t AgentRuns::active()
	{
		absl::MutexLock lock(&this->mutex);
		return this->ledger.active;
	}

	void AgentRuns::stop()
	{
		{
			absl::MutexLock lock(&this->mutex);
			this->stopping = true;
		}
		for (std::thread& thread : this->threads)
		{
			thread.join();
		}
		this->threads.clear();
	}

	bool AgentRuns::hasWork() const
	{
		return this->stopping || (0 < this->admission.queued && this->admission.running < this->admission.slots);
	}

	std::optional<AgentRuns::ActiveRun> AgentRuns::dequeueLocked(std::vector<RefusedRun>& _expired)
	{
		const Millis now = nowMs();
		const TakeResult result = takeRun(this->admission, now);
		for (const RunKey& key : result.expired)
		{
			dropRun(this->ledger, key, now);
			this->runs.erase(key);
			_expired.push_back({key, {false, RefusalReason::Deadline, 0}});
		}
		if (!result.next)
		{
			return std::nullopt;
		}
		const Millis backOffMs = remainingBackOffMs(this->backOff, now);
		if (0 < backOffMs)
		{
			// The entry retries at another agent; sent now, the run would get the upstream's refusal as its response.
			archdyke::endRun(this->admission, Millis(this->admission.meanRunMs));
			dropRun(this->ledger, result.next->key, now);
			this->runs.erase(result.next->key);
			_expired.push_back({result.next->key, {false, RefusalReason::Overloaded, backOffMs}});
			return std::nullopt;
		}
		if (!startRun(this->ledger, result.next->key))
		{
			archdyke::endRun(this->admission, Millis(this->admission.meanRunMs));
			return std::nullopt;
		}
		return this->runs[result.next->key];
	}

	void AgentRuns::runWorker()
	{
		const UpstreamCall call = this->makeCall();
		while (true)
		{
			std::vector<RefusedRun> expired;
			std::optional<ActiveRun> run;
			{
				absl::MutexLock lock(&this->mutex);
				this->mutex.Await(absl::Condition(this, &AgentRuns::hasWork));
				if (this->stopping && 0 == this->admission.queued)
				{
					return;
				}
				run = this->dequeueLocked(expired);
			}
			this->notifyRefused(expired);
			if (run)
			{
				this->execute(*run, call);
			}
		}
	}

	void AgentRuns::execute(const ActiveRun& _run, const UpstreamCall& _call)
	{
		const Millis startedAt = nowMs();
		this->started.Increment();
		this->observer.onVerdict(_run.spec.key, {true, RefusalReason::None, 0});
		const bool reachedUpstream = _call(_run.spec, *_run.response);
		this->finish(_run, reachedUpstream, startedAt);
		this->observer.onResponseData(_run.spec.key);
	}

	void AgentRuns::finish(const ActiveRun& _run, bool _reachedUpstream, Millis _startedAt)
	{
		const Millis now = nowMs();
		this->runSeconds.Observe(double(now - _startedAt) / 1000.0);
		if (_run.response->frameAt(_run.response->size()).head.failed)
		{
			this->failed.Increment();
		}
		const Millis requestedMs = _run.response->backOffMs;
		absl::MutexLock lock(&this->mutex);
		if (0 < requestedMs && recordBackOff(this->backOff, requestedMs, now))
		{
			logInfo("upstream_asks_back_off", {{"asked_ms", requestedMs}, {"queued", this->admission.queued}});
		}
		archdyke::endRun(this->admission, now - _startedAt);
		if (_reachedUpstream)
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
