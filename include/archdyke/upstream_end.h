/// Records which requests were running on an agent's upstream when its process ended, and which requests the agent refuses
/// because entries know that several upstreams crashed under them.
///
/// Only the agent sees the process end: to an entry a lost link looks the same whatever ended. The agent reports each crash to
/// all entries that are linked to it, so that the report outlives the entry that sent the request.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/crash_blame.h"

namespace archdyke
{
	/// A crash that is reported to entries.
	struct ReportedCrash
	{
		Crash crash;
		Millis at = 0;

		bool operator==(const ReportedCrash&) const = default;
	};

	/// Ends of one agent's upstream.
	struct UpstreamEnds
	{
		std::string agent;         ///< Incarnation of the agent.
		std::uint64_t process = 0; ///< Number of the upstream's current process: ends seen so far.
		std::deque<ReportedCrash> reported;
		RecentCompletions completions;
		absl::flat_hash_map<std::string, Millis> refusedUntil; ///< By suspect.
	};

	/// How long a crash is reported to entries, ms: longer than several heartbeats of an entry with many links.
	constexpr Millis kCrashReportMs = 30'000;
	/// How long an agent refuses a request after an entry named it last, ms. Each heartbeat names it again.
	constexpr Millis kRefusalNoticeMs = 15'000;
	/// Maximum number of requests that an agent refuses, or crashes that it reports.
	constexpr std::size_t kMaxCrashReports = 256;

	/// Records that the upstream's process ended during a run.
	/// @param[in] _process Number of the process when the run started.
	/// @param[in] _suspects The request's fingerprint and the parts of its prompt.
	/// @returns The crashes that are attributed to suspects; none to those of which another run completed recently.
	std::vector<Crash> recordUpstreamEnd(UpstreamEnds& _ends, const std::vector<std::string>& _suspects, std::uint64_t _process, Millis _now);

	/// Records that the upstream completed a run.
	void recordCompletedRun(UpstreamEnds& _ends, const std::vector<std::string>& _suspects, Millis _now);

	/// @returns The crashes to report to entries.
	std::vector<Crash> crashesToReport(UpstreamEnds& _ends, Millis _now);

	/// Records requests that an entry refuses.
	void recordRefusedRequests(UpstreamEnds& _ends, const std::vector<RefusedRequest>& _refused, Millis _now);

	/// @returns How much longer a request is refused, ms; none when it may run.
	std::optional<Millis> remainingRefusalMs(const UpstreamEnds& _ends, const std::vector<std::string>& _suspects, Millis _now);
} // namespace archdyke
