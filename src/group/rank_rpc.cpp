#include "group/rank_rpc.h"

#include <arpa/inet.h>
#include <fmt/format.h>

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

		std::vector<std::uint32_t> numbersOf(capnp::List<std::uint32_t>::Reader _list)
		{
			std::vector<std::uint32_t> numbers;
			numbers.reserve(_list.size());
			for (const std::uint32_t number : _list)
			{
				numbers.push_back(number);
			}
			return numbers;
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
		report.counts.epoch = _reader.getCountsEpoch();
		report.counts.counts = numbersOf(_reader.getCounts());
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
		_builder.setCountsEpoch(_report.counts.epoch);
		auto counts = _builder.initCounts(unsigned(_report.counts.counts.size()));
		for (unsigned index = 0; index < counts.size(); ++index)
		{
			counts.set(index, _report.counts.counts[index]);
		}
	}

	EngineOrder readOrder(rpc::RankOrder::Reader _reader)
	{
		EngineOrder order;
		order.kind = RankOrderKind(std::min<unsigned>(_reader.getKind(), unsigned(RankOrderKind::Release)));
		order.epoch = _reader.getEpoch();
		order.version = _reader.getVersion();
		order.step = _reader.getStep();
		for (const auto set : _reader.getMap())
		{
			order.expertsByRank.emplace_back();
			for (const auto rank : set)
			{
				order.expertsByRank.back().push_back(numbersOf(rank));
			}
		}
		return order;
	}

	void writeOrder(rpc::RankOrder::Builder _builder, const EngineOrder& _order)
	{
		_builder.setKind(std::uint8_t(_order.kind));
		_builder.setEpoch(_order.epoch);
		_builder.setVersion(_order.version);
		_builder.setStep(_order.step);
		auto sets = _builder.initMap(unsigned(_order.expertsByRank.size()));
		for (unsigned set = 0; set < sets.size(); ++set)
		{
			auto ranks = sets.init(set, unsigned(_order.expertsByRank[set].size()));
			for (unsigned rank = 0; rank < ranks.size(); ++rank)
			{
				const std::vector<std::uint32_t>& experts = _order.expertsByRank[set][rank];
				auto list = ranks.init(rank, unsigned(experts.size()));
				for (unsigned index = 0; index < list.size(); ++index)
				{
					list.set(index, experts[index]);
				}
			}
		}
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
