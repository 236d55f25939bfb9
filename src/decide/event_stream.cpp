#include "archdyke/event_stream.h"

#include <absl/strings/numbers.h>
#include <algorithm>

#include "archdyke/response_head.h"
#include "archdyke/text.h"

namespace archdyke
{
	namespace
	{
		std::optional<std::uint64_t> idOf(std::string_view _event)
		{
			for (const std::string_view line : splitText(_event, '\n'))
			{
				if (line.starts_with("id:"))
				{
					std::uint64_t id = 0;
					return absl::SimpleAtoi(asAbsl(trimmed(line.substr(3))), &id) ? std::optional(id) : std::nullopt;
				}
			}
			return std::nullopt;
		}

		/// @returns Size of the first event including its blank line; 0 if it is incomplete.
		std::size_t eventSize(std::string_view _text)
		{
			const std::size_t lf = _text.find("\n\n");
			const std::size_t crlf = _text.find("\r\n\r\n");
			const std::size_t lfEnd = std::string_view::npos == lf ? std::string_view::npos : lf + 2;
			const std::size_t crlfEnd = std::string_view::npos == crlf ? std::string_view::npos : crlf + 4;
			const std::size_t end = std::min(lfEnd, crlfEnd);
			return std::string_view::npos == end ? 0 : end;
		}
	} // namespace

	std::vector<StreamEvent> splitEvents(EventSplitter& _splitter, std::string_view _chunk)
	{
		_splitter.rest += _chunk;
		std::vector<StreamEvent> events;
		std::string_view remaining = _splitter.rest;
		for (std::size_t size = eventSize(remaining); 0 < size; size = eventSize(remaining))
		{
			events.push_back({idOf(remaining.substr(0, size)), std::string(remaining.substr(0, size))});
			remaining.remove_prefix(size);
		}
		_splitter.rest = std::string(remaining);
		return events;
	}

	bool isTooLarge(const EventSplitter& _splitter)
	{
		return _splitter.rest.size() > kMaxEventBytes;
	}

	bool holdsResponse(const StreamEvent& _event)
	{
		const std::vector<std::string_view> lines = splitText(_event.bytes, '\n');
		return std::any_of(lines.begin(), lines.end(), [](std::string_view _line) {
			constexpr std::size_t kStatusLineBytes = 12;
			return kStatusLineBytes <= _line.size() && mayStartResponse(_line);
		});
	}

	EventVerdict classifyEvent(const StreamEvent& _event, std::optional<std::uint64_t> _delivered)
	{
		if (!_event.id || !_delivered || *_event.id == *_delivered + 1)
		{
			return EventVerdict::Deliver;
		}
		return *_event.id <= *_delivered ? EventVerdict::Skip : EventVerdict::Break;
	}
} // namespace archdyke
