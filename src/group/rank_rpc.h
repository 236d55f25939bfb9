/// archdyke's types and those of the RPC between the daemons of a group.
#pragma once

#include "generated/rank.capnp.h"
#include "group/engine.h"

namespace archdyke::group
{
	/// What the sidecar of a rank tells the coordinator.
	struct RankReport
	{
		std::string service;
		EngineReport engine;
		EngineCounts counts; ///< Empty when they weren't asked for.

		bool operator==(const RankReport&) const = default;
	};

	/// Who coordinates a group.
	struct Coordination
	{
		std::uint64_t term = 0;
		std::string address;
		bool storeLost = false;

		bool operator==(const Coordination&) const = default;
	};

	/// Load of one rank, by its engine's address.
	struct RankLoad
	{
		std::string address; ///< IP:port.
		std::uint32_t requests = 0;

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

		bool operator==(const GroupLoads&) const = default;
	};

	Coordination readCoordination(rpc::Coordination::Reader _reader);
	void writeCoordination(rpc::Coordination::Builder _builder, const Coordination& _coordination);
	RankReport readReport(rpc::RankReport::Reader _reader);
	void writeReport(rpc::RankReport::Builder _builder, const RankReport& _report);
	EngineOrder readOrder(rpc::RankOrder::Reader _reader);
	void writeOrder(rpc::RankOrder::Builder _builder, const EngineOrder& _order);
	GroupLoads readLoads(rpc::RankDaemon::LoadsResults::Reader _reader);
	void writeLoads(rpc::RankDaemon::LoadsResults::Builder _builder, const GroupLoads& _loads);
} // namespace archdyke::group
