#include "entry/request_run.h"

#include <algorithm>

#include "base/config.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		constexpr int kUnavailable = 503;
		constexpr int kBadGateway = 502;
		constexpr int kTimeout = 504;
		/// Maximum wait before a resend for the crashes that other entries have published, ms. Without the platform the entry
		/// goes by the crashes that it knows.
		constexpr Millis kCrashPublishTimeoutMs = 500;
		/// Time limit for revoking a run whose deadline has passed, ms.
		constexpr Millis kDeadlineRevokeTimeoutMs = 300;

		Random& threadRandom()
		{
			thread_local Random random(randomId());
			return random;
		}

		int severity(ExecutionProof _proof)
		{
			return ExecutionProof::NotRun == _proof ? 0 : ExecutionProof::Unknown == _proof ? 1
			                                                                                : 2;
		}
	} // namespace

	void SharedRetryBudget::earn()
	{
		absl::MutexLock lock(&this->mutex);
		earnRetry(this->budget);
	}

	bool SharedRetryBudget::spend(Millis _now)
	{
		absl::MutexLock lock(&this->mutex);
		return spendRetry(this->budget, _now);
	}

	RejectedError crashRejection(Outcome _outcome, bool _repeatable, Millis _refusalMs)
	{
		const bool mayRetry = _repeatable || Outcome::NotRun == _outcome;
		const std::string ran = Outcome::NotRun == _outcome ? "it was not run" : "an attempt of it was running when an upstream crashed";
		return RejectedError({Outcome::NotRun == _outcome ? kUnavailable : kBadGateway, _outcome, mayRetry ? std::max<Millis>(1, _refusalMs) : 0, std::string(toString(RefusalReason::CrashesUpstreams)), "several upstreams crashed while they ran this request, so it is refused for now; " + ran + "; change the request or report it to the service's operators"});
	}

	RequestRun::RequestRun(RunContext _context, const ResolvedRequest& _request, const CallerRequest& _caller)
	    : context(_context)
	    , request(_request)
	    , caller(_caller)
	{
	}

	RequestRun::~RequestRun()
	{
		this->closeAttempt();
	}

	Outcome RequestRun::outcome() const
	{
		if (this->current.started)
		{
			return Outcome::Ran;
		}
		switch (this->worstProof.value_or(ExecutionProof::NotRun))
		{
		case ExecutionProof::NotRun:
			return Outcome::NotRun;
		case ExecutionProof::Ran:
			return Outcome::Ran;
		default:
			return Outcome::Unknown;
		}
	}

	void RequestRun::recordProof(ExecutionProof _proof)
	{
		if (!this->worstProof || severity(*this->worstProof) < severity(_proof))
		{
			this->worstProof = _proof;
		}
	}

	void RequestRun::refuseIfCrashing()
	{
		if (this->crashed)
		{
			this->context.crashes.waitUntilPublished(suspectsOf(this->request), std::min(this->request.deadline, nowMs() + kCrashPublishTimeoutMs));
		}
		const std::optional<Millis> refusalMs = this->context.crashes.refusalMs(suspectsOf(this->request));
		if (refusalMs)
		{
			this->context.crashes.countRefusal();
			throw crashRejection(this->outcome(), this->request.repeatable, *refusalMs);
		}
	}

	std::shared_ptr<AgentLink> RequestRun::chooseLink()
	{
		const std::shared_ptr<const RouteTargets> targets = this->context.directory.targets(this->request.service.name);
		if (nullptr == targets || targets->empty())
		{
			return nullptr;
		}
		std::vector<AgentCandidate> candidates;
		candidates.reserve(targets->size());
		for (const RouteTarget& target : *targets)
		{
			AgentCandidate candidate = target.link->candidate();
			candidate.id = target.id;
			candidate.ownZone = target.ownZone;
			candidate.distanceMs = target.distanceMs;
			const bool triedBefore = this->triedAgents.end() != std::find(this->triedAgents.begin(), this->triedAgents.end(), target.link->identity().name);
			candidate.usable = candidate.usable && !triedBefore;
			candidates.push_back(candidate);
		}
		const std::optional<std::size_t> chosen = chooseAgent(candidates, this->request.prefix, threadRandom());
		return chosen ? (*targets)[*chosen].link : nullptr;
	}

	void RequestRun::send(const std::shared_ptr<AgentLink>& _link)
	{
		this->current = {};
		this->undelivered.clear();
		this->current.link = _link;
		this->current.incarnation = _link->incarnation();
		this->current.call = std::make_shared<Call>(ConnectionRegistry::arrivalsOfThisThread());
		this->current.relay.key = {this->request.id, this->attempts};
		this->current.open = true;
		this->triedAgents.push_back(_link->identity().name);
		RunSpec run;
		run.key = this->current.relay.key;
		run.organisation = this->request.organisation.name;
		run.weight = this->request.organisation.weight;
		run.budgetMs = std::max<Millis>(1, this->request.deadline - nowMs());
		run.repeatable = this->request.repeatable;
		run.method = this->caller.method;
		run.path = this->request.upstreamPath;
		run.contentType = this->caller.contentType;
		run.body = this->caller.body;
		run.fingerprint = this->request.fingerprint;
		run.parts = this->request.parts;
		_link->dispatch(this->current.call, std::move(run));
	}

	void RequestRun::closeAttempt()
	{
		if (this->current.open)
		{
			this->current.open = false;
			this->current.link->forget(this->current.relay.key);
		}
	}

	std::optional<RequestRun::AttemptFailure> RequestRun::handleVerdict(const VerdictEvent& _event)
	{
		if (_event.accepted)
		{
			this->current.started = true;
			return std::nullopt;
		}
		const ExecutionProof proof = RefusalReason::Duplicate == _event.reason ? ExecutionProof::Unknown : ExecutionProof::NotRun;
		return AttemptFailure{proof, _event.reason, std::max<Millis>(1, _event.retryAfterMs), std::string(toString(_event.reason)), "the upstream " + this->current.link->identity().name + " refused the request (" + std::string(toString(_event.reason)) + "); retry after the time in Retry-After"};
	}

	std::optional<RequestRun::AttemptFailure> RequestRun::handleFrame(ResponseFrame& _frame)
	{
		const FrameDecision decision = acceptFrame(this->current.relay, _frame.head);
		switch (decision.action)
		{
		case FrameAction::Deliver:
			this->current.started = true;
			this->start = ResponseStart{_frame.status, _frame.contentType, this->current.link->identity().name};
			if (this->undelivered.empty() && 0 == decision.skip)
			{
				this->undelivered = std::move(_frame.bytes);
			}
			else
			{
				this->undelivered.append(_frame.bytes, std::min<std::size_t>(decision.skip, _frame.bytes.size()));
			}
			return std::nullopt;
		case FrameAction::Gap:
			return this->reconnect(nowMs() + kResumeTimeoutMs);
		case FrameAction::Broken:
			if (!_frame.crashed.empty())
			{
				this->crashed = true;
				for (const std::string& suspect : suspectsOf(this->request))
				{
					this->context.crashes.recordOwn({suspect, _frame.crashed});
				}
			}
			return AttemptFailure{_frame.notRun ? ExecutionProof::NotRun : ExecutionProof::Ran, RefusalReason::None, kDefaultRetryDelayMs, _frame.notRun ? "upstream_unreachable" : "upstream_broke_off", "the upstream " + this->current.link->identity().name + (_frame.notRun ? " can't be reached; retry after the time in Retry-After" : " did not complete its response; check with it before you send the request again")};
		default:
			this->context.droppedFrames.Increment();
			return std::nullopt;
		}
	}

	std::optional<RequestRun::AttemptFailure> RequestRun::handleDeadline()
	{
		ExecutionProof proof = ExecutionProof::Ran;
		if (!this->current.started)
		{
			const std::optional<RevokeState> state = this->revokeUntilAnswered(nowMs() + kDeadlineRevokeTimeoutMs);
			proof = RevokeState::NotRun == state ? ExecutionProof::NotRun : RevokeState::Started == state ? ExecutionProof::Ran
			                                                                                              : ExecutionProof::Unknown;
		}
		if (ExecutionProof::NotRun != proof)
		{
			this->current.link->cancel(this->current.relay.key);
		}
		return AttemptFailure{proof, RefusalReason::Deadline, kDefaultRetryDelayMs, "deadline", "the deadline of the service has passed"};
	}

	std::optional<RequestRun::AttemptFailure> RequestRun::handleEvent(CallEvent& _event)
	{
		if (const VerdictEvent* verdict = std::get_if<VerdictEvent>(&_event))
		{
			return this->handleVerdict(*verdict);
		}
		if (ResponseFrame* frame = std::get_if<ResponseFrame>(&_event))
		{
			return this->handleFrame(*frame);
		}
		if (const LinkLostEvent* lost = std::get_if<LinkLostEvent>(&_event))
		{
			return this->handleLinkLost(*lost);
		}
		if (std::holds_alternative<CallerClosedEvent>(_event))
		{
			this->callerClosed = true;
			return AttemptFailure{ExecutionProof::Ran, RefusalReason::None, 0, "memory_short", "the connection was closed because memory was short"};
		}
		return std::nullopt; // A late response to an earlier revoke or resume.
	}

	/// Waits for bytes of the response, or for its end.
	std::optional<RequestRun::AttemptFailure> RequestRun::waitForResponse()
	{
		while (this->undelivered.empty() && !this->current.relay.complete)
		{
			std::optional<CallEvent> event = this->current.call->wait(this->request.deadline);
			std::optional<AttemptFailure> failure = event ? this->handleEvent(*event) : this->handleDeadline();
			if (failure)
			{
				return failure;
			}
		}
		return std::nullopt;
	}

	RequestRun::AttemptFailure RequestRun::noUpstreamFailure() const
	{
		return {ExecutionProof::NotRun, RefusalReason::None, kDefaultRetryDelayMs, "no_upstream", "no upstream of service \"" + this->request.service.name + "\" accepts requests now; retry after the time in Retry-After"};
	}

	RejectedError RequestRun::makeRejection(const AttemptFailure& _failure) const
	{
		const Outcome outcome = this->outcome();
		const bool isTimeout = RefusalReason::Deadline == _failure.refusal && Outcome::NotRun != outcome;
		const int status = isTimeout ? kTimeout : Outcome::NotRun == outcome ? kUnavailable
		                                                                     : kBadGateway;
		const Millis retryAfterMs = Outcome::NotRun == outcome ? std::max<Millis>(1, _failure.retryAfterMs) : 0;
		return RejectedError({status, outcome, retryAfterMs, _failure.reason, _failure.message});
	}

	NextStep RequestRun::decideNextStep(const AttemptFailure& _failure)
	{
		if (this->callerClosed)
		{
			return NextStep::AnswerBroken;
		}
		const FailedAttempt failed{_failure.proof, _failure.refusal, this->attempts, this->request.repeatable, this->delivered, this->request.deadline - nowMs()};
		const NextStep step = decideNext(failed);
		if (NextStep::RetryOnBudget == step)
		{
			return this->context.retries.spend(nowMs()) ? NextStep::Retry : finalAnswer(failed);
		}
		return step;
	}

	ResponseStart RequestRun::runAttempts()
	{
		while (true)
		{
			this->refuseIfCrashing();
			const std::shared_ptr<AgentLink> link = this->chooseLink();
			if (nullptr == link)
			{
				throw this->makeRejection(this->noUpstreamFailure());
			}
			this->send(link);
			const std::optional<AttemptFailure> failure = this->waitForResponse();
			if (!failure)
			{
				return *this->start;
			}
			this->closeAttempt();
			this->current.started = false;
			this->recordProof(failure->proof);
			if (NextStep::Retry != this->decideNextStep(*failure))
			{
				throw this->makeRejection(*failure);
			}
			this->context.retried.Increment();
			this->attempts += 1;
		}
	}

	ResponseStart RequestRun::begin()
	{
		return this->runAttempts();
	}

	std::optional<std::string> RequestRun::next()
	{
		const std::optional<AttemptFailure> failure = this->waitForResponse();
		if (failure)
		{
			this->closeAttempt();
			this->recordProof(failure->proof);
			throw this->makeRejection(*failure);
		}
		if (this->undelivered.empty())
		{
			this->closeAttempt();
			this->context.retries.earn();
			this->context.crashes.recordCompletion(suspectsOf(this->request));
			return std::nullopt;
		}
		this->delivered = this->request.streamed;
		return std::exchange(this->undelivered, {});
	}

	ResponseStart RequestRun::restart(const RejectedError& _error)
	{
		if (!this->request.repeatable || this->delivered || NextStep::Retry != this->decideNextStep({ExecutionProof::Ran, RefusalReason::None, 0, _error.response.reason, _error.response.message}))
		{
			throw _error;
		}
		this->context.retried.Increment();
		this->attempts += 1;
		this->current.started = false;
		return this->runAttempts();
	}

	std::string RequestRun::contentType() const
	{
		return this->start ? this->start->contentType : "";
	}

	void RequestRun::abandon()
	{
		if (this->current.open)
		{
			this->current.link->cancel(this->current.relay.key);
			this->closeAttempt();
		}
	}
} // namespace archdyke
