/// Splits a text/event-stream into complete events and checks the order of their ids.
#pragma once

#include <cstddef>
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

	/// Maximum size of an event, bytes: above what engines send, and little enough for many streams at once.
	constexpr std::size_t kMaxEventBytes = 262'144;

	/// Buffers the bytes of an incomplete event.
	struct EventSplitter
	{
		std::string rest;
		std::size_t searchedBytes = 0; ///< Bytes of it that are known not to contain its end.

		bool operator==(const EventSplitter&) const = default;
	};

	/// @returns The events completed by a chunk of the stream.
	std::vector<StreamEvent> splitEvents(EventSplitter& _splitter, std::string_view _chunk);

	/// @returns Whether the incomplete event exceeds the maximum size.
	bool isTooLarge(const EventSplitter& _splitter);

	/// @returns Whether an event holds bytes of another response: one of its lines begins as a response does. Text of a model may
	/// hold such a line only behind a field's name.
	bool holdsResponse(const StreamEvent& _event);

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
