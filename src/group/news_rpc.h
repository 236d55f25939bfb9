/// Reads and writes news of a group in the wire format of src/rank.capnp.
#pragma once

#include "generated/rank.capnp.h"
#include "group/group_news.h"

namespace archdyke::group
{
	GroupNews readNews(rpc::GroupNews::Reader _reader);
	void writeNews(rpc::GroupNews::Builder _builder, const GroupNews& _news);
	GatewayTally readTally(rpc::GatewayTally::Reader _reader);
	void writeTally(rpc::GatewayTally::Builder _builder, const GatewayTally& _tally);
	store::ConfigurationProof readProof(rpc::ConfigurationProof::Reader _reader);
	void writeProof(rpc::ConfigurationProof::Builder _builder, const store::ConfigurationProof& _proof);
	Roster readRoster(rpc::Roster::Reader _reader);
	void writeRoster(rpc::Roster::Builder _builder, const Roster& _roster);
	NewsBundle readBundle(rpc::NewsBundle::Reader _reader);
	void writeBundle(rpc::NewsBundle::Builder _builder, const NewsBundle& _bundle);
	HeldVersions readHeld(rpc::HeldVersions::Reader _reader);
	void writeHeld(rpc::HeldVersions::Builder _builder, const HeldVersions& _held);
} // namespace archdyke::group
