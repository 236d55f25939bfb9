/// Chooses the agent that runs a request: agents of the own zone first, the better of two
/// random ones by load (reported load plus runs sent since that report), and the agent that
/// likely has the prompt's prefix cached unless it is too loaded.
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
	/// An agent as seen by an entry.
	struct AgentCandidate
	{
		std::uint64_t id = 0; ///< Stable hash of the upstream's name.
		bool usable = false;  ///< Accepts requests; see mayReceiveWork.
		bool ownZone = false;
		double distanceMs = 0.0;           ///< One-way latency from the entry's zone, ms.
		std::uint32_t slots = 1;           ///< Runs that it can execute at once.
		std::uint32_t reported = 0;        ///< Running and queued runs in the last load report.
		std::uint32_t sentSinceReport = 0; ///< Runs sent since that report.
		double meanRunMs = 0.0;

		bool operator==(const AgentCandidate&) const = default;
	};

	/// @returns Runs per slot, including the one to be placed.
	double loadOf(const AgentCandidate& _candidate);

	/// @returns Expected wait for a slot, ms.
	double expectedWaitMs(const AgentCandidate& _candidate);

	/// Chooses the agent that runs a request.
	///
	/// @param[in] _prefix Hash of the prompt's prefix; none for requests without one.
	/// @returns Index of the chosen candidate; none when no candidate is usable.
	/// @remarks Power of two choices: M. Mitzenmacher, "The Power of Two Choices in
	/// Randomized Load Balancing", IEEE TPDS 12(10), 2001.
	///
	std::optional<std::size_t> chooseAgent(const std::vector<AgentCandidate>& _candidates, std::optional<std::uint64_t> _prefix, Random& _random);

	/// Baseline policies, for comparison in tests and benchmarks.
	std::optional<std::size_t> chooseAtRandom(const std::vector<AgentCandidate>& _candidates, Random& _random);
	std::optional<std::size_t> chooseRoundRobin(const std::vector<AgentCandidate>& _candidates, std::uint64_t& _next);
	std::optional<std::size_t> chooseLeastReported(const std::vector<AgentCandidate>& _candidates);

	/// Chooses the agents of a zone that an entry connects to. Each agent is assigned to
	/// _coverage entries, provided that all entries see the same list of entries.
	///
	/// @param[in] _entries Names of the zone's entries, any order.
	/// @param[in] _agents Names of the zone's agents, any order.
	/// @returns Indices into _agents.
	///
	std::vector<std::size_t> chooseSubset(const std::string& _self, const std::vector<std::string>& _entries, const std::vector<std::string>& _agents, std::uint32_t _coverage);

	/// Chooses a sample of agents that differs between entries and is stable while the list
	/// of agents is: the _count agents with the highest rendezvous hash.
	/// @returns Indices into _agents.
	std::vector<std::size_t> chooseSample(const std::string& _self, const std::vector<std::string>& _agents, std::size_t _count);

	/// @returns A hash that is the same in every process. xxHash64.
	std::uint64_t stableHash(std::string_view _text, std::uint64_t _seed = 0);
} // namespace archdyke
