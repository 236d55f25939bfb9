/// The dispatch stage: sends a request to upstreams until one responds or no further attempt is allowed.
#include <algorithm>

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "gateway/admit.h"
#include "gateway/relay.h"
#include "gateway/send_permission.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Minimum time that a resend needs until the caller's deadline, ms.
		constexpr Millis kMinResendTimeMs = 100;

		/// @param[in] _mayHaveRun Whether an attempt may have run; the refusal then doesn't state that the request has not run.
		/// @param[in] _reason Reason reported if it may have run; otherwise the cause is reported.
		Refusal makeRefusal(RequestContext& _context, bool _mayHaveRun, RefusalCause _cause, const std::string& _reason)
		{
			if (_mayHaveRun)
			{
				return {kBadGateway, std::nullopt, _reason};
			}
			return refuseNotRun(_context, _cause);
		}

		/// Records that an upstream was chosen for an attempt.
		void recordChoice(RequestContext& _context, Upstream& _upstream)
		{
			if (isColdLimited(_upstream, nowMs()))
			{
				recordColdSend(_upstream.cold, nowMs());
				_context.state.counters.coldSends.Increment();
			}
			_context.limitedSendAt.reset();
			if (_upstream.selfReport.limit)
			{
				_context.limitedSendAt = nowMs();
				recordLimitedSend(*_upstream.selfReport.limit, *_context.limitedSendAt);
				_context.state.counters.limitedSends.Increment();
			}
			_context.tried.insert(_upstream.record.incarnation);
			_context.upstream = _upstream.record.incarnation;
		}

		/// Reverts the choice of an upstream to which nothing was sent, so that it doesn't affect the next choice.
		void recordWithheld(RequestContext& _context, const Upstream& _upstream)
		{
			_context.state.counters.withheldSends.Increment();
			logInfo("send_withheld", {{"request", _context.caller.id}, {"upstream", _upstream.record.incarnation}, {"back_off_ms", remainingBackOffMs(_upstream.selfReport.backOff, nowMs())}, {"limit_per_s", _upstream.selfReport.limit ? _upstream.selfReport.limit->perSecond : -1.0}, {"leaving", _upstream.leavingSince.has_value()}});
			_context.tried.erase(_upstream.record.incarnation);
			_context.group = nullptr;
		}

		void recordHealth(Upstream& _upstream, const AttemptResult& _result)
		{
			const bool failed = !_result.answered;
			const bool wasSuspended = isSuspended(_upstream.health, nowMs());
			recordAttempt(_upstream.health, failed, nowMs());
			if (wasSuspended != isSuspended(_upstream.health, nowMs()))
			{
				logInfo(wasSuspended ? "upstream_resumed" : "upstream_suspended", {{"upstream", _upstream.record.incarnation}, {"service", _upstream.record.service}, {"failures_in_a_row", _upstream.health.consecutiveFailures}, {"failure_rate", _upstream.health.failureRate}, {"reason", _result.reason}});
			}
		}

		void logRefusedResend(const RequestContext& _context, RetryWindow& _window, const RetryLimits& _limits)
		{
			const ResendShare& share = _context.state.resendShare;
			const Millis now = nowMs();
			const std::optional<std::uint32_t> gateways = reportedGatewayCount(share, _limits.windowMs, 0, now);
			logInfo("resend_refused", {{"request", _context.caller.id}, {"remaining", remainingResends(_window, _limits, now)}, {"first_sends", _window.firstSends.size()}, {"resends", _window.resends.size()}, {"allowance", _limits.allowance}, {"rounding", _limits.rounding}, {"gateways", gateways ? std::int64_t(*gateways) : -1}, {"counted_for_ms", gateways ? now - share.steadySince : -1}});
		}

		/// @returns Whether a failed attempt should be followed by another one if the retry budget allows it.
		bool wantsRetry(RequestContext& _context, const AttemptResult& _result)
		{
			const bool resumable = _context.route->stream && _context.route->resumable;
			const FailedAttempt failedTry{_result.proof, _result.refusal, _context.sends - 1, mayRepeat(*_context.route), _context.headSent && !resumable, _context.deadlineAt - nowMs()};
			const NextStep next = decideNext(failedTry);
			const bool wanted = NextStep::Retry == next || NextStep::RetryOnBudget == next;
			return wanted && _context.sends < _context.route->maxAttempts && !refuseSend(_context);
		}

		/// @returns How long to wait for a resend, ms: until this gateway knows how many others share the budget, if its share
		/// then allows the resend and the deadline leaves time for it.
		std::optional<Millis> waitForBudgetMs(RequestContext& _context)
		{
			GatewayState& state = _context.state;
			const Millis now = nowMs();
			const Millis windowMs = state.settings.bounds.retryWindowMs;
			const std::optional<Millis> waitMs = untilCountIsSteadyMs(state.resendShare, windowMs, now);
			RetryWindow& window = state.retries[_context.service];
			if (!waitMs || 1.0 <= remainingResends(window, retryBounds(state), now))
			{
				return std::nullopt;
			}
			const bool inTime = now + *waitMs + kMinResendTimeMs <= _context.deadlineAt;
			const double forOthers = double(window.awaiting);
			return inTime && 1.0 + forOthers <= remainingResends(window, retryBounds(state, now + *waitMs), now) ? waitMs : std::nullopt;
		}

		/// Waits until the retry budget allows a resend, if that is about to happen and another group can run the request.
		aio::Task<void> awaitBudget(RequestContext& _context, const AttemptResult& _result)
		{
			while (wantsRetry(_context, _result) && nullptr != chooseGroupForRetry(_context))
			{
				const std::optional<Millis> waitMs = waitForBudgetMs(_context);
				if (!waitMs)
				{
					co_return;
				}
				_context.state.counters.resendsAwaited.Increment();
				_context.state.retries[_context.service].awaiting += 1;
				const auto waitEnd = kj::defer([&_context] {
					_context.state.retries[_context.service].awaiting -= 1;
				});
				co_await _context.state.loop.timer.afterDelay(*waitMs * kj::MILLISECONDS);
			}
		}

		bool mayRetry(RequestContext& _context, const AttemptResult& _result)
		{
			if (!wantsRetry(_context, _result))
			{
				return false;
			}
			RetryWindow& window = _context.state.retries[_context.service];
			const RetryLimits limits = retryBounds(_context.state);
			if (!takeResend(window, limits, nowMs()))
			{
				logRefusedResend(_context, window, limits);
				_context.reason += ",retry_budget_spent";
				return false;
			}
			return true;
		}

		/// Chooses the upstream for the next attempt.
		UpstreamRef chooseUpstream(RequestContext& _context)
		{
			GatewayState& state = _context.state;
			if (0 < _context.sends || nullptr == _context.group)
			{
				_context.group = chooseGroupForRetry(_context);
			}
			return nullptr == _context.group ? nullptr : state.registry.choose(*_context.group, _context.tried, state.random, nowMs());
		}

		/// @returns Why no upstream was found for an attempt.
		RefusalCause whyNoUpstream(const RequestContext& _context)
		{
			if (_context.state.registry.isEvacuated(_context.service))
			{
				return RefusalCause::Evacuated;
			}
			return refusalCauseOf(_context.state.registry.groupsOf(_context.service), nowMs()).value_or(RefusalCause::NoUpstream);
		}

		/// Makes further attempts prefer another group, because the ranks of a group stall together.
		/// @returns GroupDown when the group is at fault and no other is open, else Overloaded.
		RefusalCause recordGroupFailure(RequestContext& _context, const Upstream& _upstream, const AttemptResult& _result)
		{
			if (RefusalReason::WrongIncarnation != _result.refusal)
			{
				_context.failedInGroups.insert(_upstream.group->name);
			}
			const bool noOtherGroup = _result.groupFault && nullptr == chooseGroupForRetry(_context);
			return noOtherGroup ? RefusalCause::GroupDown : RefusalCause::Overloaded;
		}

		void logFailedTry(const RequestContext& _context, const Upstream& _upstream, const AttemptResult& _result)
		{
			logInfo("try_failed", {{"request", _context.caller.id}, {"send", _context.sends}, {"upstream", _upstream.record.incarnation}, {"group", _upstream.group->name.empty() ? "-" : _upstream.group->name}, {"address", _upstream.record.address}, {"not_run_proved", ExecutionProof::NotRun == _result.proof}, {"reason", _result.reason}, {"group_fault", _result.groupFault}, {"left_ms", _context.deadlineAt - nowMs()}, {"catalog", _context.catalog->catalog.version}});
		}

		/// Updates the state of an upstream and its group after a failed attempt.
		void recordFailure(RequestContext& _context, const Upstream& _upstream, const AttemptResult& _result)
		{
			logFailedTry(_context, _upstream, _result);
			appendReason(_context, _result.reason);
			if (RefusalReason::WrongIncarnation == _result.refusal)
			{
				// Another process has the address, so this incarnation has ended even if the store still lists it.
				_context.state.registry.forget(_upstream.record.incarnation, nowMs());
			}
			if (_result.groupFault)
			{
				recordGroupFault(*_upstream.group, nowMs());
			}
		}

		/// @returns Why a request is refused after its last attempt failed.
		RefusalCause whyRetriesEnded(const RequestContext& _context)
		{
			return refusalCauseOf(_context.state.registry.groupsOf(_context.service), nowMs()).value_or(RefusalCause::Overloaded);
		}
	} // namespace

	RetryLimits retryBounds(const GatewayState& _state)
	{
		return retryBounds(_state, nowMs());
	}

	RetryLimits retryBounds(const GatewayState& _state, Millis _now)
	{
		/// Share of the budget that is used: the sliding windows of several gateways aren't aligned,
		/// and their sum must stay within the budget.
		constexpr double kUsedBudgetShare = 0.8;
		const Bounds& bounds = _state.settings.bounds;
		const double share = allowanceShare(_state.resendShare, bounds.retryWindowMs, _now);
		return {kUsedBudgetShare * bounds.retryRatio, share * bounds.retryAllowance, bounds.retryWindowMs, _state.resendShare.rounding};
	}

	void recordSend(RequestContext& _context)
	{
		GatewayState& state = _context.state;
		const bool first = 0 == _context.sends;
		if (first)
		{
			recordFirstSend(state.retries[_context.service], state.settings.bounds.retryWindowMs, nowMs());
		}
		(first ? state.counters.sends : state.counters.resends).Increment();
		_context.sends += 1;
	}

	aio::Task<std::optional<Refusal>> dispatch(RequestContext& _context)
	{
		bool mayHaveRun = false;
		while (true)
		{
			if (std::optional<Refusal> refused = refuseSend(_context))
			{
				co_return refused;
			}
			// Each further attempt would crash one more upstream with everything that runs there. Crashes count whether
			// they were observed here or reported by other gateways.
			if (crashRefusalMs(_context))
			{
				co_return makeRefusal(_context, mayHaveRun, RefusalCause::CrashesUpstreams, "crashes_upstreams");
			}
			const UpstreamRef upstream = chooseUpstream(_context);
			if (nullptr == upstream)
			{
				const RefusalCause cause = whyNoUpstream(_context);
				if (RefusalCause::NoUpstream == cause)
				{
					appendReason(_context, "no_upstream");
				}
				co_return makeRefusal(_context, mayHaveRun, cause, "no_upstream_left");
			}
			recordChoice(_context, *upstream);
			AttemptResult result = co_await attemptUpstream(_context, upstream);
			if (result.withheld)
			{
				recordWithheld(_context, *upstream);
				if (result.refused)
				{
					co_return std::move(result.refused);
				}
				continue; // a retry's share of the budget was already taken
			}
			recordHealth(*upstream, result);
			if (result.connectionLost)
			{
				co_await recordBrokenAttempt(_context, upstream);
			}
			endTrial(_context);
			if (result.answered)
			{
				result.endedByConnection ? recordUnframedResponse(_context, upstream) : recordCompletedRun(_context);
				_context.ending = Ending::Answered;
				co_return std::nullopt;
			}
			recordFailure(_context, *upstream, result);
			mayHaveRun = mayHaveRun || ExecutionProof::NotRun != result.proof;
			const RefusalCause cause = recordGroupFailure(_context, *upstream, result);
			if (RefusalCause::GroupDown == cause)
			{
				co_return makeRefusal(_context, mayHaveRun, cause, result.reason);
			}
			co_await awaitBudget(_context, result);
			if (mayRetry(_context, result))
			{
				continue;
			}
			if (result.failure)
			{
				_context.ending = Ending::Answered;
				co_await forwardResponse(_context, *result.failure);
				co_return std::nullopt;
			}
			if (std::optional<Refusal> refused = refuseSend(_context))
			{
				co_return refused;
			}
			co_return makeRefusal(_context, mayHaveRun, whyRetriesEnded(_context), result.reason);
		}
	}
} // namespace archdyke::gateway
