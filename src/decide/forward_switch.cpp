#include "archdyke/forward_switch.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		template <typename Is>
		bool allRanks(const std::vector<RankView>& _ranks, Is _predicate)
		{
			return !_ranks.empty() && std::all_of(_ranks.begin(), _ranks.end(), _predicate);
		}

		template <typename Is>
		bool anyRank(const std::vector<RankView>& _ranks, Is _predicate)
		{
			return std::any_of(_ranks.begin(), _ranks.end(), _predicate);
		}

		std::uint64_t newestStep(const std::vector<RankView>& _ranks)
		{
			std::uint64_t newest = 0;
			for (const RankView& rank : _ranks)
			{
				newest = std::max(newest, rank.step);
			}
			return newest;
		}

		/// @returns The row after a switch was abandoned. It keeps the boundary, which must not be reused:
		/// a release of the abandoned hold may still be in flight.
		SwitchIntent abandonedRow(const SwitchIntent& _intent)
		{
			SwitchIntent idle = _intent;
			idle.phase = SwitchPhase::Idle;
			idle.map.clear();
			idle.last.reset();
			return idle;
		}

		std::uint64_t nextBoundary(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, std::uint64_t _marginSteps)
		{
			return std::max(newestStep(_ranks) + _marginSteps, _intent.boundary + 1);
		}

		/// @returns The row of a switch whose map all ranks have copied, with a boundary beyond the newest step.
		SwitchIntent switchingRow(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, const SwitchConditions& _conditions)
		{
			SwitchIntent switching = _intent;
			switching.phase = SwitchPhase::Switching;
			switching.boundary = nextBoundary(_intent, _ranks, _conditions.marginSteps);
			switching.last = _conditions.coordinatorRank;
			return switching;
		}

		/// @returns The row after a switch has come into force.
		SwitchIntent completedRow(const SwitchIntent& _intent)
		{
			SwitchIntent idle = abandonedRow(_intent);
			idle.inForce = _intent.map;
			idle.inForceVersion = _intent.version;
			return idle;
		}

		/// @returns The row of a group that formed anew and uses the initial map.
		SwitchIntent reformedRow(const SwitchIntent& _intent)
		{
			SwitchIntent idle = abandonedRow(_intent);
			idle.inForce.clear();
			idle.inForceVersion = 0;
			idle.boundary = 0;
			return idle;
		}

		bool epochIsOver(const SwitchIntent& _intent, const std::vector<RankView>& _ranks)
		{
			return anyRank(_ranks, [&](const RankView& _rank) {
				return _rank.seen && _rank.epoch > _intent.epoch;
			});
		}

		bool isHeld(const SwitchIntent& _intent, const std::vector<RankView>& _ranks)
		{
			return anyRank(_ranks, [&](const RankView& _rank) {
				return _rank.seen && _rank.held == _intent.boundary;
			});
		}

		SwitchDecision decidePreparing(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, const SwitchConditions& _conditions)
		{
			SwitchDecision step;
			const auto isPrepared = [&](const RankView& _rank) {
				return _rank.seen && _rank.epoch == _intent.epoch && _rank.prepared == _intent.version;
			};
			if (allRanks(_ranks, isPrepared))
			{
				step.next = switchingRow(_intent, _ranks, _conditions);
				step.store = true;
				step.reason = "all_prepared";
				return step;
			}
			if (_conditions.giveUp)
			{
				step.next = abandonedRow(_intent);
				step.reason = "preparing_took_too_long";
				return step;
			}
			for (std::uint32_t rank = 0; rank < _ranks.size(); ++rank)
			{
				if (_ranks[rank].seen && _ranks[rank].epoch == _intent.epoch && !isPrepared(_ranks[rank]))
				{
					step.orders.push_back({rank, RankOrderKind::Prepare, _intent.epoch, _intent.version, 0});
				}
			}
			return step;
		}

		/// Orders the first eligible rank to hold the group.
		std::vector<RankOrderPlan> holdAtBoundary(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, const SwitchConditions& _conditions)
		{
			for (std::uint32_t rank = 0; rank < _ranks.size(); ++rank)
			{
				const bool avoided = rank == _conditions.coordinatorRank && 1 < _ranks.size();
				if (_ranks[rank].seen && !_ranks[rank].held && !avoided)
				{
					return {{rank, RankOrderKind::Hold, _intent.epoch, 0, _intent.boundary}};
				}
			}
			return {};
		}

		/// Continues a row of an earlier release, which arms no rank before it has stored Switching.
		SwitchDecision decideHolding(const SwitchIntent& _intent, const SwitchConditions& _conditions)
		{
			SwitchDecision step;
			step.next = _conditions.giveUp ? abandonedRow(_intent) : _intent;
			step.next->phase = _conditions.giveUp ? SwitchPhase::Idle : SwitchPhase::Switching;
			step.next->last = _conditions.giveUp ? std::nullopt : _conditions.coordinatorRank;
			step.store = true;
			step.reason = _conditions.giveUp ? "holding_took_too_long" : "holding_carried_on";
			return step;
		}

		bool isOnMap(const RankView& _rank, const SwitchIntent& _intent)
		{
			return _rank.seen && _rank.map == _intent.version;
		}

		bool isArmed(const RankView& _rank, const SwitchIntent& _intent)
		{
			return _rank.seen && _rank.armed == _intent.version;
		}

		/// @returns Whether all ranks started the boundary step on the old map. Can't become false again, since
		/// ranks refuse arm orders for a step that has started.
		bool hasPassed(const SwitchIntent& _intent, const std::vector<RankView>& _ranks)
		{
			return allRanks(_ranks, [&](const RankView& _rank) {
				return _rank.seen && _rank.epoch == _intent.epoch && _rank.step >= _intent.boundary && !isOnMap(_rank, _intent) && !isArmed(_rank, _intent);
			});
		}

		/// While the group is held, arms the ranks that aren't armed, `last` only after all others, then releases
		/// the hold.
		std::vector<RankOrderPlan> armOrRelease(const SwitchIntent& _intent, const std::vector<RankView>& _ranks)
		{
			std::vector<RankOrderPlan> arms;
			std::vector<RankOrderPlan> releases;
			std::size_t unarmed = 0;
			for (std::uint32_t rank = 0; rank < _ranks.size(); ++rank)
			{
				const bool armed = isArmed(_ranks[rank], _intent) || isOnMap(_ranks[rank], _intent);
				unarmed += armed ? 0 : 1;
				if (_ranks[rank].seen && !armed)
				{
					arms.push_back({rank, RankOrderKind::Arm, _intent.epoch, _intent.version, _intent.boundary});
				}
				if (_ranks[rank].held == _intent.boundary)
				{
					releases.push_back({rank, RankOrderKind::Release, _intent.epoch, 0, _intent.boundary});
				}
			}
			std::erase_if(arms, [&](const RankOrderPlan& _arm) {
				return _arm.rank == _intent.last && 1 < unarmed;
			});
			return 0 == unarmed ? releases : arms;
		}

		/// @returns Whether the rank prepared a newer version while unarmed, so that it can't take the map of the
		/// switch any more.
		bool isVoided(const RankView& _rank, const SwitchIntent& _intent)
		{
			return _rank.seen && _rank.epoch == _intent.epoch && _rank.prepared > _intent.version && !isArmed(_rank, _intent) && !isOnMap(_rank, _intent);
		}

		/// @returns All ranks except the one that is armed last.
		std::vector<std::uint32_t> othersThanLast(const SwitchIntent& _intent, const std::vector<RankView>& _ranks)
		{
			std::vector<std::uint32_t> others;
			for (std::uint32_t rank = 0; rank < _ranks.size(); ++rank)
			{
				if (rank != _intent.last)
				{
					others.push_back(rank);
				}
			}
			return others;
		}

		/// Voids a switch whose last rank can't be armed, then abandons it.
		/// @returns None when the switch can continue, or when voiding hasn't started and a rank other than the last
		/// is unseen or armed.
		std::optional<SwitchDecision> voidSwitch(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, const SwitchConditions& _conditions)
		{
			const std::vector<std::uint32_t> others = othersThanLast(_intent, _ranks);
			const auto countOthers = [&](auto _predicate) {
				return std::size_t(std::count_if(others.begin(), others.end(), [&](std::uint32_t _rank) {
					return _predicate(_ranks[_rank], _intent);
				}));
			};
			const std::size_t voided = countOthers(isVoided);
			const std::size_t unarmed = countOthers([](const RankView& _rank, const SwitchIntent& _switch) {
				return _rank.seen && !isArmed(_rank, _switch) && !isOnMap(_rank, _switch);
			});
			const bool startsVoiding = _conditions.giveUp && isHeld(_intent, _ranks) && unarmed == others.size();
			if (!_intent.last || others.empty() || (0 == voided && !startsVoiding))
			{
				return std::nullopt;
			}
			SwitchDecision step;
			if (others.size() == voided)
			{
				step.next = abandonedRow(_intent);
				step.next->version = voidingVersion(_intent);
				step.store = true;
				step.reason = "last_rank_out_of_reach";
				return step;
			}
			for (const std::uint32_t rank : others)
			{
				if (_ranks[rank].seen && isArmed(_ranks[rank], _intent))
				{
					step.orders.push_back({rank, RankOrderKind::Disarm, _intent.epoch, _intent.version, 0});
				}
				else if (_ranks[rank].seen && !isVoided(_ranks[rank], _intent))
				{
					step.orders.push_back({rank, RankOrderKind::Prepare, _intent.epoch, voidingVersion(_intent), 0});
				}
			}
			return step;
		}

		/// @returns Orders that let the group reach the boundary either held or with all ranks armed.
		std::vector<RankOrderPlan> ordersAtBoundary(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, const SwitchConditions& _conditions)
		{
			const bool allSeen = allRanks(_ranks, [](const RankView& _rank) {
				return _rank.seen;
			});
			const bool allInReach = allSeen && _conditions.allReachable;
			if (isHeld(_intent, _ranks))
			{
				// Once a rank is armed, the switch can't be voided and the group stalls until all ranks are armed, so
				// a coordinator that took over sends the first arm order only after it has seen all ranks.
				const bool anyArmed = anyRank(_ranks, [&](const RankView& _rank) {
					return _rank.seen && (isArmed(_rank, _intent) || isOnMap(_rank, _intent));
				});
				return allInReach || anyArmed ? armOrRelease(_intent, _ranks) : std::vector<RankOrderPlan>();
			}
			const bool released = allRanks(_ranks, [&](const RankView& _rank) {
				return isArmed(_rank, _intent);
			});
			const bool shouldHold = allInReach && !released && newestStep(_ranks) < _intent.boundary;
			return shouldHold ? holdAtBoundary(_intent, _ranks, _conditions) : std::vector<RankOrderPlan>();
		}

		SwitchDecision decideSwitching(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, const SwitchConditions& _conditions)
		{
			SwitchDecision step;
			const bool onMap = allRanks(_ranks, [&](const RankView& _rank) {
				return isOnMap(_rank, _intent);
			});
			if (onMap)
			{
				step.next = completedRow(_intent);
				step.reason = "in_force";
				return step;
			}
			const bool passed = hasPassed(_intent, _ranks);
			const bool prepared = allRanks(_ranks, [&](const RankView& _rank) {
				return _rank.prepared == _intent.version;
			});
			const bool abandons = passed ? _conditions.giveUp || !prepared : _conditions.giveUp && _conditions.noRankArmed;
			if (abandons || passed)
			{
				step.next = abandons ? abandonedRow(_intent) : switchingRow(_intent, _ranks, _conditions);
				step.store = true;
				step.reason = passed ? "boundary_passed_without_a_hold" : "holding_took_too_long";
				return step;
			}
			step.orders = ordersAtBoundary(_intent, _ranks, _conditions);
			return voidSwitch(_intent, _ranks, _conditions).value_or(step);
		}
	} // namespace

	std::string_view toString(SwitchPhase _phase)
	{
		switch (_phase)
		{
		case SwitchPhase::Preparing:
			return "preparing";
		case SwitchPhase::Holding:
			return "holding";
		case SwitchPhase::Switching:
			return "switching";
		default:
			return "idle";
		}
	}

	std::string_view toString(RankOrderKind _kind)
	{
		switch (_kind)
		{
		case RankOrderKind::Prepare:
			return "prepare";
		case RankOrderKind::Arm:
			return "arm";
		case RankOrderKind::Hold:
			return "hold";
		case RankOrderKind::Disarm:
			return "disarm";
		default:
			return "release";
		}
	}

	SwitchDecision decideSwitch(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, const SwitchConditions& _conditions)
	{
		if (SwitchPhase::Idle != _intent.phase && epochIsOver(_intent, _ranks))
		{
			return {reformedRow(_intent), SwitchPhase::Preparing != _intent.phase, {}, "group_formed_anew"};
		}
		switch (_intent.phase)
		{
		case SwitchPhase::Preparing:
			return decidePreparing(_intent, _ranks, _conditions);
		case SwitchPhase::Holding:
			return decideHolding(_intent, _conditions);
		case SwitchPhase::Switching:
			return decideSwitching(_intent, _ranks, _conditions);
		default:
			return {};
		}
	}

	std::vector<RankOrderPlan> releaseStrayHolds(const SwitchIntent& _intent, const std::vector<RankView>& _ranks)
	{
		std::vector<RankOrderPlan> orders;
		for (std::uint32_t rank = 0; rank < _ranks.size(); ++rank)
		{
			const std::optional<std::uint64_t>& held = _ranks[rank].held;
			const bool open = SwitchPhase::Holding == _intent.phase || SwitchPhase::Switching == _intent.phase;
			const bool owned = open && held == _intent.boundary;
			if (_ranks[rank].seen && held && !owned)
			{
				orders.push_back({rank, RankOrderKind::Release, _ranks[rank].epoch, 0, *held});
			}
		}
		return orders;
	}
} // namespace archdyke
