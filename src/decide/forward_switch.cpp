#include "archdyke/forward_switch.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "archdyke/errors.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		/// Ends the JSON head of a row; the maps follow as bytes, since a row is written twice a
		/// switch over the link of a small VM, and JSON of a map of 63 ranks took 40 ms of it.
		constexpr char kHeadEnd = '\n';
		constexpr unsigned kBitsPerByte = 7; ///< Of a number: the eighth says that more follow.
		constexpr std::uint8_t kMoreFollow = 0x80;

		void putNumber(std::string& _bytes, std::uint64_t _number)
		{
			while (kMoreFollow <= _number)
			{
				_bytes += char(std::uint8_t(_number) | kMoreFollow);
				_number >>= kBitsPerByte;
			}
			_bytes += char(_number);
		}

		std::uint64_t takeNumber(std::string_view& _bytes)
		{
			constexpr unsigned kMostShift = 63;
			std::uint64_t number = 0;
			for (unsigned shift = 0; !_bytes.empty() && shift <= kMostShift; shift += kBitsPerByte)
			{
				const auto byte = std::uint8_t(_bytes.front());
				_bytes.remove_prefix(1);
				number |= std::uint64_t(byte & ~kMoreFollow) << shift;
				if (0 == (byte & kMoreFollow))
				{
					return number;
				}
			}
			throw InvalidInputError("row of a group", {{"map", "ends within a number", "remove the row; the next coordinator writes it anew"}});
		}

		bool haveOneSize(const ExpertHosts& _a, const ExpertHosts& _b)
		{
			return !_a.empty() && _a.size() == _b.size() && _a.front().size() == _b.front().size();
		}

		/// @returns Bytes: sets, experts of a set, and of each expert the number of its hosts and
		/// the hosts; number 0 for an expert that has the hosts of _base.
		std::string encodeHosts(const ExpertHosts& _hosts, const ExpertHosts& _base)
		{
			std::string bytes;
			const std::size_t experts = _hosts.empty() ? 0 : _hosts.front().size();
			const bool based = haveOneSize(_hosts, _base);
			putNumber(bytes, _hosts.size());
			putNumber(bytes, experts);
			for (std::size_t set = 0; set < _hosts.size(); ++set)
			{
				for (std::size_t expert = 0; expert < experts; ++expert)
				{
					const std::vector<std::uint32_t>& ranks = _hosts[set][expert];
					const bool same = based && ranks == _base[set][expert];
					putNumber(bytes, same ? 0 : ranks.size());
					for (std::size_t index = 0; !same && index < ranks.size(); ++index)
					{
						putNumber(bytes, ranks[index]);
					}
				}
			}
			return bytes;
		}

		/// @param[in,out] _bytes What encodeHosts gave; shortened by what is read.
		ExpertHosts decodeHosts(std::string_view& _bytes, const ExpertHosts& _base)
		{
			const std::uint64_t sets = takeNumber(_bytes);
			const std::uint64_t experts = takeNumber(_bytes);
			if (0 < sets && (0 == experts || sets > _bytes.size() / experts)) // each expert has a byte at least
			{
				throw InvalidInputError("row of a group", {{"map", "is shorter than it says", "remove the row; the next coordinator writes it anew"}});
			}
			ExpertHosts hosts;
			for (std::uint64_t set = 0; set < sets; ++set)
			{
				std::vector<std::vector<std::uint32_t>> layer;
				for (std::uint64_t expert = 0; expert < experts; ++expert)
				{
					const std::uint64_t count = takeNumber(_bytes);
					const bool based = 0 == count && set < _base.size() && expert < _base[set].size();
					std::vector<std::uint32_t> ranks = based ? _base[set][expert] : std::vector<std::uint32_t>();
					for (std::uint64_t index = 0; index < count; ++index)
					{
						ranks.push_back(std::uint32_t(takeNumber(_bytes)));
					}
					layer.push_back(std::move(ranks));
				}
				hosts.push_back(std::move(layer));
			}
			return hosts;
		}

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

	std::string encodeIntent(const SwitchIntent& _intent)
	{
		const Json head{{"term", _intent.term}, {"coordinator", _intent.coordinator}, {"phase", std::string(toString(_intent.phase))}, {"epoch", _intent.epoch}, {"version", _intent.version}, {"boundary", _intent.boundary}, {"inForceVersion", _intent.inForceVersion}};
		return head.dump() + kHeadEnd + encodeHosts(_intent.inForce, {}) + encodeHosts(_intent.map, _intent.inForce);
	}

	SwitchIntent decodeIntent(const std::string& _text)
	{
		try
		{
			const std::size_t end = std::min(_text.find(kHeadEnd), _text.size());
			const Json json = Json::parse(_text.substr(0, end));
			SwitchIntent intent;
			intent.term = json.at("term").get<std::uint64_t>();
			intent.coordinator = json.at("coordinator").get<std::string>();
			for (const SwitchPhase phase : {SwitchPhase::Idle, SwitchPhase::Holding, SwitchPhase::Switching})
			{
				intent.phase = json.at("phase").get<std::string>() == toString(phase) ? phase : intent.phase;
			}
			intent.epoch = json.at("epoch").get<std::uint64_t>();
			intent.version = json.at("version").get<std::uint64_t>();
			intent.boundary = json.at("boundary").get<std::uint64_t>();
			intent.inForceVersion = json.at("inForceVersion").get<std::uint64_t>();
			std::string_view maps = std::string_view(_text).substr(std::min(end + 1, _text.size()));
			intent.inForce = decodeHosts(maps, {});
			intent.map = decodeHosts(maps, intent.inForce);
			return intent;
		}
		catch (const Json::exception& error)
		{
			throw InvalidInputError("row of a group", {{"row", error.what(), "remove the row; the next coordinator writes it anew"}});
		}
	}
} // namespace archdyke
