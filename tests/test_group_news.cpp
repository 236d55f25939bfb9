/// News that daemons store and forward: the newest replace older ones, and lists are sent whole, within a
/// share of the link's rate.
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

	/// @returns The state of a daemon that has a list of upstreams.
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
		upstreams.fullReadVersion = 1;
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

Test(groupnews, gateways_are_counted_while_they_poll_and_the_newest_proof_is_kept)
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

/// A receiver that is sent a list's version assumes that it has the list up to it. So if a list doesn't fit
/// into the link's share, its version must not be sent either.
Test(groupnews, lists_come_whole_or_not_at_all)
{
	kj::AsyncIoContext io = kj::setupAsyncIo();
	const GroupState groupState = groupStateWithUpstreams(130);
	FanOut fanOut({io.provider->getNetwork(), io.provider->getTimer()}, 7340, kLinkMbps, groupState);
	std::size_t whole = 0;
	for (int child = 0; child < 13; ++child)
	{
		GroupState receiver;
		receiver.roster = groupState.roster; // is sent before the list
		if (0 == child % 2)
		{
			applyNews(receiver, newsFor(groupStateWithUpstreams(10), {}, 0), 50); // already has the first upstreams
		}
		applyNews(receiver, fanOut.newsWithinBudget(heldVersions(receiver)), 100);
		cr_assert(5 == receiver.news.number, "the state of the group is always sent");
		const store::FollowedTable& list = receiver.tables.upstreams;
		cr_assert(list.rows.size() == list.version, "%zu rows up to %lu", list.rows.size(), static_cast<unsigned long>(list.version));
		whole += 130 == list.rows.size() ? 1 : 0;
	}
	cr_assert(1 <= whole && whole <= 2, "%zu of 13 at once, 56 KB each over a link of 750 KB/s", whole);
	GroupState neverReported;
	applyNews(neverReported, fanOut.newsWithinBudget(std::nullopt), 100);
	cr_assert(0 == neverReported.tables.upstreams.version && 0 == neverReported.roster.version);
}

/// After all daemons were killed, each of them lacks the roster and the list. A gateway that polls a daemon
/// without the roster can't use its group.
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

Test(groupnews, changes_are_not_applied_without_their_base)
{
	store::FollowedTable table;
	const store::TableNews changes{100, 9, false, {row("x", 9)}, {}};
	store::mergeNews(table, changes);
	cr_assert(0 == table.version);
	store::mergeNews(table, {100, 8, true, {row("a", 3), row("b", 8)}, {}});
	store::mergeNews(table, changes);
	cr_assert(9 == table.version && 3 == table.rows.size());
	store::mergeNews(table, {90, 7, true, {}, {}});
	cr_assert(3 == table.rows.size(), "an older one changes nothing");
}

Test(groupnews, a_branch_snapshot_survives_encoding)
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

Test(groupnews, a_news_bundle_survives_encoding)
{
	NewsBundle bundle = newsFor(groupStateWithUpstreams(3), {}, 0);
	bundle.news.paces = {{2, 12.0}};
	bundle.tables.operators = {120, 9, false, {row("x", 8)}, {{"y", 9, 4, std::string("\0\x80z", 3)}}};
	capnp::MallocMessageBuilder message;
	auto builder = message.initRoot<rpc::NewsBundle>();
	writeBundle(builder, bundle);
	cr_assert(readBundle(builder.asReader()) == bundle);
}

/// Guards against counting gateways at each daemon that they poll in the search for their groups after a
/// restart: 36 gateways were counted as 249.
Test(groupnews, a_gateway_that_searches_for_a_group_is_not_counted)
{
	GroupState groupState = groupStateWithUpstreams(1);
	recordGateway(groupState, "", {10, 3}, 1'000);
	cr_assert(0 == tallyOf(groupState, 1'100).count);
	recordGateway(groupState, "a", {10, 3}, 1'100);
	recordGateway(groupState, "", {10, 3}, 1'200);
	cr_assert(1 == tallyOf(groupState, 1'300).count);
}

/// A configuration is sent before the list of upstreams, which is longer, and neither blocks the other for good.
Test(groupnews, the_configuration_is_sent_before_the_list_of_upstreams)
{
	kj::AsyncIoContext io = kj::setupAsyncIo();
	GroupState groupState = groupStateWithUpstreams(130);
	store::Rows rows;
	rows.rows = {{{"", "", "config"}, std::string(35'000, 'c'), 200, false}};
	rows.version = 200;
	rows.storeTime = 100;
	store::mergeRows(groupState.tables.operators, rows, true);
	FanOut fanOut({io.provider->getNetwork(), io.provider->getTimer()}, 7340, kLinkMbps, groupState);
	GroupState receiver;
	receiver.roster = groupState.roster;
	applyNews(receiver, fanOut.newsWithinBudget(heldVersions(receiver)), 100);
	cr_assert(200 == receiver.tables.operators.version && 0 == receiver.tables.upstreams.version);
	const NewsBundle proofAlone = fanOut.newsWithinBudget(HeldVersions());
	cr_assert(0 == proofAlone.tables.operators.version && 5 == proofAlone.news.number, "the link's share is used up");
}

/// A key that ended at its NUL character would name the row of another upstream.
Test(groupnews, a_relayed_row_keeps_a_key_with_a_nul_character)
{
	const std::string key("upstream-0\0x", 12);
	NewsBundle sent;
	sent.tables.upstreams.storeTime = 100;
	sent.tables.upstreams.version = 9;
	sent.tables.upstreams.rows = {row(key, 9)};
	sent.tables.upstreams.differences = {{key, 9, 8, "d"}};
	capnp::MallocMessageBuilder message;
	writeBundle(message.initRoot<rpc::NewsBundle>(), sent);
	const NewsBundle received = readBundle(message.getRoot<rpc::NewsBundle>().asReader());
	cr_assert(key == received.tables.upstreams.rows.front().key.key);
	cr_assert(key == received.tables.upstreams.differences.front().key);
}
