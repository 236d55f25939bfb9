/// What the exploration of the forward-only map switch walks over: the row, the ranks' engines, orders and
/// writes that were sent, and what each coordinator believes.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "archdyke/forward_switch.h"

namespace archdyke::tests
{
	/// Rules that can be taken out, to see that the exploration finds the fault then.
	enum class WithoutRule
	{
		None,
		HoldSeenBeforeArm,
		AllArmedBeforeRelease,
		NoWayBackWhileSwitching,
		RowReadAfterStrayHold,
		VersionsBearTheTerm,
		OnlyTheWriterGoesBack,
		NoArmsOnceGoneBack,
		NoWayBackOnceArmed,
		MovedOnlyOncePassed,
		OneArmedLast
	};

	/// Stands for a map that is prepared to void a switch, and never armed.
	constexpr std::uint64_t kNeverTaken = 99;

	/// The row without the map: the map is told by the version and the writer's term.
	struct Row
	{
		std::uint64_t term = 0;
		SwitchPhase phase = SwitchPhase::Idle;
		std::uint64_t epoch = 1;
		std::uint64_t version = 0;
		std::uint64_t content = 0; ///< Stands for the map itself.
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

	/// What one coordinator believes. begun: it planned its one map.
	struct Mind
	{
		bool acting = false;
		bool begun = false;
		Row intent;
		std::uint64_t rowVersion = 0;
		SwitchHistory history;
		std::vector<RankView> sights; ///< Each rank as last looked at; empty where sights are never late.

		auto operator<=>(const Mind&) const = default;
	};

	struct World
	{
		std::uint64_t epoch = 1;
		std::uint64_t step = 1; ///< Last pass that the group began.
		std::vector<Engine> ranks;
		Row row;
		std::uint64_t rowVersion = 1;
		std::vector<Mind> minds;
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
		bool lateSights = false; ///< Each rank is looked at apart, and what was seen may be old.
		bool earlierRow = false; ///< The first coordinator begins with a row that says Holding, of an earlier release.
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

	/// Orders that are refused for good.
	inline bool isVoid(const SentOrder& _order, const World& _world)
	{
		const Engine& engine = _world.ranks[_order.plan.rank];
		const bool prepares = RankOrderKind::Prepare == _order.plan.kind;
		const bool ofVersion = prepares || RankOrderKind::Disarm == _order.plan.kind;
		const bool late = ofVersion ? _order.plan.version <= (prepares ? engine.highest : engine.map) : _order.plan.step <= _world.step;
		return late || _order.plan.epoch != _world.epoch;
	}

	/// Forgets what can't have an effect any more, so that worlds that go on alike are one.
	inline void forget(World& _world)
	{
		std::erase_if(_world.orders, [&](const SentOrder& _order) {
			return isVoid(_order, _world);
		});
		std::erase_if(_world.writes, [&](const SentWrite& _write) {
			return _write.expected < _world.rowVersion;
		});
		for (Mind& mind : _world.minds)
		{
			mind = mind.acting ? mind : Mind();
			for (BoundaryMark* mark : {&mind.history.foreign, &mind.history.armed, &mind.history.givenUp})
			{
				const bool over = mark->version < mind.intent.version || mark->step < mind.intent.boundary;
				*mark = over ? BoundaryMark() : *mark; // versions and boundaries only rise
			}
		}
	}
} // namespace archdyke::tests
