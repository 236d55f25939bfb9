#include "group/branch.h"

#include <algorithm>
#include <limits>

#include "group/news_rpc.h"

namespace archdyke::group
{
	namespace
	{
		/// @returns The number, limited to the maximum of its field.
		template <typename Field>
		Field clamped(std::uint64_t _number)
		{
			return Field(std::min<std::uint64_t>(_number, std::numeric_limits<Field>::max()));
		}

		/// The part of a report that is usually the same for all ranks of a group. It is sent once, so that a
		/// rank takes 24 bytes instead of 150.
		EngineReport sharedPart(const EngineReport& _report)
		{
			EngineReport shared;
			shared.group = _report.group;
			shared.ranks = _report.ranks;
			shared.view = _report.view;
			shared.view.step = 0;
			return shared;
		}

		EngineReport readShared(rpc::SharedState::Reader _reader)
		{
			EngineReport shared;
			shared.group = _reader.getGroup().cStr();
			shared.ranks = _reader.getRanks();
			shared.view = {true, _reader.getEpoch(), _reader.getOpen(), 0, _reader.getMap(), decodeOptional(_reader.getPrepared()), decodeOptional(_reader.getArmed()), decodeOptional(_reader.getHeld())};
			return shared;
		}

		void writeShared(rpc::SharedState::Builder _builder, const EngineReport& _shared)
		{
			_builder.setGroup(_shared.group);
			_builder.setRanks(_shared.ranks);
			_builder.setEpoch(_shared.view.epoch);
			_builder.setOpen(_shared.view.open);
			_builder.setMap(_shared.view.map);
			_builder.setPrepared(encodeOptional(_shared.view.prepared));
			_builder.setArmed(encodeOptional(_shared.view.armed));
			_builder.setHeld(encodeOptional(_shared.view.held));
		}

		void writeChild(rpc::ChildState::Builder _builder, const ChildSnapshot& _child, std::size_t _position, std::size_t _shared, std::uint64_t _leastStep)
		{
			_builder.setChild(std::uint16_t(_position));
			_builder.setShared(std::uint16_t(_shared));
			_builder.setAgeMs(clamped<std::uint16_t>(std::uint64_t(_child.ageMs)));
			_builder.setRank(std::uint16_t(_child.report.rank));
			_builder.setQueued(clamped<std::uint16_t>(_child.report.queued));
			_builder.setActive(clamped<std::uint16_t>(_child.report.active));
			_builder.setStepsAhead(clamped<std::uint32_t>(_child.report.view.step - _leastStep));
			_builder.setPace(float(_child.report.pace));
		}

		/// Writes children as two lists: the shared parts, and what differs for each child.
		template <typename Builder>
		void writeChildren(Builder _builder, const std::vector<ChildSnapshot>& _children, const std::vector<std::string>& _engines)
		{
			std::vector<EngineReport> shared;
			std::uint64_t leastStep = _children.empty() ? 0 : std::numeric_limits<std::uint64_t>::max();
			for (const ChildSnapshot& child : _children)
			{
				leastStep = std::min(leastStep, child.report.view.step);
			}
			auto children = _builder.initChildren(unsigned(_children.size()));
			for (unsigned index = 0; index < children.size(); ++index)
			{
				const EngineReport common = sharedPart(_children[index].report);
				const auto known = std::find(shared.begin(), shared.end(), common);
				const std::size_t position = std::size_t(known - shared.begin());
				if (shared.end() == known)
				{
					shared.push_back(common);
				}
				const auto engine = std::find(_engines.begin(), _engines.end(), _children[index].engine);
				writeChild(children[index], _children[index], std::size_t(engine - _engines.begin()), position, leastStep);
			}
			_builder.setLeastStep(leastStep);
			auto list = _builder.initShared(unsigned(shared.size()));
			for (unsigned index = 0; index < list.size(); ++index)
			{
				writeShared(list[index], shared[index]);
			}
		}

		template <typename Reader>
		std::vector<ChildSnapshot> readChildren(Reader _reader, const std::vector<std::string>& _engines)
		{
			std::vector<EngineReport> shared;
			for (const auto state : _reader.getShared())
			{
				shared.push_back(readShared(state));
			}
			std::vector<ChildSnapshot> children;
			for (const auto child : _reader.getChildren())
			{
				if (child.getChild() >= _engines.size() || child.getShared() >= shared.size())
				{
					continue; // from a relay of another version; the rank counts as unseen
				}
				ChildSnapshot snapshot{_engines[child.getChild()], shared[child.getShared()], child.getAgeMs()};
				snapshot.report.rank = child.getRank();
				snapshot.report.queued = child.getQueued();
				snapshot.report.active = child.getActive();
				snapshot.report.view.step = _reader.getLeastStep() + child.getStepsAhead();
				snapshot.report.pace = child.getPace();
				children.push_back(std::move(snapshot));
			}
			return children;
		}

		template <typename List>
		std::vector<std::string> readEngines(List _list)
		{
			std::vector<std::string> engines;
			for (const auto engine : _list)
			{
				engines.push_back(readEndpoint(engine));
			}
			return engines;
		}

		template <typename List>
		void writeEngines(List _list, const std::vector<std::string>& _engines)
		{
			for (unsigned index = 0; index < _list.size(); ++index)
			{
				writeEndpoint(_list[index], _engines[index]);
			}
		}
	} // namespace

	BranchQuery readBranchQuery(rpc::RankDaemon::RelayParams::Reader _reader)
	{
		return {readCoordination(_reader.getCoordination()), readEngines(_reader.getEngines()), Millis(_reader.getPatienceMs()), _reader.getCounted()};
	}

	void writeBranchQuery(rpc::RankDaemon::RelayParams::Builder _builder, const BranchQuery& _query)
	{
		writeCoordination(_builder.initCoordination(), _query.coordination);
		writeEngines(_builder.initEngines(unsigned(_query.engines.size())), _query.engines);
		_builder.setPatienceMs(clamped<std::uint16_t>(std::uint64_t(_query.maxWaitMs)));
		_builder.setCounted(clamped<std::uint16_t>(_query.enginesWithCounts));
	}

	BranchSnapshot readBranchSnapshot(rpc::RankDaemon::RelayResults::Reader _reader, const std::vector<std::string>& _engines)
	{
		BranchSnapshot snapshot;
		snapshot.newest = readCoordination(_reader.getNewest());
		snapshot.tookMs = _reader.getTookMs();
		snapshot.children = readChildren(_reader, _engines);
		const RankReport counts = readReport(_reader.getChoices());
		snapshot.choices = {counts.choices.epoch, Millis(_reader.getChoicesSpanMs()), counts.choices.choices};
		snapshot.gateways = readTally(_reader.getGateways());
		snapshot.held = readHeld(_reader.getHeld());
		return snapshot;
	}

	void writeBranchSnapshot(rpc::RankDaemon::RelayResults::Builder _builder, const BranchSnapshot& _snapshot, const std::vector<std::string>& _engines)
	{
		writeCoordination(_builder.initNewest(), _snapshot.newest);
		_builder.setTookMs(clamped<std::uint32_t>(std::uint64_t(_snapshot.tookMs)));
		writeChildren(_builder, _snapshot.children, _engines);
		if (!_snapshot.choices.choices.empty())
		{
			RankReport counts;
			counts.choices.epoch = _snapshot.choices.epoch;
			counts.choices.choices = _snapshot.choices.choices;
			writeReport(_builder.initChoices(), counts);
			_builder.setChoicesSpanMs(clamped<std::uint32_t>(std::uint64_t(_snapshot.choices.spanMs)));
		}
		writeTally(_builder.initGateways(), _snapshot.gateways);
		writeHeld(_builder.initHeld(), _snapshot.held);
	}

	BranchOrder readBranchOrder(rpc::RankDaemon::RelayOrdersParams::Reader _reader)
	{
		const auto batch = _reader.getBatch();
		return {readCoordination(_reader.getCoordination()), readOrder(batch.getOrder()), readDifference(batch.getOrder().getMap()), readEngines(batch.getEngines()), Millis(_reader.getPatienceMs())};
	}

	void writeBranchOrder(rpc::RankDaemon::RelayOrdersParams::Builder _builder, const BranchOrder& _order)
	{
		writeCoordination(_builder.initCoordination(), _order.coordination);
		auto batch = _builder.initBatch();
		writeOrder(batch.initOrder(), _order.order, _order.difference);
		writeEngines(batch.initEngines(unsigned(_order.engines.size())), _order.engines);
		_builder.setPatienceMs(clamped<std::uint16_t>(std::uint64_t(_order.maxWaitMs)));
	}

	BranchOutcome readBranchOutcome(rpc::RankDaemon::RelayOrdersResults::Reader _reader, const std::vector<std::string>& _engines)
	{
		BranchOutcome outcome;
		outcome.tookMs = _reader.getTookMs();
		outcome.children = readChildren(_reader, _engines);
		outcome.outcomes.resize(_engines.size());
		const auto list = _reader.getOutcomes();
		for (unsigned index = 0; index < list.size() && index < outcome.outcomes.size(); ++index)
		{
			if (list[index].getAnswered())
			{
				outcome.outcomes[index] = OrderOutcome{list[index].getAccepted(), list[index].getStatus(), list[index].getBaseUnknown(), std::nullopt};
			}
		}
		return outcome;
	}

	void writeBranchOutcome(rpc::RankDaemon::RelayOrdersResults::Builder _builder, const BranchOutcome& _outcome, const std::vector<std::string>& _engines)
	{
		_builder.setTookMs(clamped<std::uint32_t>(std::uint64_t(_outcome.tookMs)));
		writeChildren(_builder, _outcome.children, _engines);
		auto list = _builder.initOutcomes(unsigned(_outcome.outcomes.size()));
		for (unsigned index = 0; index < list.size(); ++index)
		{
			const std::optional<OrderOutcome>& outcome = _outcome.outcomes[index];
			list[index].setAnswered(outcome.has_value());
			if (outcome)
			{
				list[index].setAccepted(outcome->accepted);
				list[index].setStatus(std::uint16_t(outcome->status));
				list[index].setBaseUnknown(outcome->baseUnknown);
			}
		}
	}
} // namespace archdyke::group
