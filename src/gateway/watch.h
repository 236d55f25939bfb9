/// Follows what operators ask for, the configuration and zones to evacuate, and the list of upstreams:
/// by what a group's coordinator tells of the store, and by calls of its own while nobody tells enough. Tells
/// other gateways of crashes, and learns theirs, through a table of the store.
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
		std::string teller; ///< Service and group.
		store::ConfigurationProof proof;
		store::TableNews upstreams;
		bool reader = false;        ///< This gateway is to ask for the configuration, for the others too.
		std::uint32_t gateways = 1; ///< That are told by the same coordinator.
	};

	/// Runs as long as it lives.
	class StoreWatch
	{
	public:
		StoreWatch(GatewayState& _state, store::TableStore& _store, store::TableNames _names, DocumentDecoders _decoders);

		/// @returns What this gateway tells a coordinator of its proof.
		store::ConfigurationProof proof() const;

		/// @returns Version up to which the upstreams are known; 0 before the first read.
		std::uint64_t upstreamsVersion() const;

		/// Takes in what a coordinator told of the store; of several the newest counts.
		void takeNews(const CoordinatorNews& _news);

	private:
		/// A table that is followed, and what is done with its rows.
		struct Feed
		{
			std::string_view name; ///< For the log.
			/// Reads the whole table without a version, else waits for changes since that one.
			aio::Task<store::Rows> (StoreWatch::*next)(std::optional<std::uint64_t> _since);
			void (StoreWatch::*take)(const store::Rows& _rows, bool _whole);
			Millis pauseMs = 0;                            ///< After an answer that brought rows.
			std::optional<std::uint64_t>* since = nullptr; ///< Version up to which the table is known.
			bool* answered = nullptr;                      ///< Whether the last call for it was answered.
			bool (StoreWatch::*isTold)() const;            ///< Whether others tell enough of it just now.
		};

		/// An upstream as its rows list it.
		struct Listing
		{
			UpstreamRecord record;
			bool afterFirstList = true; ///< It wasn't there when this gateway first read the list.
			bool readable = true;       ///< Its last row is.
		};

		aio::Task<void> follow(Feed _feed);
		/// Takes in an answer that has the rows asked for.
		/// @returns Pause before the next call, ms.
		Millis takeAnswer(const Feed& _feed, const store::Rows& _rows, bool _whole);
		aio::Task<store::Rows> nextConfiguration(std::optional<std::uint64_t> _since);
		aio::Task<store::Rows> nextUpstreams(std::optional<std::uint64_t> _since);
		aio::Task<store::Rows> nextCrashes(std::optional<std::uint64_t> _since);
		/// A call for changes that hangs long, and can be ended before.
		aio::Task<store::Rows> followLong(std::string _table, std::uint64_t _since, Millis _waitMs, kj::Own<kj::PromiseFulfiller<store::Rows>>& _interrupt);
		bool configurationIsTold() const;
		bool upstreamsAreTold() const;
		bool crashesNeedNoCall() const;
		/// @returns How long a call for the configuration hangs, ms.
		Millis configurationWait() const;
		/// Takes in an answer for the operators' table.
		void takeOperators(const store::Rows& _rows, bool _whole);
		/// @returns Whether the configuration in force has changed.
		bool takeCatalog(const store::Row& _row);
		void takeZones(const store::Rows& _rows, bool _whole);
		/// Whether a zone counts as evacuated and the store wasn't asked for it for long.
		bool evacuationIsUnsure(Millis _now) const;
		void takeUpstreams(const store::Rows& _rows, bool _whole);
		/// Takes in a row; one that can't be read names no upstream to use, also if it did before.
		/// @param[in] _afterFirstList The row came after the first list: an upstream that is new with it has
		/// started just now.
		void takeUpstream(const store::Row& _row, bool _afterFirstList);
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
		void takeCrashes(const store::Rows& _rows, bool _whole);
		/// What changes by time alone: upstreams that are in doubt or cold.
		aio::Task<void> followTime();
		/// Notes when the store last answered anybody, and whether it was away before.
		/// @param[in] _answeredAt Own clock, conservatively.
		void noteAnswer(Millis _answeredAt);
		/// @returns Pause before a failed call is tried again, spread over all gateways, ms.
		Millis retryAfter(Millis _retryMs);
		/// Waits, but no longer than until a newer proof is told.
		aio::Task<void> waitUnlessTold(Millis _pauseMs);
		/// Ends calls that hang: the store may have lost them.
		void interruptLongCalls();
		/// Takes in which coordinators want this gateway to read.
		void noteReader(const CoordinatorNews& _news);
		/// Accounts for a call to the store. A failed one for the configuration also ends the
		/// call for the upstreams.
		void noteCall(const Feed& _feed, bool _answered, const std::string& _reason);
		/// @returns A share of the bound on withdrawn keys, ms.
		Millis shareOfRevocation(double _share) const;
		/// @returns A share of the time in which a change is to be in force, ms.
		Millis shareOfChange(double _share) const;

		GatewayState& state;
		store::TableStore& store;
		store::TableNames names;
		DocumentDecoders decoders;
		CrashTeller crashTeller;

		std::uint64_t unreadableRow = 0; ///< Version of a configuration that can't be read; 0: none.
		Millis operatorsReadAt = 0;      ///< When a call of one's own for the operators' table was last answered.
		/// From the first change on: one call brings the first configuration as soon as it is there.
		std::optional<std::uint64_t> operatorsSince = 0;
		std::optional<std::uint64_t> upstreamsSince;
		bool upstreamsListed = false; ///< A whole list was read.
		bool configurationAnswered = true;
		bool upstreamsAnswered = true;
		std::optional<std::uint64_t> crashesSince;
		bool crashesAnswered = true;

		bool isReader = false;                   ///< This gateway asks for the configuration, for others too.
		std::map<std::string, Millis> readerFor; ///< Coordinators that want it to, and when they last said so.
		store::ConfigurationProof toldProof;     ///< The newest proof that others told.
		Millis toldAt = 0;                       ///< When a coordinator last told anything.
		std::uint32_t toldGateways = 1;          ///< How many gateways it tells.
		Millis settlesUntil = 0;                 ///< Until then others may be found that tell.
		Millis upstreamsToldFrom = 0;            ///< When the store last answered the coordinator that tells of upstreams; own clock, conservatively.
		Millis answeredAt = 0;                   ///< When the store last answered anybody; own clock, conservatively.

		Millis upstreamsBackAt = 0;                                    ///< When the list could be read again.
		std::map<std::string, Listing> unplaced;                       ///< Upstreams whose service no configuration names.
		std::map<std::string, Millis> doubtful;                        ///< Upstreams whose row went with the store; when to forget them.
		kj::Own<kj::PromiseFulfiller<store::Rows>> upstreamsInterrupt; ///< Ends the call for the upstreams.
		kj::Own<kj::PromiseFulfiller<store::Rows>> crashesInterrupt;   ///< Ends the call for crashes.
		kj::Promise<void> followingConfiguration = nullptr;
		kj::Promise<void> followingUpstreams = nullptr;
		kj::Promise<void> followingCrashes = nullptr;
		kj::Promise<void> followingTime = nullptr;
	};
} // namespace archdyke::gateway
