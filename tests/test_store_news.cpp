/// What one process tells others of a table that it follows in the store, and of its proofs.
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

Test(storenews, nothing_is_told_before_a_read)
{
	cr_assert(!newsSince(FollowedTable(), 0).storeTime);
}

Test(storenews, changes_since_a_version_are_told_with_those_that_went)
{
	FollowedTable table;
	takeRows(table, rows({row("a", "A", 3), row("b", "B", 5)}, 6, 100), true);
	takeRows(table, rows({row("a", "", 8, true), row("c", "C", 9)}, 9, 200), false);
	const TableNews news = newsSince(table, 6);
	cr_assert(!news.whole && 200 == news.storeTime && 9 == news.version && 2 == news.rows.size());
	cr_assert(news.rows[0].gone && "a" == news.rows[0].key.key);
	cr_assert("C" == news.rows[1].value);
}

/// What went before the whole read isn't known, so all keys that are there are told.
Test(storenews, one_who_knows_less_than_the_whole_read_is_told_all_keys)
{
	FollowedTable table;
	takeRows(table, rows({row("a", "A", 3), row("b", "B", 5)}, 6, 100), true);
	takeRows(table, rows({row("c", "", 7, true)}, 7, 200), false);
	const TableNews news = newsSince(table, 4);
	cr_assert(news.whole && 2 == news.rows.size());
	cr_assert(news.rows[0].value.empty() && "B" == news.rows[1].value, "the one that is known comes without its value");
}

Test(storenews, a_whole_read_forgets_what_was_there)
{
	FollowedTable table;
	takeRows(table, rows({row("a", "A", 3)}, 6, 100), true);
	takeRows(table, rows({row("b", "B", 8)}, 9, 200), true);
	const TableNews news = newsSince(table, 6);
	cr_assert(news.whole && 1 == news.rows.size() && "b" == news.rows[0].key.key);
}

/// However long a proof was on its way: it counts from the store's answer.
Test(storenews, a_told_proof_is_as_old_as_the_stores_answer)
{
	Freshness freshness;
	noteToldProof(freshness, 5'000);
	cr_assert(!freshness.provenAt, "without the store's clock nothing is known");
	noteProof(freshness, 1'000, 4'000); // own clock less the store's is -3000 at least
	noteToldProof(freshness, 5'000);
	cr_assert(2'000 == freshness.provenAt);
	noteToldProof(freshness, 4'500);
	cr_assert(2'000 == freshness.provenAt, "an older one changes nothing");
	cr_assert(300 == proofAge(freshness, 2'300));
}

Test(storenews, a_newer_row_goes_before_a_later_proof_of_an_older_one)
{
	const ConfigurationProof newer{3, 100};
	const ConfigurationProof older{2, 900};
	const ConfigurationProof later{3, 200};
	cr_assert(newer > older);
	cr_assert(later > newer);
}

/// A table comes by its keys; of two processes at one address the one that was listed last counts.
Test(storenews, rows_are_taken_in_the_order_in_which_they_were_written)
{
	const std::vector<Row> ordered = inOrderOfWriting({row("a", "A", 9), row("b", "B", 3), row("c", "C", 5)});
	cr_assert("b" == ordered[0].key.key && "c" == ordered[1].key.key && "a" == ordered[2].key.key);
}
