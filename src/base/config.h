/// Limits and defaults, each with its unit. Every one may be overridden at build
/// time with -DARCHDYKE_CONFIG_...=value.
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
	/// Bytes of a caller's request body; a larger one gets 413.
	constexpr std::size_t kMaxBodyBytes = ARCHDYKE_CONFIG_MAX_BODY_BYTES;
	/// Bytes of an answer that an agent keeps for a resume.
	constexpr std::size_t kMaxAnswerBytes = ARCHDYKE_CONFIG_MAX_ANSWER_BYTES;
	/// Callers' connections of one entry, each with a thread of kConnectionStackBytes.
	constexpr std::size_t kMaxConnections = ARCHDYKE_CONFIG_MAX_CONNECTIONS;
	constexpr std::size_t kConnectionStackBytes = std::size_t(256) * 1024;
	/// Length of the listen queue, connections.
	constexpr int kListenBacklog = 4096;
	/// Seconds that a sender may take for the next piece of its request.
	constexpr int kCallerReadSeconds = 5;
	/// Seconds that a caller may take to accept the next piece of its answer.
	constexpr int kCallerWriteSeconds = 10;

	/// Runs that wait in one agent.
	constexpr std::size_t kQueueRuns = ARCHDYKE_CONFIG_QUEUE_RUNS;
	/// Runs that an agent's ledger remembers; when full, new work is refused.
	constexpr std::size_t kLedgerRuns = 200'000;
	/// Longest time that a request may take, ms.
	constexpr std::int64_t kMaxDeadlineMs = 120'000;
	/// How long a finished run stays in the ledger, ms. Above kMaxDeadlineMs, so that
	/// a revoke never meets a ledger that has forgotten its run.
	constexpr std::int64_t kLedgerKeepMs = kMaxDeadlineMs + 60'000;
	/// How long the floor of an entry's sessions stays after its last use, ms.
	constexpr std::int64_t kSessionFloorKeepMs = 3'600'000;
	/// How long an agent goes on with a run whose entry is lost, ms.
	constexpr std::int64_t kOrphanKeepMs = 5'000;

	/// Milliseconds between heartbeats on a quiet link, at least.
	constexpr std::int64_t kHeartbeatMs = 500;
	/// Heartbeats a second of one entry over all its links, at most. Above it the time
	/// between them grows with the number of links.
	constexpr std::int64_t kHeartbeatsPerSecond = 20;
	/// A run that is sent on a link which was quiet for this long takes a heartbeat along, ms.
	constexpr std::int64_t kLinkQuietMs = 200;
	/// A link whose heartbeat isn't answered for this long is given up, ms.
	constexpr std::int64_t kLinkTimeoutMs = 1'000;
	/// Between tries to connect to an agent, ms.
	constexpr std::int64_t kReconnectMs = 200;
	/// How long an entry waits for a resume of a broken stream, ms.
	constexpr std::int64_t kResumeMs = 4'000;
	/// The same while nothing has gone to the caller and another agent may run it, ms.
	constexpr std::int64_t kQuickResumeMs = 500;
	/// How long an entry waits for the answer to a revoke, ms.
	constexpr std::int64_t kRevokeMs = 2'000;
	/// How many entries of a zone hold a link to each agent of it.
	constexpr std::uint32_t kAgentCoverage = ARCHDYKE_CONFIG_AGENT_COVERAGE;
	/// A zone with no more agents than this is linked to by each of its entries as a whole.
	constexpr std::size_t kFullMeshAgents = 64;
	/// Links of one entry to agents of other zones, at most.
	constexpr std::size_t kForeignLinks = 32;

	/// When to come back after a failure that says nothing better, ms.
	constexpr std::int64_t kComeBackMs = 1'000;

	/// Share of successes that may be spent on retries, and the floor per second.
	constexpr double kRetryShare = 0.1;
	constexpr double kRetryFloorPerSecond = 2.0;
	constexpr double kRetryBurst = 20.0;
	/// Tries of one request at the most.
	constexpr std::uint32_t kMaxAttempts = 4;

	/// Between two looks at the configuration and the VM list, ms.
	constexpr std::int64_t kConfigPollMs = 250;
	/// Time limit for a call to the platform, ms.
	constexpr std::int64_t kPlatformTimeoutMs = 1'000;
	/// Time limit for the claim of an idempotency key, ms.
	constexpr std::int64_t kClaimTimeoutMs = 1'500;
	/// Claims are gathered this long into one transaction, ms.
	constexpr std::int64_t kClaimBatchMs = 3;
	/// Age after which the platform may drop a claim, seconds.
	constexpr std::int64_t kClaimKeepSeconds = 86'400;
	/// A claim older than this isn't dispatched on any more, ms.
	constexpr std::int64_t kClaimFreshMs = 10'000;

	/// How long a lease lasts after its last renewal, ms, by the watcher's clock.
	constexpr std::int64_t kLeaseMs = 3'000;
	/// A holder that couldn't renew for this long stops acting, ms, by its own clock.
	constexpr std::int64_t kLeaseActMs = 2'000;
	/// Entries of a zone that watch its lease and may take it.
	constexpr std::size_t kLeaseCandidates = 3;
	/// Between renewals, ms.
	constexpr std::int64_t kLeaseRenewMs = 700;

	/// Steps between a map proposal and its boundary.
	constexpr std::uint64_t kMapMarginSteps = 60;
} // namespace archdyke
