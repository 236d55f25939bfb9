/// Settings of event loops.
#pragma once

#include <kj/common.h>

namespace archdyke::aio
{
	/// Events that an event loop runs before it looks at its sockets and timers again. By default it does so only when it has no
	/// event left, so a connection on which bytes come as fast as they are read would stop all others, and all deadlines.
	constexpr kj::uint kMaxEventsBetweenPolls = 64;
} // namespace archdyke::aio
