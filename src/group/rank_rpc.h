/// archdyke's types and those of the RPC between the daemons of a group.
#pragma once

#include "generated/rank.capnp.h"
#include "group/coordination.h"
#include "group/engine.h"

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

	/// Versions and steps count from 1 on the wire: 0 is none.
	std::uint64_t orNone(const std::optional<std::uint64_t>& _value);
	std::optional<std::uint64_t> fromNone(std::uint64_t _value);

	Coordination readCoordination(rpc::Coordination::Reader _reader);
	void writeCoordination(rpc::Coordination::Builder _builder, const Coordination& _coordination);
	RankReport readReport(rpc::RankReport::Reader _reader);
	void writeReport(rpc::RankReport::Builder _builder, const RankReport& _report);
	EngineOrder readOrder(rpc::RankOrder::Reader _reader);
	MapDifference readDifference(rpc::PlacedExperts::Reader _reader);
	void writeOrder(rpc::RankOrder::Builder _builder, const EngineOrder& _order, const MapDifference& _difference);

	/// @returns "IP:port".
	std::string readEndpoint(rpc::Endpoint::Reader _reader);
	/// @param[in] _address "IP:port"; empty: none.
	void writeEndpoint(rpc::Endpoint::Builder _builder, const std::string& _address);
} // namespace archdyke::group
