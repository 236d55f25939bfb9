/// The stage that sends a request to upstreams until one answers or no further try is allowed.
#include <algorithm>

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "gateway/admit.h"
#include "gateway/relay.h"

namespace archdyke::gateway
{
	namespace
	{
		/// @param[in] _unknown Whether a try may have run: no promise is made then.
		/// @param[in] _reason Given then; else the cause is.
		Refusal refusalOf(RequestContext& _context, bool _unknown, RefusalCause _cause, const std::string& _reason)
		{
			if (_unknown)
			{
				return {kBadGateway, std::nullopt, _reason};
			}
			return refuseNotRun(_context, _cause);
		}

		/// Notes that an upstream was chosen for a try.
		void noteChoice(RequestContext& _context, Upstream& _upstream)
		{
			if (isLimitedCold(_upstream, nowMs()))
			{
				noteColdSend(_upstream.cold, nowMs());
				_context.state.counters.coldSends.Increment();
			}
			_context.tried.insert(_upstream.record.incarnation);
			_context.upstream = _upstream.record.incarnation;
		}

		/// An upstream that was chosen got nothing: the next choice is made as if this one hadn't been.
		void noteWithheld(RequestContext& _context, const Upstream& _upstream)
		{
			_context.state.counters.withheldSends.Increment();
			logInfo("send_withheld", {{"request", _context.caller.id}, {"upstream", _upstream.record.incarnation}, {"back_off_ms", backOffLeftMs(_upstream.selfReport.backOff, nowMs())}, {"leaving", _upstream.leavingSince.has_value()}});
			_context.tried.erase(_upstream.record.incarnation);
			_context.group = nullptr;
		}

		void noteHealth(Upstream& _upstream, const TryResult& _result)
		{
			const bool failed = !_result.answered;
			const bool before = isSuspended(_upstream.health, nowMs());
			noteTry(_upstream.health, failed, nowMs());
			if (before != isSuspended(_upstream.health, nowMs()))
			{
				logInfo(before ? "upstream_resumed" : "upstream_suspended", {{"upstream", _upstream.record.incarnation}, {"service", _upstream.record.service}, {"failures_in_a_row", _upstream.health.failuresInARow}, {"failure_rate", _upstream.health.failureRate}, {"reason", _result.reason}});
			}
		}

		bool mayTryAgain(RequestContext& _context, const TryResult& _result)
		{
			const bool resumable = _context.route->stream && _context.route->resumable;
			const FailedTry failedTry{_result.proof, _result.refusal, _context.sends - 1, mayRepeat(*_context.route), _context.headSent && !resumable, _context.deadlineAt - nowMs()};
			const NextStep next = decideNext(failedTry);
			const bool wanted = NextStep::Retry == next || NextStep::RetryOnBudget == next;
			if (!wanted || _context.sends >= _context.route->maxAttempts)
			{
				return false;
			}
			if (!takeResend(_context.state.retries[_context.service], retryBounds(_context.state), nowMs()))
			{
				_context.reason += ",retry_budget_spent";
				return false;
			}
			return true;
		}

		/// Chooses where the next try goes.
		UpstreamRef nextUpstream(RequestContext& _context)
		{
			GatewayState& state = _context.state;
			if (0 < _context.sends || nullptr == _context.group)
			{
				_context.group = chooseGroupAgain(_context);
			}
			return nullptr == _context.group ? nullptr : state.board.choose(*_context.group, _context.tried, state.random, nowMs());
		}

		/// @returns Why no upstream was found for a try.
		RefusalCause whyNone(const RequestContext& _context)
		{
			if (_context.state.board.isEvacuated(_context.service))
			{
				return RefusalCause::Evacuated;
			}
			return whyNoneMayGet(_context.state.board.groupsOf(_context.service), nowMs()).value_or(RefusalCause::NoUpstream);
		}

		/// Ranks of a group stand still together: after a failure another group is tried first.
		/// @returns GroupDown when the group is at fault and no other is open, else Overloaded.
		RefusalCause noteFailedGroup(RequestContext& _context, const Upstream& _upstream, const TryResult& _result)
		{
			if (RefusalReason::WrongIncarnation != _result.refusal)
			{
				_context.failedInGroups.insert(_upstream.group->name);
			}
			const bool nowhereElse = _result.groupFault && nullptr == chooseGroupAgain(_context);
			return nowhereElse ? RefusalCause::GroupDown : RefusalCause::Overloaded;
		}

		void logTry(const RequestContext& _context, const Upstream& _upstream, const TryResult& _result)
		{
			logInfo("try_failed", {{"request", _context.caller.id}, {"send", _context.sends}, {"upstream", _upstream.record.incarnation}, {"group", _upstream.group->name.empty() ? "-" : _upstream.group->name}, {"address", _upstream.record.address}, {"not_run_proved", Proof::NotRun == _result.proof}, {"reason", _result.reason}, {"group_fault", _result.groupFault}, {"left_ms", _context.deadlineAt - nowMs()}, {"catalog", _context.catalog->catalog.version}});
		}

		/// Takes in what a try that failed tells of its upstream and of its group.
		void noteFailure(RequestContext& _context, const Upstream& _upstream, const TryResult& _result)
		{
			logTry(_context, _upstream, _result);
			addReason(_context, _result.reason);
			if (RefusalReason::WrongIncarnation == _result.refusal)
			{
				// Another process has its address: this incarnation is gone, whatever the list says.
				_context.state.board.forget(_upstream.record.incarnation, nowMs());
			}
			if (_result.groupFault)
			{
				noteGroupFault(*_upstream.group, nowMs());
			}
		}

		/// @returns Why a request whose last try failed is refused.
		RefusalCause whyGivenUp(const RequestContext& _context)
		{
			return whyNoneMayGet(_context.state.board.groupsOf(_context.service), nowMs()).value_or(RefusalCause::Overloaded);
		}
	} // namespace

	RetryBounds retryBounds(const GatewayState& _state)
	{
		/// Share of the budget that is used, so that windows that slide between two
		/// gateways' counts don't add up to more.
		constexpr double kUsedShare = 0.8;
		const Bounds& bounds = _state.settings.bounds;
		const double share = allowanceShare(_state.resendShare, bounds.retryWindowMs, nowMs());
		return {kUsedShare * bounds.retryRatio, share * bounds.retryAllowance, bounds.retryWindowMs, _state.resendShare.rounding};
	}

	void noteSend(RequestContext& _context)
	{
		GatewayState& state = _context.state;
		const bool first = 0 == _context.sends;
		if (first)
		{
			noteFirstSend(state.retries[_context.service], state.settings.bounds.retryWindowMs, nowMs());
		}
		(first ? state.counters.sends : state.counters.resends).Increment();
		_context.sends += 1;
	}

	aio::Task<std::optional<Refusal>> dispatch(RequestContext& _context)
	{
		bool unknownBefore = false;
		while (true)
		{
			// Each further try would end one more upstream, and all that runs there: whether the crashes were seen
			// here or told by other gateways doesn't matter.
			if (crashRefusalMs(_context))
			{
				co_return refusalOf(_context, unknownBefore, RefusalCause::CrashesUpstreams, "crashes_upstreams");
			}
			const UpstreamRef upstream = nextUpstream(_context);
			if (nullptr == upstream)
			{
				const RefusalCause cause = whyNone(_context);
				if (RefusalCause::NoUpstream == cause)
				{
					addReason(_context, "no_upstream");
				}
				co_return refusalOf(_context, unknownBefore, cause, "no_upstream_left");
			}
			noteChoice(_context, *upstream);
			TryResult result = co_await tryUpstream(_context, upstream);
			if (result.withheld)
			{
				noteWithheld(_context, *upstream);
				continue; // what it may cost of the budget was taken before
			}
			noteHealth(*upstream, result);
			if (result.brokeOff)
			{
				co_await noteBrokenTry(_context, upstream);
			}
			if (result.answered)
			{
				noteWholeRun(_context);
				_context.ending = Ending::Answered;
				co_return std::nullopt;
			}
			noteFailure(_context, *upstream, result);
			unknownBefore = unknownBefore || Proof::NotRun != result.proof;
			const RefusalCause cause = noteFailedGroup(_context, *upstream, result);
			if (RefusalCause::GroupDown == cause)
			{
				co_return refusalOf(_context, unknownBefore, cause, result.reason);
			}
			if (mayTryAgain(_context, result))
			{
				continue;
			}
			if (result.failure)
			{
				noteWholeRun(_context);
				_context.ending = Ending::Answered;
				co_await handOn(_context, *result.failure);
				co_return std::nullopt;
			}
			co_return refusalOf(_context, unknownBefore, whyGivenUp(_context), result.reason);
		}
	}
} // namespace archdyke::gateway
