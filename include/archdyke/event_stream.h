/// Splits a text/event-stream into complete events and checks the order of their ids.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace archdyke
{
	/// One complete event, including its terminating blank line.
	struct StreamEvent
	{
		std::optional<std::uint64_t> id; ///< None if it has no id, or one that isn't a number.
		std::string bytes;

		bool operator==(const StreamEvent&) const = default;
	};

	/// Buffers the bytes of an incomplete event.
	struct EventSplitter
	{
		std::string rest;

		bool operator==(const EventSplitter&) const = default;
	};

	/// @returns The events completed by a chunk of the stream.
	std::vector<StreamEvent> splitEvents(EventSplitter& _splitter, std::string_view _chunk);

	/// How to handle an event of a run.
	enum class EventVerdict
	{
		Deliver,
		Skip,  ///< Already delivered; a resumed run repeats it.
		Break, ///< Events before it are missing: the stream can't continue with this run.
		Count
	};

	/// @returns How to handle an event.
	/// @param[in] _delivered Id of the last event delivered to the caller; none before the first.
	EventVerdict classifyEvent(const StreamEvent& _event, std::optional<std::uint64_t> _delivered);
} // namespace archdyke
