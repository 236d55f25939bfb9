/// Evacuated zones when responses of the store are late, duplicate, full reads or missing.
#include "archdyke/evacuation.h"

#include <algorithm>

#include "check.h"
#include "store/table_news.h"

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

	const std::vector<std::string> kZones{"north", "south"};
	const std::string kConfiguration = "configuration";
	const std::string kOtherKey = "mark"; ///< Row of no zone; its changes also increase the version.

	/// History of the operators' table: each change writes or removes the row of a key.
	struct StoreHistory
	{
		std::vector<EvacuationRow> changes; ///< Changes with versions 1, 2, ...; the key is stored as zone.

		/// @returns The last change of each key in versions (_from, _upTo].
		std::map<std::string, EvacuationRow> lastChanges(std::size_t _from, std::size_t _upTo) const
		{
			std::map<std::string, EvacuationRow> last;
			for (std::size_t index = _from; index < _upTo; ++index)
			{
				last[this->changes[index].zone] = this->changes[index];
			}
			return last;
		}

		/// @returns Rows in a response of the feed, or of a full read, when the store had _upTo changes.
		std::vector<EvacuationRow> rows(std::size_t _from, std::size_t _upTo, bool _whole) const
		{
			std::vector<EvacuationRow> result;
			for (const auto& [key, change] : this->lastChanges(_whole ? 0 : _from, _upTo))
			{
				if (!_whole || !change.gone)
				{
					result.push_back(change);
				}
			}
			return result;
		}
	};

	/// A process that follows the table. The store's time is its number of changes plus one.
	struct Follower
	{
		store::FollowedTable followed;
		OperatorTable table;
		store::ConfigurationProof told; ///< Latest proof relayed by others.
		std::size_t provenAt = 0;       ///< Number of changes in the store at the newest proof that is valid here.

		void read(const StoreHistory& _store, std::size_t _upTo, bool _whole)
		{
			const std::uint64_t known = this->followed.version;
			store::Rows rows;
			for (const EvacuationRow& row : _store.rows(known, _upTo, _whole))
			{
				rows.rows.push_back({{"", "", row.zone}, "", row.version, row.gone});
			}
			rows.version = _upTo;
			rows.storeTime = Millis(_upTo) + 1;
			store::mergeRows(this->followed, rows, _whole);
			this->applyChanges(known);
			this->provenAt = std::max(this->provenAt, _upTo);
		}

		/// @returns The latest known proof.
		store::ConfigurationProof proof() const
		{
			return std::max(this->told, store::proofOf(this->followed));
		}

		/// @param[in] _rows Whether the news include the rows.
		void applyNews(const Follower& _sender, bool _rows)
		{
			const std::uint64_t known = this->followed.version;
			if (_rows)
			{
				store::mergeNews(this->followed, store::newsSince(_sender.followed, known));
				this->applyChanges(known);
			}
			this->told = std::max(this->told, _sender.proof());
			// A later proof that covers a change that isn't known here is ignored; the table's own proof is valid.
			const bool behind = isMissingChange(this->table, this->proof().changedAt);
			const store::ConfigurationProof validProof = behind ? store::proofOf(this->followed) : this->proof();
			if (0 != validProof.changedAt && 0 != this->followed.version)
			{
				this->provenAt = std::max(this->provenAt, std::size_t(validProof.storeTime - 1));
			}
		}

	private:
		void applyChanges(std::uint64_t _known)
		{
			std::vector<EvacuationRow> zones;
			const store::Rows rows = store::rowsSince(this->followed, _known);
			for (const store::Row& row : rows.rows)
			{
				if (std::find(kZones.begin(), kZones.end(), row.key.key) != kZones.end())
				{
					zones.push_back({row.key.key, row.version, row.gone});
				}
			}
			applyEvacuationRows(this->table, zones, rows.version, _known < this->followed.fullReadVersion);
		}
	};

	/// Compares a follower's state with the store's state at the time of its newest proof.
	void assertMatchesStore(const StoreHistory& _store, const Follower& _follower)
	{
		const std::map<std::string, EvacuationRow> last = _store.lastChanges(0, _follower.provenAt);
		for (const auto& [key, change] : last)
		{
			RC_ASSERT(change.version <= _follower.table.knownVersion);
		}
		for (const std::string& zone : kZones)
		{
			const auto found = last.find(zone);
			const bool inStore = last.end() != found && !found->second.gone;
			const std::vector<std::string> evacuated = evacuatedZones(_follower.table);
			const bool isEvacuatedHere = std::find(evacuated.begin(), evacuated.end(), zone) != evacuated.end();
			RC_ASSERT(isEvacuatedHere == inStore);
		}
	}

	/// One random step: a change in the store, a response of it, news from another process, or a restart.
	void step(StoreHistory& _store, std::vector<Follower>& _followers)
	{
		enum class Action
		{
			Change,
			Feed,
			WholeRead,
			News,
			Restart
		};
		using enum Action;
		Follower& self = _followers[*rc::gen::element<std::size_t>(0, 1, 2)];
		const Action action = *rc::gen::element(Change, Change, Feed, Feed, WholeRead, News, News, News, Restart);
		if (Change == action)
		{
			const std::string key = *rc::gen::element(kZones[0], kZones[0], kZones[1], kConfiguration, kOtherKey);
			const bool gone = kConfiguration != key && *rc::gen::arbitrary<bool>();
			_store.changes.push_back({key, _store.changes.size() + 1, gone});
		}
		else if (News == action)
		{
			self.applyNews(_followers[*rc::gen::element<std::size_t>(0, 1, 2)], *rc::gen::element(true, true, false));
		}
		else if (Action::Restart == action)
		{
			self = Follower();
		}
		else
		{
			// A late response contains fewer changes than the store has by now.
			const bool late = *rc::gen::element(false, false, true);
			const std::size_t newest = _store.changes.size();
			const std::size_t upTo = late ? *rc::gen::inRange<std::size_t>(self.table.knownVersion, newest + 1) : newest;
			self.read(_store, upTo, WholeRead == action);
		}
	}
} // namespace

Test(evacuation, a_zone_is_evacuated_while_its_row_is_there)
{
	OperatorTable table;
	cr_assert(!isEvacuated(table, "north"));
	const std::vector<ZoneChange> begun = applyEvacuationRows(table, {row("north", 5)}, 6, false);
	cr_assert(isOnly(begun, "north", 5, true));
	cr_assert(isEvacuated(table, "north") && !isEvacuated(table, "south"));
	const std::vector<ZoneChange> ended = applyEvacuationRows(table, {gone("north", 9)}, 9, false);
	cr_assert(isOnly(ended, "north", 9, false));
	cr_assert(!isEvacuated(table, "north") && evacuatedZones(table).empty());
}

Test(evacuation, rewriting_a_row_changes_nothing)
{
	OperatorTable table;
	applyEvacuationRows(table, {row("north", 5)}, 5, false);
	cr_assert(applyEvacuationRows(table, {row("north", 8)}, 8, false).empty());
	cr_assert(applyEvacuationRows(table, {gone("south", 9)}, 9, false).empty(), "it wasn't evacuated");
	cr_assert(9 == table.knownVersion);
}

Test(evacuation, an_older_response_never_undoes_a_newer_one)
{
	OperatorTable table;
	applyEvacuationRows(table, {row("north", 5)}, 5, false);
	applyEvacuationRows(table, {gone("north", 9), row("south", 8)}, 9, false);
	cr_assert(applyEvacuationRows(table, {row("north", 5)}, 7, false).empty());
	cr_assert(applyEvacuationRows(table, {row("north", 5)}, 7, true).empty(), "south was evacuated after that read");
	cr_assert(!isEvacuated(table, "north") && isEvacuated(table, "south"));
	cr_assert(9 == table.knownVersion);
}

/// The history that contained the removal was lost.
Test(evacuation, a_full_read_without_a_row_ends_the_evacuation)
{
	OperatorTable table;
	applyEvacuationRows(table, {row("north", 5), row("south", 6)}, 6, false);
	const std::vector<ZoneChange> changes = applyEvacuationRows(table, {row("south", 6)}, 12, true);
	cr_assert(isOnly(changes, "north", 12, false));
	cr_assert(isEvacuated(table, "south"));
	cr_assert(12 == table.knownVersion);
}

/// Otherwise gateways keep requesting a change that none of them can get; seen with 36 gateways.
Test(evacuation, a_known_version_counts_like_its_rows)
{
	OperatorTable table;
	applyEvacuationRows(table, {row("north", 5)}, 20, true);
	cr_assert(!isMissingChange(table, 20) && isMissingChange(table, 21));
}

/// Three gateways read the feed or the full table, restart, or use a proof relayed by another one. A gateway with
/// a proof of a point in time has the store's state of that time.
Test(evacuation, a_relayed_proof_covers_no_unknown_change)
{
	constexpr int kHistoriesPerCase = 100; // a missing rule fails in few of them
	constexpr int kMaxSteps = 60;
	checkProperty("proofs of others hold", [] {
		for (int history = 0; history < kHistoriesPerCase; ++history)
		{
			StoreHistory store{{row("north", 1), row(kConfiguration, 2)}};
			std::vector<Follower> followers(3);
			for (Follower& follower : followers)
			{
				follower.read(store, *rc::gen::element<std::size_t>(0, 2), true);
			}
			const int steps = *rc::gen::inRange(1, kMaxSteps);
			for (int count = 0; count < steps; ++count)
			{
				step(store, followers);
				for (Follower& follower : followers)
				{
					assertMatchesStore(store, follower);
				}
			}
		}
	});
}

/// A process whose first read came after a removal can't report it, only that its read may hide one. The receiver of its
/// news must apply the table before the proof: with the proof alone it kept the zone evacuated after the evacuation ended.
Test(evacuation, a_restarted_process_does_not_hide_a_known_removal)
{
	const StoreHistory store{{row("north", 1), row(kConfiguration, 2), gone("north", 3)}};
	Follower receiver;
	Follower witness;
	Follower started;
	receiver.read(store, 2, true);
	witness.read(store, 2, true);
	witness.read(store, 3, false);
	started.read(store, 3, true);
	receiver.applyNews(started, false);
	cr_assert(!isEvacuated(receiver.table, "north") || receiver.provenAt < 3, "evacuated by a proof of %zu", receiver.provenAt);
	receiver.applyNews(started, true);
	cr_assert(!isEvacuated(receiver.table, "north") && 3 == receiver.provenAt);
}
