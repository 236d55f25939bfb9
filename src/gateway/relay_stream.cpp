// Relays event streams.
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

		/// Sends bytes of a stream's body to the caller, preceded by the response head the first time.
		aio::Task<void> writeStreamBytes(RequestContext& _context, const http::ResponseHead& _response, std::string _bytes)
		{
			_context.writingToCaller = true;
			if (!_context.headSent)
			{
				std::string head = http::serializeChunkedHead(beginResponse(_context, _response));
				co_await _context.connection.write(std::move(head));
			}
			co_await _context.connection.write(std::move(_bytes));
			_context.writingToCaller = false;
			_context.lastHeardAt = nowMs(); // the upstream wasn't read while writing
		}

		void recordEvent(RequestContext& _context)
		{
			const Millis now = nowMs();
			if (!_context.firstEventAt)
			{
				_context.firstEventAt = now;
				_context.state.counters.firstEventSeconds.Observe(double(now - _context.received.arrivedAt) / 1'000.0);
			}
			else
			{
				_context.longestGapMs = std::max(_context.longestGapMs, now - _context.lastEventAt);
			}
			_context.lastEventAt = now;
		}

		/// The events accepted from one chunk of a stream.
		struct AcceptedEvents
		{
			std::string bytes;     ///< Complete events for the caller, in order.
			bool hasGap = false;   ///< Events are missing after these.
			bool isJoined = false; ///< The next event holds bytes of another response.
		};

		/// Splits a chunk of a stream into events and selects those to deliver.
		/// @param[in] _framed Whether the stream has chunks: bytes of another response end it before they are read.
		AcceptedEvents acceptEvents(RequestContext& _context, std::string_view _chunk, bool _framed)
		{
			AcceptedEvents accepted;
			for (const StreamEvent& event : splitEvents(_context.splitter, _chunk))
			{
				if (holdsResponse(event) || (!_framed && containsStatusLine(event.bytes)))
				{
					accepted.isJoined = true;
					return accepted;
				}
				const std::optional<std::uint64_t> last = _context.lastDeliveredId ? _context.lastDeliveredId : _context.caller.resumeAfter;
				const EventVerdict verdict = classifyEvent(event, last);
				if (EventVerdict::Break == verdict)
				{
					accepted.hasGap = true;
					return accepted;
				}
				if (EventVerdict::Deliver == verdict)
				{
					accepted.bytes += event.bytes;
					_context.lastDeliveredId = event.id ? event.id : _context.lastDeliveredId;
					recordEvent(_context);
				}
			}
			return accepted;
		}
	} // namespace

	aio::Task<AttemptResult> relayStream(RequestContext& _context, http::HttpConnection& _upstream, http::ResponseHead _response)
	{
		_context.splitter = {};
		const bool framed = http::BodyFraming::Chunks == _response.framing;
		while (true)
		{
			Part part = co_await readPart(_context, _upstream);
			if (PartKind::End == part.kind)
			{
				if (!_context.splitter.rest.empty())
				{
					co_return failed(ExecutionProof::Ran, "stream_ended_within_an_event");
				}
				std::string last(http::kLastChunk);
				co_await writeStreamBytes(_context, _response, std::move(last));
				co_return answered();
			}
			if (PartKind::Body != part.kind)
			{
				co_return failed(ExecutionProof::Ran, "stream_broke_off");
			}
			const AcceptedEvents accepted = acceptEvents(_context, part.body, framed);
			if (!accepted.bytes.empty())
			{
				std::string chunk = http::serializeChunk(accepted.bytes);
				co_await writeStreamBytes(_context, _response, std::move(chunk));
			}
			if (accepted.isJoined || isTooLarge(_context.splitter))
			{
				logWarning("stream_in_doubt", {{"request", _context.caller.id}, {"upstream", _context.upstream}, {"connection", _upstream.number()}, {"joined", accepted.isJoined}, {"event_bytes", _context.splitter.rest.size()}});
				co_return failed(ExecutionProof::Ran, accepted.isJoined ? "stream_joined" : "stream_event_too_large");
			}
			if (accepted.hasGap)
			{
				co_return failed(ExecutionProof::Ran, "stream_events_missing");
			}
		}
	}
} // namespace archdyke::gateway
