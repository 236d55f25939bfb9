/// Functions that each process needs: clock, random IDs, digests, signals.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "archdyke/types.h"

namespace archdyke
{
	/// @returns Time since boot, ms. Includes the time during which the machine is suspended.
	Millis nowMs();

	/// @returns A random nonzero number, used as an incarnation or a nonce.
	std::uint64_t randomId();

	/// @returns 16 hex digits.
	std::string toHex(std::uint64_t _value);

	/// @returns SHA-256, 64 hex digits.
	std::string sha256Hex(std::string_view _bytes);

	/// @returns Fingerprint of a request, 32 hex digits: the same for all repeats of it, in every process.
	std::string requestFingerprint(std::string_view _target, std::string_view _organisation, std::string_view _body);

	/// Makes the allocator give large blocks back to the system as soon as they are freed. Must be called before any thread starts.
	void returnFreedMemory();

	/// Gives pages of the allocator that hold no block back to the system, also between others.
	void trimMemory();

	/// Blocks SIGTERM and SIGINT for the whole process and ignores SIGPIPE. Must be called before any thread starts.
	void blockStopSignals();

	/// Waits for SIGTERM or SIGINT.
	/// @returns The signal's number.
	int waitForStopSignal();

	/// @returns How many file descriptors this process may have open.
	std::size_t descriptorLimit();

	/// @returns The bytes of a file.
	/// @throws InvalidInputError If the file can't be read.
	std::string readFile(const std::string& _path);
} // namespace archdyke
