/// Tracks which requests crash the upstreams that run them, from the crashes known to this process.
///
/// Handles a request that crashes every upstream that runs it: its attempts, and its caller's retries
/// through other gateways, would crash one upstream after the other. A crash is attributed to each
/// request that was running there, since it is unknown which one caused it. Other requests are cleared
/// by their next completed run; a request during which several upstreams crashed is refused.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/types.h"

namespace archdyke
{
	/// An upstream that crashed while it ran a request.
	struct Crash
	{
		std::string request;     ///< Fingerprint of target, caller and body.
		std::string incarnation; ///< The process that crashed.

		auto operator<=>(const Crash&) const = default;
	};

	/// Crashes by request.
	struct CrashTable
	{
		absl::flat_hash_map<std::string, std::map<std::string, Millis>> byRequest; ///< Request, then incarnation, to time of the crash, local clock.
	};

	/// Crashed upstreams after which a request is refused: one or two may have been caused by others.
	constexpr std::size_t kCrashesToRefuse = 3;
	/// How long a crash stays attributed to a request: callers retry for minutes, and a faulty release of the
	/// upstream is rolled back within this time.
	constexpr Millis kCrashLifetimeMs = 600'000;

	/// Records that an upstream crashed while it ran a request.
	/// @param[in] _at Local clock.
	/// @returns Whether the crash is new.
	bool recordCrash(CrashTable& _table, const Crash& _crash, Millis _at);

	/// Removes a crash.
	void removeCrash(CrashTable& _table, const Crash& _crash);

	/// @returns Whether a crash is recorded.
	bool isHeld(const CrashTable& _table, const Crash& _crash);

	/// Removes all crashes of a request after its upstream completed a run of it.
	/// @returns The removed crashes.
	std::vector<Crash> clearRequest(CrashTable& _table, const std::string& _request);

	/// @returns Number of upstreams that recently crashed while they ran a request.
	std::size_t countCrashes(const CrashTable& _table, const std::string& _request, Millis _now);

	/// @returns How much longer a request is refused, ms; none if it may run.
	std::optional<Millis> remainingRefusalMs(const CrashTable& _table, const std::string& _request, Millis _now);

	/// A request that is refused because several upstreams crashed under it.
	struct RefusedRequest
	{
		std::string request; ///< Fingerprint.
		Millis remainingMs = 0;

		auto operator<=>(const RefusedRequest&) const = default;
	};

	/// @returns All requests that are refused now.
	std::vector<RefusedRequest> refusedRequests(const CrashTable& _table, Millis _now);

	/// Removes expired crashes.
	/// @returns The removed crashes.
	std::vector<Crash> removeExpiredCrashes(CrashTable& _table, Millis _now);

	/// Recently completed requests, by hash, in two generations. When many callers send the same request, it may
	/// be running on each of several upstreams that crash together without being the cause.
	struct RecentCompletions
	{
		absl::flat_hash_set<std::size_t> newer;
		absl::flat_hash_set<std::size_t> older;
		Millis newerSince = 0;
	};

	/// Time for which a generation is filled.
	constexpr Millis kGenerationMs = 10'000;
	/// Maximum requests per generation; more are ignored.
	constexpr std::size_t kMaxRunsPerGeneration = 50'000;

	/// Records a completed run of a request.
	void recordCompletion(RecentCompletions& _runs, std::size_t _request, Millis _now);

	/// @returns Whether a request completed recently: within one to two generations.
	bool completedRecently(const RecentCompletions& _runs, std::size_t _request, Millis _now);
} // namespace archdyke
