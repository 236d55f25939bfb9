/// Limits and defaults, each with its unit. Those with a macro may be overridden at build time with
/// -DARCHDYKE_CONFIG_...=value.
#pragma once

#include <cstddef>
#include <cstdint>

#ifndef ARCHDYKE_CONFIG_MAX_BODY_BYTES
#define ARCHDYKE_CONFIG_MAX_BODY_BYTES 1048576
#endif
#ifndef ARCHDYKE_CONFIG_MAX_ANSWER_BYTES
#define ARCHDYKE_CONFIG_MAX_ANSWER_BYTES 4194304
#endif
#ifndef ARCHDYKE_CONFIG_MAX_CONNECTIONS
#define ARCHDYKE_CONFIG_MAX_CONNECTIONS 8192
#endif
#ifndef ARCHDYKE_CONFIG_QUEUE_RUNS
#define ARCHDYKE_CONFIG_QUEUE_RUNS 256
#endif
#ifndef ARCHDYKE_CONFIG_AGENT_COVERAGE
#define ARCHDYKE_CONFIG_AGENT_COVERAGE 3
#endif

namespace archdyke
{
	/// Maximum size of a caller's request body, bytes; a larger one is rejected with 413.
	constexpr std::size_t kMaxBodyBytes = ARCHDYKE_CONFIG_MAX_BODY_BYTES;
	/// Maximum size of a response that an agent buffers for a resume, bytes.
	constexpr std::size_t kMaxBufferedResponseBytes = ARCHDYKE_CONFIG_MAX_ANSWER_BYTES;
	/// Maximum number of callers' connections of one entry; each has a thread with a stack of kConnectionStackBytes.
	constexpr std::size_t kMaxConnections = ARCHDYKE_CONFIG_MAX_CONNECTIONS;
	constexpr std::size_t kConnectionStackBytes = std::size_t(256) * 1024;
	/// Length of the listen queue, connections.
	constexpr int kListenBacklog = 4096;
	/// Time limit for reading the next part of a request, seconds.
	constexpr int kCallerReadTimeoutSeconds = 5;
	/// Time limit for writing the next part of a response to a caller, seconds.
	constexpr int kCallerWriteTimeoutSeconds = 10;

	/// Maximum number of runs queued in one agent.
	constexpr std::size_t kMaxQueuedRuns = ARCHDYKE_CONFIG_QUEUE_RUNS;
	/// Maximum number of runs in an agent's ledger; new runs are refused while it is full.
	constexpr std::size_t kMaxLedgerRuns = 200'000;
	/// Maximum duration of a request, ms.
	constexpr std::int64_t kMaxDeadlineMs = 120'000;
	/// How long a finished run stays in the ledger, ms. Longer than kMaxDeadlineMs, so that the ledger still holds
	/// the run when a revoke arrives.
	constexpr std::int64_t kLedgerRetentionMs = kMaxDeadlineMs + 60'000;
	/// How long the lowest valid session number of an entry is kept after its last use, ms.
	constexpr std::int64_t kSessionFloorRetentionMs = 3'600'000;
	/// How long an agent continues a run after the connection to its entry was lost, ms.
	constexpr std::int64_t kOrphanRunTimeoutMs = 5'000;

	/// Minimum interval between heartbeats on an idle link, ms.
	constexpr std::int64_t kMinHeartbeatIntervalMs = 500;
	/// Maximum heartbeats per second of one entry over all its links. With more links the interval between the
	/// heartbeats of a link grows with the number of links.
	constexpr std::int64_t kMaxHeartbeatsPerSecond = 20;
	/// Idle time of a link after which a run sent on it is accompanied by a heartbeat, ms.
	constexpr std::int64_t kLinkIdleMs = 200;
	/// Timeout of a heartbeat, after which the link is closed, ms.
	constexpr std::int64_t kLinkTimeoutMs = 1'000;
	/// Interval between attempts to connect to an agent, ms.
	constexpr std::int64_t kReconnectIntervalMs = 200;
	/// How long an entry waits to resume an interrupted stream, ms.
	constexpr std::int64_t kResumeTimeoutMs = 4'000;
	/// As kResumeTimeoutMs, while nothing has been sent to the caller and another agent may run the request, ms.
	constexpr std::int64_t kShortResumeTimeoutMs = 500;
	/// How long an entry waits for the response to a revoke, ms.
	constexpr std::int64_t kRevokeTimeoutMs = 2'000;
	/// Number of entries of a zone that hold a link to each agent of the zone.
	constexpr std::uint32_t kAgentCoverage = ARCHDYKE_CONFIG_AGENT_COVERAGE;
	/// Maximum number of agents of a zone for which each entry of the zone holds links to all agents.
	constexpr std::size_t kMaxFullMeshAgents = 64;
	/// Maximum number of links of one entry to agents of other zones.
	constexpr std::size_t kMaxOtherZoneLinks = 32;

	/// Retry delay for a caller after a failure that implies no better one, ms.
	constexpr std::int64_t kDefaultRetryDelayMs = 1'000;

	/// Retry budget: retries per successful request, minimum retries per second, and maximum accumulated retries.
	constexpr double kRetriesPerSuccess = 0.1;
	constexpr double kMinRetriesPerSecond = 2.0;
	constexpr double kMaxRetryBurst = 20.0;
	/// Maximum number of attempts of one request.
	constexpr std::uint32_t kMaxAttempts = 4;

	/// Interval between polls of the configuration and the VM list, ms.
	constexpr std::int64_t kConfigPollIntervalMs = 250;
	/// Time limit for a call to the platform, ms.
	constexpr std::int64_t kPlatformTimeoutMs = 1'000;
	/// Time limit for the claim of an idempotency key, ms.
	constexpr std::int64_t kClaimTimeoutMs = 1'500;
	/// How long claims are collected into one transaction, ms.
	constexpr std::int64_t kClaimBatchWindowMs = 3;
	/// Age after which the platform may drop a claim, seconds.
	constexpr std::int64_t kClaimRetentionSeconds = 86'400;
	/// Maximum age of a claim at which its request is still dispatched, ms.
	constexpr std::int64_t kMaxClaimAgeMs = 10'000;

	/// Lease duration since the last renewal, ms, by the clock of the entry that watches the lease.
	constexpr std::int64_t kLeaseDurationMs = 3'000;
	/// Time without a successful renewal after which a holder stops acting, ms, by its local clock.
	constexpr std::int64_t kLeaseHolderTimeoutMs = 2'000;
	/// Number of entries of a zone that watch its lease and may acquire it.
	constexpr std::size_t kLeaseCandidates = 3;
	/// Interval between renewals of a lease, ms.
	constexpr std::int64_t kLeaseRenewIntervalMs = 700;

	/// Number of steps from a map proposal to its boundary step.
	constexpr std::uint64_t kProposalLeadSteps = 60;
} // namespace archdyke
