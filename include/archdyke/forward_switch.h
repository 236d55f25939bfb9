/// Switches a group of engine ranks to another expert map when the engines themselves check
/// no fence and no map: orders may get no answer, and may be carried out late or twice.
///
/// The intent of one switch stands in a row of the store, written only under the condition
/// that it hasn't changed. Whoever reads it carries it forward, so that two coordinators want
/// the same, and late copies of either one's orders do no harm:
///
/// 1. Preparing: all ranks copy what the map needs. It may still be abandoned.
/// 2. Switching, with a boundary step some way ahead: from here there is no way back. One rank
///    holds the group at the boundary, and is seen to, before the first rank is armed. If the
///    boundary has passed and no hold was seen, nothing was armed: a later one is chosen.
/// 3. All ranks are armed, and seen to be, before the hold is released.
/// 4. The intent is closed once all ranks are seen on the map, or the group has formed anew,
///    which voids all orders of the old epoch.
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
		Preparing,
		Switching,
		Count
	};

	/// @returns The name used in the row and in logs.
	std::string_view toString(SwitchPhase _phase);

	/// What the row of a group says.
	struct SwitchIntent
	{
		std::uint64_t term = 0;   ///< Rises with each coordinator.
		std::string coordinator;  ///< IP:port of the coordinator's process.
		SwitchPhase phase = SwitchPhase::Idle;
		std::uint64_t epoch = 0;    ///< Of the group, for which the switch is meant.
		std::uint64_t version = 0;  ///< Of the map; versions rise and never repeat.
		std::uint64_t boundary = 0; ///< First step on the map; in phase Switching.
		ExpertHosts map;            ///< To switch to; empty in phase Idle.
		std::uint64_t inForceVersion = 0; ///< Of the map in use before the switch.
		ExpertHosts inForce;        ///< Empty while that is the map a group forms with.

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

	/// What is to be done now. A row is written before the next decision; its orders wait
	/// until it is known to be written.
	struct SwitchStep
	{
		std::optional<SwitchIntent> write;
		std::vector<RankOrderPlan> orders;
		std::string_view reason; ///< For the log, with a write.

		bool operator==(const SwitchStep&) const = default;
	};

	/// Decides how an open switch goes on.
	/// @param[in] _intent The row as it is known to stand.
	/// @param[in] _ranks All ranks of the group, each as seen after the row was read.
	/// @param[in] _marginSteps Steps between a boundary and the newest step seen.
	/// @param[in] _mayAbandon Whether preparing has taken too long.
	SwitchStep decideSwitch(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, std::uint64_t _marginSteps, bool _mayAbandon);

	/// @returns Orders that release holds which belong to no open switch.
	/// @param[in] _intent The row, read after the ranks were seen.
	std::vector<RankOrderPlan> releaseStrayHolds(const SwitchIntent& _intent, const std::vector<RankView>& _ranks);

	/// @returns The intent of a new switch.
	SwitchIntent beginSwitch(const SwitchIntent& _idle, std::uint64_t _epoch, std::uint64_t _newestVersionSeen, ExpertHosts _map);

	/// @returns The row of a coordinator that takes over: the open switch stays as it is.
	SwitchIntent takeOver(const SwitchIntent& _row, std::string _coordinator);

	/// @returns Text of a row.
	std::string encodeIntent(const SwitchIntent& _intent);

	/// @throws InvalidInputError When the text is no row.
	SwitchIntent decodeIntent(const std::string& _text);
} // namespace archdyke
