#include "group/group_news.h"

#include <algorithm>
#include <tuple>

namespace archdyke::group
{
	namespace
	{
		/// A gateway that hasn't asked for this long is gone, ms: some of its questions. One that
		/// changes its daemon is counted twice meanwhile.
		constexpr Millis kGatewayGoneMs = 2'000;

		/// Lengths on the wire, beside texts, by src/rank.capnp.
		constexpr std::size_t kEndpointBytes = 8;
		constexpr std::size_t kRowBytes = 48;

		bool isNewer(const GroupNews& _a, const GroupNews& _b)
		{
			return std::tuple(_a.coordination.term, _a.number) > std::tuple(_b.coordination.term, _b.number);
		}

		bool isNewer(const Roster& _a, const Roster& _b)
		{
			return std::tuple(_a.term, _a.version) > std::tuple(_b.term, _b.version);
		}
	} // namespace

	GatewayTally merged(const GatewayTally& _a, const GatewayTally& _b)
	{
		return {_a.count + _b.count, std::max(_a.proof, _b.proof)};
	}

	void mergeNews(GroupKnowledge& _knowledge, const NewsBundle& _bundle, Millis _now)
	{
		if (0 != _bundle.news.number && isNewer(_bundle.news, _knowledge.news))
		{
			_knowledge.news = _bundle.news;
			_knowledge.newsAt = _now;
		}
		if (0 != _bundle.roster.version && isNewer(_bundle.roster, _knowledge.roster))
		{
			_knowledge.roster = _bundle.roster;
		}
		// One that can't be used is forgotten, and so held at no version: it is told whole next.
		store::mergeNews(_knowledge.tables.operators, _bundle.tables.operators);
		store::mergeNews(_knowledge.tables.crashes, _bundle.tables.crashes);
		store::mergeNews(_knowledge.tables.upstreams, _bundle.tables.upstreams);
	}

	NewsBundle newsFor(const GroupKnowledge& _knowledge, const HeldVersions& _held, Millis _now)
	{
		NewsBundle bundle;
		bundle.news = _knowledge.news;
		bundle.news.ageMs += _now - _knowledge.newsAt;
		const bool held = _held.rosterTerm == _knowledge.roster.term && _held.rosterVersion == _knowledge.roster.version;
		bundle.roster = held ? Roster() : _knowledge.roster;
		bundle.tables.operators = store::newsSince(_knowledge.tables.operators, _held.tables.operators);
		bundle.tables.crashes = store::newsSince(_knowledge.tables.crashes, _held.tables.crashes);
		bundle.tables.upstreams = store::newsSince(_knowledge.tables.upstreams, _held.tables.upstreams);
		return bundle;
	}

	std::size_t bytesOf(const Roster& _roster)
	{
		return kEndpointBytes * _roster.engines.size();
	}

	std::size_t bytesOf(const store::TableNews& _news)
	{
		std::size_t bytes = 0;
		for (const store::Row& row : _news.rows)
		{
			bytes += kRowBytes + row.key.key.size() + row.value.size();
		}
		for (const store::RowDifference& row : _news.differences)
		{
			bytes += kRowBytes + row.key.size() + row.difference.size();
		}
		return bytes;
	}

	HeldVersions heldOf(const GroupKnowledge& _knowledge)
	{
		return {_knowledge.roster.term, _knowledge.roster.version, store::versionsOf(_knowledge.tables)};
	}

	void noteGateway(GroupKnowledge& _knowledge, const std::string& _name, const store::ConfigurationProof& _proof, Millis _now)
	{
		if (!_name.empty())
		{
			_knowledge.gateways[_name] = {_now, _proof};
		}
		std::erase_if(_knowledge.gateways, [&](const auto& _entry) {
			return _now - _entry.second.askedAt > kGatewayGoneMs;
		});
	}

	GatewayTally tallyOf(const GroupKnowledge& _knowledge, Millis _now)
	{
		GatewayTally tally;
		for (const auto& [name, gateway] : _knowledge.gateways)
		{
			if (_now - gateway.askedAt <= kGatewayGoneMs)
			{
				tally = merged(tally, {1, gateway.proof});
			}
		}
		return tally;
	}
} // namespace archdyke::group
