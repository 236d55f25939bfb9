/// The run ledger of an agent: which runs it has queued, started, ended or taken back.
/// It is what lets an entry say "not run" on proof.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "archdyke/types.h"

namespace archdyke
{
	/// queued -> started -> done, or queued -> revoked. A started run is revoked only when
	/// its upstream couldn't be reached at all.
	enum class RunState
	{
		Queued,
		Started,
		Done,
		Revoked,
		Count
	};

	/// One try of a request, as the agent knows it.
	struct RunRecord
	{
		std::uint32_t attempt = 0;
		RunState state = RunState::Queued;

		bool operator==(const RunRecord&) const = default;
	};

	/// Lowest session of an entry that may still start runs.
	struct SessionFloor
	{
		std::uint64_t number = 0;
		Millis seenAt = 0;

		bool operator==(const SessionFloor&) const = default;
	};

	/// A run that ended, in the order in which it may be forgotten.
	struct EndedRun
	{
		RunKey key;
		Millis endedAt = 0;
	};

	/// State of the ledger. Lives as long as one incarnation of the agent.
	struct Ledger
	{
		std::uint64_t incarnation = 0;
		bool leaving = false;
		std::size_t active = 0; ///< Runs queued or started.
		absl::flat_hash_map<std::string, std::vector<RunRecord>> runs;
		absl::flat_hash_map<std::uint64_t, SessionFloor> floors;
		std::deque<EndedRun> ended;
	};

	/// Opens a session and closes all older ones of the same entry.
	/// @returns false when a newer session of the entry is open already.
	bool openSession(Ledger& _ledger, const Session& _session, Millis _now);

	/// Takes a run into the ledger as queued.
	/// @returns None, or the reason why the run was refused; a refused run has not
	/// started and this offer of it never will.
	RefusalReason offerRun(Ledger& _ledger, const RunKey& _key, const Session& _session, bool _repeatable, Millis _now);

	/// Marks a queued run as started. Must be called before its first byte goes to
	/// the upstream.
	/// @returns false when the run is not queued any more; it must not run then.
	bool startRun(Ledger& _ledger, const RunKey& _key);

	/// Marks a started run as done.
	void finishRun(Ledger& _ledger, const RunKey& _key, Millis _now);

	/// Takes a started run back of which no byte left for the upstream.
	void withdrawRun(Ledger& _ledger, const RunKey& _key, Millis _now);

	/// Drops a queued run for good, for reasons of the agent's own.
	/// @returns false when it has started.
	bool dropRun(Ledger& _ledger, const RunKey& _key, Millis _now);

	/// Takes a run back for its entry, if it has not started.
	RevokeState revokeRun(Ledger& _ledger, const RunKey& _key, const Session& _session, Millis _now);

	/// Forgets what is older than kLedgerKeepMs and kSessionFloorKeepMs.
	void forgetRuns(Ledger& _ledger, Millis _now);
} // namespace archdyke
