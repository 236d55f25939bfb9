/// Tracks what crashes the upstreams that run it, whole requests and parts of their prompts, from the crashes known to this
/// process.
///
/// Handles a request that crashes every upstream that runs it, and a part of a prompt that does so in whatever request it
/// stands: attempts, and callers' repeats through other gateways, would crash one upstream after the other. A crash is
/// attributed to each request that was running there and to the parts of its prompt, since it is unknown which one caused it.
/// A completed run clears its request and its parts. What several crashes have in common is refused, unless something that
/// the request doesn't contain accounts for these crashes too.
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
	/// An upstream that crashed while it ran a suspect.
	struct Crash
	{
		std::string suspect;     ///< Fingerprint of a request's target, caller and body, or name of a part of its prompt.
		std::string incarnation; ///< The process that crashed.

		auto operator<=>(const Crash&) const = default;
	};

	/// A run that ended with its upstream.
	struct CrashedRun
	{
		Millis startedAt = 0; ///< When it was sent to the upstream, local clock; the time of the crash when unknown.
		Millis at = 0;        ///< When the upstream crashed, local clock.

		auto operator<=>(const CrashedRun&) const = default;
	};

	/// Crashes by suspect.
	struct CrashTable
	{
		absl::flat_hash_map<std::string, std::map<std::string, CrashedRun>> bySuspect; ///< Suspect, then incarnation.
		absl::flat_hash_map<std::string, std::size_t> suspectsOf;                      ///< Number of suspects, by incarnation.
		absl::flat_hash_set<std::string> blamed;                                       ///< Suspects with kCrashesToRefuse independent crashes, expired ones included.
	};

	/// Independent crashes after which a suspect is blamed: one or two may have been caused by others.
	constexpr std::size_t kCrashesToRefuse = 3;
	/// Crashes of runs that were under way together count once if they are less than this apart, ms: what ends at once is seen
	/// to end within a round trip across regions and the error of the gateways' clocks.
	constexpr Millis kTogetherMs = 250;
	/// How long a crash stays attributed: callers retry for minutes, and a faulty release of the upstream is rolled back
	/// within this time.
	constexpr Millis kCrashLifetimeMs = 600'000;
	/// Crashes of a suspect that may stay unexplained by others without it being refused: an upstream may end for reasons of
	/// its own.
	constexpr std::size_t kStrayCrashes = 1;
	/// Maximum number of suspects of one crash; those that have no other crash are dropped beyond it. More than the requests
	/// that one upstream runs and queues, with the few parts of each that didn't complete recently.
	constexpr std::size_t kMaxSuspectsPerCrash = 256;

	/// @returns The name of a part of prompts, as a suspect.
	std::string partSuspect(std::uint64_t _part);

	/// Records that an upstream crashed while it ran a suspect.
	/// @returns Whether the crash is new and was recorded.
	bool recordCrash(CrashTable& _table, const Crash& _crash, const CrashedRun& _run);

	/// Removes a crash.
	void removeCrash(CrashTable& _table, const Crash& _crash);

	/// @returns Whether a crash is recorded.
	bool isHeld(const CrashTable& _table, const Crash& _crash);

	/// Removes all crashes of a suspect after an upstream completed a run of it.
	/// @returns The removed crashes.
	std::vector<Crash> clearSuspect(CrashTable& _table, const std::string& _suspect);

	/// @returns Number of independent recent crashes of a suspect. Crashes that may have one cause outside of their runs, such as
	/// a power failure, count once.
	std::size_t countCrashes(const CrashTable& _table, const std::string& _suspect, Millis _now);

	/// @param[in] _suspects A request's fingerprint and the parts of its prompt.
	/// @returns How much longer a request is refused, ms; none if it may run: none of its suspects is blamed, or others that it
	/// doesn't contain account for the crashes of each.
	std::optional<Millis> remainingRefusalMs(const CrashTable& _table, const std::vector<std::string>& _suspects, Millis _now);

	/// @returns The blamed suspects of a request that others account for: it may run, and its run tells which of them it is.
	std::vector<std::string> doubtfulSuspects(const CrashTable& _table, const std::vector<std::string>& _suspects, Millis _now);

	/// Runs of doubtful suspects through this process. One at a time, since each may crash an upstream.
	struct TrialTable
	{
		absl::flat_hash_map<std::string, Millis> until; ///< By suspect: when the next run may begin, if the trial hasn't ended by then.
	};

	/// How long a trial keeps others waiting at most, ms. It ends with its attempt, which may wait at its upstream before it runs.
	constexpr Millis kTrialMs = 10'000;

	/// Begins a trial of suspects.
	void beginTrial(TrialTable& _trials, const std::vector<std::string>& _suspects, Millis _now);

	/// Ends a trial once its result is known.
	void endTrial(TrialTable& _trials, const std::vector<std::string>& _suspects);

	/// @returns How long to wait for trials of the suspects, ms; none if none is under way.
	std::optional<Millis> remainingTrialMs(const TrialTable& _trials, const std::vector<std::string>& _suspects, Millis _now);

	/// A request that is refused because several upstreams crashed under it.
	struct RefusedRequest
	{
		std::string request; ///< Fingerprint.
		Millis remainingMs = 0;

		auto operator<=>(const RefusedRequest&) const = default;
	};

	/// @returns All suspects that are refused by themselves now.
	std::vector<RefusedRequest> refusedRequests(const CrashTable& _table, Millis _now);

	/// Removes expired crashes.
	/// @returns The removed crashes.
	std::vector<Crash> removeExpiredCrashes(CrashTable& _table, Millis _now);

	/// Recently completed requests and parts, by hash, in two generations. When many callers send the same request, it may
	/// be running on each of several upstreams that crash together without being the cause.
	struct RecentCompletions
	{
		absl::flat_hash_set<std::size_t> newer;
		absl::flat_hash_set<std::size_t> older;
		Millis newerSince = 0;
	};

	/// Time for which a generation is filled.
	constexpr Millis kGenerationMs = 10'000;
	/// Maximum requests and parts per generation; more are ignored.
	constexpr std::size_t kMaxRunsPerGeneration = 50'000;

	/// Records a completed run of a request or part.
	void recordCompletion(RecentCompletions& _runs, std::size_t _suspect, Millis _now);

	/// @returns Whether a request or part completed recently: within one to two generations.
	bool completedRecently(const RecentCompletions& _runs, std::size_t _suspect, Millis _now);
} // namespace archdyke
