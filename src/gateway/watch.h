/// Follows three tables of the store: what operators ask for, upstreams, and crashes that gateways saw. Goes by what
/// the daemons of engine groups tell of them, and by calls of its own while nobody tells enough.
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
	/// Decoders of the adapter.
	struct DocumentDecoders
	{
		Catalog (*catalog)(const std::string& _document);
		UpstreamRecord (*upstream)(const std::string& _incarnation, const std::string& _document);
	};

	/// What a coordinator tells of the store.
	struct CoordinatorNews
	{
		store::ConfigurationProof proof;
		store::TablesNews tables;
		std::uint32_t gateways = 1; ///< That are told by the same coordinator.
	};

	/// Runs as long as it lives.
	class StoreWatch
	{
	public:
		StoreWatch(GatewayState& _state, store::TableStore& _store, store::TableNames _names, DocumentDecoders _decoders);

		/// @returns The latest proof that is known here.
		store::ConfigurationProof proof() const;

		/// @returns Up to which version each table is known; 0 before the first read.
		store::TableVersions versions() const;

		/// Takes in what a coordinator told of the store; of several the newest counts.
		void takeNews(const CoordinatorNews& _news);

		/// A daemon that was asked had no news.
		void noteUntold();

	private:
		/// A table that is followed, and what is done with its rows.
		struct Feed
		{
			std::string name; ///< Of the table in the store.
			store::FollowedTable store::FollowedTables::*table = nullptr;
			bool (StoreWatch::*isTold)(Millis _now) const = nullptr; ///< Whether others tell enough of it just now.
			/// @returns How long a call for its changes hangs, ms.
			Millis (StoreWatch::*waitMs)() const = nullptr;
			/// Takes in rows: a whole table, or what changed.
			/// @param[in] _known Version up to which the table was known before.
			void (StoreWatch::*take)(const store::Rows& _rows, std::uint64_t _known, bool _whole) = nullptr;
			Millis pauseMs = 0;                                   ///< After an answer that brought rows.
			bool answered = true;                                 ///< Whether the last call for it was answered.
			bool needsWhole = false;                              ///< Its changes can't be had.
			Millis toldFrom = 0;                                  ///< When the store had nothing newer than what was told; own clock, conservatively.
			kj::Own<kj::PromiseFulfiller<store::Rows>> interrupt; ///< Ends the call that hangs.
			kj::Promise<void> following = nullptr;
		};

		/// Learns some upstreams from the store, so that their daemons can be asked for all else; then follows the tables.
		aio::Task<void> begin();
		aio::Task<void> learnSomeUpstreams();
		aio::Task<void> follow(Feed& _feed);
		/// Waits while others tell enough. Where they did lately, the gateways don't begin to call all at once.
		aio::Task<void> waitWhileTold(Feed& _feed);
		/// Makes a call for a table's changes, or for the whole table.
		aio::Task<store::Rows> call(Feed& _feed, bool _whole);
		/// Takes in an answer that has the rows asked for.
		/// @returns Pause before the next call, ms.
		Millis takeAnswer(Feed& _feed, const store::Rows& _rows, bool _whole);
		/// Takes in the news of one table.
		void takeTableNews(Feed& _feed, const store::TableNews& _news);
		/// Acts on what a table holds beyond a version.
		void act(const Feed& _feed, std::uint64_t _known);

		bool operatorsAreTold(Millis _now) const;
		bool upstreamsAreTold(Millis _now) const;
		bool crashesAreTold(Millis _now) const;
		/// @returns Whether a coordinator that has the store's newest state told it lately.
		bool isToldLately(const Feed& _feed, Millis _now, Millis _mostMs) const;
		Millis operatorsWait() const;
		Millis upstreamsWait() const;
		Millis crashesWait() const;
		/// Takes in rows of the operators' table.
		void takeOperators(const store::Rows& _rows, std::uint64_t _known, bool _whole);
		/// @returns Whether the configuration in force has changed.
		bool takeCatalog(const store::Row& _row);
		void takeZones(const store::Rows& _rows, bool _whole);
		void takeUpstreams(const store::Rows& _rows, std::uint64_t _known, bool _whole);
		/// Takes in a row; one that can't be read names no upstream to use, also if it did before.
		/// @param[in] _afterFirstList The row came after the first list: an upstream that is new with it has
		/// started just now.
		void takeUpstream(const store::Row& _row, bool _afterFirstList);
		/// An upstream as its rows list it.
		struct Listing
		{
			UpstreamRecord record;
			bool afterFirstList = true; ///< It wasn't there when this gateway first read the list.
			bool readable = true;       ///< Its last row is.
		};
		/// @returns A row's upstream with what was known of the same run while it was kept aside.
		Listing listingOf(UpstreamRecord _record, bool _afterFirstList) const;
		void learn(const Listing& _listing);
		/// Whether the configuration names the service of an upstream.
		bool isPlaced(const UpstreamRecord& _record) const;
		/// Learns the upstreams whose service is named by now.
		void placeUpstreams();
		/// Takes a whole list: upstreams that it doesn't name are gone.
		void loseUnnamed(const store::Rows& _rows);
		void loseUpstream(const std::string& _incarnation);
		void takeCrashes(const store::Rows& _rows, std::uint64_t _known, bool _whole);
		/// What changes by time alone: upstreams that are in doubt or cold.
		aio::Task<void> followTime();
		/// Notes when the store last answered anybody, and whether it was away before.
		/// @param[in] _answeredAt Own clock, conservatively.
		void noteAnswer(Millis _answeredAt);
		/// @returns Pause before a call that failed is tried again, ms.
		Millis retryAfter(Millis _retryMs);
		/// @returns A time drawn so that all gateways that a coordinator tells make a bounded number of calls a second, ms.
		Millis drawTurn();
		/// Waits, but no longer than until a later proof is told.
		aio::Task<void> waitUnlessTold(Millis _pauseMs);
		/// Ends calls that hang, but for one feed's: the store may have lost them.
		void interruptCalls(const Feed& _but);
		/// Accounts for a call to the store. A failed one for the operators' table also ends those for the others.
		void noteCall(Feed& _feed, bool _answered, const std::string& _reason);
		/// @returns A share of the bound on withdrawn keys, ms.
		Millis shareOfRevocation(double _share) const;
		/// @returns A share of the time in which a change is to be in force, ms.
		Millis shareOfChange(double _share) const;

		GatewayState& state;
		store::TableStore& store;
		store::TableNames names;
		DocumentDecoders decoders;
		CrashTeller crashTeller;

		store::FollowedTables tables;
		std::uint64_t catalogRow = 0;    ///< Version of the configuration's row that was read last.
		std::uint64_t unreadableRow = 0; ///< Version of a configuration that can't be read; 0: none.
		bool upstreamsListed = false;    ///< A list was read.
		std::uint32_t untold = 0;        ///< Daemons that were asked and had no news.
		Feed operators;
		Feed upstreams;
		Feed crashes;

		store::ConfigurationProof toldProof; ///< The latest proof that others told.
		Millis toldAt = 0;                   ///< When a coordinator last told anything.
		Millis behindSince = 0;              ///< Since when others tell of a change that isn't known here; 0: they don't.
		std::uint32_t toldGateways = 1;      ///< How many gateways a coordinator tells.
		Millis settlesUntil = 0;             ///< Until then others may be found that tell.
		Millis answeredAt = 0;               ///< When the store last answered anybody; own clock, conservatively.

		Millis upstreamsBackAt = 0;              ///< When the list could be read again.
		std::map<std::string, Listing> unplaced; ///< Upstreams whose service no configuration names.
		std::map<std::string, Listing> early;    ///< Upstreams that were learnt before there was a configuration.
		std::map<std::string, Millis> doubtful;  ///< Upstreams whose row went with the store; when to forget them.
		kj::Promise<void> beginning = nullptr;
		kj::Promise<void> followingTime = nullptr;
	};
} // namespace archdyke::gateway
