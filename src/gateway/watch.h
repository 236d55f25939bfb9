/// Follows three tables of the store: the operators' table, the upstreams and the crashes that gateways saw. Uses the
/// updates that coordinators of engine groups relay through their daemons, and calls the store only while these
/// are missing or too old.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/crash_teller.h"
#include "gateway/state.h"
#include "store/table_news.h"

namespace archdyke::gateway
{
	/// Decoders that the adapter provides.
	struct DocumentDecoders
	{
		Catalog (*catalog)(const std::string& _document);
		UpstreamRecord (*upstream)(const std::string& _incarnation, const std::string& _document);
	};

	/// State of the store as relayed by a coordinator.
	struct CoordinatorUpdate
	{
		store::ConfigurationProof proof;
		store::TablesNews tables;
		std::uint32_t gateways = 1; ///< Number of gateways that the coordinator sends updates to.
	};

	/// Runs from its construction to its destruction.
	class StoreWatch
	{
	public:
		StoreWatch(GatewayState& _state, store::TableStore& _store, store::TableNames _names, DocumentDecoders _decoders);

		/// @returns The latest proof known to this gateway.
		store::ConfigurationProof proof() const;

		/// @returns The version up to which each table is known; 0 before the first read.
		store::TableVersions versions() const;

		/// Applies a coordinator's update. Of updates from several coordinators, the newest state of each table counts.
		void applyUpdate(const CoordinatorUpdate& _update);

		/// Records that a polled daemon had no update.
		void recordEmptyUpdate();

	private:
		/// A followed table and the functions that handle it.
		struct Feed
		{
			std::string name; ///< Name of the table in the store.
			store::FollowedTable store::FollowedTables::*table = nullptr;
			bool (StoreWatch::*isCovered)(Millis _now) const = nullptr; ///< Whether relayed updates suffice, so that no call to the store is needed now.
			/// @returns How long the store may hold a call for the table's changes open, ms.
			Millis (StoreWatch::*waitMs)() const = nullptr;
			/// Applies rows: a full snapshot of the table, or its changes.
			/// @param[in] _known Version up to which the table was known before.
			void (StoreWatch::*apply)(const store::Rows& _rows, std::uint64_t _known, bool _whole) = nullptr;
			Millis pauseMs = 0;                                   ///< Pause after a response with rows.
			bool lastCallSucceeded = true;                        ///< Whether the last call for it was answered.
			bool calling = false;                                 ///< Whether it is followed by calls to the store, not by relayed updates.
			bool needsWhole = false;                              ///< The store no longer has the changes; a full read is needed.
			Millis currentAsOf = 0;                               ///< Time at which the relayed state was the newest in the store; local clock, conservative.
			kj::Own<kj::PromiseFulfiller<store::Rows>> interrupt; ///< Ends the pending call.
			kj::Promise<void> following = nullptr;
		};

		/// Reads some upstreams from the store, waits a short time for their daemons to relay the tables, then follows the
		/// tables.
		aio::Task<void> start();
		aio::Task<void> readFirstUpstreams();
		aio::Task<void> follow(Feed& _feed);
		/// Waits while relayed updates suffice. If they did until recently, adds a random delay, so that gateways don't all
		/// call the store at once.
		aio::Task<void> waitWhileCovered(Feed& _feed);
		/// Calls the store for a table's changes or for a full snapshot.
		aio::Task<store::Rows> call(Feed& _feed, bool _whole);
		/// Applies a response with the requested rows.
		/// @returns Pause before the next call, ms.
		Millis applyStoreResponse(Feed& _feed, const store::Rows& _rows, bool _whole);
		/// Applies a relayed update of one table.
		void applyTableNews(Feed& _feed, const store::TableNews& _news);
		/// Applies the rows of a table that are newer than a version.
		void applyChanges(const Feed& _feed, std::uint64_t _known);

		bool operatorsAreCovered(Millis _now) const;
		bool upstreamsAreCovered(Millis _now) const;
		bool crashesAreCovered(Millis _now) const;
		/// @returns Whether a coordinator has recently relayed the table's newest state.
		bool isRelayedRecently(const Feed& _feed, Millis _now, Millis _maxAgeMs) const;
		Millis operatorsWait() const;
		Millis upstreamsWait() const;
		Millis crashesWait() const;
		/// Applies rows of the operators' table.
		void applyOperators(const store::Rows& _rows, std::uint64_t _known, bool _whole);
		/// @returns Whether the configuration in force has changed.
		bool applyCatalog(const store::Row& _row);
		void applyZones(const store::Rows& _rows, bool _whole);
		/// @returns Whether rows are the first ones read after the store came back from an earlier copy. They may be older than
		/// what is known until their writers write again.
		static bool isFromCopy(const store::Rows& _rows, std::uint64_t _known);
		/// Applies what was read from a copy and not written again in time, and publishes what the copy lacks.
		void applyDoubtedRows(Millis _now);
		void applyUpstreams(const store::Rows& _rows, std::uint64_t _known, bool _whole);
		/// Applies a row. An unreadable row deactivates its upstream.
		/// @param[in] _afterFirstList Whether the row came after the first list, so that a new upstream has just started.
		void applyUpstreamRow(const store::Row& _row, bool _afterFirstList);
		/// An upstream as described by its rows.
		struct Listing
		{
			UpstreamRecord record;
			bool afterFirstList = true; ///< It wasn't in the first list that this gateway read.
			bool readable = true;       ///< Whether its last row is readable.
		};
		/// @returns The listing of a record, completed by what earlier rows of the same run said while its service wasn't
		/// configured.
		Listing listingOf(UpstreamRecord _record, bool _afterFirstList) const;
		void learn(const Listing& _listing);
		/// @returns Whether the configuration names the service of an upstream; true while there is no configuration.
		bool hasConfiguredService(const UpstreamRecord& _record) const;
		/// Registers the upstreams whose service the configuration names by now, and deactivates those learned before the
		/// first configuration whose service it doesn't name.
		void admitConfiguredUpstreams();
		/// Removes the upstreams that a full snapshot doesn't contain.
		void removeUnlisted(const store::Rows& _rows);
		void removeUpstream(const std::string& _incarnation);
		/// Records which crashes a copy lacks, and when to publish them again.
		void recordLost(const store::Rows& _rows);
		void applyCrashes(const store::Rows& _rows, std::uint64_t _known, bool _whole);
		/// Handles everything that depends on time alone: pending removals, cold upstreams, broken attempts and crashes.
		aio::Task<void> runPeriodicChecks();
		/// Records when the store last responded to this gateway or to a coordinator, and detects that it was unreachable
		/// before.
		/// @param[in] _respondedAt Local clock, conservative.
		void recordStoreResponse(Millis _respondedAt);
		/// @returns Delay before a failed call is retried, ms.
		Millis retryDelayMs(Millis _retryMs);
		/// @returns A random delay, ms, long enough that all gateways of a coordinator together make a bounded number of calls
		/// per second.
		Millis sharedRetryDelayMs();
		/// @returns Whether a coordinator sends updates now.
		bool hasRecentUpdate() const;
		/// Waits until a later proof is relayed, the time is over, or updates of coordinators begin or end.
		aio::Task<void> waitForNewProof(Millis _pauseMs);
		/// Ends the pending calls of all other feeds: the store may have lost them.
		void interruptCalls(const Feed& _but);
		/// Records the era of the store. When it has risen, the store came back from an earlier copy: rows may be missing until
		/// they are written again, and pending calls wait for changes since versions that it lacks.
		void recordEra(std::uint64_t _era, const Feed& _feed);
		/// Logs that a table is now followed by calls to the store.
		void logCalling(const Feed& _feed) const;
		/// Logs a response that took longer than the store was asked to wait.
		static void logLateResponse(const Feed& _feed, Millis _waitMs, Millis _tookMs);
		/// Records the result of a call to the store. A failed call for the operators' table also ends the pending calls for
		/// the other tables.
		void recordCall(Feed& _feed, bool _succeeded, const std::string& _reason);
		/// @returns A share of the maximum time until a key is revoked, ms.
		Millis shareOfRevocation(double _share) const;
		/// @returns A share of the maximum time until a change takes effect, ms.
		Millis shareOfChange(double _share) const;

		GatewayState& state;
		store::TableStore& store;
		store::TableNames names;
		DocumentDecoders decoders;
		CrashPublisher crashPublisher;

		store::FollowedTables tables;
		std::uint64_t catalogRow = 0;    ///< Version of the last configuration row that was read.
		std::uint64_t unreadableRow = 0; ///< Version of a configuration row that can't be decoded; 0: none.
		bool upstreamsListed = false;    ///< Whether a list of upstreams was read.
		std::uint32_t emptyUpdates = 0;  ///< Number of polled daemons that had no update.
		Feed operators;
		Feed upstreams;
		Feed crashes;

		store::ConfigurationProof relayedProof; ///< The latest relayed proof.
		Millis lastUpdateAt = 0;                ///< Time of the last update of any coordinator.
		Millis behindSince = 0;                 ///< Since when a relayed proof covers a change that isn't known here; 0: none does.
		std::uint32_t coordinatorGateways = 1;  ///< Number of gateways that the last coordinator sends updates to.
		Millis startupGraceUntil = 0;           ///< Until then no calls are made, so that daemons that relay updates can be found.
		std::optional<std::uint64_t> era;       ///< Of the store; none before its first response.
		Millis lastStoreResponseAt = 0;         ///< Last response of the store to this gateway or a coordinator; local clock, conservative.

		Millis upstreamsReadableSince = 0;             ///< When the list of upstreams became readable again.
		std::map<std::string, Listing> withoutService; ///< Upstreams whose service the configuration doesn't name.
		std::map<std::string, Listing> learnedEarly;   ///< Upstreams that were learned before the first configuration.
		/// A row of an upstream that was removed before, read from a copy.
		struct DoubtedRow
		{
			store::Row row;
			Millis until = 0;
		};
		std::map<std::string, Millis> removedAt;       ///< Upstreams whose rows were removed lately.
		std::map<std::string, DoubtedRow> doubtedRows; ///< By incarnation.
		Millis lostCrashesDueAt = 0;                   ///< When to publish the crashes that a copy lacks; 0: never.
		Millis zonesDoubtedUntil = 0;                  ///< When to apply the rows of zones that were read from a copy; 0: never.
		std::map<std::string, Millis> pendingRemoval;  ///< Upstreams whose rows expired while the store was unreachable, and when to remove them.
		kj::Promise<void> startup = nullptr;
		kj::Promise<void> periodicChecks = nullptr;
	};
} // namespace archdyke::gateway
