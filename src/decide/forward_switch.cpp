#include "archdyke/forward_switch.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "archdyke/errors.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

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

		/// The row of a switch that was abandoned.
		SwitchIntent abandoned(const SwitchIntent& _intent)
		{
			SwitchIntent idle = _intent;
			idle.phase = SwitchPhase::Idle;
			idle.map.clear();
			idle.boundary = 0;
			return idle;
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
			return idle;
		}

		/// Whether a later epoch was seen, or the group can't go on in this one.
		bool epochIsOver(const SwitchIntent& _intent, const std::vector<RankView>& _ranks)
		{
			return anyRank(_ranks, [&](const RankView& _rank) {
				return _rank.seen && _rank.epoch > _intent.epoch;
			});
		}

		SwitchStep decidePreparing(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, std::uint64_t _marginSteps, bool _mayAbandon)
		{
			SwitchStep step;
			const bool all = allRanks(_ranks, [&](const RankView& _rank) {
				return _rank.seen && _rank.epoch == _intent.epoch && _rank.prepared == _intent.version;
			});
			if (all)
			{
				step.write = _intent;
				step.write->phase = SwitchPhase::Switching;
				step.write->boundary = newestStep(_ranks) + _marginSteps;
				step.reason = "all_prepared";
				return step;
			}
			if (_mayAbandon)
			{
				step.write = abandoned(_intent);
				step.reason = "preparing_took_too_long";
				return step;
			}
			for (std::uint32_t rank = 0; rank < _ranks.size(); ++rank)
			{
				if (_ranks[rank].seen && _ranks[rank].epoch == _intent.epoch && _ranks[rank].prepared != _intent.version)
				{
					step.orders.push_back({rank, RankOrderKind::Prepare, _intent.epoch, _intent.version, 0});
				}
			}
			return step;
		}

		/// The hold isn't seen: order it, or choose a later boundary once this one has passed.
		SwitchStep decideHold(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, std::uint64_t _marginSteps)
		{
			SwitchStep step;
			if (newestStep(_ranks) >= _intent.boundary)
			{
				step.write = _intent;
				step.write->boundary = newestStep(_ranks) + _marginSteps;
				step.reason = "boundary_passed_without_a_hold";
				return step;
			}
			for (std::uint32_t rank = 0; rank < _ranks.size(); ++rank)
			{
				if (_ranks[rank].seen && !_ranks[rank].held)
				{
					step.orders.push_back({rank, RankOrderKind::Hold, _intent.epoch, 0, _intent.boundary});
					return step;
				}
			}
			return step;
		}

		SwitchStep decideSwitching(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, std::uint64_t _marginSteps)
		{
			SwitchStep step;
			const auto isOnMap = [&](const RankView& _rank) {
				return _rank.seen && _rank.map == _intent.version;
			};
			if (allRanks(_ranks, isOnMap))
			{
				step.write = completed(_intent);
				step.reason = "in_force";
				return step;
			}
			const bool held = anyRank(_ranks, [&](const RankView& _rank) {
				return _rank.seen && _rank.held == _intent.boundary;
			});
			if (!held)
			{
				// Some on the map already: the hold was released, the others follow by themselves.
				return anyRank(_ranks, isOnMap) ? step : decideHold(_intent, _ranks, _marginSteps);
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

	SwitchStep decideSwitch(const SwitchIntent& _intent, const std::vector<RankView>& _ranks, std::uint64_t _marginSteps, bool _mayAbandon)
	{
		if (SwitchPhase::Idle != _intent.phase && epochIsOver(_intent, _ranks))
		{
			return {formedAnew(_intent), {}, "group_formed_anew"};
		}
		switch (_intent.phase)
		{
		case SwitchPhase::Preparing:
			return decidePreparing(_intent, _ranks, _marginSteps, _mayAbandon);
		case SwitchPhase::Switching:
			return decideSwitching(_intent, _ranks, _marginSteps);
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
			const bool owned = SwitchPhase::Switching == _intent.phase && held == _intent.boundary;
			if (_ranks[rank].seen && held && !owned)
			{
				orders.push_back({rank, RankOrderKind::Release, _ranks[rank].epoch, 0, *held});
			}
		}
		return orders;
	}

	SwitchIntent beginSwitch(const SwitchIntent& _idle, std::uint64_t _epoch, std::uint64_t _newestVersionSeen, ExpertHosts _map)
	{
		SwitchIntent intent = _idle;
		intent.phase = SwitchPhase::Preparing;
		intent.epoch = _epoch;
		intent.version = std::max(_idle.version, _newestVersionSeen) + 1;
		intent.boundary = 0;
		intent.map = std::move(_map);
		return intent;
	}

	SwitchIntent takeOver(const SwitchIntent& _row, std::string _coordinator)
	{
		SwitchIntent row = _row;
		row.term += 1;
		row.coordinator = std::move(_coordinator);
		return row;
	}

	std::string encodeIntent(const SwitchIntent& _intent)
	{
		return Json{{"term", _intent.term}, {"coordinator", _intent.coordinator}, {"phase", std::string(toString(_intent.phase))}, {"epoch", _intent.epoch}, {"version", _intent.version}, {"boundary", _intent.boundary}, {"map", _intent.map}, {"inForceVersion", _intent.inForceVersion}, {"inForce", _intent.inForce}}.dump();
	}

	SwitchIntent decodeIntent(const std::string& _text)
	{
		try
		{
			const Json json = Json::parse(_text);
			SwitchIntent intent;
			intent.term = json.at("term").get<std::uint64_t>();
			intent.coordinator = json.at("coordinator").get<std::string>();
			for (const SwitchPhase phase : {SwitchPhase::Idle, SwitchPhase::Preparing, SwitchPhase::Switching})
			{
				intent.phase = json.at("phase").get<std::string>() == toString(phase) ? phase : intent.phase;
			}
			intent.epoch = json.at("epoch").get<std::uint64_t>();
			intent.version = json.at("version").get<std::uint64_t>();
			intent.boundary = json.at("boundary").get<std::uint64_t>();
			intent.map = json.at("map").get<ExpertHosts>();
			intent.inForceVersion = json.at("inForceVersion").get<std::uint64_t>();
			intent.inForce = json.at("inForce").get<ExpertHosts>();
			return intent;
		}
		catch (const Json::exception& error)
		{
			throw InvalidInputError("row of a group", {{"row", error.what(), "remove the row; the next coordinator writes it anew"}});
		}
	}
} // namespace archdyke
