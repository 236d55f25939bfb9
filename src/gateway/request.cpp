#include "gateway/request.h"

#include "aio/task.h"
#include "base/log.h"
#include "base/process.h"
#include "gateway/admit.h"

namespace archdyke::gateway
{
	namespace
	{
		constexpr int kUnauthorized = 401;
		constexpr int kNotFound = 404;
		/// The proof that a key holds must be this much younger than the bound on its
		/// withdrawal, ms: covers the rounding of clocks and the way of the request to here.
		constexpr Millis kProofMarginMs = 300;

		/// Callers wait no longer than this, whatever they say, ms: an hour is beyond any route.
		constexpr Millis kMostPatienceMs = 3'600'000;

		/// How a request's race between answer, deadline and caller ended.
		enum class RaceEnd
		{
			Dispatched,
			DeadlineOver,
			CallerLeft
		};

		std::optional<Refusal> resolve(RequestContext& _context)
		{
			constexpr Millis kPatienceUnknownMs = 5'000; // for the time to come back, before a route is known
			GatewayState& state = _context.state;
			_context.caller = state.codec.decodeRequest(_context.received.head);
			if (_context.caller.patienceMs)
			{
				_context.caller.patienceMs = std::clamp<Millis>(*_context.caller.patienceMs, 0, kMostPatienceMs);
			}
			_context.deadlineAt = _context.received.arrivedAt + _context.caller.patienceMs.value_or(kPatienceUnknownMs);
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
			const Millis patience = std::min(_context.caller.patienceMs.value_or(_context.route->timeoutMs), _context.route->timeoutMs);
			_context.deadlineAt = _context.received.arrivedAt + patience;
			const WeightedService* service = chooseService(*_context.route, double(randomBelow(state.random, 1'000'000)) / 1e6);
			if (nullptr == service)
			{
				return refuseNotRun(_context, RefusalCause::NoUpstream);
			}
			_context.service = service->name;
			return std::nullopt;
		}

		std::optional<Refusal> authenticate(RequestContext& _context)
		{
			if (_context.catalog->catalog.organisations.empty())
			{
				return std::nullopt;
			}
			_context.organisation = findOrganisation(*_context.catalog, _context.caller.key);
			if (_context.route->isPublic)
			{
				return std::nullopt;
			}
			// Keys hold only as long as it is proved that the configuration is the newest.
			if (!proofIsYounger(_context.state, _context.state.settings.bounds.revocationMs - kProofMarginMs))
			{
				return refuseNotRun(_context, RefusalCause::StaleProof);
			}
			if (nullptr == _context.organisation)
			{
				return Refusal{kUnauthorized, std::nullopt, "unknown_key"};
			}
			return std::nullopt;
		}

		aio::Task<std::optional<Refusal>> runStages(RequestContext& _context)
		{
			std::optional<Refusal> refusal = authenticate(_context);
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

		Ending endingOf(int _status)
		{
			if (kUnavailable == _status)
			{
				return Ending::RefusedNotRun;
			}
			return kBadGateway == _status || kGatewayTimeout == _status ? Ending::Failed : Ending::Rejected;
		}

		aio::Task<void> answerRefusal(RequestContext& _context, Refusal _refusal)
		{
			addReason(_context, _refusal.reason);
			_context.status = _refusal.status;
			_context.comeBackMs = _refusal.comeBackMs;
			_context.ending = endingOf(_refusal.status);
			http::ResponseHead head = _context.state.codec.encodeRefusal(_context.caller, _refusal);
			_context.keepAlive = _context.keepAlive && !_context.state.leaving;
			head.keepAlive = _context.keepAlive;
			std::string bytes = http::serialize(head, _refusal.reason + "\n");
			co_await _context.connection.write(std::move(bytes));
		}

		Refusal deadlineRefusal(RequestContext& _context)
		{
			if (_context.maybeRunning)
			{
				return {kGatewayTimeout, std::nullopt, "deadline_over"};
			}
			Refusal refusal = refuseNotRun(_context, RefusalCause::Overloaded);
			refusal.reason = "deadline_over_before_a_send";
			return refusal;
		}

		/// Ends a request on which no more work is to be done.
		aio::Task<void> finish(RequestContext& _context, std::optional<Refusal> _refusal)
		{
			if (!_refusal)
			{
				co_return;
			}
			if (!_context.headSent)
			{
				co_await answerRefusal(_context, *_refusal);
				co_return;
			}
			// Its caller has a part of the answer: only a cut connection can't look whole.
			addReason(_context, _refusal->reason);
			_context.ending = Ending::Broken;
			_context.keepAlive = false;
		}

		/// Waits until a moment of the own clock. In short waits: a timer leaves out the time in which the machine
		/// is suspended, and a caller would be held beyond its deadline for what the timer had left.
		aio::Task<void> waitUntil(kj::Timer& _timer, Millis _moment)
		{
			constexpr Millis kLookMs = 250;
			do
			{
				co_await _timer.afterDelay(std::clamp<Millis>(_moment - nowMs(), 1, kLookMs) * kj::MILLISECONDS);
			} while (nowMs() < _moment);
		}

		aio::Task<void> race(RequestContext& _context)
		{
			std::optional<Refusal> refusal;
			kj::Promise<RaceEnd> work = runStages(_context).take().then([&refusal](std::optional<Refusal>&& _refusal) {
				refusal = std::move(_refusal);
				return RaceEnd::Dispatched;
			});
			kj::Promise<RaceEnd> left = _context.connection.whenGone().then([] {
				return RaceEnd::CallerLeft;
			});
			kj::Promise<RaceEnd> late = waitUntil(_context.state.loop.timer, _context.deadlineAt).take().then([] {
				return RaceEnd::DeadlineOver;
			});
			const RaceEnd end = co_await work.exclusiveJoin(kj::mv(left)).exclusiveJoin(kj::mv(late));
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
			co_await finish(_context, refusal);
		}

		void account(RequestContext& _context)
		{
			const Millis now = nowMs();
			GatewayCounters& counters = _context.state.counters;
			counters.requests[std::size_t(_context.ending)]->Increment();
			counters.totalSeconds.Observe(double(now - _context.received.arrivedAt) / 1'000.0);
			logInfo("request_ended", {{"request", _context.caller.id}, {"ending", toString(_context.ending)}, {"status", _context.status}, {"reason", _context.reason.empty() ? "-" : _context.reason}, {"route", nullptr == _context.route ? "-" : _context.route->name}, {"service", _context.service}, {"organisation", nullptr == _context.organisation ? "-" : _context.organisation->name}, {"sends", _context.sends}, {"group", nullptr == _context.group || _context.group->name.empty() ? "-" : _context.group->name}, {"upstream", _context.upstream}, {"first_ms", _context.firstEventAt ? *_context.firstEventAt - _context.received.arrivedAt : -1}, {"gap_ms", _context.longestGapMs}, {"total_ms", now - _context.received.arrivedAt}, {"left_ms", _context.deadlineAt - now}, {"come_back_ms", _context.comeBackMs.value_or(-1)}, {"catalog", versionOf(_context.catalog)}, {"proof_age_ms", proofAge(_context.state.freshness, now).value_or(-1)}});
		}
	} // namespace

	Refusal refuseNotRun(RequestContext& _context, RefusalCause _cause)
	{
		const Millis now = nowMs();
		const Millis left = _context.deadlineAt - now;
		std::optional<Millis> opening;
		if (RefusalCause::GroupDown == _cause)
		{
			opening = expectedOpeningMs(_context.state.outages[_context.service], now);
		}
		if (RefusalCause::BackOff == _cause)
		{
			opening = _context.state.board.backOffEndsInMs(_context.service, now);
			_context.state.counters.backOffRefusals.Increment();
		}
		if (RefusalCause::ColdUpstreams == _cause)
		{
			opening = _context.state.board.nextWarmMs(_context.service, now);
			_context.state.counters.coldRefusals.Increment();
		}
		if (RefusalCause::CrashesUpstreams == _cause)
		{
			opening = crashRefusalMs(_context);
			_context.state.counters.crashRefusals.Increment();
		}
		return {kUnavailable, comeBackAfter(_cause, opening, left, _context.state.random), std::string(toString(_cause))};
	}

	void addReason(RequestContext& _context, const std::string& _reason)
	{
		_context.reason += (_context.reason.empty() ? "" : ",") + _reason;
	}

	bool proofIsYounger(const GatewayState& _state, Millis _limitMs)
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
				co_await answerRefusal(context, *refusal);
			}
			else
			{
				co_await race(context);
			}
		}
		catch (const kj::Exception& error)
		{
			// Only a write to the caller's connection throws here.
			context.ending = Ending::CallerLeft;
			context.keepAlive = false;
			context.reason += std::string(",") + error.getDescription().cStr();
		}
		_state.inFlight -= 1;
		account(context);
		co_return context.keepAlive ? AfterRequest::KeepOpen : AfterRequest::Close;
	}
} // namespace archdyke::gateway
