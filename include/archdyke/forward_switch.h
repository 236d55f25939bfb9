/// Switches a group of engine ranks to another expert map when the engines themselves check
/// no fence and no map: orders may get no answer, and may be carried out late or twice.
///
/// A group has one row in the store, written only under the condition that it hasn't changed.
/// Whoever reads it carries the open switch forward, so that two coordinators want the same,
/// and late copies of either one's orders do no harm:
///
/// 1. Preparing, in the coordinator's memory alone: all ranks copy what the map needs. Versions
///    of maps hold the coordinator's term, so that no other one can mean another map by them.
/// 2. Switching, in the row, with a boundary step some way ahead. Only then one rank is told to hold
///    the group there, and once it is seen to, all ranks are armed, and seen to be, before the hold is
///    released. No write is needed while the group stands: the store may be lost meanwhile.
/// 3. A boundary that all ranks have passed on the old map, none of them armed, is moved. None is used
///    twice in an epoch, as a late release of the first would open the second.
/// 4. Who wrote the boundary may give the switch up, by another write, as long as it has given no arm
///    for it; from then on it gives none. Whoever takes over can't know of arms under way, and may not.
/// 5. The rank beside the writer is armed last, once all others are seen to be: should its VM freeze
///    with the hold, others can still tell that it isn't armed. They prepare the map in force anew on
///    all ranks but that one, which voids arms under way; then the switch is given up. A rank is
///    disarmed only after another one was seen so: that one was never armed, so the last one isn't.
/// 6. It is over once all ranks are seen on the map, or the group has formed anew, which voids
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
		Holding,   ///< Only in rows of earlier releases: held before the row said Switching.
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
		/// Rank that is armed once all others are seen to be; none: in any order, as by earlier releases.
		std::optional<std::uint32_t> last;

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
		Disarm, ///< Daemons of earlier releases take it for a release: it names no step.
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
		std::uint64_t version = 0; ///< Of Prepare, Arm and Disarm.
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
		bool giveUp = false;           ///< It has taken too long.
		/// All ranks were heard of late: once one is armed, the group stands until each of them is.
		bool allReachable = true;
		/// Rank on the coordinator's VM, which isn't to hold: both would freeze together.
		std::optional<std::uint32_t> avoidedRank;
		/// No rank can be armed: the coordinator wrote the boundary and gave no arm. Set by withHistory.
		bool nobodyArmed = false;

		bool operator==(const SwitchPatience&) const = default;
	};

	/// One boundary of one map.
	struct BoundaryMark
	{
		std::uint64_t version = 0; ///< 0: none.
		std::uint64_t step = 0;

		auto operator<=>(const BoundaryMark&) const = default;
	};

	/// What one coordinator must remember of its switches beside the row.
	struct SwitchHistory
	{
		BoundaryMark foreign;      ///< Found in the row when it took over.
		BoundaryMark armed;        ///< Arms for it were given.
		BoundaryMark givenUp;      ///< A write that gives it up was sent, and may be done late.
		std::uint64_t version = 0; ///< Highest under which the map in force was prepared anew.

		auto operator<=>(const SwitchHistory&) const = default;
	};

	/// @returns What a coordinator knows that has just taken a row over.
	SwitchHistory historyOf(const SwitchIntent& _row);

	/// @returns What it knows once it does as decided.
	SwitchHistory withStep(const SwitchHistory& _history, const SwitchIntent& _intent, const SwitchStep& _step);

	/// @returns The patience, as narrow as the history demands.
	SwitchPatience withHistory(const SwitchPatience& _patience, const SwitchIntent& _intent, const SwitchHistory& _history);

	/// Decides how an open switch goes on.
	/// @param[in] _ranks All ranks of the group, each as seen after the row was read.
	SwitchStep decideSwitch(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, const SwitchPatience& _patience);

	/// @returns Orders that release holds which belong to no open switch.
	/// @param[in] _intent The row, read after the ranks were seen.
	std::vector<RankOrderPlan> releaseStrayHolds(const SwitchIntent& _intent, const std::vector<RankView>& _ranks);

	/// Maps that one coordinator may plan in its term.
	constexpr std::uint64_t kVersionsPerTerm = 100'000;

	/// @param[in] _used Highest version that the coordinator has given beside its switches.
	/// @returns A new switch, in phase Preparing; none when the term has no versions left and
	/// the coordinator must take over anew.
	std::optional<SwitchIntent> beginSwitch(const SwitchIntent& _idle, std::uint64_t _epoch, ExpertHosts _map, std::uint64_t _used = 0);

	/// @returns The version under which the map in force is prepared anew to void an open switch.
	std::uint64_t voidingVersion(const SwitchIntent& _intent);

	/// @returns The row of a coordinator that takes over: the open switch stays as it is.
	SwitchIntent takeOver(const SwitchIntent& _row, std::string _coordinator);

	/// @returns Text of a row. How it is laid out: switch_row.cpp.
	std::string encodeIntent(const SwitchIntent& _intent);

	/// @throws InvalidInputError When the text is no row.
	SwitchIntent decodeIntent(const std::string& _text);
} // namespace archdyke
