/// Converts between RPC messages and the structs of the map switch.
#pragma once

#include "agent/rank_control.h"
#include "generated/rpc.capnp.h"

namespace archdyke
{
	void writeVotes(rpc::MapVotes::Builder _to, const VoteMessage& _from);
	VoteMessage readVotes(rpc::MapVotes::Reader _from);

	void writeReport(rpc::RankReport::Builder _to, const RankReport& _from);
	RankReport readReport(rpc::RankReport::Reader _from);
} // namespace archdyke
