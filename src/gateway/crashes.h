/// Tracks upstreams that crash while they run requests, and the requests that are refused for it. A gateway knows the
/// crashes of its own attempts and, through the store, those that other gateways saw.
#pragma once

#include <optional>
#include <set>
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

	/// An attempt whose connection broke while the upstream had the request.
	struct BrokenAttempt
	{
		Crash crash;             ///< Recorded if the upstream turns out to have ended.
		std::size_t runHash = 0; ///< Hash of the request in RecentCompletions.
		UpstreamRef upstream;
		Millis at = 0;
		std::string prompt; ///< Parts of the request's prompt, for the log.
	};

	/// A crash that isn't in the store yet.
	struct UnpublishedCrash
	{
		Crash crash;
		Millis seenAt = 0;
		bool urgent = false; ///< Other upstreams crashed under the same request before.
	};

	/// Crashes that a gateway knows, and those that it still has to publish.
	struct CrashRecord
	{
		CrashTable table;
		RecentCompletions runs;
		CrashChecks checks;
		std::vector<BrokenAttempt> brokenAttempts; ///< Attempts whose upstreams may have ended.
		std::vector<UnpublishedCrash> unpublished; ///< Seen here and not in the store yet; oldest first.
		std::vector<UnpublishedCrash> publishing;  ///< Being written to the store; reads may not contain them yet.
		std::set<Crash> lost;                      ///< Known here, but not in the copy from which the store came back.
		std::vector<Crash> cleared;                ///< In the store and to be removed there.
		Millis clearedSince = 0;                   ///< When the first of these was cleared.
	};

	/// Records that a connection broke while its upstream had a request, and checks whether the upstream has ended. If so,
	/// the crash is attributed to the request. Waits for the result only where it decides whether the request may be
	/// resent.
	aio::Task<void> recordBrokenAttempt(RequestContext& _context, UpstreamRef _upstream);

	/// Attributes crashes to the requests of broken attempts whose upstreams have ended, or were removed soon after without
	/// having announced that they leave.
	void resolveBrokenAttempts(GatewayState& _state, Millis _now);

	/// Records that an upstream completed a request, and clears the crashes that were attributed to the request.
	void recordCompletedRun(RequestContext& _context);

	/// @returns How much longer a request is refused because several upstreams crashed under it, ms; none when it may run.
	std::optional<Millis> crashRefusalMs(RequestContext& _context);

	/// Queues crashes for removal from the store; those not published yet are just dropped.
	void removeFromStore(CrashRecord& _record, std::vector<Crash> _crashes, Millis _now);

	/// Drops all crashes but those that were seen here and may not be in the store yet. To be called before the rows of a
	/// full read are applied.
	void dropPublished(CrashRecord& _record);

	/// Records which crashes the store lacks after it came back from a copy.
	/// @param[in] _read The crashes in the copy.
	void recordLostCrashes(CrashRecord& _record, const std::set<Crash>& _read);

	/// Queues the crashes that the store still lacks to be published again.
	void publishLostCrashes(CrashRecord& _record);

	/// Records a crash that another gateway, or an earlier run of this one, has published.
	void recordRemoteCrash(CrashRecord& _record, const Crash& _crash, Millis _at);
} // namespace archdyke::gateway
