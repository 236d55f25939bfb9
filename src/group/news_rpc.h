/// News of a group on the wire: src/rank.capnp.
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
	store::TableNews readTable(rpc::TableNews::Reader _reader);
	void writeTable(rpc::TableNews::Builder _builder, const store::TableNews& _news);

	/// The messages that bring news or tell what is held: several have the same fields.
	template <typename Reader>
	NewsBundle readBundle(Reader _reader)
	{
		return {readNews(_reader.getNews()), readRoster(_reader.getRoster()), readTable(_reader.getUpstreams())};
	}

	template <typename Builder>
	void writeBundle(Builder _builder, const NewsBundle& _bundle)
	{
		writeNews(_builder.initNews(), _bundle.news);
		writeRoster(_builder.initRoster(), _bundle.roster);
		writeTable(_builder.initUpstreams(), _bundle.upstreams);
	}

	template <typename Reader>
	HeldVersions readHeld(Reader _reader)
	{
		return {_reader.getRosterTerm(), _reader.getRosterVersion(), _reader.getUpstreamsVersion()};
	}

	template <typename Builder>
	void writeHeld(Builder _builder, const HeldVersions& _held)
	{
		_builder.setRosterTerm(_held.rosterTerm);
		_builder.setRosterVersion(_held.rosterVersion);
		_builder.setUpstreamsVersion(_held.upstreams);
	}
} // namespace archdyke::group
