/// Run ledger of an agent: records which runs were queued, started, finished or revoked, so that an
/// entry can prove that a request was not run.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "archdyke/types.h"

namespace archdyke
{
	/// Queued -> Started -> Done, or Queued -> Revoked. A started run is revoked only if no byte
	/// of it was sent to the upstream.
	enum class RunState
	{
		Queued,
		Started,
		Done,
		Revoked,
		Count
	};

	/// One attempt of a request.
	struct RunRecord
	{
		std::uint32_t attempt = 0;
		RunState state = RunState::Queued;

		bool operator==(const RunRecord&) const = default;
	};

	/// Lowest session number of an entry that may still start runs.
	struct SessionFloor
	{
		std::uint64_t number = 0;
		Millis seenAt = 0;

		bool operator==(const SessionFloor&) const = default;
	};

	/// A run that ended, kept until it expires.
	struct EndedRun
	{
		RunKey key;
		Millis endedAt = 0;
	};

	/// State of the ledger, for one incarnation of the agent.
	struct Ledger
	{
		std::uint64_t incarnation = 0;
		bool leaving = false;
		std::size_t active = 0; ///< Runs queued or started.
		absl::flat_hash_map<std::string, std::vector<RunRecord>> runs;
		absl::flat_hash_map<std::uint64_t, SessionFloor> floors;
		std::deque<EndedRun> ended;
	};

	/// Opens a session and invalidates all older ones of the same entry.
	/// @returns false if a newer session of the entry is already open.
	bool openSession(Ledger& _ledger, const Session& _session, Millis _now);

	/// Adds a run as queued.
	/// @returns None, or the reason of the refusal; a refused offer never starts a run.
	RefusalReason offerRun(Ledger& _ledger, const RunKey& _key, const Session& _session, bool _repeatable, Millis _now);

	/// Marks a queued run as started. Must be called before its first byte is sent to the upstream.
	/// @returns false if the run is no longer queued; it must not run then.
	bool startRun(Ledger& _ledger, const RunKey& _key);

	/// Marks a started run as done.
	void finishRun(Ledger& _ledger, const RunKey& _key, Millis _now);

	/// Revokes a started run of which no byte was sent to the upstream.
	void withdrawRun(Ledger& _ledger, const RunKey& _key, Millis _now);

	/// Revokes a queued run on the agent's own initiative.
	/// @returns false if it has started.
	bool dropRun(Ledger& _ledger, const RunKey& _key, Millis _now);

	/// Revokes a run on behalf of its entry, if it has not started.
	RevokeState revokeRun(Ledger& _ledger, const RunKey& _key, const Session& _session, Millis _now);

	/// Removes ended runs older than kLedgerRetentionMs and session floors older than kSessionFloorRetentionMs.
	void removeExpiredRuns(Ledger& _ledger, Millis _now);
} // namespace archdyke
