/// Explores all states of the forward-only map switch, using the production decision functions. An order
/// that was sent may be executed at any time, any number of times, in any order, or never. The same applies
/// to writes whose condition still holds. Each coordinator acts on the row as it last read it, so one that
/// was paused continues with stale knowledge.
#pragma once

#include <algorithm>
#include <deque>
#include <set>
#include <vector>

#include "switch_world.h"

namespace archdyke::tests
{
	class Explorer
	{
	public:
		Explorer(Bounds _bounds, DisabledRule _disabledRule)
		    : bounds(_bounds)
		    , disabledRule(_disabledRule)
		{
		}

		void explore(std::size_t _limit)
		{
			World start;
			start.ranks.resize(this->bounds.ranks);
			start.coordinatorStates.resize(this->bounds.coordinators);
			if (this->bounds.earlierReleaseRow)
			{
				constexpr std::uint64_t kVersion = kVersionsPerTerm + 1;
				start.row = {1, SwitchPhase::Holding, 1, kVersion, 1, 2, {}};
				start.coordinatorStates.front() = {true, false, start.row, start.rowVersion, {}, this->noObservations()};
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
			return DisabledRule::VersionsContainTerm == this->disabledRule ? 0 : kVersionsPerTerm;
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
				if (DisabledRule::HoldSeenBeforeArm == this->disabledRule && 0 != _intent.boundary)
				{
					view.held = _intent.boundary;
				}
				const bool anyArmed = std::any_of(_world.ranks.begin(), _world.ranks.end(), [&](const Engine& _engine) {
					return _engine.armed == _intent.version;
				});
				if (DisabledRule::AllArmedBeforeRelease == this->disabledRule && SwitchPhase::Switching == _intent.phase && anyArmed)
				{
					view.armed = _intent.version;
				}
				result.push_back(view);
			}
			return result;
		}

		/// The coordinator observes one rank.
		void observeRank(const World& _world, std::size_t _coordinator, std::vector<World>& _next) const
		{
			const CoordinatorState& state = _world.coordinatorStates[_coordinator];
			const std::vector<RankView> views = this->views(_world, state.intent);
			for (std::size_t rank = 0; state.acting && this->bounds.delayedObservations && rank < views.size(); ++rank)
			{
				World next = _world;
				next.coordinatorStates[_coordinator].observations[rank] = views[rank];
				_next.push_back(std::move(next));
			}
		}

		/// @returns Empty observations: those made before the row was read don't count.
		std::vector<RankView> noObservations() const
		{
			return std::vector<RankView>(this->bounds.delayedObservations ? this->bounds.ranks : 0);
		}

		/// A coordinator takes over: it reads the row and writes it with its own term.
		void takeOver(const World& _world, std::size_t _coordinator, std::vector<World>& _next) const
		{
			const std::uint64_t term = _coordinator + 1;
			if (_world.coordinatorStates[_coordinator].acting || _world.row.term >= term)
			{
				return;
			}
			World next = _world;
			next.row.term = term;
			next.rowVersion += 1;
			next.coordinatorStates[_coordinator] = {true, false, next.row, next.rowVersion, initialHistory(intentOf(next.row)), this->noObservations()};
			_next.push_back(std::move(next));
		}

		/// The coordinator reads the row, and stops acting when the row has another term.
		void readRow(const World& _world, std::size_t _coordinator, std::vector<World>& _next) const
		{
			const CoordinatorState& state = _world.coordinatorStates[_coordinator];
			if (!state.acting || state.rowVersion == _world.rowVersion)
			{
				return;
			}
			World next = _world;
			next.coordinatorStates[_coordinator].rowVersion = _world.rowVersion;
			next.coordinatorStates[_coordinator].intent = _world.row;
			next.coordinatorStates[_coordinator].observations = this->noObservations();
			next.coordinatorStates[_coordinator].acting = _world.row.term == _coordinator + 1;
			_next.push_back(std::move(next));
		}

		void begin(const World& _world, std::size_t _coordinator, std::vector<World>& _next) const
		{
			const CoordinatorState& state = _world.coordinatorStates[_coordinator];
			const bool idle = SwitchPhase::Idle == state.intent.phase;
			if (!state.acting || state.planned || !idle)
			{
				return;
			}
			World next = _world;
			CoordinatorState& changed = next.coordinatorStates[_coordinator];
			changed.planned = true;
			changed.intent.phase = SwitchPhase::Preparing;
			changed.intent.boundary = state.intent.epoch == _world.epoch ? state.intent.boundary : 0;
			changed.intent.epoch = _world.epoch;
			changed.intent.version = std::max({state.intent.version, state.intent.term * this->versionsPerTerm(), state.history.version}) + 1;
			changed.intent.content = state.intent.term;
			_next.push_back(std::move(next));
		}

		/// @returns The history that the coordinator uses, with the disabled rule removed from it.
		SwitchHistory effectiveHistory(const SwitchHistory& _history) const
		{
			SwitchHistory history = _history;
			history.inherited = DisabledRule::OnlyWriterAbandons == this->disabledRule ? BoundaryId() : history.inherited;
			history.armed = DisabledRule::NoAbandonAfterArm == this->disabledRule ? BoundaryId() : history.armed;
			history.abandonSent = DisabledRule::NoArmsAfterAbandon == this->disabledRule ? BoundaryId() : history.abandonSent;
			return history;
		}

		void act(const World& _world, std::size_t _coordinator, bool _giveUp, std::vector<World>& _next) const
		{
			const CoordinatorState& state = _world.coordinatorStates[_coordinator];
			if (!state.acting)
			{
				return;
			}
			const SwitchIntent intent = intentOf(state.intent);
			const SwitchConditions conditions = applyHistory({1, _giveUp, true, std::uint32_t(_coordinator % this->bounds.ranks)}, intent, this->effectiveHistory(state.history));
			const SwitchDecision step = decideSwitch(intent, this->bounds.delayedObservations ? state.observations : this->views(_world, state.intent), conditions);
			if (!step.next && step.orders.empty())
			{
				return;
			}
			World next = _world;
			next.coordinatorStates[_coordinator].history = historyAfter(state.history, intent, step);
			for (const RankOrderPlan& plan : step.orders)
			{
				next.orders.insert({plan, plan.version == intent.version ? state.intent.content : kVoidingContent});
				for (std::uint32_t rank = 0; DisabledRule::DesignatedRankArmedLast == this->disabledRule && RankOrderKind::Arm == plan.kind && rank < this->bounds.ranks; ++rank)
				{
					next.orders.insert({{rank, plan.kind, plan.epoch, plan.version, plan.step}, state.intent.content});
				}
			}
			if (step.next)
			{
				const bool idle = SwitchPhase::Idle == step.next->phase;
				const Row row = rowOf(*step.next, idle ? 0 : state.intent.content);
				if (step.store)
				{
					next.writes.insert({state.rowVersion, row});
				}
				else
				{
					next.coordinatorStates[_coordinator].intent = row;
				}
			}
			_next.push_back(std::move(next));
		}

		/// Applies a write, immediately or late; the writer learns of it by reading the row.
		void applyWrites(const World& _world, std::vector<World>& _next) const
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

		void applyOrders(const World& _world, std::vector<World>& _next) const
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
				const bool started = _world.step >= plan.step;
				if (RankOrderKind::Prepare == plan.kind && plan.version > engine.highest && 0 == engine.armed)
				{
					engine.highest = plan.version;
					engine.prepared = plan.version;
					engine.preparedContent = order.content;
				}
				else if (RankOrderKind::Arm == plan.kind && engine.prepared == plan.version && !started)
				{
					engine.armed = plan.version;
					engine.armedStep = plan.step;
				}
				else if (RankOrderKind::Hold == plan.kind && !started && (0 == engine.held || engine.held == plan.step))
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

		/// A coordinator that read the row after a hold was observed releases the hold if no switch owns it.
		void releaseStray(const World& _world, std::size_t _coordinator, std::vector<World>& _next) const
		{
			const CoordinatorState& state = _world.coordinatorStates[_coordinator];
			const bool fresh = state.rowVersion == _world.rowVersion;
			if (!state.acting || (!fresh && DisabledRule::RowReadAfterStrayHoldSeen != this->disabledRule))
			{
				return;
			}
			// The stored row, not what the coordinator intends to write.
			const Row row = fresh ? _world.row : state.intent;
			for (const RankOrderPlan& plan : releaseStrayHolds(intentOf(row), this->views(_world, row)))
			{
				World next = _world;
				next.orders.insert({plan, 0});
				_next.push_back(std::move(next));
			}
		}

		/// With the rule disabled: moves a boundary that the group may still reach on the new map.
		void moveUnpassedBoundary(const World& _world, std::size_t _coordinator, std::vector<World>& _next) const
		{
			const CoordinatorState& state = _world.coordinatorStates[_coordinator];
			if (DisabledRule::BoundaryMovedOnlyOncePassed != this->disabledRule || !state.acting || SwitchPhase::Switching != state.intent.phase)
			{
				return;
			}
			World next = _world;
			Row row = state.intent;
			row.boundary += 1;
			next.writes.insert({state.rowVersion, row});
			_next.push_back(std::move(next));
		}

		/// With the rule disabled: abandons a switch although ranks may be armed.
		void abandonSwitch(const World& _world, std::size_t _coordinator, std::vector<World>& _next) const
		{
			const CoordinatorState& state = _world.coordinatorStates[_coordinator];
			if (DisabledRule::NoAbandonWhileSwitching != this->disabledRule || !state.acting || SwitchPhase::Switching != state.intent.phase)
			{
				return;
			}
			World next = _world;
			Row row = state.intent;
			row.phase = SwitchPhase::Idle;
			next.writes.insert({state.rowVersion, row});
			_next.push_back(std::move(next));
		}

		/// All ranks start the next step together, unless one of them holds it.
		void startStep(const World& _world, std::vector<World>& _next) const
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

		std::vector<World> successors(const World& _world) const
		{
			std::vector<World> next;
			for (std::size_t state = 0; state < _world.coordinatorStates.size(); ++state)
			{
				this->takeOver(_world, state, next);
				this->readRow(_world, state, next);
				this->observeRank(_world, state, next);
				this->begin(_world, state, next);
				this->act(_world, state, false, next);
				this->act(_world, state, true, next);
				this->releaseStray(_world, state, next);
				this->abandonSwitch(_world, state, next);
				this->moveUnpassedBoundary(_world, state, next);
			}
			this->applyWrites(_world, next);
			this->applyOrders(_world, next);
			this->startStep(_world, next);
			this->formAnew(_world, next);
			for (World& world : next)
			{
				normalize(world);
			}
			return next;
		}

		Bounds bounds;
		DisabledRule disabledRule;
	};
} // namespace archdyke::tests
