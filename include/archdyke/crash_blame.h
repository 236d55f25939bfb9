/// Which requests crash the upstreams that run them, as far as this process knows of crashes.
///
/// Answers a request that ends every process which begins to run it: its tries, and its caller's
/// repeats through other gateways, would end one upstream after the other. A crash is held against
/// each request that ran there, since nobody can tell which one caused it.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <map>
#include <string>

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
		absl::flat_hash_map<std::string, std::map<std::string, Millis>> crashes; ///< By request, then by incarnation.
	};

	/// How long a crash is held against a request, ms: callers repeat for minutes, and a faulty release of the
	/// upstream is rolled back in such a time.
	constexpr Millis kBlameMs = 600'000;

	/// Takes in that an upstream crashed under a request.
	/// @param[in] _at Own clock.
	/// @returns Whether it wasn't known.
	bool noteCrash(CrashTable& _table, const Crash& _crash, Millis _at);

	/// @returns Upstreams that crashed under a request lately.
	std::size_t crashesOf(const CrashTable& _table, const std::string& _request, Millis _now);
} // namespace archdyke
