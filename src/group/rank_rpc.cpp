#include "group/rank_rpc.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>

#include "archdyke/errors.h"
#include "http/socket_address.h"

namespace archdyke::group
{
	namespace
	{
		std::uint64_t orNone(const std::optional<std::uint64_t>& _value)
		{
			return _value.value_or(0);
		}

		std::optional<std::uint64_t> fromNone(std::uint64_t _value)
		{
			return 0 == _value ? std::nullopt : std::optional(_value);
		}

		void writeNumbers(capnp::List<std::uint16_t>::Builder _list, const std::vector<std::uint32_t>& _numbers)
		{
			constexpr std::uint32_t kMost = 65'535;
			for (unsigned index = 0; index < _list.size(); ++index)
			{
				_list.set(index, std::uint16_t(std::min(kMost, _numbers[index])));
			}
		}

		std::vector<std::uint32_t> numbersOf(capnp::List<std::uint16_t>::Reader _list)
		{
			std::vector<std::uint32_t> numbers;
			numbers.reserve(_list.size());
			for (const std::uint16_t number : _list)
			{
				numbers.push_back(number);
			}
			return numbers;
		}

		/// Numbers of one change of a map on the wire.
		constexpr unsigned kNumbersPerChange = 4;

		bool holds(const std::vector<std::uint32_t>& _experts, std::uint32_t _expert)
		{
			return _experts.end() != std::find(_experts.begin(), _experts.end(), _expert);
		}

		void addChanges(std::vector<MapChange>& _changes, std::uint32_t _set, std::uint32_t _rank, const std::vector<std::uint32_t>& _before, const std::vector<std::uint32_t>& _after)
		{
			for (const std::uint32_t expert : _after)
			{
				if (!holds(_before, expert))
				{
					_changes.push_back({_set, _rank, true, expert});
				}
			}
			for (const std::uint32_t expert : _before)
			{
				if (!holds(_after, expert))
				{
					_changes.push_back({_set, _rank, false, expert});
				}
			}
		}

		std::string textOf(std::uint32_t _ip, std::uint16_t _port)
		{
			return fmt::format("{}.{}.{}.{}:{}", _ip >> 24, (_ip >> 16) & 255U, (_ip >> 8) & 255U, _ip & 255U, _port);
		}
	} // namespace

	Coordination readCoordination(rpc::Coordination::Reader _reader)
	{
		return {_reader.getTerm(), _reader.getAddress().cStr(), _reader.getStoreLost()};
	}

	void writeCoordination(rpc::Coordination::Builder _builder, const Coordination& _coordination)
	{
		_builder.setTerm(_coordination.term);
		_builder.setAddress(_coordination.address);
		_builder.setStoreLost(_coordination.storeLost);
	}

	RankReport readReport(rpc::RankReport::Reader _reader)
	{
		RankReport report;
		report.service = _reader.getService().cStr();
		EngineReport& engine = report.engine;
		engine.group = _reader.getGroup().cStr();
		engine.rank = _reader.getRank();
		engine.ranks = _reader.getRanks();
		engine.queued = _reader.getQueued();
		engine.active = _reader.getActive();
		engine.view = {true, _reader.getEpoch(), _reader.getOpen(), _reader.getStep(), _reader.getMap(), fromNone(_reader.getPrepared()), fromNone(_reader.getArmed()), fromNone(_reader.getHeld())};
		report.choices = {_reader.getCountsEpoch(), _reader.getCountsSample(), _reader.getCountsSince(), numbersOf(_reader.getChoices())};
		return report;
	}

	void writeReport(rpc::RankReport::Builder _builder, const RankReport& _report)
	{
		const EngineReport& engine = _report.engine;
		_builder.setService(_report.service);
		_builder.setGroup(engine.group);
		_builder.setRank(engine.rank);
		_builder.setRanks(engine.ranks);
		_builder.setQueued(engine.queued);
		_builder.setActive(engine.active);
		_builder.setEpoch(engine.view.epoch);
		_builder.setOpen(engine.view.open);
		_builder.setStep(engine.view.step);
		_builder.setMap(engine.view.map);
		_builder.setPrepared(orNone(engine.view.prepared));
		_builder.setArmed(orNone(engine.view.armed));
		_builder.setHeld(orNone(engine.view.held));
		_builder.setCountsEpoch(_report.choices.epoch);
		_builder.setCountsSample(_report.choices.sample);
		_builder.setCountsSince(_report.choices.since);
		writeNumbers(_builder.initChoices(unsigned(_report.choices.choices.size())), _report.choices.choices);
	}

	EngineOrder readOrder(rpc::RankOrder::Reader _reader)
	{
		EngineOrder order;
		order.kind = RankOrderKind(std::min<unsigned>(_reader.getKind(), unsigned(RankOrderKind::Release)));
		order.epoch = _reader.getEpoch();
		order.version = _reader.getVersion();
		order.step = _reader.getStep();
		return order;
	}

	MapDifference readDifference(rpc::PlacedExperts::Reader _reader)
	{
		MapDifference difference{_reader.getBase(), _reader.getSets(), _reader.getExperts(), _reader.getRanks(), {}};
		const auto numbers = _reader.getChanges();
		for (unsigned at = 0; at + kNumbersPerChange <= numbers.size(); at += kNumbersPerChange)
		{
			difference.changes.push_back({numbers[at], numbers[at + 1], 0 != numbers[at + 2], numbers[at + 3]});
		}
		return difference;
	}

	void writeOrder(rpc::RankOrder::Builder _builder, const EngineOrder& _order, const MapDifference& _difference)
	{
		_builder.setKind(std::uint8_t(_order.kind));
		_builder.setEpoch(_order.epoch);
		_builder.setVersion(_order.version);
		_builder.setStep(_order.step);
		auto map = _builder.initMap();
		map.setBase(_difference.base);
		map.setSets(_difference.sets);
		map.setExperts(_difference.experts);
		map.setRanks(_difference.ranks);
		std::vector<std::uint32_t> numbers;
		for (const MapChange& change : _difference.changes)
		{
			numbers.insert(numbers.end(), {change.set, change.rank, change.arrives ? 1U : 0U, change.expert});
		}
		writeNumbers(map.initChanges(unsigned(numbers.size())), numbers);
	}

	MapDifference differenceOf(std::uint64_t _baseVersion, const RankExperts& _base, const RankExperts& _map, std::uint32_t _experts)
	{
		MapDifference difference{_baseVersion, std::uint32_t(_map.size()), _experts, _map.empty() ? 0 : std::uint32_t(_map.front().size()), {}};
		for (std::uint32_t set = 0; set < _map.size(); ++set)
		{
			for (std::uint32_t rank = 0; rank < _map[set].size(); ++rank)
			{
				addChanges(difference.changes, set, rank, _base[set][rank], _map[set][rank]);
			}
		}
		return difference;
	}

	RankExperts applyDifference(RankExperts _base, const MapDifference& _difference)
	{
		for (const MapChange& change : _difference.changes)
		{
			if (change.set >= _base.size() || change.rank >= _base[change.set].size())
			{
				throw InvalidInputError("map difference", {{"change", "a set or rank that the map doesn't have", "run daemons of one version"}});
			}
			std::vector<std::uint32_t>& experts = _base[change.set][change.rank];
			std::erase(experts, change.expert);
			if (change.arrives)
			{
				experts.insert(std::upper_bound(experts.begin(), experts.end(), change.expert), change.expert);
			}
		}
		return _base;
	}

	GroupLoads readLoads(rpc::RankDaemon::LoadsResults::Reader _reader)
	{
		GroupLoads loads;
		loads.known = _reader.getKnown();
		loads.newest = readCoordination(_reader.getNewest());
		loads.open = _reader.getOpen();
		loads.passMs = _reader.getPassMs();
		loads.gateways = std::max<std::uint32_t>(1, _reader.getGateways());
		for (const auto rank : _reader.getRanks())
		{
			loads.ranks.push_back({textOf(rank.getIp(), rank.getPort()), rank.getRequests()});
		}
		return loads;
	}

	void writeLoads(rpc::RankDaemon::LoadsResults::Builder _builder, const GroupLoads& _loads)
	{
		_builder.setKnown(_loads.known);
		writeCoordination(_builder.initNewest(), _loads.newest);
		_builder.setOpen(_loads.open);
		_builder.setPassMs(float(_loads.passMs));
		_builder.setGateways(_loads.gateways);
		auto ranks = _builder.initRanks(unsigned(_loads.ranks.size()));
		for (unsigned index = 0; index < ranks.size(); ++index)
		{
			const sockaddr_in address = http::socketAddress(_loads.ranks[index].address);
			ranks[index].setIp(ntohl(address.sin_addr.s_addr));
			ranks[index].setPort(ntohs(address.sin_port));
			ranks[index].setRequests(_loads.ranks[index].requests);
		}
	}
} // namespace archdyke::group
