/// Switches a group of engine ranks to another expert map when the engines themselves check
/// no fence and no map: orders may get no answer, and may be carried out late or twice.
///
/// A group has one row in the store, written only under the condition that it hasn't changed.
/// Whoever reads it carries the open switch forward, so that two coordinators want the same,
/// and late copies of either one's orders do no harm:
///
/// 1. Preparing, in the coordinator's memory alone: all ranks copy what the map needs. Versions
///    of maps hold the coordinator's term, so that no other one can mean another map by them.
/// 2. Holding, in the row: one rank is to hold the group at a boundary step some way ahead. No
///    rank is armed. It may still be abandoned; a boundary that passes unheld is moved. No
///    boundary is used twice in an epoch, as a late release of the first would open the second.
/// 3. Switching, in the row, once the hold was seen: there is no way back. All ranks are armed,
///    and seen to be, before the hold is released.
/// 4. It is over once all ranks are seen on the map, or the group has formed anew, which voids
///    all orders of the old epoch.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "archdyke/placement.h"
#include "archdyke/types.h"

namespace archdyke
{
	enum class SwitchPhase
	{
		Idle,
		Preparing, ///< Never in the row.
		Holding,
		Switching,
		Count
	};

	/// @returns The name used in the row and in logs.
	std::string_view toString(SwitchPhase _phase);

	/// What the row of a group says, or the coordinator means to write.
	struct SwitchIntent
	{
		std::uint64_t term = 0;  ///< Rises with each coordinator.
		std::string coordinator; ///< IP:port of the coordinator's process.
		SwitchPhase phase = SwitchPhase::Idle;
		std::uint64_t epoch = 0;          ///< Of the group, for which the switch is meant.
		std::uint64_t version = 0;        ///< Of the map; versions rise and never repeat.
		std::uint64_t boundary = 0;       ///< First step on the map; in phase Idle the last one that was used.
		ExpertHosts map;                  ///< To switch to; empty in phase Idle.
		std::uint64_t inForceVersion = 0; ///< Of the map in use before the switch; 0: the one a group forms with.
		ExpertHosts inForce;              ///< Empty for version 0.

		bool operator==(const SwitchIntent&) const = default;
	};

	/// What one rank was last seen to say of itself.
	struct RankView
	{
		bool seen = false;
		std::uint64_t epoch = 0;
		bool open = false;                     ///< Its group serves.
		std::uint64_t step = 0;                ///< Last one begun.
		std::uint64_t map = 0;                 ///< Version in use.
		std::optional<std::uint64_t> prepared; ///< Version that is copied.
		std::optional<std::uint64_t> armed;    ///< Version that it takes at a step.
		std::optional<std::uint64_t> held;     ///< Step that the group doesn't begin.

		auto operator<=>(const RankView&) const = default;
	};

	enum class RankOrderKind
	{
		Prepare,
		Arm,
		Hold,
		Release,
		Count
	};

	/// @returns The name used in logs.
	std::string_view toString(RankOrderKind _kind);

	/// An order for the engine of one rank.
	struct RankOrderPlan
	{
		std::uint32_t rank = 0;
		RankOrderKind kind = RankOrderKind::Prepare;
		std::uint64_t epoch = 0;
		std::uint64_t version = 0; ///< Of Prepare and Arm.
		std::uint64_t step = 0;    ///< Of Arm, Hold and Release.

		auto operator<=>(const RankOrderPlan&) const = default;
	};

	/// What is to be done now.
	struct SwitchStep
	{
		std::optional<SwitchIntent> next; ///< What holds from now on.
		bool store = false;               ///< Only once the row says so: write it and decide again.
		std::vector<RankOrderPlan> orders;
		std::string_view reason; ///< For the log, with next.

		bool operator==(const SwitchStep&) const = default;
	};

	/// How patient a decision is.
	struct SwitchPatience
	{
		std::uint64_t marginSteps = 2; ///< Between a boundary and the newest step seen.
		bool giveUp = false;           ///< Preparing or holding has taken too long.
		/// All ranks were heard of late: once the row says that there is no way back, the group
		/// stands until each of them is armed.
		bool allReachable = true;
		/// Rank on the coordinator's VM, which isn't to hold: both would freeze together.
		std::optional<std::uint32_t> avoidedRank;

		bool operator==(const SwitchPatience&) const = default;
	};

	/// Decides how an open switch goes on.
	/// @param[in] _ranks All ranks of the group, each as seen after the row was read.
	SwitchStep decideSwitch(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, const SwitchPatience& _patience);

	/// @returns Orders that release holds which belong to no open switch.
	/// @param[in] _intent The row, read after the ranks were seen.
	std::vector<RankOrderPlan> releaseStrayHolds(const SwitchIntent& _intent, const std::vector<RankView>& _ranks);

	/// Maps that one coordinator may plan in its term.
	constexpr std::uint64_t kVersionsPerTerm = 100'000;

	/// @returns A new switch, in phase Preparing; none when the term has no versions left and
	/// the coordinator must take over anew.
	std::optional<SwitchIntent> beginSwitch(const SwitchIntent& _idle, std::uint64_t _epoch, ExpertHosts _map);

	/// @returns The row of a coordinator that takes over: the open switch stays as it is.
	SwitchIntent takeOver(const SwitchIntent& _row, std::string _coordinator);

	/// @returns Text of a row. How it is laid out: switch_row.cpp.
	std::string encodeIntent(const SwitchIntent& _intent);

	/// @throws InvalidInputError When the text is no row.
	SwitchIntent decodeIntent(const std::string& _text);
} // namespace archdyke
