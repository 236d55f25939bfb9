#include "archdyke/forward_switch.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		template <typename Is>
		bool allRanks(const std::vector<RankView>& _ranks, Is _is)
		{
			return !_ranks.empty() && std::all_of(_ranks.begin(), _ranks.end(), _is);
		}

		template <typename Is>
		bool anyRank(const std::vector<RankView>& _ranks, Is _is)
		{
			return std::any_of(_ranks.begin(), _ranks.end(), _is);
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

		/// The row of a switch that was abandoned. Its boundary stays: no later one may be the
		/// same, since a release of the abandoned hold may still be under way.
		SwitchIntent abandoned(const SwitchIntent& _intent)
		{
			SwitchIntent idle = _intent;
			idle.phase = SwitchPhase::Idle;
			idle.map.clear();
			return idle;
		}

		std::uint64_t nextBoundary(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, std::uint64_t _marginSteps)
		{
			return std::max(newestStep(_ranks) + _marginSteps, _intent.boundary + 1);
		}

		/// The row of a switch that is in force.
		SwitchIntent completed(const SwitchIntent& _intent)
		{
			SwitchIntent idle = abandoned(_intent);
			idle.inForce = _intent.map;
			idle.inForceVersion = _intent.version;
			return idle;
		}

		/// The row of a group that formed anew: it has the map that groups form with.
		SwitchIntent formedAnew(const SwitchIntent& _intent)
		{
			SwitchIntent idle = abandoned(_intent);
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

		SwitchStep decidePreparing(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, const SwitchPatience& _patience)
		{
			SwitchStep step;
			const auto isPrepared = [&](const RankView& _rank) {
				return _rank.seen && _rank.epoch == _intent.epoch && _rank.prepared == _intent.version;
			};
			if (allRanks(_ranks, isPrepared))
			{
				step.next = _intent;
				step.next->phase = SwitchPhase::Holding;
				step.next->boundary = nextBoundary(_intent, _ranks, _patience.marginSteps);
				step.store = true;
				step.reason = "all_prepared";
				return step;
			}
			if (_patience.giveUp)
			{
				step.next = abandoned(_intent);
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

		SwitchStep decideHolding(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, const SwitchPatience& _patience)
		{
			SwitchStep step;
			if (_patience.giveUp)
			{
				step.next = abandoned(_intent);
				step.store = true;
				step.reason = "holding_took_too_long";
				return step;
			}
			if (isHeld(_intent, _ranks))
			{
				if (!_patience.allReachable)
				{
					return step;
				}
				step.next = _intent;
				step.next->phase = SwitchPhase::Switching;
				step.store = true;
				step.reason = "held";
				return step;
			}
			if (newestStep(_ranks) >= _intent.boundary)
			{
				step.next = _intent;
				step.next->boundary = nextBoundary(_intent, _ranks, _patience.marginSteps);
				step.store = true;
				step.reason = "boundary_passed_without_a_hold";
				return step;
			}
			for (std::uint32_t rank = 0; rank < _ranks.size(); ++rank)
			{
				const bool avoided = rank == _patience.avoidedRank && 1 < _ranks.size();
				if (_ranks[rank].seen && !_ranks[rank].held && !avoided)
				{
					step.orders.push_back({rank, RankOrderKind::Hold, _intent.epoch, 0, _intent.boundary});
					return step;
				}
			}
			return step;
		}

		SwitchStep decideSwitching(const SwitchIntent& _intent, const std::vector<RankView>& _ranks)
		{
			SwitchStep step;
			const auto isOnMap = [&](const RankView& _rank) {
				return _rank.seen && _rank.map == _intent.version;
			};
			if (allRanks(_ranks, isOnMap))
			{
				step.next = completed(_intent);
				step.reason = "in_force";
				return step;
			}
			if (!isHeld(_intent, _ranks))
			{
				return step; // it was released: the ranks take the map by themselves
			}
			bool allArmed = true;
			for (std::uint32_t rank = 0; rank < _ranks.size(); ++rank)
			{
				const bool armed = _ranks[rank].seen && (_ranks[rank].armed == _intent.version || isOnMap(_ranks[rank]));
				allArmed = allArmed && armed;
				if (_ranks[rank].seen && !armed)
				{
					step.orders.push_back({rank, RankOrderKind::Arm, _intent.epoch, _intent.version, _intent.boundary});
				}
			}
			for (std::uint32_t rank = 0; allArmed && rank < _ranks.size(); ++rank)
			{
				if (_ranks[rank].held == _intent.boundary)
				{
					step.orders.push_back({rank, RankOrderKind::Release, _intent.epoch, 0, _intent.boundary});
				}
			}
			return step;
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
		default:
			return "release";
		}
	}

	SwitchStep decideSwitch(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, const SwitchPatience& _patience)
	{
		if (SwitchPhase::Idle != _intent.phase && epochIsOver(_intent, _ranks))
		{
			return {formedAnew(_intent), SwitchPhase::Preparing != _intent.phase, {}, "group_formed_anew"};
		}
		switch (_intent.phase)
		{
		case SwitchPhase::Preparing:
			return decidePreparing(_intent, _ranks, _patience);
		case SwitchPhase::Holding:
			return decideHolding(_intent, _ranks, _patience);
		case SwitchPhase::Switching:
			return decideSwitching(_intent, _ranks);
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

	std::optional<SwitchIntent> beginSwitch(const SwitchIntent& _idle, std::uint64_t _epoch, ExpertHosts _map)
	{
		SwitchIntent intent = _idle;
		intent.phase = SwitchPhase::Preparing;
		intent.epoch = _epoch;
		intent.version = std::max(_idle.version, _idle.term * kVersionsPerTerm) + 1;
		intent.boundary = _idle.epoch == _epoch ? _idle.boundary : 0;
		intent.map = std::move(_map);
		const bool left = intent.version < (_idle.term + 1) * kVersionsPerTerm;
		return left ? std::optional(intent) : std::nullopt;
	}

	SwitchIntent takeOver(const SwitchIntent& _row, std::string _coordinator)
	{
		SwitchIntent row = _row;
		row.term += 1;
		row.coordinator = std::move(_coordinator);
		return row;
	}
} // namespace archdyke
