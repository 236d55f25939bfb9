/// Converts between archdyke's types and those of the RPC between the daemons of a group.
#pragma once

#include "generated/rank.capnp.h"
#include "group/coordination.h"
#include "group/engine.h"

namespace archdyke::group
{
	/// Expert choices between two samples of one engine.
	struct ChoiceSample
	{
		std::uint64_t epoch = 0;
		std::uint64_t sample = 0;           ///< Number of the sample; 0: no counts.
		std::uint64_t since = 0;            ///< Number of the previous sample; 0: this is the first one.
		std::vector<std::uint32_t> choices; ///< Choices since then, set by set; empty for a first sample.

		bool operator==(const ChoiceSample&) const = default;
	};

	/// Report of a rank's sidecar to the coordinator.
	struct RankReport
	{
		std::string service;
		EngineReport engine;
		ChoiceSample choices; ///< Sample 0 if counts weren't requested.

		bool operator==(const RankReport&) const = default;
	};

	/// Adds an expert to a rank or removes it.
	struct MapChange
	{
		std::uint32_t set = 0;
		std::uint32_t rank = 0;
		bool arrives = false;
		std::uint32_t expert = 0;

		bool operator==(const MapChange&) const = default;
	};

	/// A map, given as its difference from a base map.
	struct MapDifference
	{
		std::uint64_t base = 0; ///< Version of the base map; 0: the round-robin map.
		std::uint32_t sets = 0;
		std::uint32_t experts = 0; ///< Per set.
		std::uint32_t ranks = 0;
		std::vector<MapChange> changes;

		bool operator==(const MapDifference&) const = default;
	};

	/// @returns The difference that turns _base into _map; both have the same sets and ranks.
	MapDifference differenceOf(std::uint64_t _baseVersion, const RankExperts& _base, const RankExperts& _map, std::uint32_t _experts);

	/// @returns The base map with the difference applied.
	/// @throws InvalidInputError When the difference doesn't fit the base.
	RankExperts applyDifference(RankExperts _base, const MapDifference& _difference);

	/// Versions and steps start at 1, so on the wire 0 stands for none.
	std::uint64_t encodeOptional(const std::optional<std::uint64_t>& _value);
	std::optional<std::uint64_t> decodeOptional(std::uint64_t _value);

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
