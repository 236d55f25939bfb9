/// archdyke's types and those of the RPC between the daemons of a group.
#pragma once

#include "generated/rank.capnp.h"
#include "group/engine.h"
#include "store/table_news.h"

namespace archdyke::group
{
	/// Choices of experts between two samples of one engine.
	struct ChoiceSample
	{
		std::uint64_t epoch = 0;
		std::uint64_t sample = 0;           ///< Its number; 0: no counts.
		std::uint64_t since = 0;            ///< The sample from which the choices count; 0: a first one.
		std::vector<std::uint32_t> choices; ///< Set by set; empty for a first one.

		bool operator==(const ChoiceSample&) const = default;
	};

	/// What the sidecar of a rank tells the coordinator.
	struct RankReport
	{
		std::string service;
		EngineReport engine;
		ChoiceSample choices; ///< Sample 0 when they weren't asked for.

		bool operator==(const RankReport&) const = default;
	};

	/// Who coordinates a group.
	struct Coordination
	{
		std::string group;
		std::uint64_t term = 0;
		std::string address; ///< Empty: nobody was heard.
		bool storeLost = false;

		bool operator==(const Coordination&) const = default;
	};

	/// An expert that comes to a rank, or goes from it.
	struct MapChange
	{
		std::uint32_t set = 0;
		std::uint32_t rank = 0;
		bool arrives = false;
		std::uint32_t expert = 0;

		bool operator==(const MapChange&) const = default;
	};

	/// A map by its differences from another one.
	struct MapDifference
	{
		std::uint64_t base = 0; ///< Version; 0: the experts dealt to the ranks in turn.
		std::uint32_t sets = 0;
		std::uint32_t experts = 0; ///< Of a set.
		std::uint32_t ranks = 0;
		std::vector<MapChange> changes;

		bool operator==(const MapDifference&) const = default;
	};

	/// @returns What makes _map of _base; both have the same sets and ranks.
	MapDifference differenceOf(std::uint64_t _baseVersion, const RankExperts& _base, const RankExperts& _map, std::uint32_t _experts);

	/// @returns The map that the difference makes of its base.
	/// @throws InvalidInputError When it doesn't fit the base.
	RankExperts applyDifference(RankExperts _base, const MapDifference& _difference);

	/// Load of one rank, by its engine's address.
	struct RankLoad
	{
		std::string address; ///< IP:port.
		std::uint32_t requests = 0;
		double pace = 1.0; ///< Time of a step against the declared one.

		bool operator==(const RankLoad&) const = default;
	};

	/// What a coordinator tells gateways.
	struct GroupLoads
	{
		bool known = false; ///< The asked one is the coordinator.
		Coordination newest;
		bool open = true;
		double passMs = 0.0;
		std::uint32_t gateways = 1;
		std::vector<RankLoad> ranks;
		store::ConfigurationProof proof; ///< The newest that any gateway told.
		bool reader = false;             ///< The asker is to ask the store for the configuration.
		store::TableNews upstreams;

		bool operator==(const GroupLoads&) const = default;
	};

	/// What a gateway tells when it asks for loads.
	struct LoadsQuestion
	{
		std::string gateway;              ///< Its name.
		std::uint64_t upstreamsSince = 0; ///< Version up to which it knows the upstreams; 0: none.
		store::ConfigurationProof proof;  ///< The newest that it has.

		bool operator==(const LoadsQuestion&) const = default;
	};

	LoadsQuestion readQuestion(rpc::RankDaemon::LoadsParams::Reader _reader);
	void writeQuestion(rpc::RankDaemon::LoadsParams::Builder _builder, const LoadsQuestion& _question);
	Coordination readCoordination(rpc::Coordination::Reader _reader);
	void writeCoordination(rpc::Coordination::Builder _builder, const Coordination& _coordination);
	RankReport readReport(rpc::RankReport::Reader _reader);
	void writeReport(rpc::RankReport::Builder _builder, const RankReport& _report);
	EngineOrder readOrder(rpc::RankOrder::Reader _reader);
	MapDifference readDifference(rpc::PlacedExperts::Reader _reader);
	void writeOrder(rpc::RankOrder::Builder _builder, const EngineOrder& _order, const MapDifference& _difference);
	GroupLoads readLoads(rpc::RankDaemon::LoadsResults::Reader _reader);
	void writeLoads(rpc::RankDaemon::LoadsResults::Builder _builder, const GroupLoads& _loads);
} // namespace archdyke::group
