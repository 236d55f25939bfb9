/// Model of a group of engine ranks that advance in lock-step on an expert map. It uses neither clock
/// nor threads: its caller runs each step, as the engine stub does in real time.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "archdyke/random.h"

namespace archdyke::stub
{
	/// Which ranks host which experts: hosts[layer][expert] lists ranks.
	struct HostMap
	{
		std::uint64_t epoch = 0;
		std::uint64_t digest = 0;
		std::vector<std::vector<std::vector<std::uint32_t>>> hosts;

		bool operator==(const HostMap&) const = default;
	};

	/// Dimensions and timing of a group.
	struct GroupOptions
	{
		std::string name = "group";
		std::uint32_t ranks = 4;
		std::uint32_t experts = 16;
		std::uint32_t layers = 4;
		std::uint32_t batch = 16;          ///< Sequences that a rank runs concurrently.
		std::uint32_t cachedPrefixes = 64; ///< Capacity of a rank's prefix cache.
		double stepUs = 4500.0;            ///< Duration of a step without tokens.
		double tokenUs = 20.0;             ///< Added per token of the busiest rank, as a mean over the layers.
		bool checksFence = true;
	};

	/// One request at a rank.
	struct Sequence
	{
		std::string id;
		std::uint64_t prompt = 0; ///< Hash of the whole prompt.
		std::uint64_t prefix = 0; ///< Hash of its prefix.
		std::uint32_t promptTokens = 0;
		std::uint32_t maxTokens = 0;
		std::uint32_t prefillLeft = 0; ///< Remaining steps.
		std::uint32_t produced = 0;
		bool cancelled = false;
		bool prefixHit = false;
	};

	/// Map state of a rank; returned in response to every order.
	struct RankMap
	{
		std::uint64_t formation = 1;
		std::uint64_t epoch = 0;
		std::uint64_t fence = 0;
		std::uint64_t stagedDigest = 0;
		std::uint64_t armed = 0; ///< Number of the proposal that it is armed for; 0 for none.
		std::uint64_t armedBoundary = 0;
		std::uint64_t armedDigest = 0;
		std::uint64_t floor = 0;   ///< Proposals up to this number are refused permanently.
		std::uint64_t decided = 0; ///< Last proposal that it was released from, by commit or abort.
		bool decidedCommit = false;

		bool operator==(const RankMap&) const = default;
	};

	/// Statistics of the steps since the last takeStatistics().
	struct StepStatistics
	{
		std::uint64_t steps = 0;
		double skewSum = 0.0; ///< Sum over the steps of the busiest rank's load relative to the mean, minus 1.
		double worstSkew = 0.0;
		std::uint64_t heldSteps = 0;
	};

	class EngineGroup
	{
	public:
		explicit EngineGroup(GroupOptions _options);

		const GroupOptions& options() const;

		/// Queues a request at a rank. It starts when the batch has a free place.
		void add(std::uint32_t _rank, std::shared_ptr<Sequence> _sequence);

		/// @returns Whether a step can run: all ranks are alive, in the same formation and none stalls at a boundary.
		bool canStep() const;

		/// Runs a step. @returns Its duration, us.
		double step(Random& _random);

		/// Called for each token, with its sequence and whether it is the last one.
		std::function<void(const Sequence&, bool)> onToken;

		// Orders of a map switch, as in the engine's API; each returns whether it was accepted.
		bool stageMap(std::uint32_t _rank, std::uint64_t _fence, const HostMap& _map);
		bool arm(std::uint32_t _rank, std::uint64_t _number, std::uint64_t _formation, std::uint64_t _fromEpoch, std::uint64_t _boundary, std::uint64_t _digest, std::uint64_t _fence);
		bool refuse(std::uint32_t _rank, std::uint64_t _number);
		bool release(std::uint32_t _rank, std::uint64_t _number, bool _commit);
		/// Joins a new formation on a staged map. Steps run once all ranks have joined.
		bool form(std::uint32_t _rank, std::uint64_t _formation, std::uint64_t _digest, std::uint64_t _fence);

		const RankMap& rankMap(std::uint32_t _rank) const;
		std::uint64_t stepNumber() const;
		std::uint64_t mapViolations() const;
		void setAlive(std::uint32_t _rank, bool _alive);
		void setPopularity(std::vector<double> _weights);
		const std::vector<std::vector<std::uint64_t>>& counts(std::uint32_t _rank) const;
		const std::vector<std::vector<std::vector<std::uint32_t>>>& hosts(std::uint32_t _rank) const;
		StepStatistics takeStatistics();
		std::uint32_t load(std::uint32_t _rank) const;

	private:
		struct Rank
		{
			RankMap map;
			std::map<std::uint64_t, HostMap> staged; ///< By digest.
			HostMap current;
			HostMap next;               ///< Committed map, used from step switchAt on.
			std::uint64_t switchAt = 0; ///< Step number; 0 for none.
			bool alive = true;
			std::deque<std::shared_ptr<Sequence>> waiting;
			std::vector<std::shared_ptr<Sequence>> running;
			std::list<std::uint64_t> cache;                 ///< Prefixes, most recently used first.
			std::vector<std::vector<std::uint64_t>> counts; ///< Tokens by layer and expert.
		};

		bool acceptFence(Rank& _rank, std::uint64_t _fence);
		void switchMap(Rank& _rank, const HostMap& _map);
		void admit(Rank& _rank);
		std::uint32_t advance(Rank& _rank);
		double stepTime(Random& _random, const std::vector<std::uint32_t>& _tokens);
		std::uint32_t pickExpert(Random& _random) const;

		GroupOptions settings;
		std::vector<Rank> ranks;
		std::vector<double> cumulative; ///< Cumulative popularity of the experts.
		std::uint64_t stepCount = 0;
		std::uint64_t violations = 0;
		StepStatistics statistics;
	};

	/// @returns The initial map: consecutive blocks of experts on consecutive ranks, one host per expert.
	HostMap initialMap(std::uint32_t _ranks, std::uint32_t _experts, std::uint32_t _layers);
} // namespace archdyke::stub
