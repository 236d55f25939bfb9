/// Where a request runs: zone first, two random choices corrected by what was sent
/// since the last report, and the agent that likely holds the prompt's prefix within
/// a bound.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "archdyke/random.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// An agent as an entry knows it.
	struct Candidate
	{
		std::uint64_t id = 0; ///< Stable hash of the upstream's name.
		bool usable = false;  ///< Takes work; see mayReceiveWork.
		bool ownZone = false;
		double distanceMs = 0.0;     ///< One way from the entry's zone.
		std::uint32_t slots = 1;     ///< Runs at once.
		std::uint32_t reported = 0;  ///< Runs running and queued by the last report.
		std::uint32_t sentSince = 0; ///< Runs sent since that report.
		double meanRunMs = 0.0;

		bool operator==(const Candidate&) const = default;
	};

	/// @returns Runs per slot, with the one to be placed.
	double loadOf(const Candidate& _candidate);

	/// @returns Expected wait for a slot, ms.
	double waitMsOf(const Candidate& _candidate);

	/// Chooses where a request runs.
	///
	/// @param[in] _prefix Hash of the prompt's prefix; none for requests without one.
	/// @returns Index of the chosen candidate; none when no candidate is usable.
	/// @remarks Two random choices: M. Mitzenmacher, "The Power of Two Choices in
	/// Randomized Load Balancing", IEEE TPDS 12(10), 2001.
	///
	std::optional<std::size_t> chooseAgent(const std::vector<Candidate>& _candidates, std::optional<std::uint64_t> _prefix, Random& _random);

	/// Naive versions, for comparison.
	std::optional<std::size_t> chooseAtRandom(const std::vector<Candidate>& _candidates, Random& _random);
	std::optional<std::size_t> chooseRoundRobin(const std::vector<Candidate>& _candidates, std::uint64_t& _next);
	std::optional<std::size_t> chooseLeastReported(const std::vector<Candidate>& _candidates);

	/// The agents of a zone that one entry holds links to. Every agent is given to
	/// _coverage entries, as long as all see the same entries.
	///
	/// @param[in] _entries Names of the zone's entries, any order.
	/// @param[in] _agents Names of the zone's agents, any order.
	/// @returns Indices into _agents.
	///
	std::vector<std::size_t> chooseSubset(const std::string& _self, const std::vector<std::string>& _entries, const std::vector<std::string>& _agents, std::uint32_t _coverage);

	/// A sample of agents that differs from entry to entry and stays the same while the
	/// agents do: the _count with the highest rendezvous hash.
	/// @returns Indices into _agents.
	std::vector<std::size_t> chooseSample(const std::string& _self, const std::vector<std::string>& _agents, std::size_t _count);

	/// @returns A hash that is the same in every process. xxHash64.
	std::uint64_t stableHash(std::string_view _text, std::uint64_t _seed = 0);
} // namespace archdyke
