/// One layer of experts during planning: the loads of its ranks, and moves that reduce the load of the hottest
/// rank.
#pragma once

#include "archdyke/placement.h"

namespace archdyke::placement
{
	/// State of one layer during planning.
	struct Layer
	{
		std::vector<std::vector<std::uint32_t>> hosts;         ///< By expert.
		std::vector<std::vector<std::uint32_t>> expertsOnRank; ///< Experts by rank.
		std::vector<double> tokens;                            ///< By expert.
		std::vector<double> rankLoad;                          ///< By rank, tokens multiplied by the pace.
		double staged = 0.0;
		std::vector<std::vector<std::uint32_t>> initialHosts; ///< Initial hosts, by expert.
		std::vector<std::uint32_t> newExperts;                ///< Number of new experts, by rank.
		std::vector<double> paces;                            ///< By rank.
	};

	/// Limits on the new experts of a rank, and the number used so far in all layers.
	struct NewExpertLimits
	{
		std::uint32_t perRank = 0; ///< 0: unlimited.
		std::uint32_t perLayer = 0;
		std::vector<std::uint32_t> newExperts; ///< By rank.
	};

	/// A change of one layer: an expert gets a new host, and another expert may lose one.
	struct Move
	{
		std::uint32_t expert = 0;
		std::uint32_t to = 0;
		bool evicts = false;
		std::uint32_t evicted = 0; ///< Removed from rank `to`.
		bool swaps = false;        ///< The evicted expert is placed on `from` in exchange.
		std::uint32_t from = 0;    ///< The hot rank; it loses its copy if dropsSource is set.
		bool dropsSource = false;
		double gain = 0.0; ///< Reduction of squared excess load, per staged expert.
		double cost = 1.0; ///< Number of experts to stage.
	};

	/// @returns The paces given, or 1 for each rank when there are none.
	std::vector<double> pacesOf(const std::vector<double>& _paces, std::uint32_t _ranks);

	/// @returns Load per rank if all ranks took the same time.
	double evenLoad(const std::vector<double>& _rankLoad, const std::vector<double>& _paces);

	/// @returns The initial state of one layer of the input.
	Layer makeLayer(const PlacementInput& _input, std::size_t _index);

	/// @returns The maximum load of a rank.
	double maxLoad(const Layer& _layer);

	/// @returns Load per rank of the layer if all ranks took the same time.
	double meanLoad(const Layer& _layer);

	/// @returns Whether a move found earlier is still within the limits.
	bool isAllowed(const Layer& _layer, const NewExpertLimits& _limits, const Move& _move);

	/// Applies a move. An expert gets its new host before it loses the old one, so it always has a host.
	void applyMove(Layer& _layer, const Move& _move);

	/// @returns The best move of a layer; its gain is 0 if no move helps.
	Move bestMove(Layer& _layer, const NewExpertLimits& _limits, std::uint32_t _slots);

	/// Counts the new experts of each rank over all layers.
	void countNewExperts(NewExpertLimits& _limits, const std::vector<Layer>& _layers);
} // namespace archdyke::placement
