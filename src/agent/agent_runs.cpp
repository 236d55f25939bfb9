#include "agent/agent_runs.h"

#include <algorithm>
#include <utility>

#include "base/config.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		/// How long the response of an ended run is kept for a resume, ms.
		constexpr Millis kResponseRetentionMs = 2 * kResumeTimeoutMs;
		/// Retry delay that entries get while there is no room for a run, ms.
		constexpr Millis kMemoryRetryMs = 1000;
		/// Copies of a body that a run holds beyond that of the queue: the request to the upstream, and its bytes on the wire.
		constexpr std::size_t kMoreBodyCopies = 2;
	} // namespace

	AgentRuns::AgentRuns(std::uint64_t _incarnation, const UpstreamSettings& _settings, double _memoryMb, Metrics& _metrics, std::function<UpstreamCall()> _makeCall, RunObserver _observer)
	    : observer(std::move(_observer))
	    , makeCall(std::move(_makeCall))
	    , started(_metrics.counter("archdyke_agent_runs_started_total", "Runs sent to the upstream."))
	    , refused(_metrics.counter("archdyke_agent_runs_refused_total", "Runs refused as not run."))
	    , failed(_metrics.counter("archdyke_agent_runs_failed_total", "Runs whose response is incomplete."))
	    , crashes(_metrics.counter("archdyke_agent_upstream_crashes_total", "Runs during which the upstream's process ended and to which the end is attributed."))
	    , memoryShort(_metrics.counter("archdyke_agent_memory_short_total", "Runs refused, or broken off, because bodies and responses took the memory for them."))
	    , droppedResponses(_metrics.counter("archdyke_agent_responses_dropped_total", "Responses of ended runs that were dropped early because memory was short."))
	    , runSeconds(_metrics.seconds("archdyke_agent_run_seconds", "Time of a run at the upstream."))
	    , memory(std::make_shared<RunMemory>(_memoryMb, _metrics))
	{
		{
			absl::MutexLock lock(&this->mutex);
			this->ledger.incarnation = _incarnation;
			this->ends.agent = toHex(_incarnation);
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
		const std::optional<Millis> refusalMs = remainingRefusalMs(this->ends, suspectsOf(_run), now);
		if (refusalMs)
		{
			openSession(this->ledger, _session, now);
			return {false, RefusalReason::CrashesUpstreams, *refusalMs};
		}
		const RefusalReason reason = offerRun(this->ledger, _run.key, _session, _run.repeatable, now);
		if (RefusalReason::None != reason)
		{
			return {false, reason, 0};
		}
		const auto charge = std::make_shared<RunCharge>(this->memory);
		if (!this->takeRoom(*charge, _run.body.size()))
		{
			dropRun(this->ledger, _run.key, now);
			return {false, RefusalReason::Overloaded, kMemoryRetryMs};
		}
		const AdmissionResult result = admitRun(this->admission, {_run.key, _run.organisation, _run.weight, now + _run.budgetMs, now}, now);
		if (RefusalReason::None != result.refusal)
		{
			dropRun(this->ledger, _run.key, now);
			return {false, result.refusal, result.retryAfterMs};
		}
		this->runs[_run.key] = {_run, this->makeResponse(_run.key, charge), charge};
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
		if (this->runs.end() != it)
		{
			it->second.wanted = false;
			it->second.response->cancelled = it->second.spec.repeatable;
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

	std::vector<Crash> AgentRuns::crashesToReport()
	{
		absl::MutexLock lock(&this->mutex);
		return archdyke::crashesToReport(this->ends, nowMs());
	}

	void AgentRuns::dropQueued(const std::string& _suspect, const VerdictEvent& _verdict, std::vector<RefusedRun>& _dropped)
	{
		std::vector<RunKey> keys;
		for (const auto& [key, run] : this->runs)
		{
			const std::vector<std::string> suspects = suspectsOf(run.spec);
			if (suspects.end() != std::find(suspects.begin(), suspects.end(), _suspect) && dropRun(this->ledger, key, nowMs()))
			{
				keys.push_back(key);
			}
		}
		for (const RunKey& key : keys)
		{
			removeRun(this->admission, key);
			this->runs.erase(key);
			_dropped.push_back({key, _verdict});
		}
	}

	void AgentRuns::refuse(const std::vector<RefusedRequest>& _refused)
	{
		if (_refused.empty())
		{
			return;
		}
		std::vector<RefusedRun> dropped;
		{
			absl::MutexLock lock(&this->mutex);
			recordRefusedRequests(this->ends, _refused, nowMs());
			for (const RefusedRequest& refused : _refused)
			{
				this->dropQueued(refused.request, {false, RefusalReason::CrashesUpstreams, refused.remainingMs}, dropped);
			}
		}
		this->notifyRefused(dropped);
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
		ActiveRun& run = this->runs[result.next->key];
		run.process = this->ends.process;
		run.charge->add(kMoreBodyCopies * run.spec.body.size());
		std::string body = std::exchange(run.spec.body, {});
		ActiveRun started = run;
		started.spec.body = std::move(body);
		return started;
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
		const CallResult result = _call(_run.spec, *_run.response);
		this->finish(_run, result, startedAt);
		this->observer.onResponseData(_run.spec.key);
	}

} // namespace archdyke
