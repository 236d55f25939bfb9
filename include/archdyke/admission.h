/// Admission queue in front of an upstream: bounded, weighted fair between organisations, and
/// refusing early what can't be served by its deadline.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/types.h"

namespace archdyke
{
	/// A run that waits for a slot.
	struct QueuedRun
	{
		RunKey key;
		std::string organisation;
		std::uint32_t weight = 1;
		Millis deadline = 0; ///< On the agent's clock.
		Millis queuedAt = 0;

		bool operator==(const QueuedRun&) const = default;
	};

	/// The waiting runs of one organisation.
	struct OrganisationQueue
	{
		std::deque<QueuedRun> runs;
		double finishTag = 0.0; ///< Virtual finish time of its last started run.
	};

	/// State of the admission queue.
	struct AdmissionQueue
	{
		std::uint32_t slots = 1;  ///< Runs that the upstream can execute at once.
		std::size_t capacity = 0; ///< Maximum number of queued runs.
		std::uint32_t running = 0;
		std::size_t queued = 0;
		double virtualTime = 0.0;
		double meanRunMs = 50.0; ///< Moving average of run times, ms.
		absl::btree_map<std::string, OrganisationQueue> organisations;
		absl::flat_hash_map<std::string, double> returns; ///< Latest retry time given to a refused caller of each organisation, local clock, ms.
	};

	/// Result of offering a run.
	struct AdmissionResult
	{
		RefusalReason refusal = RefusalReason::None;
		Millis retryAfterMs = 0;       ///< Retry delay for the refused or the evicted run.
		std::optional<RunKey> evicted; ///< Queued run that was evicted to make room.
	};

	/// Runs removed from the queue.
	struct TakeResult
	{
		std::optional<QueuedRun> next; ///< Run to start now.
		std::vector<RunKey> expired;   ///< Runs that can't meet their deadline any more.
	};

	/// @returns Estimated queueing time of a run of the organisation that arrives now, ms: queued
	/// runs ahead of it, times the mean run time, divided by the slots. An organisation waits at
	/// most for its own runs at its share of the slots.
	Millis estimateWaitMs(const AdmissionQueue& _admission, const std::string& _organisation, std::uint32_t _weight);

	/// Offers a run to the queue. Refuses at once a run that can't finish by its deadline.
	/// The retry times of refused callers are spaced at the rate at which their organisation is
	/// served, so that they don't all retry together.
	/// When the queue is full, the newest run of the organisation with the most queued runs for
	/// its weight is evicted, or the offered run is refused if that organisation offered it.
	AdmissionResult admitRun(AdmissionQueue& _admission, const QueuedRun& _run, Millis _now);

	/// Dequeues the next run if a slot is free, and all expired ones. Start-time fair queueing, see P. Goyal,
	/// H. M. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
	TakeResult takeRun(AdmissionQueue& _admission, Millis _now);

	/// Removes a queued run, if present.
	void removeRun(AdmissionQueue& _admission, const RunKey& _key);

	/// Releases the slot of a finished run.
	void endRun(AdmissionQueue& _admission, Millis _runMs);
} // namespace archdyke
