/// Tests of the table updates and configuration proofs that one process sends to others.
#include <criterion/criterion.h>

#include "archdyke/freshness.h"
#include "store/table_news.h"

using namespace archdyke;
using namespace archdyke::store;

namespace
{
	Row row(const std::string& _key, const std::string& _value, std::uint64_t _version, bool _gone = false)
	{
		return {{"t", "", _key}, _value, _version, _gone};
	}

	Rows rows(std::vector<Row> _rows, std::uint64_t _version, Millis _storeTime)
	{
		Rows result;
		result.rows = std::move(_rows);
		result.version = _version;
		result.storeTime = _storeTime;
		return result;
	}
} // namespace

Test(storenews, no_update_is_sent_before_the_first_read)
{
	cr_assert(!newsSince(FollowedTable(), 0).storeTime);
}

Test(storenews, an_update_contains_changes_and_removals_since_a_version)
{
	FollowedTable table;
	mergeRows(table, rows({row("a", "A", 3), row("b", "B", 5)}, 6, 100), true);
	mergeRows(table, rows({row("a", "", 8, true), row("c", "C", 9)}, 9, 200), false);
	const TableNews news = newsSince(table, 6);
	cr_assert(!news.whole && 200 == news.storeTime && 9 == news.version && 2 == news.rows.size());
	cr_assert(news.rows[0].gone && "a" == news.rows[0].key.key);
	cr_assert("C" == news.rows[1].value);
}

/// Removals before the full read aren't known, so a receiver with older data gets all existing keys.
Test(storenews, a_receiver_older_than_the_full_read_gets_all_keys)
{
	FollowedTable table;
	mergeRows(table, rows({row("a", "A", 3), row("b", "B", 5)}, 6, 100), true);
	mergeRows(table, rows({row("c", "", 7, true)}, 7, 200), false);
	const TableNews news = newsSince(table, 4);
	cr_assert(news.whole && 2 == news.rows.size());
	cr_assert(news.rows[0].value.empty() && "B" == news.rows[1].value, "a row that the receiver has is sent without its value");
}

Test(storenews, a_full_read_drops_missing_rows)
{
	FollowedTable table;
	mergeRows(table, rows({row("a", "A", 3)}, 6, 100), true);
	mergeRows(table, rows({row("b", "B", 8)}, 9, 200), true);
	const TableNews news = newsSince(table, 6);
	cr_assert(news.whole && 1 == news.rows.size() && "b" == news.rows[0].key.key);
}

/// A received proof is dated by the store's response, regardless of its transmission delay.
Test(storenews, a_received_proof_is_as_old_as_the_stores_response)
{
	Freshness freshness;
	recordRelayedProof(freshness, 5'000);
	cr_assert(!freshness.provenAt, "without the store's clock there is no proof");
	recordProof(freshness, 1'000, 4'000); // the local clock minus the store's clock is at least -3000
	recordRelayedProof(freshness, 5'000);
	cr_assert(2'000 == freshness.provenAt);
	recordRelayedProof(freshness, 4'500);
	cr_assert(2'000 == freshness.provenAt, "an older proof changes nothing");
	cr_assert(300 == proofAge(freshness, 2'300));
}

/// Each proof holds for the store at its time, so the later one is stronger, even if an earlier proof names a higher
/// version because it uses the version of a full read instead of that of the last change.
Test(storenews, of_two_proofs_the_later_one_counts)
{
	const ConfigurationProof byWholeRead{100, 30};
	const ConfigurationProof later{200, 21};
	cr_assert(later > byWholeRead);
	cr_assert(ConfigurationProof() < byWholeRead);
}

/// A process whose data is older than the full read may hold a row whose removal nobody has observed.
Test(storenews, a_full_read_counts_as_a_change)
{
	FollowedTable table;
	cr_assert(ConfigurationProof() == proofOf(table));
	mergeRows(table, rows({row("a", "A", 3), row("b", "B", 5)}, 6, 100), true);
	cr_assert(proofOf(table) == (ConfigurationProof{100, 6}));
	mergeRows(table, rows({}, 8, 200), false);
	cr_assert(proofOf(table) == (ConfigurationProof{200, 6}), "nothing has changed since");
	mergeRows(table, rows({row("a", "", 9, true)}, 9, 300), false);
	cr_assert(proofOf(table) == (ConfigurationProof{300, 9}));
}

namespace
{
	/// @returns A value long enough to be sent as a difference.
	std::string longValue(int _version)
	{
		std::string value;
		for (int line = 0; line < 400; ++line)
		{
			value += "line " + std::to_string(line * 7'919) + (200 == line ? " of " + std::to_string(_version) : "") + "\n";
		}
		return value;
	}
} // namespace

Test(storenews, a_changed_long_row_is_sent_as_a_difference)
{
	FollowedTable sender;
	mergeRows(sender, rows({row("long", longValue(1), 3)}, 3, 100), true);
	FollowedTable receiver;
	cr_assert(mergeNews(receiver, newsSince(sender, 0)) && longValue(1) == receiver.rows["long"].value);
	for (int version = 4; version < 20; ++version)
	{
		mergeRows(sender, rows({row("long", longValue(version), std::uint64_t(version))}, std::uint64_t(version), 100 * version), false);
		const TableNews news = newsSince(sender, receiver.version);
		cr_assert(news.rows.empty() && 1 == news.differences.size() && news.differences[0].difference.size() < 200);
		cr_assert(mergeNews(receiver, news) && longValue(version) == receiver.rows["long"].value);
	}
	const TableNews late = newsSince(sender, 3);
	cr_assert(1 == late.rows.size() && late.differences.empty(), "the value at that version is no longer kept");
}

Test(storenews, a_difference_that_does_not_fit_is_dropped_and_the_full_row_sent)
{
	FollowedTable sender;
	mergeRows(sender, rows({row("long", longValue(1), 3)}, 3, 100), true);
	FollowedTable receiver;
	mergeNews(receiver, newsSince(sender, 0));
	mergeRows(sender, rows({row("long", longValue(2), 4)}, 4, 200), false);
	const TableNews news = newsSince(sender, 3);
	TableNews broken = news;
	broken.differences[0].difference.resize(20);
	FollowedTable another = receiver;
	cr_assert(!mergeNews(another, broken) && 0 == another.version);
	cr_assert(mergeNews(another, newsSince(sender, another.version)) && longValue(2) == another.rows["long"].value);
	// An update based on a value that was replaced in the meantime is ignored.
	FollowedTable ahead = receiver;
	mergeRows(ahead, rows({row("long", longValue(9), 9)}, 9, 300), false);
	cr_assert(mergeNews(ahead, news) && 9 == ahead.version && longValue(9) == ahead.rows["long"].value);
	TableNews fromUnknown = news;
	fromUnknown.version = 12;
	cr_assert(mergeNews(ahead, fromUnknown) && 9 == ahead.version && longValue(9) == ahead.rows["long"].value);
}

/// Tables are ordered by key; of two processes at one address the one registered last is valid.
Test(storenews, rows_are_ordered_by_their_last_write)
{
	const std::vector<Row> ordered = sortedByVersion({row("a", "A", 9), row("b", "B", 3), row("c", "C", 5)});
	cr_assert("b" == ordered[0].key.key && "c" == ordered[1].key.key && "a" == ordered[2].key.key);
}

Test(storenews, versions_of_a_later_era_are_newer_whatever_their_counter)
{
	cr_assert(makeVersion(1, 900) < makeVersion(2, 3) && 2 == eraOf(makeVersion(2, 3)) && 3 == counterOf(makeVersion(2, 3)));
	cr_assert("2.3" == versionText(makeVersion(2, 3)) && 7 == makeVersion(0, 7));
}

/// Guards against a follower that drops what a restored store returns until its counter passes the known one.
Test(storenews, a_full_read_of_a_later_era_replaces_the_table)
{
	FollowedTable table;
	mergeRows(table, rows({row("a", "A", makeVersion(1, 40)), row("b", "B", makeVersion(1, 41))}, makeVersion(1, 41), 100), true);
	const std::uint64_t before = table.version;
	mergeRows(table, rows({row("a", "older A", makeVersion(2, 12))}, makeVersion(2, 30), 200), true);
	cr_assert(makeVersion(2, 30) == table.version && "older A" == table.rows.at("a").value && !table.rows.contains("b"));
	mergeRows(table, rows({row("c", "C", makeVersion(1, 45))}, makeVersion(1, 45), 150), false);
	cr_assert(makeVersion(2, 30) == table.version && !table.rows.contains("c"), "a late response of the earlier era");
	const TableNews news = newsSince(table, before);
	FollowedTable other;
	mergeRows(other, rows({row("a", "A", makeVersion(1, 40)), row("b", "B", makeVersion(1, 41))}, makeVersion(1, 41), 100), true);
	cr_assert(news.whole && mergeNews(other, news) && other.version == table.version && !other.rows.contains("b") && "older A" == other.rows.at("a").value);
}

/// A relay that still holds the earlier era must not bring it back.
Test(storenews, news_and_proofs_of_an_earlier_era_change_nothing)
{
	FollowedTable early;
	mergeRows(early, rows({row("a", "A", makeVersion(1, 40))}, makeVersion(1, 41), 100), true);
	FollowedTable late;
	mergeRows(late, rows({row("a", "newer A", makeVersion(2, 12))}, makeVersion(2, 12), 200), true);
	cr_assert(mergeNews(late, newsSince(early, 0)) && makeVersion(2, 12) == late.version && "newer A" == late.rows.at("a").value);
	cr_assert(proofOf(early) < proofOf(late) && makeVersion(2, 12) == proofOf(late).changedAt);
}

/// A row that can't be used would be logged at each full read.
Test(storenews, each_version_of_an_unusable_row_is_reported_once)
{
	FollowedTable table;
	const Row odd = row("a", "odd", 3);
	mergeRows(table, rows({odd, row("b", "B", 5)}, 6, 100), true);
	cr_assert(recordUnusable(table, odd) && !recordUnusable(table, odd));
	mergeRows(table, rows({odd, row("b", "B", 5)}, 7, 200), true);
	cr_assert(!recordUnusable(table, odd));
	cr_assert(recordUnusable(table, row("a", "odd", 8)), "written again");
	mergeRows(table, rows({row("b", "B", 5)}, 9, 300), true);
	cr_assert(table.unusable.empty(), "removed");
}
