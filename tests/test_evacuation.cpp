/// Which zones are evacuated while answers of the store come late, twice, whole or not at all.
#include "archdyke/evacuation.h"

#include <algorithm>

#include "check.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	EvacuationRow row(const std::string& _zone, std::uint64_t _version)
	{
		return {_zone, _version, false};
	}

	EvacuationRow gone(const std::string& _zone, std::uint64_t _version)
	{
		return {_zone, _version, true};
	}

	bool isOnly(const std::vector<ZoneChange>& _changes, const std::string& _zone, std::uint64_t _version, bool _evacuated)
	{
		return std::vector<ZoneChange>{{_zone, _version, _evacuated}} == _changes;
	}

	/// The store's table: each step writes or removes the row of a zone.
	struct StoreHistory
	{
		std::vector<EvacuationRow> changes; ///< Versions 1, 2, ...

		std::vector<EvacuationRow> since(std::uint64_t _version) const
		{
			std::map<std::string, EvacuationRow> last;
			for (std::size_t index = _version; index < this->changes.size(); ++index)
			{
				last[this->changes[index].zone] = this->changes[index];
			}
			std::vector<EvacuationRow> result;
			for (const auto& [zone, change] : last)
			{
				result.push_back(change);
			}
			return result;
		}

		std::vector<EvacuationRow> whole() const
		{
			std::vector<EvacuationRow> result = this->since(0);
			std::erase_if(result, [](const EvacuationRow& _row) {
				return _row.gone;
			});
			return result;
		}
	};
} // namespace

Test(evacuation, a_zone_is_evacuated_while_its_row_is_there)
{
	OperatorTable table;
	cr_assert(!isEvacuated(table, "north"));
	const std::vector<ZoneChange> begun = takeEvacuations(table, {row("north", 5)}, 6, false);
	cr_assert(isOnly(begun, "north", 5, true));
	cr_assert(isEvacuated(table, "north") && !isEvacuated(table, "south"));
	const std::vector<ZoneChange> ended = takeEvacuations(table, {gone("north", 9)}, 9, false);
	cr_assert(isOnly(ended, "north", 9, false));
	cr_assert(!isEvacuated(table, "north") && evacuatedZones(table).empty());
}

Test(evacuation, a_row_that_is_written_again_changes_nothing)
{
	OperatorTable table;
	takeEvacuations(table, {row("north", 5)}, 5, false);
	cr_assert(takeEvacuations(table, {row("north", 8)}, 8, false).empty());
	cr_assert(takeEvacuations(table, {gone("south", 9)}, 9, false).empty(), "it wasn't evacuated");
	cr_assert(9 == table.changedAt, "though others must know of it");
}

Test(evacuation, an_older_answer_never_undoes_a_newer_one)
{
	OperatorTable table;
	takeEvacuations(table, {row("north", 5)}, 5, false);
	takeEvacuations(table, {gone("north", 9), row("south", 8)}, 9, false);
	cr_assert(takeEvacuations(table, {row("north", 5)}, 7, false).empty());
	cr_assert(takeEvacuations(table, {row("north", 5)}, 7, true).empty(), "south was evacuated after that read");
	cr_assert(!isEvacuated(table, "north") && isEvacuated(table, "south"));
	cr_assert(9 == table.knownUpTo && 9 == table.changedAt);
}

/// The history that would have told of the removal was lost.
Test(evacuation, a_zone_that_a_whole_read_does_not_name_is_taken_back)
{
	OperatorTable table;
	takeEvacuations(table, {row("north", 5), row("south", 6)}, 6, false);
	const std::vector<ZoneChange> changes = takeEvacuations(table, {row("south", 6)}, 12, true);
	cr_assert(isOnly(changes, "north", 12, false));
	cr_assert(isEvacuated(table, "south"));
	// Whoever still believes in it must ask the store: the removal was at 12 or before.
	cr_assert(12 == table.changedAt);
}

/// Else 36 gateways ask for a change that none of them can get.
Test(evacuation, what_is_known_up_to_a_version_counts_like_its_rows)
{
	OperatorTable table;
	takeEvacuations(table, {row("north", 5)}, 20, true);
	cr_assert(!isBehind(table, 20) && isBehind(table, 21));
	cr_assert(covers(table, 5) && !covers(table, 4) && !covers(table, 21) && !covers(OperatorTable(), 0));
}

/// Somebody saw the removal, at 9, in the feed. Here it went before a whole read: a third one that knows the
/// table up to 9 may rely on either.
Test(evacuation, a_told_change_that_a_whole_read_did_not_show_counts_from_that_read_on)
{
	OperatorTable table;
	takeEvacuations(table, {row("south", 3)}, 20, true);
	cr_assert(3 == table.changedAt);
	noteToldChange(table, 9);
	cr_assert(20 == table.changedAt);
	noteToldChange(table, 25);
	cr_assert(20 == table.changedAt, "that one isn't known here yet");
	noteToldChange(table, 2);
	cr_assert(20 == table.changedAt);
}

Test(evacuation, a_configuration_counts_as_a_change)
{
	OperatorTable table;
	takeEvacuations(table, {row("north", 5)}, 7, false);
	noteChange(table, 7);
	noteChange(table, 6);
	cr_assert(7 == table.changedAt && isEvacuated(table, "north"));
}

/// Three gateways read by turns, in the feed or whole, or go by what another one proved. Whoever has a
/// proof of a moment believes what the store had then.
Test(evacuation, a_told_proof_covers_no_change_that_is_not_known)
{
	checkProperty("proofs of others hold", [] {
		StoreHistory store;
		std::vector<OperatorTable> gateways(3);
		std::vector<std::size_t> provenAt(3, 0); // changes that the store had at each one's newest proof
		const int steps = *rc::gen::inRange(1, 40);
		for (int step = 0; step < steps; ++step)
		{
			const std::size_t self = *rc::gen::inRange<std::size_t>(0, 3);
			OperatorTable& table = gateways[self];
			const int action = *rc::gen::inRange(0, 4);
			if (0 == action)
			{
				const std::string zone = *rc::gen::element(std::string("north"), std::string("south"));
				store.changes.push_back({zone, store.changes.size() + 1, *rc::gen::arbitrary<bool>()});
			}
			else if (3 == action)
			{
				const std::size_t other = *rc::gen::inRange<std::size_t>(0, 3);
				const std::uint64_t told = gateways[other].changedAt;
				noteToldChange(table, told);
				provenAt[self] = covers(table, told) ? std::max(provenAt[self], provenAt[other]) : provenAt[self];
			}
			else
			{
				// A first read is a feed from the start, as for a process that was just started.
				const bool whole = 2 == action && 0 != table.knownUpTo;
				takeEvacuations(table, whole ? store.whole() : store.since(table.knownUpTo), store.changes.size(), whole);
				provenAt[self] = store.changes.size();
			}
			for (std::size_t index = 0; index < gateways.size(); ++index)
			{
				RC_ASSERT(provenAt[index] <= gateways[index].knownUpTo);
			}
		}
	});
}
