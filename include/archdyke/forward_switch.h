/// Switches a group of engine ranks to another expert map when the engines check neither a fencing
/// token nor the map: orders may go unanswered, be delayed or be executed more than once.
///
/// Each group has one row in the store, updated only by compare-and-set. Every coordinator that reads the
/// row continues the open switch that it describes, so two coordinators work towards the same state and
/// delayed copies of either one's orders are harmless:
///
/// 1. Preparing, in the coordinator's memory only: all ranks copy the experts that the map needs. Map
///    versions contain the coordinator's term, so no two coordinators use one version for different maps.
/// 2. Switching, stored in the row with a boundary step some steps ahead. Only then is one rank ordered to
///    hold the group at the boundary. Once the hold is observed, all ranks are armed; once all are observed
///    to be armed, the hold is released. No write is needed during the hold, so the store may be unavailable.
/// 3. If all ranks pass the boundary on the old map and none is armed, the boundary is moved. A boundary is
///    never reused within an epoch, because a delayed release of the first hold would release the second.
/// 4. The coordinator that wrote the boundary may abandon the switch by another write as long as it has sent
///    no arm order for it; after that write it sends none. A coordinator that took over can't know which arm
///    orders are in flight and may not abandon the switch this way.
/// 5. The rank on the writer's VM is armed last, once all others are observed to be armed. If that VM freezes
///    during the hold, the other ranks show whether the last one can have been armed. If it can't, all ranks
///    but the last prepare the map in force again under a new version, which voids arm orders in flight; then
///    the switch is abandoned. A rank is disarmed only after another rank was observed to have prepared that
///    version while unarmed: that rank was never armed, so neither was the last one.
/// 6. The switch ends once all ranks are observed on the new map, or once the group has formed anew, which
///    voids all orders of the old epoch.
/// 7. When the store comes back from an earlier copy, the row may be older than what was done. A coordinator that
///    lives writes its row again. One that takes over uses a term above all that may have been lost. Until all
///    ranks have prepared a map of its own, which voids arm orders of others, it releases no hold of a switch that
///    the row doesn't show while a rank may still be armed for it.
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
		Preparing, ///< Never stored in the row.
		Holding,   ///< Only in rows of earlier releases, which held the group before they stored Switching.
		Switching,
		Count
	};

	/// @returns The name used in the row and in logs.
	std::string_view toString(SwitchPhase _phase);

	/// The content of a group's row, or what the coordinator intends to write to it.
	struct SwitchIntent
	{
		std::uint64_t term = 0;  ///< Incremented by each coordinator that takes over.
		std::uint64_t era = 0;   ///< Era of the store in which the row was known to be the newest.
		std::string coordinator; ///< IP:port of the coordinator's process.
		SwitchPhase phase = SwitchPhase::Idle;
		std::uint64_t epoch = 0;          ///< Of the group that the switch applies to.
		std::uint64_t version = 0;        ///< Of the map; versions increase and are never reused.
		std::uint64_t boundary = 0;       ///< First step on the new map; in phase Idle the last boundary used.
		ExpertHosts map;                  ///< Target of the switch; empty in phase Idle.
		std::uint64_t inForceVersion = 0; ///< Of the map in use before the switch; 0: the initial map of a group.
		ExpertHosts inForce;              ///< Empty for version 0.
		/// Rank that is armed after all others are observed to be armed; none: any order, as in earlier releases.
		std::optional<std::uint32_t> last;

		bool operator==(const SwitchIntent&) const = default;
	};

	/// The last observed state of one rank.
	struct RankView
	{
		bool seen = false;
		std::uint64_t epoch = 0;
		bool open = false;                     ///< Its group serves requests.
		std::uint64_t step = 0;                ///< Last step started.
		std::uint64_t map = 0;                 ///< Version in use.
		std::optional<std::uint64_t> prepared; ///< Version whose experts are copied.
		std::optional<std::uint64_t> armed;    ///< Version that it switches to at a given step.
		std::optional<std::uint64_t> held;     ///< Step that the group doesn't start before a release.

		auto operator<=>(const RankView&) const = default;
	};

	enum class RankOrderKind
	{
		Prepare,
		Arm,
		Hold,
		Release,
		Disarm, ///< Daemons of earlier releases treat it as a release without a step.
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

	/// What the coordinator does next.
	struct SwitchDecision
	{
		std::optional<SwitchIntent> next; ///< New state of the switch; none: unchanged.
		bool store = false;               ///< `next` applies only once it is stored: write it, then decide again.
		std::vector<RankOrderPlan> orders;
		std::string_view reason; ///< For the log; set together with `next`.

		bool operator==(const SwitchDecision&) const = default;
	};

	/// Conditions and limits for one decision.
	struct SwitchConditions
	{
		std::uint64_t marginSteps = 2; ///< Between a boundary and the newest observed step.
		bool giveUp = false;           ///< The current phase has exceeded its timeout.
		/// All ranks reported recently. Once one rank is armed, the group stalls until every rank is armed.
		bool allReachable = true;
		/// Rank on the coordinator's VM. It isn't chosen for the hold, since both would freeze together.
		std::optional<std::uint32_t> coordinatorRank;
		/// No rank can be armed: this coordinator wrote the boundary and sent no arm order. Set by applyHistory.
		bool noRankArmed = false;

		bool operator==(const SwitchConditions&) const = default;
	};

	/// Identifies one boundary of one map version.
	struct BoundaryId
	{
		std::uint64_t version = 0; ///< 0: none.
		std::uint64_t step = 0;

		auto operator<=>(const BoundaryId&) const = default;
	};

	/// What a coordinator must remember about its switches in addition to the row.
	struct SwitchHistory
	{
		BoundaryId inherited;      ///< Found in the row when this coordinator took over.
		BoundaryId armed;          ///< Arm orders for it were sent.
		BoundaryId abandonSent;    ///< A write that abandons it was sent and may take effect late.
		std::uint64_t version = 0; ///< Highest version under which the map in force was prepared again.

		auto operator<=>(const SwitchHistory&) const = default;
	};

	/// @returns The history of a coordinator that has just taken over the row.
	SwitchHistory initialHistory(const SwitchIntent& _row);

	/// @returns The history after the coordinator has carried out a decision.
	SwitchHistory historyAfter(const SwitchHistory& _history, const SwitchIntent& _intent, const SwitchDecision& _step);

	/// @returns The conditions, restricted as the history requires.
	SwitchConditions applyHistory(const SwitchConditions& _conditions, const SwitchIntent& _intent, const SwitchHistory& _history);

	/// Decides how to continue an open switch.
	/// @param[in] _ranks All ranks of the group, each observed after the row was read.
	SwitchDecision decideSwitch(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, const SwitchConditions& _conditions);

	/// @returns Release orders for holds that belong to no open switch.
	/// @param[in] _intent The row, read after the ranks were observed.
	std::vector<RankOrderPlan> releaseStrayHolds(const SwitchIntent& _intent, const std::vector<RankView>& _ranks);

	/// Ends a switch that a row doesn't show because the store came back from an earlier copy. Completes it if all ranks
	/// are armed; otherwise disarms them and releases the hold, once no order of its coordinator can take effect any more.
	/// @param[in] _quietMs Time since its coordinator was last heard.
	std::vector<RankOrderPlan> endLostSwitch(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, Millis _quietMs);

	/// Map versions available to one coordinator in its term.
	constexpr std::uint64_t kVersionsPerTerm = 100'000;

	/// @param[in] _used Highest version that the coordinator has assigned outside its switches.
	/// @returns A new switch in phase Preparing; none when the versions of the term are used up and the
	/// coordinator must take over again with a new term.
	std::optional<SwitchIntent> beginSwitch(const SwitchIntent& _idle, std::uint64_t _epoch, ExpertHosts _map, std::uint64_t _used = 0);

	/// @returns The version under which the map in force is prepared again to void an open switch.
	std::uint64_t voidingVersion(const SwitchIntent& _intent);

	/// @returns The row as a new coordinator writes it when it takes over; the open switch is unchanged.
	/// @param[in] _era Era of the store. If the row is of an earlier one, the term rises by more than the copy that the store
	/// came back from can lack.
	SwitchIntent takeOver(const SwitchIntent& _row, std::string _coordinator, std::uint64_t _era = 0);

	/// @returns The row as its living coordinator writes it again in a later era of the store.
	SwitchIntent rewrittenRow(const SwitchIntent& _intent, std::uint64_t _eraBefore, std::uint64_t _era);

	/// @returns The encoded row; switch_row.cpp describes the format.
	std::string encodeIntent(const SwitchIntent& _intent);

	/// @throws InvalidInputError When the text isn't a valid row.
	SwitchIntent decodeIntent(const std::string& _text);
} // namespace archdyke
