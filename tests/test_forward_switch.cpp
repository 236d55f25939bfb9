/// Exhaustive exploration of the forward-only map switch with the real decisions. Orders that
/// were sent may be carried out at any time, any number of times, in any order, or never, and so
/// may writes whose condition still holds. Two coordinators act on what each last knew of the
/// row, so that one that was paused goes on with old knowledge.
#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <set>

#include "archdyke/errors.h"
#include "archdyke/forward_switch.h"
#include "check.h"

using namespace archdyke;

namespace
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

	class Explorer
	{
	public:
		Explorer(Bounds _bounds, WithoutRule _without)
		    : bounds(_bounds)
		    , without(_without)
		{
		}

		void explore(std::size_t _limit)
		{
			World start;
			start.ranks.resize(this->bounds.ranks);
			start.minds.resize(this->bounds.coordinators);
			if (this->bounds.earlierRow)
			{
				constexpr std::uint64_t kVersion = kVersionsPerTerm + 1;
				start.row = {1, SwitchPhase::Holding, 1, kVersion, 1, 2, {}};
				start.minds.front() = {true, false, start.row, start.rowVersion, {}, this->unseen()};
				start.ranks.assign(this->bounds.ranks, {0, 0, kVersion, kVersion, 1, 0, 0, 0});
				start.orders.insert({{0, RankOrderKind::Hold, 1, 0, 2}, 1});
			}
			std::set<World> seen{start};
			std::deque<World> open{start};
			while (!open.empty() && seen.size() < _limit && !this->violated)
			{
				const World world = std::move(open.front());
				open.pop_front();
				this->violated = world.split;
				this->switched = this->switched || 0 != world.ranks.front().map;
				for (World& next : this->successors(world))
				{
					if (seen.insert(next).second)
					{
						open.push_back(std::move(next));
					}
				}
			}
			this->states = seen.size();
		}

		std::size_t states = 0;
		bool violated = false;
		bool switched = false;

	private:
		std::uint64_t versionsPerTerm() const
		{
			return WithoutRule::VersionsBearTheTerm == this->without ? 0 : kVersionsPerTerm;
		}

		std::vector<RankView> views(const World& _world, const Row& _intent) const
		{
			std::vector<RankView> result;
			for (const Engine& engine : _world.ranks)
			{
				RankView view{true, _world.epoch, true, _world.step, engine.map, {}, {}, {}};
				view.prepared = 0 == engine.prepared ? std::nullopt : std::optional(engine.prepared);
				view.armed = 0 == engine.armed ? std::nullopt : std::optional(engine.armed);
				view.held = 0 == engine.held ? std::nullopt : std::optional(engine.held);
				if (WithoutRule::HoldSeenBeforeArm == this->without && 0 != _intent.boundary)
				{
					view.held = _intent.boundary;
				}
				const bool anyArmed = std::any_of(_world.ranks.begin(), _world.ranks.end(), [&](const Engine& _engine) {
					return _engine.armed == _intent.version;
				});
				if (WithoutRule::AllArmedBeforeRelease == this->without && SwitchPhase::Switching == _intent.phase && anyArmed)
				{
					view.armed = _intent.version;
				}
				result.push_back(view);
			}
			return result;
		}

		static SwitchIntent intentOf(const Row& _row)
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

		static Row rowOf(const SwitchIntent& _intent, std::uint64_t _content)
		{
			return {_intent.term, _intent.phase, _intent.epoch, _intent.version, _content, _intent.boundary, _intent.last};
		}

		/// The coordinator looks at one rank.
		void lookAtRank(const World& _world, std::size_t _mind, std::vector<World>& _next) const
		{
			const Mind& mind = _world.minds[_mind];
			const std::vector<RankView> views = this->views(_world, mind.intent);
			for (std::size_t rank = 0; mind.acting && this->bounds.lateSights && rank < views.size(); ++rank)
			{
				World next = _world;
				next.minds[_mind].sights[rank] = views[rank];
				_next.push_back(std::move(next));
			}
		}

		/// What was seen before the row was read doesn't count.
		std::vector<RankView> unseen() const
		{
			return std::vector<RankView>(this->bounds.lateSights ? this->bounds.ranks : 0);
		}

		/// A coordinator takes over: reads the row and writes it with its term.
		void takeOver(const World& _world, std::size_t _mind, std::vector<World>& _next) const
		{
			const std::uint64_t term = _mind + 1;
			if (_world.minds[_mind].acting || _world.row.term >= term)
			{
				return;
			}
			World next = _world;
			next.row.term = term;
			next.rowVersion += 1;
			next.minds[_mind] = {true, false, next.row, next.rowVersion, historyOf(intentOf(next.row)), this->unseen()};
			_next.push_back(std::move(next));
		}

		/// The coordinator looks at the row: it ends when another term is there.
		void lookAtRow(const World& _world, std::size_t _mind, std::vector<World>& _next) const
		{
			const Mind& mind = _world.minds[_mind];
			if (!mind.acting || mind.rowVersion == _world.rowVersion)
			{
				return;
			}
			World next = _world;
			next.minds[_mind].rowVersion = _world.rowVersion;
			next.minds[_mind].intent = _world.row;
			next.minds[_mind].sights = this->unseen();
			next.minds[_mind].acting = _world.row.term == _mind + 1;
			_next.push_back(std::move(next));
		}

		void begin(const World& _world, std::size_t _mind, std::vector<World>& _next) const
		{
			const Mind& mind = _world.minds[_mind];
			const bool idle = SwitchPhase::Idle == mind.intent.phase;
			if (!mind.acting || mind.begun || !idle)
			{
				return;
			}
			World next = _world;
			Mind& changed = next.minds[_mind];
			changed.begun = true;
			changed.intent.phase = SwitchPhase::Preparing;
			changed.intent.boundary = mind.intent.epoch == _world.epoch ? mind.intent.boundary : 0;
			changed.intent.epoch = _world.epoch;
			changed.intent.version = std::max({mind.intent.version, mind.intent.term * this->versionsPerTerm(), mind.history.version}) + 1;
			changed.intent.content = mind.intent.term;
			_next.push_back(std::move(next));
		}

		/// What a coordinator goes by, without the rule that is taken out.
		SwitchHistory remembered(const SwitchHistory& _history) const
		{
			SwitchHistory history = _history;
			history.foreign = WithoutRule::OnlyTheWriterGoesBack == this->without ? BoundaryMark() : history.foreign;
			history.armed = WithoutRule::NoWayBackOnceArmed == this->without ? BoundaryMark() : history.armed;
			history.givenUp = WithoutRule::NoArmsOnceGoneBack == this->without ? BoundaryMark() : history.givenUp;
			return history;
		}

		void act(const World& _world, std::size_t _mind, bool _giveUp, std::vector<World>& _next) const
		{
			const Mind& mind = _world.minds[_mind];
			if (!mind.acting)
			{
				return;
			}
			const SwitchIntent intent = intentOf(mind.intent);
			const SwitchPatience patience = withHistory({1, _giveUp, true, std::uint32_t(_mind % this->bounds.ranks)}, intent, this->remembered(mind.history));
			const SwitchStep step = decideSwitch(intent, this->bounds.lateSights ? mind.sights : this->views(_world, mind.intent), patience);
			if (!step.next && step.orders.empty())
			{
				return;
			}
			World next = _world;
			next.minds[_mind].history = withStep(mind.history, intent, step);
			for (const RankOrderPlan& plan : step.orders)
			{
				next.orders.insert({plan, plan.version == intent.version ? mind.intent.content : kNeverTaken});
				for (std::uint32_t rank = 0; WithoutRule::OneArmedLast == this->without && RankOrderKind::Arm == plan.kind && rank < this->bounds.ranks; ++rank)
				{
					next.orders.insert({{rank, plan.kind, plan.epoch, plan.version, plan.step}, mind.intent.content});
				}
			}
			if (step.next)
			{
				const bool idle = SwitchPhase::Idle == step.next->phase;
				const Row row = rowOf(*step.next, idle ? 0 : mind.intent.content);
				if (step.store)
				{
					next.writes.insert({mind.rowVersion, row});
				}
				else
				{
					next.minds[_mind].intent = row;
				}
			}
			_next.push_back(std::move(next));
		}

		/// A write is carried out, at once or late; its writer learns of it by reading the row.
		void carryOutWrites(const World& _world, std::vector<World>& _next) const
		{
			for (const SentWrite& write : _world.writes)
			{
				if (write.expected == _world.rowVersion)
				{
					World next = _world;
					next.row = write.row;
					next.rowVersion += 1;
					_next.push_back(std::move(next));
				}
			}
		}

		void carryOutOrders(const World& _world, std::vector<World>& _next) const
		{
			for (const SentOrder& order : _world.orders)
			{
				const RankOrderPlan& plan = order.plan;
				if (plan.epoch != _world.epoch)
				{
					continue;
				}
				World next = _world;
				Engine& engine = next.ranks[plan.rank];
				const bool begun = _world.step >= plan.step;
				if (RankOrderKind::Prepare == plan.kind && plan.version > engine.highest && 0 == engine.armed)
				{
					engine.highest = plan.version;
					engine.prepared = plan.version;
					engine.preparedContent = order.content;
				}
				else if (RankOrderKind::Arm == plan.kind && engine.prepared == plan.version && !begun)
				{
					engine.armed = plan.version;
					engine.armedStep = plan.step;
				}
				else if (RankOrderKind::Hold == plan.kind && !begun && (0 == engine.held || engine.held == plan.step))
				{
					engine.held = plan.step;
				}
				else if (RankOrderKind::Release == plan.kind && engine.held == plan.step)
				{
					engine.held = 0;
				}
				else if (RankOrderKind::Disarm == plan.kind && engine.armed == plan.version)
				{
					engine.armed = 0;
					engine.armedStep = 0;
				}
				_next.push_back(std::move(next));
			}
		}

		/// A hold that nobody owns is released by a coordinator that read the row after it.
		void releaseStray(const World& _world, std::size_t _mind, std::vector<World>& _next) const
		{
			const Mind& mind = _world.minds[_mind];
			const bool fresh = mind.rowVersion == _world.rowVersion;
			if (!mind.acting || (!fresh && WithoutRule::RowReadAfterStrayHold != this->without))
			{
				return;
			}
			// The row as it stands, not what the coordinator means to write.
			const Row row = fresh ? _world.row : mind.intent;
			for (const RankOrderPlan& plan : releaseStrayHolds(intentOf(row), this->views(_world, row)))
			{
				World next = _world;
				next.orders.insert({plan, 0});
				_next.push_back(std::move(next));
			}
		}

		/// Taken out: a boundary is moved although the group may still begin the pass on the new map.
		void moveUnpassed(const World& _world, std::size_t _mind, std::vector<World>& _next) const
		{
			const Mind& mind = _world.minds[_mind];
			if (WithoutRule::MovedOnlyOncePassed != this->without || !mind.acting || SwitchPhase::Switching != mind.intent.phase)
			{
				return;
			}
			World next = _world;
			Row row = mind.intent;
			row.boundary += 1;
			next.writes.insert({mind.rowVersion, row});
			_next.push_back(std::move(next));
		}

		/// Taken out: a coordinator gives a switch up although ranks may be armed.
		void goBack(const World& _world, std::size_t _mind, std::vector<World>& _next) const
		{
			const Mind& mind = _world.minds[_mind];
			if (WithoutRule::NoWayBackWhileSwitching != this->without || !mind.acting || SwitchPhase::Switching != mind.intent.phase)
			{
				return;
			}
			World next = _world;
			Row row = mind.intent;
			row.phase = SwitchPhase::Idle;
			next.writes.insert({mind.rowVersion, row});
			_next.push_back(std::move(next));
		}

		/// All ranks begin the next pass together, unless one holds it.
		void beginPass(const World& _world, std::vector<World>& _next) const
		{
			const std::uint64_t step = _world.step + 1;
			if (step > this->bounds.steps)
			{
				return;
			}
			World next = _world;
			next.step = step;
			for (Engine& engine : next.ranks)
			{
				if (engine.held == step)
				{
					return;
				}
				if (0 != engine.armed && engine.armedStep == step)
				{
					engine.map = engine.armed;
					engine.content = engine.preparedContent;
					engine.armed = 0;
					engine.armedStep = 0;
				}
			}
			const Engine& first = next.ranks.front();
			for (const Engine& engine : next.ranks)
			{
				next.split = next.split || engine.map != first.map || engine.content != first.content;
			}
			_next.push_back(std::move(next));
		}

		void formAnew(const World& _world, std::vector<World>& _next) const
		{
			if (_world.epoch < this->bounds.epochs)
			{
				World next = _world;
				next.epoch += 1;
				next.ranks.assign(this->bounds.ranks, Engine());
				_next.push_back(std::move(next));
			}
		}

		/// Orders that are refused for good.
		static bool isVoid(const SentOrder& _order, const World& _world)
		{
			const Engine& engine = _world.ranks[_order.plan.rank];
			const bool prepares = RankOrderKind::Prepare == _order.plan.kind;
			const bool ofVersion = prepares || RankOrderKind::Disarm == _order.plan.kind;
			const bool late = ofVersion ? _order.plan.version <= (prepares ? engine.highest : engine.map) : _order.plan.step <= _world.step;
			return late || _order.plan.epoch != _world.epoch;
		}

		/// Forgets what can't have an effect any more, so that worlds that go on alike are one.
		static void forget(World& _world)
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

		std::vector<World> successors(const World& _world) const
		{
			std::vector<World> next;
			for (std::size_t mind = 0; mind < _world.minds.size(); ++mind)
			{
				this->takeOver(_world, mind, next);
				this->lookAtRow(_world, mind, next);
				this->lookAtRank(_world, mind, next);
				this->begin(_world, mind, next);
				this->act(_world, mind, false, next);
				this->act(_world, mind, true, next);
				this->releaseStray(_world, mind, next);
				this->goBack(_world, mind, next);
				this->moveUnpassed(_world, mind, next);
			}
			this->carryOutWrites(_world, next);
			this->carryOutOrders(_world, next);
			this->beginPass(_world, next);
			this->formAnew(_world, next);
			for (World& world : next)
			{
				forget(world);
			}
			return next;
		}

		Bounds bounds;
		WithoutRule without;
	};

	constexpr std::size_t kLimit = 1'200'000;

	Explorer explored(Bounds _bounds, WithoutRule _without, std::size_t _limit = kLimit)
	{
		Explorer explorer(_bounds, _without);
		explorer.explore(_limit);
		std::printf("ranks %u, steps %d, epochs %d, coordinators %u, rule taken out %d: %zu states, split %d, switched %d\n", _bounds.ranks, int(_bounds.steps), int(_bounds.epochs), _bounds.coordinators, int(_without), explorer.states, int(explorer.violated), int(explorer.switched));
		return explorer;
	}

	void expectSafe(Bounds _bounds)
	{
		const Explorer explorer = explored(_bounds, WithoutRule::None);
		cr_assert(!explorer.violated);
		cr_assert(explorer.states < kLimit, "the exploration was cut short");
		cr_assert(explorer.switched);
	}
} // namespace

Test(forward, one_coordinator_never_splits_two_ranks)
{
	expectSafe({2, 3, 1, 1});
}

Test(forward, two_coordinators_never_split_two_ranks)
{
	expectSafe({2, 2, 1, 2});
}

/// A boundary that was used again split the group: a release of the abandoned hold came late, when
/// the next switch held the group at the same step.
Test(forward, an_abandoned_boundary_is_not_used_again)
{
	expectSafe({2, 3, 1, 2});
}

Test(forward, one_coordinator_never_splits_three_ranks)
{
	expectSafe({3, 3, 1, 1});
}

Test(forward, two_coordinators_never_split_three_ranks)
{
	expectSafe({3, 2, 1, 2});
}

Test(forward, two_coordinators_never_split_a_group_over_four_steps)
{
	expectSafe({2, 4, 1, 2});
}

/// A whole exploration is cut short at kLimit; only the nearest states are visited.
Test(forward, three_coordinators_split_two_ranks_in_none_of_the_nearest_states)
{
	constexpr std::size_t kNearest = 500'000;
	cr_assert(!explored({2, 2, 1, 3}, WithoutRule::None, kNearest).violated);
}

Test(forward, two_coordinators_never_split_a_group_that_forms_anew)
{
	expectSafe({2, 3, 2, 2});
}

Test(forward, one_coordinator_that_sees_ranks_late_never_splits_them)
{
	expectSafe({2, 3, 1, 1, true});
}

/// A whole exploration is cut short at kLimit; only the nearest states are visited.
Test(forward, two_coordinators_that_see_ranks_late_split_them_in_none_of_the_nearest_states)
{
	constexpr std::size_t kNearest = 500'000;
	cr_assert(!explored({2, 2, 1, 2, true}, WithoutRule::None, kNearest).violated);
}

Test(forward, a_row_of_an_earlier_release_is_carried_on_without_a_split)
{
	expectSafe({2, 3, 1, 2, false, true});
}

Test(forward, a_group_that_forms_anew_is_never_split)
{
	expectSafe({2, 2, 2, 1});
}

Test(forward, arms_before_the_hold_is_seen_split_the_group)
{
	cr_assert(explored({2, 3, 1, 1}, WithoutRule::HoldSeenBeforeArm).violated);
}

Test(forward, a_release_before_all_are_armed_splits_the_group)
{
	cr_assert(explored({2, 3, 1, 1}, WithoutRule::AllArmedBeforeRelease).violated);
}

Test(forward, a_way_back_while_switching_splits_the_group)
{
	cr_assert(explored({2, 3, 1, 1}, WithoutRule::NoWayBackWhileSwitching).violated);
}

Test(forward, a_way_back_behind_the_writer_splits_the_group)
{
	cr_assert(explored({2, 3, 1, 2}, WithoutRule::OnlyTheWriterGoesBack).violated);
}

Test(forward, arms_after_a_way_back_split_the_group)
{
	cr_assert(explored({2, 3, 1, 2}, WithoutRule::NoArmsOnceGoneBack).violated);
}

Test(forward, a_way_back_after_an_arm_splits_the_group)
{
	cr_assert(explored({2, 3, 1, 1}, WithoutRule::NoWayBackOnceArmed).violated);
}

Test(forward, a_boundary_moved_before_it_is_passed_splits_the_group)
{
	cr_assert(explored({2, 4, 1, 1}, WithoutRule::MovedOnlyOncePassed).violated);
}

/// The writer may have armed the last rank: whoever voids the switch behind it can't tell.
Test(forward, arms_in_any_order_split_the_group)
{
	cr_assert(explored({2, 3, 1, 2}, WithoutRule::OneArmedLast).violated);
}

Test(forward, a_stray_hold_released_by_an_old_row_splits_the_group)
{
	cr_assert(explored({2, 3, 1, 2}, WithoutRule::RowReadAfterStrayHold).violated);
}

Test(forward, versions_without_a_term_split_the_group)
{
	cr_assert(explored({2, 3, 1, 2}, WithoutRule::VersionsBearTheTerm).violated);
}

Test(forward, a_row_is_read_as_it_was_written)
{
	SwitchIntent intent;
	intent.term = 7;
	intent.coordinator = "10.0.0.1:70";
	intent.phase = SwitchPhase::Holding;
	intent.epoch = 2;
	intent.version = 700'001;
	intent.boundary = 90;
	intent.map = {{{0, 1}, {1}}, {{0}, {1}}};
	intent.inForceVersion = 600'004;
	intent.inForce = {{{0}, {1}}, {{0}, {1}}};
	cr_assert(decodeIntent(encodeIntent(intent)) == intent);
	intent.last = 1;
	cr_assert(decodeIntent(encodeIntent(intent)) == intent);
	cr_assert_throw(decodeIntent("no row"), InvalidInputError);
	const std::string whole = encodeIntent(intent);
	cr_assert_throw(decodeIntent(whole.substr(0, whole.size() - 1)), InvalidInputError);
	cr_assert_throw(decodeIntent(whole.substr(0, whole.find('\n') + 1) + "\x7f\x7f"), InvalidInputError);
}

Test(forward, the_row_of_a_large_group_is_small)
{
	SwitchIntent intent;
	intent.phase = SwitchPhase::Switching;
	intent.inForceVersion = 1;
	intent.inForce = ExpertHosts(8, std::vector<std::vector<std::uint32_t>>(252, {7, 62}));
	intent.map = intent.inForce;
	intent.map[3][17] = {1, 2, 3};
	cr_assert(decodeIntent(encodeIntent(intent)) == intent);
	// Three bytes an expert for the map in force, one for each that stays, and the head.
	cr_assert(encodeIntent(intent).size() < 8 * 252 * 4 + 300);
}

Test(forward, a_hold_that_comes_late_moves_the_boundary)
{
	SwitchIntent intent;
	intent.phase = SwitchPhase::Switching;
	intent.epoch = 1;
	intent.version = 5;
	intent.boundary = 10;
	const RankView past{true, 1, true, 10, 0, 5, {}, {}};
	const SwitchStep step = decideSwitch(intent, {past, past}, {3, false});
	cr_assert(step.next && step.store && 13 == step.next->boundary && SwitchPhase::Switching == step.next->phase);
	RankView armed = past;
	armed.armed = 5;
	cr_assert(!decideSwitch(intent, {past, armed}, {3, false}).next);
	cr_assert(!decideSwitch(intent, {past, RankView()}, {3, false}).next);
}

/// The hold needs no further write once its row says all that is needed: a store out of reach between
/// two writes would hold the group for as long.
Test(forward, the_row_says_that_it_switches_before_the_group_is_held)
{
	SwitchIntent intent;
	intent.phase = SwitchPhase::Preparing;
	intent.epoch = 1;
	intent.version = 5;
	const RankView copied{true, 1, true, 9, 0, 5, {}, {}};
	const SwitchStep step = decideSwitch(intent, {copied, copied}, {3, false});
	cr_assert(step.next && step.store && step.orders.empty());
	cr_assert(SwitchPhase::Switching == step.next->phase && 12 == step.next->boundary);
	RankView holding = copied;
	holding.held = 12;
	const SwitchStep arms = decideSwitch(*step.next, {holding, copied}, {3, false});
	cr_assert(!arms.next && 2 == arms.orders.size() && RankOrderKind::Arm == arms.orders.front().kind);
}

/// A store that refused the write which gives the switch up may still do it: arms would meet a
/// row that says nothing of them.
Test(forward, a_switch_that_was_given_up_gives_no_arms)
{
	SwitchIntent intent;
	intent.phase = SwitchPhase::Switching;
	intent.epoch = 1;
	intent.version = 5;
	intent.boundary = 10;
	const RankView holding{true, 1, true, 9, 0, 5, {}, 10};
	const SwitchPatience out{3, true, false, {}};
	const SwitchStep gives = decideSwitch(intent, {holding, RankView()}, withHistory(out, intent, {}));
	const SwitchHistory history = withStep({}, intent, gives);
	const SwitchStep again = decideSwitch(intent, {holding, holding}, withHistory({3, false}, intent, history));
	cr_assert(again.next && again.orders.empty() && SwitchPhase::Idle == again.next->phase);
	// Who takes the row over carries it on.
	const SwitchStep next = decideSwitch(intent, {holding, holding}, withHistory({3, true}, intent, historyOf(intent)));
	cr_assert(!next.next && 2 == next.orders.size());
}

/// Once one rank is armed there is no way back, and the group stands until the rank that is out of reach is
/// armed too. Before that the hold can be given up.
Test(forward, a_hold_with_a_rank_out_of_reach_is_given_up_before_any_rank_is_armed)
{
	SwitchIntent intent;
	intent.phase = SwitchPhase::Switching;
	intent.epoch = 1;
	intent.version = 5;
	intent.boundary = 10;
	const std::vector<RankView> ranks{{true, 1, true, 9, 0, 5, {}, 10}, RankView()};
	const SwitchStep waits = decideSwitch(intent, ranks, withHistory({3, false, false, {}}, intent, {}));
	cr_assert(!waits.next && waits.orders.empty());
	const SwitchStep gives = decideSwitch(intent, ranks, withHistory({3, true, false, {}}, intent, {}));
	cr_assert(gives.next && gives.store && SwitchPhase::Idle == gives.next->phase && 10 == gives.next->boundary);
	cr_assert(1 == releaseStrayHolds(*gives.next, ranks).size());
}

/// The last rank to be armed is the coordinator's own. When its VM is out of reach the group would stand until
/// it is back; the others void the switch instead, as no arm of the last rank can have come first.
Test(forward, a_switch_whose_last_rank_is_out_of_reach_is_voided)
{
	SwitchIntent intent;
	intent.term = 2;
	intent.phase = SwitchPhase::Switching;
	intent.epoch = 1;
	intent.version = 5;
	intent.boundary = 10;
	intent.last = 2;
	const std::uint64_t voids = voidingVersion(intent);
	RankView holding{true, 1, true, 9, 0, 5, {}, 10};
	RankView copied{true, 1, true, 9, 0, 5, {}, {}};
	const SwitchPatience out = withHistory({3, true, false, {}}, intent, historyOf(intent));
	const SwitchStep begins = decideSwitch(intent, {holding, copied, RankView()}, out);
	const std::vector<RankOrderPlan> anew{{0, RankOrderKind::Prepare, 1, voids, 0}, {1, RankOrderKind::Prepare, 1, voids, 0}};
	cr_assert(!begins.next && anew == begins.orders);
	SwitchIntent idle;
	idle.term = intent.term;
	cr_assert(voids + 1 == beginSwitch(idle, 1, {}, withStep({}, intent, begins).version)->version);
	// A late arm: it is taken back now that another rank can't be armed.
	RankView armed = copied;
	armed.armed = 5;
	holding.prepared = voids;
	const SwitchStep disarms = decideSwitch(intent, {holding, armed, RankView()}, out);
	cr_assert(1 == disarms.orders.size() && RankOrderKind::Disarm == disarms.orders.front().kind && 1 == disarms.orders.front().rank);
	copied.prepared = voids;
	const SwitchStep ends = decideSwitch(intent, {holding, copied, RankView()}, out);
	cr_assert(ends.next && ends.store && SwitchPhase::Idle == ends.next->phase && voids == ends.next->version);
	cr_assert(1 == releaseStrayHolds(*ends.next, {holding, copied, RankView()}).size());
}

/// With the first arm the switch can't be voided any more. Given while a rank is out of reach, it makes the
/// group stand until that rank is back.
Test(forward, a_coordinator_that_takes_over_gives_no_first_arm_while_a_rank_is_out_of_reach)
{
	SwitchIntent intent;
	intent.term = 2;
	intent.phase = SwitchPhase::Switching;
	intent.epoch = 1;
	intent.version = 5;
	intent.boundary = 10;
	intent.last = 2;
	const RankView holding{true, 1, true, 9, 0, 5, {}, 10};
	RankView copied{true, 1, true, 9, 0, 5, {}, {}};
	const SwitchPatience taken = withHistory({3, false, false, {}}, intent, historyOf(intent));
	cr_assert(decideSwitch(intent, {holding, copied, RankView()}, taken) == SwitchStep());
	cr_assert(decideSwitch(intent, {holding, RankView(), RankView()}, taken) == SwitchStep(), "nor to the first one seen");
	const SwitchPatience all = withHistory({3, false, true, {}}, intent, historyOf(intent));
	cr_assert(2 == decideSwitch(intent, {holding, copied, copied}, all).orders.size());
	copied.armed = 5;
	cr_assert(1 == decideSwitch(intent, {holding, copied, RankView()}, taken).orders.size(), "one is armed: there is no way back");
}

Test(forward, a_switch_with_an_armed_rank_is_not_voided_behind_it)
{
	SwitchIntent intent;
	intent.phase = SwitchPhase::Switching;
	intent.epoch = 1;
	intent.version = 5;
	intent.boundary = 10;
	intent.last = 1;
	const RankView armed{true, 1, true, 9, 0, 5, 5, 10};
	const SwitchPatience out = withHistory({3, true, false, {}}, intent, historyOf(intent));
	cr_assert(decideSwitch(intent, {armed, RankView()}, out) == SwitchStep());
}

Test(forward, the_last_rank_is_armed_once_all_others_are_seen_to_be)
{
	SwitchIntent intent;
	intent.phase = SwitchPhase::Switching;
	intent.epoch = 1;
	intent.version = 5;
	intent.boundary = 10;
	intent.last = 0;
	const RankView holding{true, 1, true, 9, 0, 5, {}, 10};
	RankView armed{true, 1, true, 9, 0, 5, 5, {}};
	const RankView copied{true, 1, true, 9, 0, 5, {}, {}};
	const SwitchStep others = decideSwitch(intent, {copied, holding, copied}, {3, false});
	cr_assert(2 == others.orders.size() && 1 == others.orders.front().rank);
	const SwitchStep last = decideSwitch(intent, {holding, armed, armed}, {3, false});
	cr_assert(1 == last.orders.size() && 0 == last.orders.front().rank && RankOrderKind::Arm == last.orders.front().kind);
}

Test(forward, a_rank_that_is_unseen_stops_the_release)
{
	SwitchIntent intent;
	intent.phase = SwitchPhase::Switching;
	intent.epoch = 1;
	intent.version = 5;
	intent.boundary = 10;
	const RankView holding{true, 1, true, 9, 0, 5, 5, 10};
	const SwitchStep step = decideSwitch(intent, {holding, RankView()}, {3, false});
	cr_assert(!step.next && step.orders.empty());
}
