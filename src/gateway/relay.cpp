#include "gateway/relay_p.h"

#include <fmt/format.h>

#include "aio/task.h"
#include "archdyke/slow_rank.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke::gateway
{
	namespace
	{
		using http::Part;
		using http::PartKind;

		constexpr int kOkFirst = 200;
		constexpr int kOkLast = 299;
		/// Longest time to connect to an upstream, ms: several times the way across zones and
		/// the handshake; a VM that is cut off says nothing.
		constexpr Millis kConnectMs = 400;
		/// How long a kept connection may have rested, ms: the upstream may be closing an
		/// older one just now, and what went into it then may have run.
		constexpr Millis kMaxRestMs = 4'000;
		constexpr Millis kMaxRestAtMostOnceMs = 1'000;
		/// Kept connections are given up this long before the upstream closes them, ms.
		constexpr Millis kRestMarginMs = 500;
		/// How long an upstream that doesn't say keeps a connection, ms.
		constexpr Millis kUsualRestMs = 4'000;
		/// Largest answer that is held whole before it is handed on, bytes.
		constexpr std::size_t kMaxAnswerBytes = std::size_t(8) << 20;
		/// Longest stream, bytes: its events are handed on as they come, so it costs no memory.
		constexpr std::size_t kMaxStreamBytes = std::size_t(1) << 30;

		bool isSuccess(int _status)
		{
			return kOkFirst <= _status && _status <= kOkLast;
		}

		/// Statuses that promise that a request has not run.
		bool promisesNotRun(int _status)
		{
			return 408 == _status || 421 == _status || 429 == _status || 503 == _status;
		}

		TryResult withheld()
		{
			TryResult result = failed(Proof::NotRun, "withheld");
			result.withheld = true;
			return result;
		}

		std::string requestBytes(const RequestContext& _context, const Upstream& _upstream)
		{
			DispatchInfo info;
			info.incarnation = _upstream.record.incarnation;
			info.organisation = nullptr == _context.organisation ? "" : _context.organisation->name;
			info.budgetMs = _context.deadlineAt - nowMs();
			info.resumeAfter = _context.delivered ? _context.delivered : _context.caller.resumeAfter;
			return http::serialize(_context.state.codec.encodeDispatch(_context.received.head, _context.caller, info), _context.received.body);
		}

		/// @returns The rest of an answer; none when it isn't whole.
		aio::Task<std::optional<std::string>> readBody(RequestContext& _context, http::HttpConnection& _upstream)
		{
			std::string body;
			while (true)
			{
				Part part = co_await nextPart(_context, _upstream);
				if (PartKind::End == part.kind)
				{
					co_return body;
				}
				if (PartKind::Body != part.kind || body.size() + part.body.size() > kMaxAnswerBytes)
				{
					co_return std::nullopt;
				}
				body += part.body;
			}
		}

		/// An answer that is no success: may prove that the request didn't run.
		aio::Task<TryResult> judgeFailure(RequestContext& _context, http::HttpConnection& _upstream, http::ResponseHead _head, AnswerInfo _info)
		{
			const std::optional<std::string> body = co_await readBody(_context, _upstream);
			const std::string reason = fmt::format("upstream_status_{}", _head.status);
			if (_info.provedNotRun)
			{
				TryResult refused = failed(Proof::NotRun, reason, _info.wrongIncarnation ? RefusalReason::WrongIncarnation : RefusalReason::Overloaded);
				refused.groupFault = !_info.wrongIncarnation && !_info.upstreamAtFault.empty();
				co_return refused;
			}
			TryResult result = failed(Proof::Ran, reason);
			if (body && !promisesNotRun(_head.status) && !_context.headSent)
			{
				result.failure = http::WholeAnswer{_head, *body};
			}
			co_return result;
		}

		/// Takes in what the head of an answer says of the upstream itself, whoever the answer is for.
		void noteSelfReport(RequestContext& _context, const AnswerInfo& _info)
		{
			if (_info.leaving && !_info.wrongIncarnation)
			{
				_context.state.board.takeLeaving(_context.sentTo, nowMs());
			}
			if (_info.backOffMs)
			{
				_context.state.counters.backOffAsks.Increment();
				_context.state.board.takeBackOff(_context.sentTo, *_info.backOffMs, nowMs());
			}
		}

		/// @returns The head of this request's answer, with answers to others passed over.
		aio::Task<std::optional<http::ResponseHead>> readHead(RequestContext& _context, http::HttpConnection& _upstream)
		{
			while (true)
			{
				Part part = co_await nextPart(_context, _upstream);
				if (PartKind::Head != part.kind)
				{
					co_return std::nullopt;
				}
				const AnswerInfo info = _context.state.codec.decodeAnswer(part.response);
				noteSelfReport(_context, info);
				if (info.requestId == _context.caller.id)
				{
					co_return part.response;
				}
				logWarning("foreign_answer", {{"request", _context.caller.id}, {"answer_to", info.requestId}, {"upstream", _context.upstream}, {"status", part.response.status}});
				const std::optional<std::string> skipped = co_await readBody(_context, _upstream);
				if (!skipped)
				{
					co_return std::nullopt;
				}
			}
		}

		aio::Task<TryResult> relayBody(RequestContext& _context, http::HttpConnection& _upstream, http::ResponseHead _head, AnswerInfo _info)
		{
			if (!isSuccess(_head.status))
			{
				co_return co_await judgeFailure(_context, _upstream, _head, _info);
			}
			if (!_info.signedByUpstream || _info.encoded)
			{
				const char* reason = _info.encoded ? "answer_encoded" : "answer_unsigned";
				co_return failed(Proof::Ran, reason);
			}
			if (_context.route->stream)
			{
				co_return co_await relayStream(_context, _upstream, _head);
			}
			std::optional<std::string> body = co_await readBody(_context, _upstream);
			if (!body)
			{
				co_return failed(Proof::Ran, "answer_broke_off");
			}
			const http::WholeAnswer whole{_head, std::move(*body)};
			_context.writing = true;
			co_await handOn(_context, whole);
			_context.writing = false;
			co_return answered();
		}

		aio::Task<TryResult> relayAnswer(RequestContext& _context, http::Lease& _lease)
		{
			http::HttpConnection& upstream = *_lease.connection;
			const std::optional<http::ResponseHead> head = co_await readHead(_context, upstream);
			if (!head)
			{
				co_return failed(Proof::Unknown, "no_answer_head");
			}
			const AnswerInfo info = _context.state.codec.decodeAnswer(*head);
			TryResult result = co_await relayBody(_context, upstream, *head, info);
			if (head->keepAlive)
			{
				result.restMs = info.restMs.value_or(kUsualRestMs) - kRestMarginMs;
			}
			co_return result;
		}

		bool hasResend(RequestContext& _context)
		{
			const GatewayState& state = _context.state;
			return 1.0 <= resendsLeft(_context.state.retries[_context.service], retryBounds(state), nowMs());
		}

		/// @returns Whether a stream should leave its upstream, which slows its whole group.
		bool leavesSlow(RequestContext& _context, Millis _now)
		{
			const Upstream& upstream = *_context.sentTo;
			GatewayState& state = _context.state;
			const double passMs = isKnown(*upstream.group, _now) ? upstream.group->view.passMs : 0.0;
			return shouldLeaveSlow({paceOf(upstream, _now), passMs, _context.route->gapObjectiveMs}) && hasResendToSpare(state.retries[_context.service], retryBounds(state), _now);
		}

		/// Waits until a request that may be repeated should leave its upstream, which says nothing
		/// while others answer, or is slow.
		aio::Task<TryResult> whenToLeave(RequestContext& _context)
		{
			constexpr Millis kLookMs = 50;
			const bool resumable = _context.route->stream && _context.route->resumable;
			const bool movable = resumable || mayRepeat(*_context.route);
			while (true)
			{
				co_await _context.state.loop.timer.afterDelay(kLookMs * kj::MILLISECONDS);
				const Millis now = nowMs();
				// A stream that left without a resend in hand would be cut, though its upstream may go on.
				const bool wanted = movable && !_context.writing && _context.sends < _context.route->maxAttempts && hasResend(_context);
				if (wanted && shouldLeaveSilent(hearingOf(*_context.sentTo, now), now - _context.heardAt, now))
				{
					co_return failed(Proof::Unknown, "upstream_silent");
				}
				if (wanted && resumable && leavesSlow(_context, now))
				{
					co_return failed(Proof::Unknown, "upstream_slow");
				}
			}
		}

		/// @returns A connection to an upstream; without one when it can't be reached.
		/// @param[out] _error Why not.
		aio::Task<http::Lease> connectTo(RequestContext& _context, const Upstream& _upstream, std::string& _error)
		{
			http::ConnectOptions options;
			options.connectTimeoutMs = std::min(kConnectMs, std::max<Millis>(1, _context.deadlineAt - nowMs()));
			options.limits.bodyBytes = _context.route->stream ? kMaxStreamBytes : kMaxAnswerBytes;
			options.maxRestMs = mayRepeat(*_context.route) ? kMaxRestMs : kMaxRestAtMostOnceMs;
			http::Lease lease;
			try
			{
				lease = co_await _context.state.pool.take(_upstream.record.address, options);
			}
			catch (const kj::Exception& error)
			{
				_error = error.getDescription().cStr();
			}
			co_return lease;
		}
	} // namespace

	TryResult failed(Proof _proof, std::string _reason, RefusalReason _refusal)
	{
		TryResult result;
		result.proof = _proof;
		result.refusal = _refusal;
		result.reason = std::move(_reason);
		return result;
	}

	TryResult answered()
	{
		TryResult result;
		result.answered = true;
		return result;
	}

	aio::Task<http::Part> nextPart(RequestContext& _context, http::HttpConnection& _upstream)
	{
		http::Part part = co_await _upstream.next();
		if (http::PartKind::Head == part.kind || http::PartKind::Body == part.kind || http::PartKind::End == part.kind)
		{
			_context.heardAt = nowMs();
			noteHeard(*_context.sentTo, _context.heardAt);
		}
		co_return part;
	}

	http::ResponseHead beginAnswer(RequestContext& _context, const http::ResponseHead& _answer)
	{
		http::ResponseHead head = _context.state.codec.encodeAnswer(_answer);
		head.keepAlive = _context.keepAlive && !_context.state.leaving;
		_context.keepAlive = head.keepAlive;
		_context.headSent = true;
		_context.status = head.status;
		return head;
	}

	aio::Task<void> handOn(RequestContext& _context, const http::WholeAnswer& _answer)
	{
		const http::ResponseHead head = beginAnswer(_context, _answer.head);
		return _context.connection.write(http::serialize(head, _answer.body));
	}

	aio::Task<TryResult> tryUpstream(RequestContext& _context, UpstreamRef _upstream)
	{
		const InFlight inFlight(_upstream, nowMs());
		_context.sentTo = _upstream;
		_context.writing = false;
		_context.heardAt = nowMs();
		std::string connectError;
		http::Lease lease = co_await connectTo(_context, *_upstream, connectError);
		if (nullptr == lease.connection)
		{
			noteSend(_context);
			co_return failed(Proof::NotRun, "connect_failed: " + connectError);
		}
		if (!wantsRequests(*_upstream, nowMs()))
		{
			// It said so while this request waited, for 400 ms at most: of a burst all that wait would still go there.
			co_return withheld();
		}
		noteSend(_context);
		const bool mayHaveRunBefore = _context.maybeRunning;
		_context.maybeRunning = true;
		bool written = false;
		const kj::Promise<void> writing = lease.connection->write(requestBytes(_context, *_upstream)).take().then([&written] {
			                                                                                                    written = true;
		                                                                                                    })
		                                      .eagerlyEvaluate([](kj::Exception&&) {
			                                      // Whoever reads the answer sees the broken connection too, and judges it.
		                                      });
		kj::Promise<TryResult> answer = relayAnswer(_context, lease).take();
		kj::Promise<TryResult> leaving = whenToLeave(_context).take();
		TryResult result = co_await answer.exclusiveJoin(kj::mv(leaving));
		const bool wholeExchange = result.answered || result.failure || RefusalReason::None != result.refusal;
		const bool notRun = Proof::NotRun == result.proof && !result.answered;
		if (notRun)
		{
			_context.maybeRunning = mayHaveRunBefore;
		}
		result.brokeOff = !wholeExchange && !notRun && lease.connection->isGone();
		if (wholeExchange && written && result.restMs)
		{
			_context.state.pool.giveBack(std::move(lease), *result.restMs);
		}
		co_return result;
	}
} // namespace archdyke::gateway
