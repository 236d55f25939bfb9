/// Tracks upstreams that crash while they run requests, and the requests and parts of prompts that are refused for it. A
/// gateway knows the crashes of its own attempts and, through the store, those that other gateways saw.
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

	/// What may have caused a crash: a request, or a part of its prompt.
	struct Suspect
	{
		std::string name;     ///< The same in all gateways.
		std::size_t hash = 0; ///< In RecentCompletions; valid in this process only.
	};

	/// An attempt that an upstream may have ended under.
	struct DoubtfulAttempt
	{
		std::string incarnation;
		std::vector<Suspect> suspects; ///< Those that didn't complete recently.
		UpstreamRef upstream;
		CrashedRun run;        ///< If the upstream turns out to have ended.
		bool answered = false; ///< The response was complete, but nothing else than the end of its connection showed so.
		std::string prompt;    ///< Parts of the request's prompt, for the log.
	};

	/// A crash that isn't in the store yet.
	struct UnpublishedCrash
	{
		Crash crash;
		CrashedRun run;
		bool urgent = false; ///< Other upstreams crashed under the same suspect before.
	};

	/// Crashes that a gateway knows, and those that it still has to publish.
	struct CrashRecord
	{
		CrashTable table;
		TrialTable trials;
		RecentCompletions runs;
		CrashChecks checks;
		std::vector<DoubtfulAttempt> doubtfulAttempts; ///< Attempts whose upstreams may have ended.
		std::vector<UnpublishedCrash> unpublished;     ///< Seen here and not in the store yet; oldest first.
		std::vector<UnpublishedCrash> publishing;      ///< Being written to the store; reads may not contain them yet.
		std::set<Crash> lost;                          ///< Known here, but not in the copy from which the store came back.
		std::vector<Crash> cleared;                    ///< In the store and to be removed there.
		Millis removalDueAt = 0;                       ///< When to remove these.
	};

	/// Records that a connection broke while its upstream had a request, and checks whether the upstream has ended. If so,
	/// the crash is attributed to the request and to the parts of its prompt. Waits for the result only where it decides
	/// whether the request may be resent.
	aio::Task<void> recordBrokenAttempt(RequestContext& _context, UpstreamRef _upstream);

	/// Decides about doubtful attempts: attributes the crash if the upstream has ended, or was removed soon after without
	/// having announced that it leaves. An answered attempt counts as completed if the upstream has outlived it.
	void resolveDoubtfulAttempts(GatewayState& _state, Millis _now);

	/// Records that an upstream completed a request, and clears the crashes that were attributed to it and to the parts of its
	/// prompt.
	void recordCompletedRun(RequestContext& _context);

	/// Records a response that seems complete because its connection ended in order. An upstream that crashes may end it so,
	/// too, so this counts as a completed run only if the upstream has outlived it.
	void recordUnframedResponse(RequestContext& _context, const UpstreamRef& _upstream);

	/// @returns How much longer a request is refused because several upstreams crashed under it or a part of its prompt, or
	/// because another one is tried that tells whether this one may run, ms; none when it may run.
	std::optional<Millis> crashRefusalMs(RequestContext& _context);

	/// Begins a trial if the request contains doubtful suspects. To be called when it is sent.
	void beginTrial(RequestContext& _context);

	/// Ends the trial of an attempt that has ended.
	void endTrial(RequestContext& _context);

	/// Queues crashes for removal from the store; those not published yet are just dropped.
	void removeFromStore(GatewayState& _state, std::vector<Crash> _crashes, Millis _now);

	/// Drops all crashes but those that were seen here and may not be in the store yet. To be called before the rows of a
	/// full read are applied.
	void dropPublished(CrashRecord& _record);

	/// Records which crashes the store lacks after it came back from a copy.
	/// @param[in] _read The crashes in the copy.
	void recordLostCrashes(CrashRecord& _record, const std::set<Crash>& _read);

	/// Queues the crashes that the store still lacks to be published again.
	void publishLostCrashes(CrashRecord& _record);

	/// Records a crash that another gateway, or an earlier run of this one, has published.
	void recordRemoteCrash(CrashRecord& _record, const Crash& _crash, const CrashedRun& _run);

	/// Records that a crash is no longer in the store.
	void recordRemovedCrash(CrashRecord& _record, const Crash& _crash);
} // namespace archdyke::gateway
