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
		/// @param[in] _from Bytes that are known not to contain its end.
		std::size_t eventSize(std::string_view _text, std::size_t _from)
		{
			constexpr std::string_view kBlankLine = "\n\n";
			constexpr std::string_view kCrLfBlankLine = "\r\n\r\n";
			// A blank line may begin within the bytes that were searched.
			const std::size_t from = _from - std::min(_from, kCrLfBlankLine.size() - 1);
			for (std::size_t at = _text.find('\n', from); std::string_view::npos != at; at = _text.find('\n', at + 1))
			{
				const std::string_view text = _text.substr(0, at + 1);
				if (text.ends_with(kBlankLine) || text.ends_with(kCrLfBlankLine))
				{
					return text.size();
				}
			}
			return 0;
		}
	} // namespace

	std::vector<StreamEvent> splitEvents(EventSplitter& _splitter, std::string_view _chunk)
	{
		_splitter.rest += _chunk;
		std::vector<StreamEvent> events;
		std::string_view remaining = _splitter.rest;
		for (std::size_t size = eventSize(remaining, _splitter.searchedBytes); 0 < size; size = eventSize(remaining, 0))
		{
			events.push_back({idOf(remaining.substr(0, size)), std::string(remaining.substr(0, size))});
			remaining.remove_prefix(size);
		}
		_splitter.searchedBytes = remaining.size();
		_splitter.rest.erase(0, _splitter.rest.size() - remaining.size());
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
