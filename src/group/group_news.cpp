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
		if (0 == _a.count || 0 == _b.count)
		{
			GatewayTally one = 0 == _a.count ? _b : _a;
			one.proof = std::max(_a.proof, _b.proof);
			return one;
		}
		return {_a.count + _b.count, std::min(_a.first, _b.first), std::max(_a.last, _b.last), std::max(_a.proof, _b.proof)};
	}

	void takeNews(GroupKnowledge& _knowledge, const NewsBundle& _bundle, Millis _now)
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
		store::takeNews(_knowledge.upstreams, _bundle.upstreams);
	}

	NewsBundle newsFor(const GroupKnowledge& _knowledge, const HeldVersions& _held, Millis _now)
	{
		NewsBundle bundle;
		bundle.news = _knowledge.news;
		bundle.news.ageMs += _now - _knowledge.newsAt;
		const bool held = _held.rosterTerm == _knowledge.roster.term && _held.rosterVersion == _knowledge.roster.version;
		bundle.roster = held ? Roster() : _knowledge.roster;
		bundle.upstreams = store::newsSince(_knowledge.upstreams, _held.upstreams);
		return bundle;
	}

	std::size_t extraBytes(const NewsBundle& _bundle)
	{
		std::size_t bytes = kEndpointBytes * _bundle.roster.engines.size();
		for (const store::Row& row : _bundle.upstreams.rows)
		{
			bytes += kRowBytes + row.key.key.size() + row.value.size();
		}
		return bytes;
	}

	HeldVersions heldOf(const GroupKnowledge& _knowledge)
	{
		return {_knowledge.roster.term, _knowledge.roster.version, _knowledge.upstreams.version};
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
				tally = merged(tally, {1, name, name, gateway.proof});
			}
		}
		return tally;
	}

	bool isReader(const GroupNews& _news, const std::string& _gateway)
	{
		// The first and the last by name: as a rule they are in different zones.
		return 0 != _news.gateways.count && (_gateway == _news.gateways.first || _gateway == _news.gateways.last);
	}
} // namespace archdyke::group
