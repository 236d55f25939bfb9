/// One layer of experts while a plan is made: loads of its ranks, and moves that relieve the hottest one.
#pragma once

#include "archdyke/placement.h"

namespace archdyke::placement
{
	/// One layer while it is being planned.
	struct Layer
	{
		std::vector<std::vector<std::uint32_t>> hosts;  ///< By expert.
		std::vector<std::vector<std::uint32_t>> guests; ///< Experts by rank.
		std::vector<double> tokens;                     ///< By expert.
		std::vector<double> rankLoad;                   ///< By rank: tokens times its pace.
		double staged = 0.0;
		std::vector<std::vector<std::uint32_t>> before; ///< Hosts at the start, by expert.
		std::vector<std::uint32_t> arrivals;            ///< New experts, by rank.
		std::vector<double> paces;                      ///< By rank.
	};

	/// Limits on the new experts of a rank; what all layers together have taken so far.
	struct ArrivalLimits
	{
		std::uint32_t perRank = 0; ///< 0: any number.
		std::uint32_t perLayer = 0;
		std::vector<std::uint32_t> taken; ///< By rank.
	};

	/// A change of one layer: an expert gets a host, and another may lose one.
	struct Move
	{
		std::uint32_t expert = 0;
		std::uint32_t to = 0;
		bool evicts = false;
		std::uint32_t evicted = 0; ///< Leaves rank `to`.
		bool swaps = false;        ///< The evicted one goes to `from` in turn.
		std::uint32_t from = 0;    ///< The hot rank, which gives up its copy if leaves.
		bool leaves = false;
		double gain = 0.0; ///< Of the layer's greatest rank load.
		double cost = 1.0; ///< Experts to be staged.
	};

	/// @returns The paces given, or 1 for each rank when there are none.
	std::vector<double> pacesOf(const std::vector<double>& _paces, std::uint32_t _ranks);

	/// @returns Load of each rank if all took the same time.
	double evenLoad(const std::vector<double>& _rankLoad, const std::vector<double>& _paces);

	/// @returns A layer as the input has it.
	Layer makeLayer(const PlacementInput& _input, std::size_t _index);

	/// @returns The greatest load of a rank.
	double greatest(const Layer& _layer);

	/// @returns Load of each rank if all took the same time.
	double meanLoad(const Layer& _layer);

	/// Whether a move that was found before is still within the limits.
	bool isAllowed(const Layer& _layer, const ArrivalLimits& _limits, const Move& _move);

	/// Order matters: an expert gets its new host before it loses the old one.
	void applyMove(Layer& _layer, const Move& _move);

	/// @returns The best move of a layer; gain 0 when none helps.
	Move bestMove(Layer& _layer, const ArrivalLimits& _limits, std::uint32_t _slots);

	/// Counts the new experts of each rank over all layers.
	void countArrivals(ArrivalLimits& _limits, const std::vector<Layer>& _layers);
} // namespace archdyke::placement
