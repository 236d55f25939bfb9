/// What the system keeps for a connection.
#pragma once

#include <cstddef>

namespace archdyke
{
	/// Limits the system's buffers of a connection.
	/// @param[in] _bytes Size of the receive buffer, and of what may wait to be sent. What was sent and isn't acknowledged is limited
	/// by the window of the other side, and by a constant.
	void limitSocketBuffers(int _socket, std::size_t _bytes);
} // namespace archdyke
