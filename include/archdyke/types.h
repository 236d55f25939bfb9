/// Types used by all parts of archdyke.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace archdyke
{
	/// Milliseconds, as a duration or since an arbitrary start of a monotonic clock.
	using Millis = std::int64_t;

	/// What is known about the execution of a request when its final answer is given.
	enum class Outcome
	{
		Ran,     ///< It ran completely or partially.
		NotRun,  ///< Proved: it did not run and never will.
		Unknown, ///< It may have run.
		Count
	};

	/// @returns The name used in headers, logs and reports.
	std::string_view toString(Outcome _outcome);

	/// Identifies one attempt of a request.
	struct RunKey
	{
		std::string requestId;
		std::uint32_t attempt = 0;

		auto operator<=>(const RunKey&) const = default;

		template <typename H>
		friend H AbslHashValue(H _state, const RunKey& _key)
		{
			return H::combine(std::move(_state), _key.requestId, _key.attempt);
		}
	};

	/// A connection between an entry and an agent, identified by the incarnations of both and a
	/// number that increases with each new connection of the pair.
	struct Session
	{
		std::uint64_t entry = 0;
		std::uint64_t agent = 0;
		std::uint64_t number = 0;

		auto operator<=>(const Session&) const = default;
	};

	/// Load reported by an agent: numbers of runs, times in ms.
	struct LoadReport
	{
		std::uint32_t running = 0;
		std::uint32_t queued = 0;
		std::uint32_t slots = 0;
		bool leaving = false;
		std::uint32_t meanRunMs = 0;
		std::uint64_t incarnation = 0;

		bool operator==(const LoadReport&) const = default;
	};

	/// Why an agent refuses a run. Each reason but Duplicate proves that the attempt did not start.
	enum class RefusalReason
	{
		None,
		Leaving,
		Overloaded,
		WrongIncarnation,
		OldSession,
		Duplicate,
		Revoked,
		Deadline,
		CrashesUpstreams, ///< Several upstreams crashed while they ran the request.
		Count
	};

	/// @returns The name used in headers, logs and reports.
	std::string_view toString(RefusalReason _reason);

	/// Result of revoking a run on an agent.
	enum class RevokeState
	{
		NotRun,  ///< Proved: it did not start and never will.
		Started, ///< It started, or ran to its end.
		Unknown, ///< Another incarnation of the agent may have run it.
		Count
	};
} // namespace archdyke
