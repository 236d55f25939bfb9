#include "archdyke/memory_share.h"

#include <algorithm>
#include <cmath>

namespace archdyke
{
	namespace
	{
		/// Shares of the machine's memory: one half for what connections make the process hold, one quarter for the system's
		/// buffers, and the rest for the process itself.
		constexpr std::size_t kTotalDivisor = 2;
		constexpr std::size_t kSystemDivisor = 4;
		/// Part of the total that only small holders may take.
		constexpr std::size_t kReservedDivisor = 4;
		/// An ordinary request must stay below it while an upstream runs it: a large holder waits for others and may lose its memory.
		constexpr std::size_t kSmallBytes = 131'072;

		/// A holder that moves nothing counts as if it moved this much, bytes per second.
		constexpr double kMinMovedPerS = 1'024.0;
		/// Ending a run loses work, so a run counts as if it held less.
		constexpr double kRunWeight = 0.25;
		constexpr double kRateHalfLifeMs = 500.0;

		constexpr std::size_t kMinBufferBytes = 2'048;
		constexpr std::size_t kMaxBufferBytes = 65'536;
		/// A connection gets at most this part of what is left beyond the smallest buffers.
		constexpr std::size_t kGrantDivisor = 32;
		/// Part of the system's buffers for those of the smallest size; the rest is granted beyond it.
		constexpr std::size_t kSmallestDivisor = 2;
		/// Two directions, and the system takes up to twice the size that is set.
		constexpr std::size_t kGrantPerBufferByte = 4;
	} // namespace

	MemoryLimits memoryLimits(std::size_t _machineBytes, std::size_t _sockets)
	{
		const std::size_t total = _machineBytes / kTotalDivisor;
		const std::size_t system = _machineBytes / kSystemDivisor;
		const std::size_t sockets = std::min(_sockets, system / kSmallestDivisor / kGrantPerBufferByte / kMinBufferBytes);
		return {total, total / kReservedDivisor, kSmallBytes, sockets, system - sockets * kGrantPerBufferByte * kMinBufferBytes};
	}

	const char* toString(HeldFor _what)
	{
		switch (_what)
		{
		case HeldFor::Idle:
			return "idle";
		case HeldFor::Request:
			return "request";
		case HeldFor::Run:
			return "run";
		default:
			return "response";
		}
	}

	double burdenOf(const HolderView& _holder)
	{
		const double seconds = double(_holder.bytes) / std::max(kMinMovedPerS, _holder.movedPerS);
		const double silence = 1.0 + double(_holder.silentMs) / 1'000.0;
		return (HeldFor::Run == _holder.what ? kRunWeight : 1.0) * seconds * silence;
	}

	bool mayLoseMemory(const HolderView& _holder, const MemoryLimits& _limits, bool _forSmall)
	{
		return _forSmall || (HeldFor::Run != _holder.what && _limits.smallBytes < _holder.bytes);
	}

	MoveRate withMoved(const MoveRate& _rate, std::size_t _bytes, Millis _now)
	{
		const double kept = std::exp2(-double(std::max<Millis>(0, _now - _rate.at)) / kRateHalfLifeMs);
		// A constant rate of r per second adds up to r, since what decays of it is added.
		constexpr double kPerS = 1'000.0 * 0.693147 / kRateHalfLifeMs;
		return {_rate.perS * kept + double(_bytes) * kPerS, _now};
	}

	std::size_t bufferBytes(const MemoryLimits& _limits, std::size_t _grantedBytes)
	{
		const std::size_t left = _limits.extraBytes - std::min(_limits.extraBytes, _grantedBytes);
		return kMinBufferBytes + std::min(left / kGrantDivisor / kGrantPerBufferByte, kMaxBufferBytes - kMinBufferBytes);
	}

	std::size_t extraOf(std::size_t _bufferBytes)
	{
		return kGrantPerBufferByte * (_bufferBytes - kMinBufferBytes);
	}
} // namespace archdyke
