/// How the other side of a TCP connection has ended it.
#pragma once

#include <cstdint>

#include "archdyke/connection_end.h"

namespace archdyke
{
	/// Neither needs nor takes away the socket's error, whoever was told of it.
	/// @param[in] _readBytes All bytes that were read from the socket, up to the end that a read returned.
	FinState finStateOf(int _socket, std::uint64_t _readBytes);
} // namespace archdyke
