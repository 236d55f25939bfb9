// Reads responses of upstreams: finds the one that belongs to a request, and its body.
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

		/// @returns Whether a body may hold bytes of another response. Bytes that came within it leave as many of its own behind its end,
		/// where a sound upstream sends nothing or begins another response; without a length nothing shows where it ended.
		bool isInDoubt(const http::HttpConnection& _upstream, const http::ResponseHead& _head, const std::string& _body)
		{
			const bool framed = hasFraming(_head);
			const bool responseBehind = http::PartKind::Head == _upstream.unreadKind() || _upstream.isMidMessage();
			const bool shifted = framed && _upstream.hasStrayBytes() && !responseBehind;
			return (!framed && endsWithinStatusLine(_body)) || ((!framed || shifted) && containsStatusLine(_body));
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

		/// Skips the rest of a response to another request.
		/// @returns false when the response to this request can't be found behind it: it broke off, has no end, or holds another head.
		aio::Task<bool> skipResponse(RequestContext& _context, http::HttpConnection& _upstream, http::ResponseHead _head)
		{
			if (!hasFraming(_head))
			{
				co_return false;
			}
			const std::optional<std::string> body = co_await readBody(_context, _upstream, _head);
			co_return body && !containsStatusLine(*body);
		}
	} // namespace

	bool hasFraming(const http::ResponseHead& _head)
	{
		return _head.headers.find("Content-Length") || _head.headers.find("Transfer-Encoding");
	}

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

	aio::Task<std::optional<std::string>> readBody(RequestContext& _context, http::HttpConnection& _upstream, http::ResponseHead _head)
	{
		std::string body;
		while (true)
		{
			Part part = co_await readPart(_context, _upstream);
			if (PartKind::End == part.kind && isInDoubt(_upstream, _head, body))
			{
				logWarning("body_in_doubt", {{"request", _context.caller.id}, {"upstream", _context.upstream}, {"connection", _upstream.number()}, {"bytes", body.size()}});
				co_return std::nullopt;
			}
			if (PartKind::End == part.kind)
			{
				co_return body;
			}
			if (PartKind::Body != part.kind || body.size() + part.body.size() > kMaxResponseBytes)
			{
				co_return std::nullopt;
			}
			body += part.body;
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
			const bool whole = co_await skipResponse(_context, _upstream, part.response);
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
