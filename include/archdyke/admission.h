/// The queue in front of an upstream: bounded, fair between organisations by weight,
/// and early to refuse what can't be served in time.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/fair_queue.h"
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

	/// State of the queue; its flows are organisations.
	struct Admission : FairQueue<QueuedRun>
	{
		std::uint32_t slots = 1;  ///< Runs that the upstream takes at once.
		std::size_t capacity = 0; ///< Runs that may wait.
		std::uint32_t running = 0;
		double meanRunMs = 50.0;                          ///< Moving mean of run times.
		absl::flat_hash_map<std::string, double> returns; ///< When the last refused caller of an organisation was told to come back, ms.
	};

	/// Answer to an offered run.
	struct AdmitResult
	{
		RefusalReason refusal = RefusalReason::None;
		Millis retryAfterMs = 0;       ///< Valid for a refusal and for the evicted run.
		std::optional<RunKey> evicted; ///< A waiting run that had to give up its place.
	};

	/// Runs taken out of the queue.
	struct TakeResult
	{
		std::optional<QueuedRun> next; ///< To be started now.
		std::vector<RunKey> expired;   ///< Whose deadline can't be met any more.
	};

	/// @returns Estimated wait of a run of the organisation that arrives now, ms.
	/// Waiting runs ahead, times mean run time, by slots; an organisation waits at most
	/// for its own runs at its share of the slots.
	Millis estimateWaitMs(const Admission& _admission, const std::string& _organisation, std::uint32_t _weight);

	/// Offers a run to the queue. Refuses at once what can't end by its deadline. Callers
	/// that are refused are told to come back one after the other, at the rate at which
	/// their organisation is served, and not all together.
	/// When the queue is full, the organisation that holds most of it for its weight
	/// gives up its newest run, or the offered run is refused if it is that one's.
	AdmitResult admitRun(Admission& _admission, const QueuedRun& _run, Millis _now);

	/// Takes the next run if a slot is free, in fair order.
	TakeResult takeRun(Admission& _admission, Millis _now);

	/// Takes a waiting run out, if it is there.
	void removeRun(Admission& _admission, const RunKey& _key);

	/// Gives a slot back.
	void endRun(Admission& _admission, Millis _runMs);
} // namespace archdyke
