#include "group/rank_rpc.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fmt/format.h>
#include <limits>

#include "archdyke/errors.h"
#include "http/socket_address.h"

namespace archdyke::group
{
	namespace
	{
		/// Bits of a count on the wire. Only shares of choices matter, and the hottest expert is chosen at
		/// most about 20 times as often as the mean.
		constexpr unsigned kChoiceBits = 8;

		/// @returns The number of bits by which the numbers must be shifted right to fit.
		unsigned shiftFor(const std::vector<std::uint32_t>& _numbers)
		{
			const auto max = std::max_element(_numbers.begin(), _numbers.end());
			unsigned shift = 0;
			while (_numbers.end() != max && 0 != *max >> (shift + kChoiceBits))
			{
				shift += 1;
			}
			return shift;
		}

		void writeChoices(rpc::RankReport::Builder _builder, const std::vector<std::uint32_t>& _numbers)
		{
			const unsigned shift = shiftFor(_numbers);
			_builder.setChoicesShift(std::uint8_t(shift));
			auto list = _builder.initChoices(unsigned(_numbers.size()));
			for (unsigned index = 0; index < list.size(); ++index)
			{
				list.set(index, std::uint8_t(_numbers[index] >> shift));
			}
		}

		std::vector<std::uint32_t> readChoices(rpc::RankReport::Reader _reader)
		{
			const unsigned shift = std::min<unsigned>(_reader.getChoicesShift(), std::numeric_limits<std::uint32_t>::digits - kChoiceBits);
			std::vector<std::uint32_t> numbers;
			numbers.reserve(_reader.getChoices().size());
			for (const std::uint8_t number : _reader.getChoices())
			{
				numbers.push_back(std::uint32_t(number) << shift);
			}
			return numbers;
		}

		/// Bits of a map change on the wire, in addition to the bit that tells arrivals from removals.
		constexpr unsigned kSetBits = 8;
		constexpr unsigned kRankBits = 11;
		constexpr unsigned kExpertBits = 12;

		std::uint32_t packChange(const MapChange& _change)
		{
			if (0 != _change.set >> kSetBits || 0 != _change.rank >> kRankBits || 0 != _change.expert >> kExpertBits)
			{
				throw InvalidInputError("map difference", {{"change", "more than 256 sets, 2,048 ranks or 4,096 experts", "widen the fields of a change in src/rank.capnp"}});
			}
			return ((((_change.arrives ? 1U : 0U) << kSetBits | _change.set) << kRankBits | _change.rank) << kExpertBits) | _change.expert;
		}

		MapChange unpackChange(std::uint32_t _packed)
		{
			const std::uint32_t expert = _packed & ((1U << kExpertBits) - 1);
			const std::uint32_t rank = (_packed >> kExpertBits) & ((1U << kRankBits) - 1);
			const std::uint32_t set = (_packed >> (kExpertBits + kRankBits)) & ((1U << kSetBits) - 1);
			return {set, rank, 0 != _packed >> (kExpertBits + kRankBits + kSetBits), expert};
		}

		bool contains(const std::vector<std::uint32_t>& _experts, std::uint32_t _expert)
		{
			return _experts.end() != std::find(_experts.begin(), _experts.end(), _expert);
		}

		void addChanges(std::vector<MapChange>& _changes, std::uint32_t _set, std::uint32_t _rank, const std::vector<std::uint32_t>& _before, const std::vector<std::uint32_t>& _after)
		{
			for (const std::uint32_t expert : _after)
			{
				if (!contains(_before, expert))
				{
					_changes.push_back({_set, _rank, true, expert});
				}
			}
			for (const std::uint32_t expert : _before)
			{
				if (!contains(_after, expert))
				{
					_changes.push_back({_set, _rank, false, expert});
				}
			}
		}
	} // namespace

	std::uint64_t encodeOptional(const std::optional<std::uint64_t>& _value)
	{
		return _value.value_or(0);
	}

	std::optional<std::uint64_t> decodeOptional(std::uint64_t _value)
	{
		return 0 == _value ? std::nullopt : std::optional(_value);
	}

	std::string readEndpoint(rpc::Endpoint::Reader _reader)
	{
		const std::uint32_t ip = _reader.getIp();
		const bool none = 0 == ip && 0 == _reader.getPort();
		return none ? std::string() : fmt::format("{}.{}.{}.{}:{}", ip >> 24, (ip >> 16) & 255U, (ip >> 8) & 255U, ip & 255U, _reader.getPort());
	}

	void writeEndpoint(rpc::Endpoint::Builder _builder, const std::string& _address)
	{
		if (_address.empty())
		{
			return;
		}
		const sockaddr_in address = http::parseSocketAddress(_address);
		_builder.setIp(ntohl(address.sin_addr.s_addr));
		_builder.setPort(ntohs(address.sin_port));
	}

	Coordination readCoordination(rpc::Coordination::Reader _reader)
	{
		return {_reader.getGroup().cStr(), _reader.getTerm(), _reader.getAddress().cStr(), _reader.getStoreLost()};
	}

	void writeCoordination(rpc::Coordination::Builder _builder, const Coordination& _coordination)
	{
		_builder.setGroup(_coordination.group);
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
		engine.pace = _reader.getPace();
		engine.view = {true, _reader.getEpoch(), _reader.getOpen(), _reader.getStep(), _reader.getMap(), decodeOptional(_reader.getPrepared()), decodeOptional(_reader.getArmed()), decodeOptional(_reader.getHeld())};
		report.choices = {_reader.getCountsEpoch(), _reader.getCountsSample(), _reader.getCountsSince(), readChoices(_reader)};
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
		_builder.setPrepared(encodeOptional(engine.view.prepared));
		_builder.setArmed(encodeOptional(engine.view.armed));
		_builder.setHeld(encodeOptional(engine.view.held));
		_builder.setCountsEpoch(_report.choices.epoch);
		_builder.setCountsSample(_report.choices.sample);
		_builder.setCountsSince(_report.choices.since);
		_builder.setPace(float(engine.pace));
		writeChoices(_builder, _report.choices.choices);
	}

	EngineOrder readOrder(rpc::RankOrder::Reader _reader)
	{
		EngineOrder order;
		order.kind = RankOrderKind(std::min<unsigned>(_reader.getKind(), unsigned(RankOrderKind::Disarm)));
		order.epoch = _reader.getEpoch();
		order.version = _reader.getVersion();
		order.step = _reader.getStep();
		return order;
	}

	MapDifference readDifference(rpc::PlacedExperts::Reader _reader)
	{
		MapDifference difference{_reader.getBase(), _reader.getSets(), _reader.getExperts(), _reader.getRanks(), {}};
		for (const std::uint32_t change : _reader.getChanges())
		{
			difference.changes.push_back(unpackChange(change));
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
		auto changes = map.initChanges(unsigned(_difference.changes.size()));
		for (unsigned index = 0; index < changes.size(); ++index)
		{
			changes.set(index, packChange(_difference.changes[index]));
		}
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
				throw InvalidInputError("map difference", {{"change", "a set or rank that the base map doesn't have", "run daemons of one version"}});
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
} // namespace archdyke::group
