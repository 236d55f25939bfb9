#include "group/group_news.h"

#include <algorithm>
#include <tuple>

namespace archdyke::group
{
	namespace
	{
		/// A gateway that hasn't polled for this long isn't counted any more, ms: several of its polls. A
		/// gateway that changes its daemon is counted twice during this time.
		constexpr Millis kGatewayTimeoutMs = 2'000;

		/// Lengths on the wire without texts, from src/rank.capnp.
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

	void applyNews(GroupState& _groupState, const NewsBundle& _bundle, Millis _now)
	{
		if (0 != _bundle.news.number && isNewer(_bundle.news, _groupState.news))
		{
			_groupState.news = _bundle.news;
			_groupState.newsAt = _now;
		}
		if (0 != _bundle.roster.version && isNewer(_bundle.roster, _groupState.roster))
		{
			_groupState.roster = _bundle.roster;
		}
		// A table whose news can't be applied is cleared, and its version with it, so it is sent whole next.
		store::mergeNews(_groupState.tables.operators, _bundle.tables.operators);
		store::mergeNews(_groupState.tables.crashes, _bundle.tables.crashes);
		store::mergeNews(_groupState.tables.upstreams, _bundle.tables.upstreams);
	}

	NewsBundle newsFor(const GroupState& _groupState, const HeldVersions& _held, Millis _now)
	{
		NewsBundle bundle;
		bundle.news = _groupState.news;
		bundle.news.ageMs += _now - _groupState.newsAt;
		const bool held = _held.rosterTerm == _groupState.roster.term && _held.rosterVersion == _groupState.roster.version;
		bundle.roster = held ? Roster() : _groupState.roster;
		bundle.tables.operators = store::newsSince(_groupState.tables.operators, _held.tables.operators);
		bundle.tables.crashes = store::newsSince(_groupState.tables.crashes, _held.tables.crashes);
		bundle.tables.upstreams = store::newsSince(_groupState.tables.upstreams, _held.tables.upstreams);
		return bundle;
	}

	std::size_t wireBytes(const Roster& _roster)
	{
		return kEndpointBytes * _roster.engines.size();
	}

	std::size_t wireBytes(const store::TableNews& _news)
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

	HeldVersions heldVersions(const GroupState& _groupState)
	{
		return {_groupState.roster.term, _groupState.roster.version, store::versionsOf(_groupState.tables)};
	}

	void recordGateway(GroupState& _groupState, const std::string& _name, const store::ConfigurationProof& _proof, Millis _now)
	{
		if (!_name.empty())
		{
			_groupState.gateways[_name] = {_now, _proof};
		}
		std::erase_if(_groupState.gateways, [&](const auto& _entry) {
			return _now - _entry.second.askedAt > kGatewayTimeoutMs;
		});
	}

	GatewayTally tallyOf(const GroupState& _groupState, Millis _now)
	{
		GatewayTally tally;
		for (const auto& [name, gateway] : _groupState.gateways)
		{
			if (_now - gateway.askedAt <= kGatewayTimeoutMs)
			{
				tally = merged(tally, {1, gateway.proof});
			}
		}
		return tally;
	}
} // namespace archdyke::group
