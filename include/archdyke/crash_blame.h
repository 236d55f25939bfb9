/// Which requests crash the upstreams that run them, as far as this process knows of crashes.
///
/// Answers a request that ends every process which begins to run it: its tries, and its caller's
/// repeats through other gateways, would end one upstream after the other. A crash is held against
/// each request that ran there, since nobody can tell which one caused it. Bystanders are cleared by
/// the next run that comes to an end; a request that has ended several upstreams is refused.
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
		std::string request;     ///< Fingerprint: same target, caller and body.
		std::string incarnation; ///< The process that ended.

		auto operator<=>(const Crash&) const = default;
	};

	/// Crashes by the requests that ran there, own clock.
	struct CrashTable
	{
		absl::flat_hash_map<std::string, std::map<std::string, Millis>> byRequest; ///< Then by incarnation.
	};

	/// Upstreams after which a request is refused: of one or two it may have been a bystander.
	constexpr std::size_t kCrashesToRefuse = 3;
	/// How long a crash is held against a request, ms: callers repeat for minutes, and a faulty release of the
	/// upstream is rolled back in such a time.
	constexpr Millis kBlameMs = 600'000;

	/// Takes in that an upstream crashed under a request.
	/// @param[in] _at Own clock.
	/// @returns Whether it wasn't known.
	bool noteCrash(CrashTable& _table, const Crash& _crash, Millis _at);

	/// A crash isn't held against a request any longer.
	void dropCrash(CrashTable& _table, const Crash& _crash);

	/// @returns Whether a crash is held against a request.
	bool isHeld(const CrashTable& _table, const Crash& _crash);

	/// A run of a request came to an end that its upstream made.
	/// @returns The crashes that were held against it.
	std::vector<Crash> clearRequest(CrashTable& _table, const std::string& _request);

	/// @returns Upstreams that crashed under a request lately.
	std::size_t crashesOf(const CrashTable& _table, const std::string& _request, Millis _now);

	/// @returns How much longer a request is refused, ms; none when it may run.
	std::optional<Millis> refusedForMs(const CrashTable& _table, const std::string& _request, Millis _now);

	/// Forgets crashes that are held against nobody any more.
	/// @returns These.
	std::vector<Crash> forgetCrashes(CrashTable& _table, Millis _now);

	/// Requests that came to an end lately, by hash, in two generations. Many callers ask for the same: such a
	/// request may be on each of several upstreams that crash together, and is not to blame for it.
	struct RecentRuns
	{
		absl::flat_hash_set<std::size_t> newer;
		absl::flat_hash_set<std::size_t> older;
		Millis newerSince = 0;
	};

	/// How long a generation is added to, ms.
	constexpr Millis kGenerationMs = 10'000;
	/// Requests of a generation; the others aren't kept.
	constexpr std::size_t kMostRuns = 50'000;

	/// Takes in that a run of a request came to an end.
	void noteRun(RecentRuns& _runs, std::size_t _request, Millis _now);

	/// @returns Whether a request ran lately: within one generation at least, two at most.
	bool ranLately(const RecentRuns& _runs, std::size_t _request, Millis _now);
} // namespace archdyke
