/// How the memory that other processes make this one hold is divided among its connections when it is short.
#pragma once

#include <cstddef>

#include "archdyke/types.h"

namespace archdyke
{
	/// Parts of a machine's memory, bytes. The rest is for the process itself.
	struct MemoryLimits
	{
		std::size_t totalBytes = 0;    ///< For what connections make the process hold.
		std::size_t reservedBytes = 0; ///< Part of it that only small holders may take.
		std::size_t smallBytes = 0;    ///< A holder of at most this much is small.
		std::size_t maxSockets = 0;    ///< Connections for which the system's smallest buffers fit into their part.
		std::size_t extraBytes = 0;    ///< Part of the system's buffers that is left when each of them has the smallest ones.

		bool operator==(const MemoryLimits&) const = default;
	};

	/// @param[in] _machineBytes Memory of the machine that the process may use.
	/// @param[in] _sockets Connections that the process may have open at once, to it and from it.
	MemoryLimits memoryLimits(std::size_t _machineBytes, std::size_t _sockets);

	/// What a connection's memory is held for.
	enum class HeldFor
	{
		Idle,     ///< No request was begun.
		Request,  ///< A request is being received. It hasn't run.
		Run,      ///< An upstream may be running the request.
		Response, ///< A response is being sent.
		Count
	};

	/// @returns The name used in logs and labels.
	const char* toString(HeldFor _what);

	/// What one connection makes the process hold.
	struct HolderView
	{
		std::size_t bytes = 0;
		double movedPerS = 0.0; ///< Recent rate of bytes received and sent.
		HeldFor what = HeldFor::Idle;
		Millis silentMs = 0; ///< Time since it last moved anything.

		bool operator==(const HolderView&) const = default;
	};

	/// @returns How much a holder burdens the process: how long it would take to move what it holds, s, times how long it has been
	/// silent. When memory is short, the holder with the highest value loses its connection first.
	double burdenOf(const HolderView& _holder);

	/// @returns Whether a holder may lose its connection so that another one gets memory.
	/// @param[in] _forSmall Whether the other one is small. A large one ends no run of an upstream.
	bool mayLoseMemory(const HolderView& _holder, const MemoryLimits& _limits, bool _forSmall);

	/// Rate of bytes moved, which decays while none are.
	struct MoveRate
	{
		double perS = 0.0;
		Millis at = 0;

		bool operator==(const MoveRate&) const = default;
	};

	/// @returns The rate after further bytes were moved.
	MoveRate withMoved(const MoveRate& _rate, std::size_t _bytes, Millis _now);

	/// @returns Size of one buffer of the system for a new connection, which has one for each direction.
	/// @param[in] _grantedBytes What the buffers of the other connections may take beyond the smallest size, see extraOf().
	std::size_t bufferBytes(const MemoryLimits& _limits, std::size_t _grantedBytes);

	/// @returns Memory that the buffers of a connection may take beyond those of the smallest size.
	std::size_t extraOf(std::size_t _bufferBytes);
} // namespace archdyke
