/// Coordinates one group of engine ranks: polls them through a tree of relays, decides when a
/// different expert map is worth switching to, drives the switch, and publishes the ranks' loads.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>

#include "archdyke/catalog.h"
#include "archdyke/map_window.h"
#include "archdyke/rank_search.h"
#include "archdyke/relay_tree.h"
#include "archdyke/switch_worth.h"
#include "archdyke/upstream_choice.h"
#include "base/metrics.h"
#include "gateway/settings.h"
#include "group/fan_out.h"
#include "store/table_store.h"

namespace archdyke::group
{
	/// Objects and settings of the process that a coordinator works with.
	struct CoordinatorDependencies
	{
		http::LoopContext loop;
		store::TableStore& store;
		store::TableNames names;
		EngineCodec codec;
		Catalog (*decodeCatalog)(const std::string& _document);
		UpstreamRecord (*decodeUpstream)(const std::string& _incarnation, const std::string& _document);
		gateway::SidecarSettings settings;
		GroupState& groupState; ///< Of this daemon; the coordinator publishes its news there.
		FanOut& fanOut;         ///< Of this daemon.
		Metrics& metrics;       ///< Of this process.
	};

	/// Metrics of the map switches; the registry owns them.
	struct MapCounters
	{
		explicit MapCounters(Metrics& _metrics);

		prometheus::Counter& switches;
		prometheus::Counter& stallMs;
		prometheus::Gauge& skew;
		prometheus::Gauge& savedMs;
		prometheus::Gauge& costMs;
	};

	/// Why a coordinator ended.
	enum class CoordinatorEnd
	{
		TermLost,  ///< Another coordinator has a newer term.
		GroupLeft, ///< The engine of this daemon has moved to another group.
		Count
	};

	/// @returns The name used in logs.
	std::string_view toString(CoordinatorEnd _end);

	class Coordinator
	{
	public:
		/// @param[in] _row The group's row as this process has just written it.
		Coordinator(CoordinatorDependencies _dependencies, std::string _group, SwitchIntent _row, std::uint64_t _rowVersion);

		/// Coordinates until the term is lost or the own engine leaves the group.
		aio::Task<CoordinatorEnd> run();

		Coordination coordination() const;

		/// Adds an engine to the search that the list of upstreams may not contain yet.
		void addCandidate(const std::string& _engine);

		/// @returns The state dump, as JSON.
		std::string describe() const;

	private:
		struct Rank
		{
			std::unique_ptr<Engine> direct; ///< Connection to the engine, used while its daemon doesn't respond; null until first polled.
			std::string engineAddress;
			std::string incarnation; ///< Of the engine, from the list of upstreams.
			Millis startedAt = 0;    ///< From the list of upstreams; a later value under the same name means a restart.
			std::string zone;        ///< From the list of upstreams; empty: not listed yet.
			bool leaving = false;    ///< From the list of upstreams: the engine drains.
			SearchCandidate search;  ///< Used while the engine isn't known to be in this group.
			EngineReport report;
			Millis observedAt = 0;     ///< Earliest time at which the report can have been made; 0: no report.
			Millis daemonHeardAt = 0;  ///< Last response of its daemon, or the first poll; 0: never polled.
			Millis directPolledAt = 0; ///< When the engine itself was last polled.
			Millis relayFailedAt = 0;  ///< When its daemon last failed to respond as a relay.
			bool directPollInFlight = false;
			bool lacksBase = false; ///< Its daemon doesn't have the map in force.
		};

		/// State of a branch of the tree that is kept between polls.
		struct Branch
		{
			std::shared_ptr<RankLink> link; ///< To the relay; null for the coordinator's own branch.
			bool pollInFlight = false;
			std::optional<HeldVersions> held; ///< Versions that the relay has; none: not reported yet.
			std::uint64_t lastNewsSent = 0;   ///< Number of the last news sent to the relay.
			GatewayTally gateways;            ///< Gateways that poll the branch's daemons, as last reported.
			Millis heardAt = 0;
		};

		/// A pass of the group that was observed to have begun.
		struct PassSample
		{
			std::uint64_t step = 0;
			Millis at = 0;
		};

		/// The step from which the current map is in use.
		struct MapStart
		{
			std::uint64_t epoch = 0;
			std::uint64_t step = 0; ///< 0: the group formed with the map, or another coordinator made the switch.
		};

		/// The last planned switch, until it is in force or a later one is planned.
		struct PlannedSwitch
		{
			std::uint64_t version = 0; ///< Of the map; 0: none.
			Millis at = 0;
			double copyMs = 0.0;
			double stallMs = 0.0; ///< Observed stall of the group at the boundary.
		};

		/// Difference of the map being prepared from a base map, cached per version.
		struct CachedDifference
		{
			std::uint64_t version = 0; ///< Of the map; 0: none yet.
			MapDifference difference;
		};

		/// State of an order that was sent; keeps it from being sent again too early.
		struct SentOrder
		{
			Millis at = 0;
			bool pending = false; ///< No response yet.
			bool accepted = false;
			bool refused = false;
		};

		/// Polls the ranks periodically, also while the row is written: otherwise a store that takes a
		/// second per response would leave all ranks unseen and the switch would be abandoned.
		aio::Task<void> watchRanks();
		aio::Task<void> decide();
		/// A table of the store that is followed on behalf of the gateways.
		struct Feed
		{
			std::string name; ///< In the store.
			store::FollowedTable store::FollowedTables::*table = nullptr;
			void (Coordinator::*take)(const store::Rows& _rows) = nullptr;
			Millis longPollMs = 0; ///< How long the store may hold a call for changes open.
		};

		std::vector<Feed> feeds() const;
		aio::Task<void> followTable(Feed _feed);
		aio::Task<store::Rows> fetchRows(const Feed& _feed, bool _whole);
		/// Applies the store's response to the group state.
		/// @returns Pause before the next call, ms.
		Millis applyResponse(const Feed& _feed, const store::Rows& _rows, bool _whole);
		aio::Task<void> checkRow();
		aio::Task<void> waitForRowPoll();
		void adoptNewerRow(const store::Rows& _rows);
		/// @returns Whether the row may be older than what was done: the store came back from a copy, and nobody who knew the
		/// row has written it since.
		bool rowMayBeOld() const;
		/// Restores what this coordinator and its row lack after the store came back from a copy.
		aio::Task<void> recoverFromRestoration();
		/// Records the row of the copy from which the store came back, to be written again.
		void recordCopiedRow(const store::Rows& _rows);
		/// Writes the row again after the store came back from a copy.
		aio::Task<void> rewriteRow();
		/// Takes the map in use from this daemon if the row doesn't have it.
		void recoverMap(const std::vector<RankView>& _ranks);
		/// Releases holds that don't belong to an open switch.
		/// @param[in] _observedBefore All ranks, as seen before the row was read.
		void releaseStrays(const std::vector<RankView>& _observedBefore);
		void logWatchFailure(const std::string& _table, const std::string& _reason) const;
		void end(CoordinatorEnd _why);
		aio::Task<void> requestDirectReport(std::string _engine);
		/// Sends an order to the engine itself, bypassing its daemon.
		aio::Task<void> sendDirectly(RankOrderPlan _plan);
		void recordOutcome(const RankOrderPlan& _plan, const OrderOutcome& _outcome);
		/// Sends orders that differ only in their rank through a branch.
		aio::Task<void> sendViaBranch(std::string _relay, std::vector<RankOrderPlan> _plans);
		aio::Task<void> advance();
		aio::Task<void> writeRow(SwitchIntent _row, std::string _reason);
		void adopt(SwitchIntent _intent);
		void adoptRow(const store::Row& _row);
		void sendOrders(const std::vector<RankOrderPlan>& _orders);
		bool phaseTimedOut(const std::vector<RankView>& _ranks) const;
		bool allReachable() const;
		std::optional<std::uint32_t> ownRank() const;
		Millis rowPollIntervalMs() const;
		void applyUpstreams(const store::Rows& _rows);
		void applyUpstream(const UpstreamRecord& _record);
		/// Applies the tables that the previous coordinator distributed to this daemon.
		void applyKnownTables();
		/// Marks an incarnation as no longer in the list of upstreams.
		void markUnlisted(const std::string& _incarnation);
		void applyConfiguration(const store::Rows& _rows);
		void ignoreCrashes(const store::Rows& _rows);
		/// Records the report of a rank unless a newer one is known.
		/// @param[in] _observedAt Earliest time at which the report can have been made.
		void recordReport(Rank& _rank, const EngineReport& _report, Millis _observedAt);
		void logPaceChange(const Rank& _rank, const EngineReport& _engine) const;
		void recordPass(const EngineReport& _engine);
		void pollRanks();
		/// @returns The ranks as members of the tree, ordered by address.
		std::vector<TreeMember> treeMembers() const;
		/// Polls a branch unless a poll of it is in flight.
		void pollBranch(const std::vector<TreeMember>& _members, const TreeBranch& _branch, std::size_t _enginesWithCounts);
		aio::Task<void> requestBranchSnapshot(std::string _relay, BranchQuery _query);
		void applyBranchSnapshot(const BranchSnapshot& _snapshot, Millis _askedAt);
		void applyChildSnapshots(const std::vector<ChildSnapshot>& _children, Millis _answeredAt);
		/// Updates the news and the roster of the group in this daemon's group state.
		void publish();
		GatewayTally gatewayTally() const;
		Branch& branchAt(const std::string& _relay);
		/// Polls other upstreams of the service while not all ranks of the group are known.
		void searchGroup();
		aio::Task<void> pollNonMembers(BranchQuery _query);
		/// Closes the connections to upstreams of other groups, which are most upstreams of a service.
		void disconnectNonMembers();
		/// Polls the engine itself, at most once per interval.
		void pollDirectly(const std::string& _engine, Rank& _rank, Millis _intervalMs);
		bool daemonIsSilent(const Rank& _rank) const;
		Rank& rankAt(const std::string& _engine);
		Rank* findRank(const std::string& _engine);
		/// @returns The ranks by number; null for one that was never seen.
		std::vector<Rank*> ranksByNumber();
		/// Creates the connection to an engine before its first poll.
		void ensureDirectEngine(const std::string& _engine, Rank& _rank);
		/// Moves a rank to the members of this group or to the non-members, by its report.
		void assignMembership(const Rank& _rank);
		/// @returns How many ranks were seen recently, and how many the group has.
		SearchProgress progress() const;
		Millis sampleMs() const;
		Millis orderTimeoutMs(RankOrderKind _kind) const;
		std::size_t sampledRanks() const;
		/// @returns The map that is prepared under a version: that of the open switch, or the one in force if
		/// the version voids the switch; none for any other version.
		std::optional<ExpertHosts> mapForVersion(std::uint64_t _version, std::uint32_t _ranks) const;
		/// @returns The difference that yields the map of a version, computed once per version; null if no map is
		/// prepared under the version.
		/// @param[in] _fromRoundRobin Whether the base is the round-robin map that groups form with; otherwise the map in force.
		const MapDifference* differenceFrom(bool _fromRoundRobin, std::uint64_t _version, std::uint32_t _ranks);
		std::optional<SwitchIntent> plan();
		/// @returns Expert loads to plan from, if there are newer ones than those of the last plan.
		std::optional<ExpertLoad> newLoad(std::uint64_t _epoch);
		/// @returns Load and pass times of the group on the current map; none before there are enough passes.
		std::optional<GroupLoad> pressure() const;
		/// @returns Mean time of the passes on the current map, ms; none before there are enough passes.
		std::optional<double> passOnThisMap() const;
		static double meanPassMs(const PassSample& _first, const PassSample& _last);
		/// Records the duration of the last switch once it is in force.
		void recordLastSwitch();
		/// Records the stall if a switch boundary lies between two observed passes.
		void recordStall(const PassSample& _before, const PassSample& _now);
		/// Records and logs the result of planning.
		/// @param[in] _passMs The pass time that the decision used.
		void recordPlan(const SwitchChoice& _choice, const RankView& _first, double _passMs);
		nlohmann::json describeMaps() const;
		/// @returns The reason why no map can be planned now; empty if one can.
		std::string_view planBlocker(const std::vector<RankView>& _ranks) const;
		/// Whether a map can be planned now; logs a warning if planning stays blocked.
		bool canPlan(const std::vector<RankView>& _ranks);
		ExpertHosts currentHosts(const std::vector<RankView>& _ranks) const;
		std::vector<double> paces(std::size_t _ranks) const;
		std::vector<RankView> views(Millis _maxAgeMs) const;
		std::uint64_t marginSteps() const;
		bool switchIsOpen() const;
		Millis pollIntervalMs() const;
		double switchingPollIntervalMs() const;
		/// @returns Number of messages per poll that count towards its cost.
		double messagesPerPoll() const;

		CoordinatorDependencies dependencies;
		std::string group;
		SwitchIntent intent;   ///< The group's row, with changes that are only in memory.
		SwitchHistory history; ///< Switches of this term.
		std::uint64_t rowVersion;
		std::uint64_t unreadableRow = 0;               ///< Version of a row that can't be decoded; 0: none.
		std::optional<std::uint64_t> copiedRowVersion; ///< Of the row in the copy from which the store came back, until it is written again; a counter of 0: there is none.
		const Millis startedAt;
		Millis rowReadAt;
		Millis phaseSince;
		bool storeLost = false;
		bool operatorsCallSucceeded = true; ///< Whether the store answered the last call for the operators' configuration.
		std::optional<CoordinatorEnd> ended;
		std::map<std::string, Rank> ranks;      ///< Of this group, by engine address.
		std::map<std::string, Rank> nonMembers; ///< Other upstreams of the service; nodes move between the two maps and keep their addresses in memory.
		std::optional<EngineModel> model;
		std::map<RankOrderPlan, SentOrder> sentOrders;
		std::map<std::string, Branch> branches;      ///< By the relay's engine; "" is the coordinator's own branch.
		std::map<std::string, std::string> branchOf; ///< Relay of each rank's engine in the last poll.
		ChoiceWindow window;
		Millis countsAt = 0; ///< When counts were last requested.
		Millis askedAt = 0;  ///< When ranks were last polled.
		Millis publishedAt = 0;
		Millis planBlockedSince = 0; ///< 0: a map can be planned.
		Millis plannedTo = 0;        ///< End time of the newest counts used for a plan.
		CachedDifference fromRoundRobin;
		CachedDifference fromInForce;
		double passMs = 0.0;
		double writeMs = 15.0;         ///< Mean duration of a write of the row; starts at a typical value.
		std::deque<PassSample> passes; ///< Passes of one epoch; each step once.
		std::uint64_t passEpoch = 0;
		Millis gapObjectiveMs = 0;
		double lastSkew = 0.0;
		SwitchDurationStats switchRecord;
		SavingStats savings;
		SwitchChoice lastChoice; ///< The last one whose cost and saving were computed.
		PlannedSwitch lastPlanned;
		MapStart mapStart;
		Millis notWorthLoggedAt = 0; ///< When a rejected plan was last logged.
		MapCounters mapCounters;
		std::uint64_t switches = 0;
		kj::Own<kj::TaskSet::ErrorHandler> errors;
		kj::TaskSet tasks;
		kj::Promise<void> watching = nullptr;
		kj::Promise<void> deciding = nullptr;
		kj::Vector<kj::Promise<void>> following; ///< One for each followed table.
		kj::Promise<void> checking = nullptr;
	};

	/// @returns The key of a group's row in the store.
	store::RowKey groupRowKey(const std::string& _service, const std::string& _group);
} // namespace archdyke::group
