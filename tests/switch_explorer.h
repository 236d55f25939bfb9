/// Exhaustive exploration of the forward-only map switch with the real decisions. Orders that
/// were sent may be carried out at any time, any number of times, in any order, or never, and so
/// may writes whose condition still holds. Two coordinators act on what each last knew of the
/// row, so that one that was paused goes on with old knowledge.
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
} // namespace archdyke::tests
