/// Splits a text/event-stream into whole events and checks the order of their ids.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace archdyke
{
	/// One whole event with the blank line that ends it.
	struct StreamEvent
	{
		std::optional<std::uint64_t> id; ///< None when it bears no id, or no number.
		std::string bytes;

		bool operator==(const StreamEvent&) const = default;
	};

	/// Bytes of an event that isn't whole yet.
	struct EventSplitter
	{
		std::string rest;

		bool operator==(const EventSplitter&) const = default;
	};

	/// @returns The events that the piece completes.
	std::vector<StreamEvent> splitEvents(EventSplitter& _splitter, std::string_view _piece);

	/// What to do with an event that a run brought.
	enum class EventVerdict
	{
		Deliver,
		Skip,  ///< Delivered before; a resumed run repeats it.
		Break, ///< Events are missing before it: the stream can't go on from this run.
		Count
	};

	/// @returns What to do with an event.
	/// @param[in] _delivered Id of the last event that went to the caller; none before the first.
	EventVerdict judgeEvent(const StreamEvent& _event, std::optional<std::uint64_t> _delivered);
} // namespace archdyke
