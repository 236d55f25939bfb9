/// What daemons keep and pass on of their group: newest wins, lists within a share of the link and never
/// by halves.
#include "group/branch.h"
#include "group/fan_out.h"
#include "group/news_rpc.h"

#include <capnp/message.h>
#include <criterion/criterion.h>

using namespace archdyke;
using namespace archdyke::group;

namespace
{
	constexpr double kLinkMbps = 6.0;

	store::Row row(const std::string& _key, std::uint64_t _version)
	{
		return {{"", "", _key}, std::string(400, 'v'), _version, false};
	}

	GroupNews news(std::uint64_t _term, std::uint64_t _number)
	{
		GroupNews result;
		result.coordination = {"g", _term, "10.0.0.1:7340", false};
		result.number = _number;
		result.loads = {3, 0, kLoadUnknown};
		result.gateways = 2;
		result.proof = {9, 7};
		return result;
	}

	/// A daemon that knows a list of some hundred upstreams.
	GroupState groupStateWithUpstreams(std::size_t _upstreams)
	{
		GroupState groupState;
		groupState.news = news(1, 5);
		groupState.roster = {1, 1, {"10.0.0.1:80", "", "10.0.0.3:80"}};
		store::FollowedTable& upstreams = groupState.tables.upstreams;
		upstreams.storeTime = 100;
		for (std::size_t index = 0; index < _upstreams; ++index)
		{
			upstreams.version = 1 + index;
			const std::string key = "upstream-" + std::to_string(index);
			upstreams.rows[key] = row(key, upstreams.version);
		}
		upstreams.wholeAt = 1;
		return groupState;
	}

	EngineReport report(std::uint32_t _rank, std::uint64_t _step, std::uint64_t _map)
	{
		EngineReport result{"g", _rank, 129, {true, 2, true, _step, _map, std::nullopt, 7, std::nullopt}, 3, 2, 1.5};
		return result;
	}
} // namespace

Test(groupnews, the_newest_term_and_number_win)
{
	GroupState groupState;
	applyNews(groupState, {news(2, 1), {}, {}}, 100);
	applyNews(groupState, {news(1, 9), {}, {}}, 200);
	cr_assert(2 == groupState.news.coordination.term && 100 == groupState.newsAt);
	applyNews(groupState, {news(2, 2), {}, {}}, 300);
	cr_assert(2 == groupState.news.number && 350 - 300 == newsFor(groupState, {}, 350).news.ageMs);
}

Test(groupnews, gateways_are_counted_while_they_ask_and_the_newest_proof_is_told)
{
	GroupState groupState;
	recordGateway(groupState, "b", {10, 3}, 1'000);
	recordGateway(groupState, "a", {40, 3}, 1'200);
	const GatewayTally tally = tallyOf(groupState, 1'300);
	cr_assert(2 == tally.count && 40 == tally.proof.storeTime);
	cr_assert(1 == tallyOf(groupState, 3'100).count);
	const GatewayTally both = merged(tally, {1, {41, 4}});
	cr_assert(3 == both.count && 4 == both.proof.changedAt);
	cr_assert(40 == merged(tally, {0, {}}).proof.storeTime);
}

/// One who is told up to which version a list is takes that for having it: a list that doesn't fit into
/// the link's share must not be told of at all.
Test(groupnews, lists_come_whole_or_not_at_all)
{
	kj::AsyncIoContext io = kj::setupAsyncIo();
	const GroupState groupState = groupStateWithUpstreams(130);
	FanOut fanOut({io.provider->getNetwork(), io.provider->getTimer()}, 7340, kLinkMbps, groupState);
	std::size_t whole = 0;
	for (int child = 0; child < 13; ++child)
	{
		GroupState told;
		told.roster = groupState.roster; // it comes before the list
		if (0 == child % 2)
		{
			applyNews(told, newsFor(groupStateWithUpstreams(10), {}, 0), 50); // it has the first of them already
		}
		applyNews(told, fanOut.newsWithinBudget(heldVersions(told)), 100);
		cr_assert(5 == told.news.number, "the state of the group comes always");
		const store::FollowedTable& list = told.tables.upstreams;
		cr_assert(list.rows.size() == list.version, "%zu rows up to %lu", list.rows.size(), static_cast<unsigned long>(list.version));
		whole += 130 == list.rows.size() ? 1 : 0;
	}
	cr_assert(1 <= whole && whole <= 2, "%zu of 13 at once, 56 KB each over a link of 750 KB/s", whole);
	GroupState unheard;
	applyNews(unheard, fanOut.newsWithinBudget(std::nullopt), 100);
	cr_assert(0 == unheard.tables.upstreams.version && 0 == unheard.roster.version);
}

/// After all daemons were killed each of them lacks both. A gateway that asks one without the roster
/// can't use its group.
Test(groupnews, all_get_the_roster_before_any_gets_the_list)
{
	kj::AsyncIoContext io = kj::setupAsyncIo();
	const GroupState groupState = groupStateWithUpstreams(130);
	FanOut fanOut({io.provider->getNetwork(), io.provider->getTimer()}, 7340, kLinkMbps, groupState);
	std::vector<GroupState> children(23);
	for (GroupState& child : children)
	{
		applyNews(child, fanOut.newsWithinBudget(heldVersions(child)), 100);
		cr_assert(1 == child.roster.version);
	}
	applyNews(children.front(), fanOut.newsWithinBudget(heldVersions(children.front())), 200);
	cr_assert(130 == children.front().tables.upstreams.rows.size());
}

Test(groupnews, changes_alone_make_no_list)
{
	store::FollowedTable table;
	const store::TableNews changes{100, 9, false, {row("x", 9)}, {}};
	store::takeNews(table, changes);
	cr_assert(0 == table.version);
	store::takeNews(table, {100, 8, true, {row("a", 3), row("b", 8)}, {}});
	store::takeNews(table, changes);
	cr_assert(9 == table.version && 3 == table.rows.size());
	store::takeNews(table, {90, 7, true, {}, {}});
	cr_assert(3 == table.rows.size(), "an older one changes nothing");
}

Test(groupnews, a_branch_is_told_as_it_was_seen)
{
	const std::vector<std::string> engines{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"};
	BranchSnapshot snapshot;
	snapshot.newest = {"g", 4, "10.0.0.9:7340", true};
	snapshot.tookMs = 12;
	snapshot.children = {{engines[2], report(2, 41, 6), 9}, {engines[0], report(0, 40, 5), 3}};
	snapshot.choices = {2, 190, {200, 3, 0}};
	snapshot.gateways = {2, {9, 7}};
	snapshot.held = {4, 2, {86, 87, 88}};
	capnp::MallocMessageBuilder message;
	auto builder = message.initRoot<rpc::RankDaemon::RelayResults>();
	writeBranchSnapshot(builder, snapshot, engines);
	cr_assert(readBranchSnapshot(builder.asReader(), engines) == snapshot);
}

Test(groupnews, news_are_told_as_they_are)
{
	NewsBundle bundle = newsFor(groupStateWithUpstreams(3), {}, 0);
	bundle.news.paces = {{2, 12.0}};
	bundle.tables.operators = {120, 9, false, {row("x", 8)}, {{"y", 9, 4, std::string("\0\x80z", 3)}}};
	capnp::MallocMessageBuilder message;
	auto builder = message.initRoot<rpc::NewsBundle>();
	writeBundle(builder, bundle);
	cr_assert(readBundle(builder.asReader()) == bundle);
}

/// Gateways that look for their groups after a restart ask many daemons: 36 were counted as 249.
Test(groupnews, a_gateway_that_looks_for_a_group_is_not_counted)
{
	GroupState groupState = groupStateWithUpstreams(1);
	recordGateway(groupState, "", {10, 3}, 1'000);
	cr_assert(0 == tallyOf(groupState, 1'100).count);
	recordGateway(groupState, "a", {10, 3}, 1'100);
	recordGateway(groupState, "", {10, 3}, 1'200);
	cr_assert(1 == tallyOf(groupState, 1'300).count);
}

/// A configuration comes before the list of upstreams, which is longer, and neither keeps the other back for good.
Test(groupnews, what_operators_ask_for_comes_before_the_list)
{
	kj::AsyncIoContext io = kj::setupAsyncIo();
	GroupState groupState = groupStateWithUpstreams(130);
	store::Rows rows;
	rows.rows = {{{"", "", "config"}, std::string(35'000, 'c'), 200, false}};
	rows.version = 200;
	rows.storeTime = 100;
	store::takeRows(groupState.tables.operators, rows, true);
	FanOut fanOut({io.provider->getNetwork(), io.provider->getTimer()}, 7340, kLinkMbps, groupState);
	GroupState told;
	told.roster = groupState.roster;
	applyNews(told, fanOut.newsWithinBudget(heldVersions(told)), 100);
	cr_assert(200 == told.tables.operators.version && 0 == told.tables.upstreams.version);
	const NewsBundle proofAlone = fanOut.newsWithinBudget(HeldVersions());
	cr_assert(0 == proofAlone.tables.operators.version && 5 == proofAlone.news.number, "the link's share is used up");
}
