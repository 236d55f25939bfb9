#include "gateway/request.h"

#include <algorithm>

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "gateway/admit.h"
#include "gateway/send_permission.h"

namespace archdyke::gateway
{
	namespace
	{
		constexpr int kNotFound = 404;

		/// Upper limit of a caller's timeout, ms: one hour, longer than the timeout of any route.
		constexpr Millis kMaxCallerTimeoutMs = 3'600'000;

		/// Which event ended a request first.
		enum class RaceEnd
		{
			Dispatched,
			DeadlineOver,
			Stopped, ///< The process ends.
			CallerLeft,
			MemoryShort
		};

		std::optional<Refusal> resolve(RequestContext& _context)
		{
			constexpr Millis kDefaultCallerTimeoutMs = 5'000; // for the retry time of refusals before a route is known
			GatewayState& state = _context.state;
			_context.caller = state.codec.decodeRequest(_context.received.head);
			if (_context.caller.patienceMs)
			{
				_context.caller.patienceMs = std::clamp<Millis>(*_context.caller.patienceMs, 0, kMaxCallerTimeoutMs);
			}
			_context.deadlineAt = _context.received.arrivedAt + _context.caller.patienceMs.value_or(kDefaultCallerTimeoutMs);
			if (nullptr == state.catalog)
			{
				return refuseNotRun(_context, RefusalCause::NoConfiguration);
			}
			_context.catalog = state.catalog;
			_context.route = findRoute(*_context.catalog, _context.caller.host, _context.received.head.target);
			if (nullptr == _context.route)
			{
				return Refusal{kNotFound, std::nullopt, "no_route"};
			}
			const Millis routeTimeoutMs = std::min(_context.caller.patienceMs.value_or(_context.route->timeoutMs), _context.route->timeoutMs);
			_context.deadlineAt = _context.received.arrivedAt + routeTimeoutMs;
			const WeightedService* service = chooseService(*_context.route, double(randomBelow(state.random, 1'000'000)) / 1e6);
			if (nullptr == service)
			{
				return refuseNotRun(_context, RefusalCause::NoUpstream);
			}
			_context.service = service->name;
			return std::nullopt;
		}

		aio::Task<std::optional<Refusal>> runStages(RequestContext& _context)
		{
			std::optional<Refusal> refusal = refuseSend(_context);
			if (refusal)
			{
				co_return refusal;
			}
			if (crashRefusalMs(_context))
			{
				co_return refuseNotRun(_context, RefusalCause::CrashesUpstreams);
			}
			refusal = co_await admit(_context);
			if (refusal)
			{
				co_return refusal;
			}
			co_return co_await dispatch(_context);
		}

		aio::Task<void> sendRefusal(RequestContext& _context, Refusal _refusal)
		{
			appendReason(_context, _refusal.reason);
			_context.status = _refusal.status;
			_context.comeBackMs = _refusal.comeBackMs;
			_context.ending = endingOf(_refusal.status);
			http::ResponseHead head = _context.state.codec.encodeRefusal(_context.caller, _refusal);
			_context.keepAlive = _context.keepAlive && !_context.state.stop;
			head.keepAlive = _context.keepAlive;
			std::string bytes = http::serialize(head, _refusal.reason + "\n");
			// A caller who never reads its answers would hold the request for as long as it likes.
			const Millis limitMs = nullptr == _context.catalog ? RequestLimits().idleTimeoutMs : _context.catalog->catalog.limits.idleTimeoutMs;
			co_await _context.state.loop.timer.timeoutAfter(limitMs * kj::MILLISECONDS, _context.connection.write(std::move(bytes)).take());
		}

		Refusal memoryRefusal(RequestContext& _context)
		{
			_context.keepAlive = false;
			_context.state.counters.memoryRefusals.Increment();
			if (_context.maybeRunning)
			{
				return {kBadGateway, std::nullopt, "memory_short"};
			}
			Refusal refusal = refuseNotRun(_context, RefusalCause::Overloaded);
			refusal.reason = "memory_short";
			return refusal;
		}

		/// Completes a request after its stages ended: sends the refusal, if there is one.
		aio::Task<void> finish(RequestContext& _context, std::optional<Refusal> _refusal)
		{
			if (!_refusal)
			{
				co_return;
			}
			if (!_context.headSent)
			{
				co_await sendRefusal(_context, *_refusal);
				co_return;
			}
			// The caller has a part of the response. Only cutting the connection shows that it is incomplete.
			appendReason(_context, _refusal->reason);
			_context.ending = Ending::Broken;
			_context.keepAlive = false;
		}

		/// @returns When a request has to be answered. A response whose head was sent can only be completed or cut, so it has until
		/// the process exits.
		Millis answerAt(const RequestContext& _context)
		{
			const std::optional<StopPlan>& stop = _context.state.stop;
			return stop && !_context.headSent ? std::min(_context.deadlineAt, stop->answerBy) : _context.deadlineAt;
		}

		/// Waits until a request has to be answered, or until the caller has left, which isn't seen by reading if there are bytes behind its
		/// request. Waits in short intervals because timers don't count the time
		/// during which the machine is suspended; one long wait would hold a caller beyond its deadline.
		aio::Task<RaceEnd> waitForEnd(const RequestContext& _context)
		{
			constexpr Millis kPollIntervalMs = 250;
			do
			{
				co_await _context.state.loop.timer.afterDelay(std::clamp<Millis>(answerAt(_context) - nowMs(), 1, kPollIntervalMs) * kj::MILLISECONDS);
				if (_context.connection.hasBehind() && _context.connection.isHungUp())
				{
					co_return RaceEnd::CallerLeft;
				}
			} while (nowMs() < answerAt(_context));
			co_return nowMs() < _context.deadlineAt ? RaceEnd::Stopped : RaceEnd::DeadlineOver;
		}

		aio::Task<void> runUntilDeadline(RequestContext& _context)
		{
			std::optional<Refusal> refusal;
			kj::Promise<RaceEnd> work = runStages(_context).take().then([&refusal](std::optional<Refusal>&& _refusal) {
				refusal = std::move(_refusal);
				return RaceEnd::Dispatched;
			});
			kj::Promise<RaceEnd> left = _context.connection.whenDisconnected().then([] {
				return RaceEnd::CallerLeft;
			});
			kj::Promise<RaceEnd> deadlinePassed = waitForEnd(_context).take();
			kj::Promise<RaceEnd> closing = _context.connection.whenLosingMemory().then([] {
				return RaceEnd::MemoryShort;
			});
			const RaceEnd end = co_await work.exclusiveJoin(kj::mv(left)).exclusiveJoin(kj::mv(deadlinePassed)).exclusiveJoin(kj::mv(closing));
			if (RaceEnd::CallerLeft == end)
			{
				_context.ending = Ending::CallerLeft;
				_context.keepAlive = false;
				co_return;
			}
			if (RaceEnd::DeadlineOver == end)
			{
				refusal = deadlineRefusal(_context);
			}
			if (RaceEnd::Stopped == end)
			{
				refusal = refuseStopped(_context);
			}
			if (RaceEnd::MemoryShort == end)
			{
				refusal = memoryRefusal(_context);
				_context.received.body = {};
				_context.response.set(0);
			}
			co_await finish(_context, refusal);
		}

		void recordOutcome(RequestContext& _context)
		{
			const Millis now = nowMs();
			GatewayCounters& counters = _context.state.counters;
			counters.requests[std::size_t(_context.ending)]->Increment();
			counters.totalSeconds.Observe(double(now - _context.received.arrivedAt) / 1'000.0);
			logInfo("request_ended", {{"request", _context.caller.id}, {"ending", toString(_context.ending)}, {"status", _context.status}, {"reason", _context.reason.empty() ? "-" : _context.reason}, {"route", nullptr == _context.route ? "-" : _context.route->name}, {"service", _context.service}, {"organisation", _context.organisation.empty() ? "-" : _context.organisation}, {"sends", _context.sends}, {"group", nullptr == _context.group || _context.group->name.empty() ? "-" : _context.group->name}, {"upstream", _context.upstream}, {"first_ms", _context.firstEventAt ? *_context.firstEventAt - _context.received.arrivedAt : -1}, {"gap_ms", _context.longestGapMs}, {"total_ms", now - _context.received.arrivedAt}, {"left_ms", _context.deadlineAt - now}, {"come_back_ms", _context.comeBackMs.value_or(-1)}, {"catalog", versionOf(_context.catalog)}, {"proof_age_ms", proofAge(_context.state.freshness, now).value_or(-1)}});
		}
	} // namespace

	std::size_t memoryOf(const ReceivedRequest& _request)
	{
		/// The head as received, its decoded fields, the head for an upstream, and its bytes.
		constexpr std::size_t kHeadCopies = 4;
		/// The state of its stages, and the connection to the upstream.
		constexpr std::size_t kStateBytes = 49'152;
		return kStateBytes + kHeadCopies * _request.headBytes + _request.body.size();
	}

	Ending endingOf(int _status)
	{
		if (kUnavailable == _status)
		{
			return Ending::RefusedNotRun;
		}
		return kBadGateway == _status || kGatewayTimeout == _status ? Ending::Failed : Ending::Rejected;
	}

	void appendToBody(std::string& _body, std::string_view _bytes)
	{
		const std::size_t size = _body.size() + _bytes.size();
		if (_body.capacity() < size)
		{
			_body.reserve(size + size / 4);
		}
		_body += _bytes;
	}

	Refusal refuseNotRun(RequestContext& _context, RefusalCause _cause)
	{
		const Millis now = nowMs();
		const Millis left = _context.deadlineAt - now;
		std::optional<Millis> retryInMs;
		if (RefusalCause::GroupDown == _cause)
		{
			retryInMs = expectedRecoveryMs(_context.state.outages[_context.service], now);
		}
		if (RefusalCause::BackOff == _cause)
		{
			retryInMs = _context.state.registry.backOffEndsInMs(_context.service, now);
			_context.state.counters.backOffRefusals.Increment();
		}
		if (RefusalCause::ColdUpstreams == _cause)
		{
			retryInMs = _context.state.registry.nextWarmMs(_context.service, now);
			_context.state.counters.coldRefusals.Increment();
		}
		if (RefusalCause::UpstreamLimits == _cause)
		{
			_context.state.counters.limitRefusals.Increment();
		}
		if (RefusalCause::CrashesUpstreams == _cause)
		{
			retryInMs = crashRefusalMs(_context);
			_context.state.counters.crashRefusals.Increment();
		}
		return {kUnavailable, chooseRetryDelayMs(_cause, retryInMs, left, _context.state.random), std::string(toString(_cause))};
	}

	void appendReason(RequestContext& _context, const std::string& _reason)
	{
		_context.reason += (_context.reason.empty() ? "" : ",") + _reason;
	}

	bool isProofYoungerThan(const GatewayState& _state, Millis _limitMs)
	{
		const std::optional<Millis> age = proofAge(_state.freshness, nowMs());
		return !_state.settings.bounds.strictRevocation || (age && *age < _limitMs);
	}

	aio::Task<AfterRequest> runRequest(GatewayState& _state, http::HttpConnection& _connection, ReceivedRequest _received)
	{
		RequestContext context(_state, _connection, std::move(_received));
		context.keepAlive = context.received.head.keepAlive;
		_state.inFlight += 1;
		try
		{
			std::optional<Refusal> refusal = resolve(context);
			if (refusal)
			{
				co_await sendRefusal(context, *refusal);
			}
			else
			{
				co_await runUntilDeadline(context);
			}
		}
		catch (const kj::Exception& error)
		{
			// Only writes to the caller's connection throw here.
			context.ending = Ending::CallerLeft;
			context.keepAlive = false;
			context.reason += std::string(",") + error.getDescription().cStr();
		}
		_state.inFlight -= 1;
		recordOutcome(context);
		co_return context.keepAlive ? AfterRequest::KeepOpen : AfterRequest::Close;
	}
} // namespace archdyke::gateway
