/// Work for events that don't end.
#include "archdyke/event_stream.h"

#include <criterion/criterion.h>
#include <ctime>

using namespace archdyke;

/// Guards against an event without end that occupies the process: each byte of it was searched and copied again with all before it.
Test(event_stream, an_unfinished_event_is_searched_once)
{
	constexpr double kMaxSeconds = 1.0;
	const std::clock_t start = std::clock();
	EventSplitter splitter;
	std::size_t bytes = 0;
	for (; !isTooLarge(splitter); ++bytes)
	{
		cr_assert(splitEvents(splitter, bytes % 100 < 99 ? "a" : "\n").empty());
	}
	const double seconds = double(std::clock() - start) / CLOCKS_PER_SEC;
	cr_assert(kMaxEventBytes + 1 == bytes && splitter.rest.size() == bytes);
	cr_assert(seconds < kMaxSeconds, "%.1f s", seconds);
	cr_assert(1 == splitEvents(splitter, "\n\n").size() && splitter.rest.empty());
}
