/// The agent's part in the group's expert map: orders to its engine rank, votes, and
/// what it hears from the agents of the other ranks.
#pragma once

#include "agent_server.h"

namespace archdyke
{
	using MapOrderContext = capnp::CallContext<rpc::Agent::OrderMapParams, rpc::Agent::OrderMapResults>;

	class RankControl
	{
	};

	/// Answers an order about the expert map. Null for a plain service.
	inline kj::Promise<void> handleMapOrder(RankControl* _rank, MapOrderContext _context)
	{
		(void)_rank;
		_context.getResults().initReply().setRefused(true);
		return kj::READY_NOW;
	}
} // namespace archdyke
