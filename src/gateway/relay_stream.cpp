// The part of the relay that hands on streams of events.
#include "base/process.h"
#include "gateway/relay_p.h"

namespace archdyke::gateway
{
	namespace
	{
		using http::Part;
		using http::PartKind;

		/// Sends bytes of a stream's body, and its head before the first ones.
		aio::Task<void> sendOfStream(RequestContext& _context, const http::ResponseHead& _answer, std::string _bytes)
		{
			_context.writing = true;
			if (!_context.headSent)
			{
				std::string head = http::serializeChunkedHead(beginAnswer(_context, _answer));
				co_await _context.connection.write(std::move(head));
			}
			co_await _context.connection.write(std::move(_bytes));
			_context.writing = false;
			_context.heardAt = nowMs(); // nobody listened to the upstream meanwhile
		}

		void noteEvent(RequestContext& _context)
		{
			const Millis now = nowMs();
			if (!_context.firstEventAt)
			{
				_context.firstEventAt = now;
				_context.state.counters.firstSeconds.Observe(double(now - _context.received.arrivedAt) / 1'000.0);
			}
			else
			{
				_context.longestGapMs = std::max(_context.longestGapMs, now - _context.lastEventAt);
			}
			_context.lastEventAt = now;
		}

		/// What a piece of a stream brought.
		struct TakenEvents
		{
			std::string bytes;    ///< For the caller: whole events, in order.
			bool missing = false; ///< Events are missing after them.
		};

		/// Takes in a piece of a stream.
		TakenEvents takeEvents(RequestContext& _context, std::string_view _piece)
		{
			TakenEvents taken;
			for (const StreamEvent& event : splitEvents(_context.splitter, _piece))
			{
				const std::optional<std::uint64_t> last = _context.delivered ? _context.delivered : _context.caller.resumeAfter;
				const EventVerdict verdict = judgeEvent(event, last);
				if (EventVerdict::Break == verdict)
				{
					taken.missing = true;
					return taken;
				}
				if (EventVerdict::Deliver == verdict)
				{
					taken.bytes += event.bytes;
					_context.delivered = event.id ? event.id : _context.delivered;
					noteEvent(_context);
				}
			}
			return taken;
		}
	} // namespace

	aio::Task<TryResult> relayStream(RequestContext& _context, http::HttpConnection& _upstream, http::ResponseHead _answer)
	{
		_context.splitter = {};
		while (true)
		{
			Part part = co_await nextPart(_context, _upstream);
			if (PartKind::End == part.kind)
			{
				if (!_context.splitter.rest.empty())
				{
					co_return failed(Proof::Ran, "stream_ended_within_an_event");
				}
				std::string last(http::kLastChunk);
				co_await sendOfStream(_context, _answer, std::move(last));
				co_return answered();
			}
			if (PartKind::Body != part.kind)
			{
				co_return failed(Proof::Ran, "stream_broke_off");
			}
			const TakenEvents taken = takeEvents(_context, part.body);
			if (!taken.bytes.empty())
			{
				std::string chunk = http::serializeChunk(taken.bytes);
				co_await sendOfStream(_context, _answer, std::move(chunk));
			}
			if (taken.missing)
			{
				co_return failed(Proof::Ran, "stream_events_missing");
			}
		}
	}
} // namespace archdyke::gateway
