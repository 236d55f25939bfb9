#include "archdyke/event_stream.h"

#include <absl/strings/numbers.h>
#include <algorithm>

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

		/// @returns Bytes up to and with the blank line; 0 when there is none yet.
		std::size_t eventSize(std::string_view _text)
		{
			const std::size_t plain = _text.find("\n\n");
			const std::size_t carriage = _text.find("\r\n\r\n");
			const std::size_t plainEnd = std::string_view::npos == plain ? std::string_view::npos : plain + 2;
			const std::size_t carriageEnd = std::string_view::npos == carriage ? std::string_view::npos : carriage + 4;
			const std::size_t end = std::min(plainEnd, carriageEnd);
			return std::string_view::npos == end ? 0 : end;
		}
	} // namespace

	std::vector<StreamEvent> splitEvents(EventSplitter& _splitter, std::string_view _piece)
	{
		_splitter.rest += _piece;
		std::vector<StreamEvent> events;
		std::string_view left = _splitter.rest;
		for (std::size_t size = eventSize(left); 0 < size; size = eventSize(left))
		{
			events.push_back({idOf(left.substr(0, size)), std::string(left.substr(0, size))});
			left.remove_prefix(size);
		}
		_splitter.rest = std::string(left);
		return events;
	}

	EventVerdict judgeEvent(const StreamEvent& _event, std::optional<std::uint64_t> _delivered)
	{
		if (!_event.id || !_delivered || *_event.id == *_delivered + 1)
		{
			return EventVerdict::Deliver;
		}
		return *_event.id <= *_delivered ? EventVerdict::Skip : EventVerdict::Break;
	}
} // namespace archdyke
