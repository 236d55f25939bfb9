/// State of the model that the exploration of the forward-only map switch searches: the row, the engines,
/// the orders and writes in flight, and the knowledge of each coordinator.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "archdyke/forward_switch.h"

namespace archdyke::tests
{
	/// Protocol rules that can be disabled one at a time to check that the exploration finds the resulting fault.
	enum class DisabledRule
	{
		None,
		HoldSeenBeforeArm,
		AllArmedBeforeRelease,
		NoAbandonWhileSwitching,
		RowReadAfterStrayHoldSeen,
		VersionsContainTerm,
		OnlyWriterAbandons,
		NoArmsAfterAbandon,
		NoAbandonAfterArm,
		BoundaryMovedOnlyOncePassed,
		DesignatedRankArmedLast
	};

	/// Content of a map that is prepared only to void a switch and is never armed.
	constexpr std::uint64_t kVoidingContent = 99;

	/// The row, with `content` in place of the map. The map is identified by the version and the writer's term.
	struct Row
	{
		std::uint64_t term = 0;
		SwitchPhase phase = SwitchPhase::Idle;
		std::uint64_t epoch = 1;
		std::uint64_t version = 0;
		std::uint64_t content = 0; ///< Represents the map.
		std::uint64_t boundary = 0;
		std::optional<std::uint32_t> last;

		auto operator<=>(const Row&) const = default;
	};

	struct Engine
	{
		std::uint64_t map = 0;
		std::uint64_t content = 0; ///< Of the map in use.
		std::uint64_t highest = 0; ///< Highest version prepared.
		std::uint64_t prepared = 0;
		std::uint64_t preparedContent = 0;
		std::uint64_t armed = 0;
		std::uint64_t armedStep = 0;
		std::uint64_t held = 0;

		auto operator<=>(const Engine&) const = default;
	};

	struct SentOrder
	{
		RankOrderPlan plan;
		std::uint64_t content = 0;

		auto operator<=>(const SentOrder&) const = default;
	};

	struct SentWrite
	{
		std::uint64_t expected = 0;
		Row row;

		auto operator<=>(const SentWrite&) const = default;
	};

	/// What one coordinator knows.
	struct CoordinatorState
	{
		bool acting = false;
		bool planned = false; ///< It has planned its only switch.
		Row intent;
		std::uint64_t rowVersion = 0;
		SwitchHistory history;
		std::vector<RankView> observations; ///< Each rank as last observed; empty if observations are never delayed.

		auto operator<=>(const CoordinatorState&) const = default;
	};

	struct World
	{
		std::uint64_t epoch = 1;
		std::uint64_t step = 1; ///< Last step that the group started.
		std::vector<Engine> ranks;
		Row row;
		std::uint64_t rowVersion = 1;
		std::vector<CoordinatorState> coordinatorStates;
		std::set<SentOrder> orders;
		std::set<SentWrite> writes;
		bool split = false;

		auto operator<=>(const World&) const = default;
	};

	struct Bounds
	{
		std::uint32_t ranks = 2;
		std::uint64_t steps = 3;
		std::uint64_t epochs = 1;
		std::uint32_t coordinators = 2;
		bool delayedObservations = false; ///< Ranks are observed one by one, and observations may be stale.
		bool earlierReleaseRow = false;   ///< The initial row was written by an earlier release, in phase Holding.
	};

	inline SwitchIntent intentOf(const Row& _row)
	{
		SwitchIntent intent;
		intent.term = _row.term;
		intent.phase = _row.phase;
		intent.epoch = _row.epoch;
		intent.version = _row.version;
		intent.boundary = _row.boundary;
		intent.last = _row.last;
		return intent;
	}

	inline Row rowOf(const SwitchIntent& _intent, std::uint64_t _content)
	{
		return {_intent.term, _intent.phase, _intent.epoch, _intent.version, _content, _intent.boundary, _intent.last};
	}

	/// @returns Whether the engine will always refuse the order from now on.
	inline bool isObsolete(const SentOrder& _order, const World& _world)
	{
		const Engine& engine = _world.ranks[_order.plan.rank];
		const bool prepares = RankOrderKind::Prepare == _order.plan.kind;
		const bool ofVersion = prepares || RankOrderKind::Disarm == _order.plan.kind;
		const bool late = ofVersion ? _order.plan.version <= (prepares ? engine.highest : engine.map) : _order.plan.step <= _world.step;
		return late || _order.plan.epoch != _world.epoch;
	}

	/// Removes what can't have an effect any more, so that equivalent worlds compare equal.
	inline void normalize(World& _world)
	{
		std::erase_if(_world.orders, [&](const SentOrder& _order) {
			return isObsolete(_order, _world);
		});
		std::erase_if(_world.writes, [&](const SentWrite& _write) {
			return _write.expected < _world.rowVersion;
		});
		for (CoordinatorState& state : _world.coordinatorStates)
		{
			state = state.acting ? state : CoordinatorState();
			for (BoundaryId* boundaryId : {&state.history.inherited, &state.history.armed, &state.history.abandonSent})
			{
				const bool over = boundaryId->version < state.intent.version || boundaryId->step < state.intent.boundary;
				*boundaryId = over ? BoundaryId() : *boundaryId; // versions and boundaries only increase
			}
		}
	}
} // namespace archdyke::tests
