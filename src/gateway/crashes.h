/// Upstreams that crash while they run requests, and requests that are refused for it, as one gateway knows it
/// from its own runs and from the other gateways, through the store.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "aio/task.h"
#include "archdyke/crash_blame.h"
#include "gateway/board.h"
#include "gateway/crash_check.h"

namespace archdyke::gateway
{
	struct GatewayState;
	struct RequestContext;

	/// A connection that broke while its upstream had a request.
	struct BrokenTry
	{
		Crash crash;             ///< If the upstream has ended.
		std::size_t runHash = 0; ///< The request in RecentRuns.
		UpstreamRef upstream;
		Millis at = 0;
	};

	/// A crash that the store is to be told of.
	struct UntoldCrash
	{
		Crash crash;
		Millis seenAt = 0;
		bool urgent = false; ///< Others ended under the same request before.
	};

	/// What a gateway knows of crashes, and what it has still to tell.
	struct CrashRecord
	{
		CrashTable table;
		RecentRuns runs;
		CrashChecks checks;
		std::vector<BrokenTry> broken;    ///< Whose upstreams may have ended.
		std::vector<UntoldCrash> untold;  ///< Seen here, not in the store yet; the oldest first.
		std::vector<UntoldCrash> telling; ///< Being written to the store: what is read from it may not have them yet.
		std::vector<Crash> cleared;       ///< In the store, to be removed there.
		Millis clearedSince = 0;          ///< When the first of these was cleared.
	};

	/// A connection broke while its upstream had a request: if the upstream has ended, that is held against the
	/// request. Waits for that only where it decides whether the request may be sent again.
	aio::Task<void> noteBrokenTry(RequestContext& _context, UpstreamRef _upstream);

	/// Holds broken tries against their requests whose upstreams have ended, or are gone soon after without having
	/// said that they leave.
	void settleBrokenTries(GatewayState& _state, Millis _now);

	/// A run of a request came to an end that its upstream made: the request crashes nobody.
	void noteWholeRun(RequestContext& _context);

	/// @returns How much longer a request is refused since several upstreams ended under it, ms; none when it may run.
	std::optional<Millis> crashRefusalMs(RequestContext& _context);

	/// Crashes aren't held against anybody any longer: the store is to be told, unless it doesn't know them yet.
	void removeFromStore(CrashRecord& _record, std::vector<Crash> _crashes, Millis _now);

	/// Forgets all but what was seen here and may not be told yet: the store was read whole.
	void forgetTold(CrashRecord& _record);

	/// Takes in a crash that another gateway saw, or this one in an earlier life.
	void takeCrash(CrashRecord& _record, const Crash& _crash, Millis _at);
} // namespace archdyke::gateway
