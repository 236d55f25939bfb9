// Reads responses of upstreams: finds the one that belongs to a request, and its body.
#include <algorithm>

#include "aio/task.h"
#include "archdyke/response_head.h"
#include "base/log.h"
#include "base/process.h"
#include "gateway/relay_p.h"

namespace archdyke::gateway
{
	namespace
	{
		using http::Part;
		using http::PartKind;

		/// Responses to other requests that are skipped before an attempt is given up.
		constexpr int kMaxSkippedResponses = 4;

		/// Time to wait for bytes behind a body that holds a status line, ms. Such a body is rare, and the bytes are those of its end.
		constexpr Millis kBytesBehindWaitMs = 20;
		/// Bounds of a response to another request that is skipped, bytes and ms. An upstream without end would hold the request
		/// until its deadline.
		constexpr std::size_t kMaxSkippedBytes = 1'048'576;
		constexpr Millis kMaxSkipMs = 250;
		/// Bytes of a body that are searched again with its next piece: a status line may lie across the two.
		constexpr std::size_t kStatusLineBytes = 16;

		/// Bytes of a status line at the end of a body without length and chunks that put it in doubt: "HTTP/". Fewer may be the end of
		/// any text.
		constexpr std::size_t kMinStatusLineBytes = 5;

		/// @returns Whether a body may hold bytes of another response. Bytes that came within one with a length leave as many of its own
		/// behind its end, where a sound upstream sends nothing or begins another response. Without length and chunks nothing shows
		/// where it ended.
		bool isInDoubt(const http::HttpConnection& _upstream, const http::ResponseHead& _head, const std::string& _body)
		{
			if (http::BodyFraming::Length != _head.framing)
			{
				return http::BodyFraming::UntilClose == _head.framing && (containsStatusLine(_body) || endsWithinStatusLine(_body, kMinStatusLineBytes));
			}
			const bool responseBehind = PartKind::Head == _upstream.unreadKind() || (!_upstream.hasUnread() && _upstream.isMidMessage());
			const std::size_t behind = _upstream.countBytesBehind();
			const bool holdsStart = containsStartOfStatusLine(_body, behind) || endsWithinStatusLine(_body, 1);
			return 0 < behind && !responseBehind && holdsStart;
		}

		/// Waits for bytes behind a complete body that holds a status line, if there are none yet.
		aio::Task<void> awaitBytesBehind(RequestContext& _context, http::HttpConnection& _upstream, const http::ResponseHead& _head, const std::string& _body)
		{
			if (http::BodyFraming::Length == _head.framing && 0 == _upstream.countBytesBehind() && containsStatusLine(_body))
			{
				co_await _context.state.loop.timer.afterDelay(kBytesBehindWaitMs * kj::MILLISECONDS);
			}
		}

		/// Applies what the head of the response to a request states about the upstream itself.
		void recordSelfReport(RequestContext& _context, const ResponseInfo& _info)
		{
			if (_info.leaving && !_info.wrongIncarnation)
			{
				_context.state.registry.recordLeaving(_context.currentUpstream, nowMs());
			}
			if (_info.backOffMs)
			{
				_context.state.counters.backOffAsks.Increment();
				_context.state.registry.applyBackOff(_context.currentUpstream, *_info.backOffMs, nowMs());
			}
		}

		/// Records the limit that a response names. A response without the upstream's signature may come from elsewhere, so
		/// it ends no limit.
		void recordNamedLimit(RequestContext& _context, const ResponseInfo& _info)
		{
			if (_info.limitPerS)
			{
				_context.state.counters.namedLimits.Increment();
			}
			UpstreamRegistry& registry = _context.state.registry;
			if (_info.limitPerS && !_info.wrongIncarnation)
			{
				registry.recordLimit(_context.currentUpstream, *_info.limitPerS, _context.state.random, nowMs());
			}
			else if (_info.signedByUpstream && !_info.wrongIncarnation)
			{
				registry.recordNoLimit(_context.currentUpstream, _context.sentAt);
			}
		}

		/// Reads the rest of a response to another request.
		/// @returns false when it breaks off, is too large, or holds the beginning of another response.
		aio::Task<bool> readToEnd(http::HttpConnection& _upstream)
		{
			std::string searched;
			std::size_t size = 0;
			while (size <= kMaxSkippedBytes)
			{
				const Part part = co_await _upstream.next();
				if (PartKind::Body != part.kind)
				{
					co_return PartKind::End == part.kind;
				}
				size += part.body.size();
				searched = searched.substr(searched.size() - std::min(searched.size(), kStatusLineBytes)) + part.body;
				if (containsStatusLine(searched))
				{
					co_return false;
				}
			}
			co_return false;
		}

		/// Skips the rest of a response to another request. What it sends isn't counted as activity for this one.
		/// @returns false when the response to this request can't be found behind it.
		aio::Task<bool> skipResponse(RequestContext& _context, http::HttpConnection& _upstream, http::BodyFraming _framing)
		{
			if (http::BodyFraming::UntilClose == _framing)
			{
				co_return false;
			}
			kj::Promise<bool> reading = readToEnd(_upstream).take();
			kj::Promise<bool> timeout = _context.state.loop.timer.afterDelay(kMaxSkipMs * kj::MILLISECONDS).then([] {
				return false;
			});
			co_return co_await reading.exclusiveJoin(kj::mv(timeout));
		}
	} // namespace

	aio::Task<http::Part> readPart(RequestContext& _context, http::HttpConnection& _upstream)
	{
		http::Part part = co_await _upstream.next();
		if (http::PartKind::Head == part.kind || http::PartKind::Body == part.kind || http::PartKind::End == part.kind)
		{
			_context.lastHeardAt = nowMs();
			recordActivity(*_context.currentUpstream, _context.lastHeardAt);
		}
		co_return part;
	}

	aio::Task<BodyResult> readBody(RequestContext& _context, http::HttpConnection& _upstream, http::ResponseHead _head)
	{
		BodyResult result;
		while (true)
		{
			Part part = co_await readPart(_context, _upstream);
			if (PartKind::Body == part.kind && result.text.size() + part.body.size() <= kMaxResponseBytes)
			{
				_context.response.set(result.text.size() + part.body.size());
				appendToBody(result.text, part.body);
				continue;
			}
			if (PartKind::End == part.kind)
			{
				co_await awaitBytesBehind(_context, _upstream, _head, result.text);
				result.end = isInDoubt(_upstream, _head, result.text) ? BodyEnd::InDoubt : BodyEnd::Whole;
			}
			else
			{
				result.end = PartKind::Closed == part.kind || PartKind::Reset == part.kind ? BodyEnd::Lost : BodyEnd::InDoubt;
			}
			if (BodyEnd::InDoubt == result.end)
			{
				logWarning("body_in_doubt", {{"request", _context.caller.id}, {"upstream", _context.upstream}, {"connection", _upstream.number()}, {"bytes", result.text.size()}, {"ended_by", toString(part.kind)}});
			}
			co_return result;
		}
	}

	aio::Task<std::optional<http::ResponseHead>> readHead(RequestContext& _context, http::HttpConnection& _upstream, std::string_view& _ending)
	{
		for (int skipped = 0; skipped <= kMaxSkippedResponses; ++skipped)
		{
			Part part = co_await readPart(_context, _upstream);
			if (PartKind::Head != part.kind)
			{
				_ending = toString(part.kind);
				co_return std::nullopt;
			}
			const ResponseInfo info = _context.state.codec.decodeResponse(part.response);
			if (info.ambiguous)
			{
				_ending = "ambiguous_head";
				co_return std::nullopt;
			}
			if (info.requestId == _context.caller.id)
			{
				recordSelfReport(_context, info);
				recordNamedLimit(_context, info);
				co_return part.response;
			}
			logWarning("foreign_answer", {{"request", _context.caller.id}, {"answer_to", info.requestId}, {"upstream", _context.upstream}, {"status", part.response.status}, {"connection", _upstream.number()}, {"sent_ago_ms", nowMs() - _context.sentAt}});
			const bool whole = co_await skipResponse(_context, _upstream, part.response.framing);
			if (!whole)
			{
				_ending = "foreign_answer_without_end";
				co_return std::nullopt;
			}
		}
		_ending = "foreign_answers";
		co_return std::nullopt;
	}
} // namespace archdyke::gateway
