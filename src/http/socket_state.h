/// What the system knows about a connection that the event loop hasn't read.
#pragma once

#include <cstddef>
#include <kj/async-io.h>

namespace archdyke::http
{
	/// What the system has received on a connection that wasn't read yet.
	enum class Waiting
	{
		Nothing,
		Bytes,
		End, ///< The connection was closed, or is broken.
	};

	Waiting peek(const kj::AsyncIoStream& _stream);

	/// @returns Number of bytes that wait to be read.
	std::size_t countWaiting(const kj::AsyncIoStream& _stream);

	/// @returns Whether the other side has closed, even if bytes before that weren't read.
	bool isHungUp(const kj::AsyncIoStream& _stream);
} // namespace archdyke::http
