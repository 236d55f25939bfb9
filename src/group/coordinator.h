/// Coordinates one group of engine ranks: watches all of them through the tree of relays, decides
/// when another expert map pays and carries the switch forward, and tells the loads.
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
	/// What a coordinator needs of its process.
	struct CoordinatorParts
	{
		http::LoopContext loop;
		store::TableStore& store;
		store::TableNames names;
		EngineCodec codec;
		Catalog (*decodeCatalog)(const std::string& _document);
		UpstreamRecord (*decodeUpstream)(const std::string& _incarnation, const std::string& _document);
		gateway::SidecarSettings settings;
		GroupKnowledge& knowledge; ///< Of this daemon; the coordinator puts its news there.
		FanOut& fanOut;            ///< Of this daemon.
		Metrics& metrics;          ///< Of this process.
	};

	/// What a coordinator counts of its maps; the registry owns the counters.
	struct MapCounters
	{
		explicit MapCounters(Metrics& _metrics);

		prometheus::Counter& switches;
		prometheus::Counter& stoodMs;
		prometheus::Gauge& skew;
		prometheus::Gauge& savedMs;
		prometheus::Gauge& costMs;
	};

	/// Why a coordinator ended.
	enum class CoordinatorEnd
	{
		TermLost,  ///< Another one has a newer term.
		GroupLeft, ///< The own engine is in another group now.
		Count
	};

	/// @returns The name used in logs.
	std::string_view toString(CoordinatorEnd _end);

	class Coordinator
	{
	public:
		/// @param[in] _row The group's row as just written by this process.
		Coordinator(CoordinatorParts _parts, std::string _group, SwitchIntent _row, std::uint64_t _rowVersion);

		/// Coordinates until another process does.
		aio::Task<CoordinatorEnd> run();

		Coordination coordination() const;

		/// Looks also at an engine that the list of upstreams doesn't have yet.
		void invite(const std::string& _engine);

		/// @returns What it knows, for the state dump.
		std::string describe() const;

	private:
		struct Rank
		{
			std::unique_ptr<Engine> direct; ///< The engine itself, asked while its daemon is away; null until it is asked.
			std::string engineAddress;
			std::string incarnation; ///< Of the engine, as the list of upstreams has it.
			Millis startedAt = 0;    ///< Likewise; a later one under the same name is another run.
			std::string zone;        ///< Likewise; empty: it isn't listed yet.
			bool leaving = false;    ///< Likewise: it drains.
			SearchCandidate search;  ///< While it isn't known to be in this group.
			EngineReport report;
			Millis seenAt = 0;        ///< Not after the engine said so; 0: never.
			Millis daemonHeardAt = 0; ///< When its daemon last answered, or was first asked; 0: never asked.
			Millis directAt = 0;      ///< When the engine itself was last asked.
			Millis relayFailedAt = 0; ///< When its daemon last failed a question as a relay.
			bool askingDirectly = false;
			bool lacksBase = false; ///< Its daemon doesn't know the map in force.
		};

		/// What the coordinator keeps of a branch of the tree from one look to the next.
		struct Branch
		{
			std::shared_ptr<RankLink> link; ///< To the relay; null for the coordinator's own branch.
			bool asking = false;
			std::optional<HeldVersions> held; ///< What the relay has; none: it hasn't said so.
			std::uint64_t told = 0;           ///< Number of the last news that it was sent.
			GatewayTally gateways;            ///< Of its daemons, as last told.
			Millis heardAt = 0;
		};

		/// A pass that was seen to have begun.
		struct PassSample
		{
			std::uint64_t step = 0;
			Millis at = 0;
		};

		/// From which step on the map in use was taken.
		struct MapStart
		{
			std::uint64_t epoch = 0;
			std::uint64_t step = 0; ///< 0: the group formed with it, or another coordinator switched.
		};

		/// The last switch that was planned, until it is in force or a later one is planned.
		struct PlannedSwitch
		{
			std::uint64_t version = 0; ///< Of the map; 0: none.
			Millis at = 0;
			double copyMs = 0.0;
			double stoodMs = 0.0; ///< At its boundary, as far as seen.
		};

		/// A map that is prepared as its difference from another map.
		struct KnownDifference
		{
			std::uint64_t version = 0; ///< Of the map; 0: none yet.
			MapDifference difference;
		};

		/// An order that was sent, so that it isn't sent again at once.
		struct SentOrder
		{
			Millis at = 0;
			bool pending = false; ///< Its answer is awaited.
			bool accepted = false;
			bool refused = false;
		};

		/// Looks at the ranks, also while the row is written: a store that takes a second an answer
		/// would else leave all ranks unseen, and the switch abandoned.
		aio::Task<void> watchRanks();
		aio::Task<void> decide();
		/// A table of the store that is followed for the gateways.
		struct Feed
		{
			std::string name; ///< In the store.
			store::FollowedTable store::FollowedTables::*table = nullptr;
			void (Coordinator::*take)(const store::Rows& _rows) = nullptr;
			Millis waitMs = 0; ///< How long a call for its changes hangs.
		};

		std::vector<Feed> feeds() const;
		aio::Task<void> followTable(Feed _feed);
		aio::Task<store::Rows> nextRows(const Feed& _feed, bool _whole);
		/// @returns Pause before the next call, ms.
		Millis takeAnswer(const Feed& _feed, const store::Rows& _rows, bool _whole);
		aio::Task<void> checkRow();
		aio::Task<void> waitForRowLook();
		void takeRow(const store::Rows& _rows);
		/// @param[in] _seenBefore All ranks, as seen before the row was read.
		void releaseStrays(const std::vector<RankView>& _seenBefore);
		void noteWatchFailure(const std::string& _table, const std::string& _reason) const;
		void end(CoordinatorEnd _why);
		aio::Task<void> observeDirectly(std::string _engine);
		/// Gives an order to the engine itself, past its daemon.
		aio::Task<void> sendDirectly(RankOrderPlan _plan);
		void noteOutcome(const RankOrderPlan& _plan, const OrderOutcome& _outcome);
		/// Gives orders that differ in their rank alone, through a branch.
		aio::Task<void> sendThrough(std::string _relay, std::vector<RankOrderPlan> _plans);
		aio::Task<void> advance();
		aio::Task<void> writeRow(SwitchIntent _row, std::string _reason);
		void adopt(SwitchIntent _intent);
		void adoptRow(const store::Row& _row);
		void sendOrders(const std::vector<RankOrderPlan>& _orders);
		bool takesTooLong(const std::vector<RankView>& _ranks) const;
		bool allReachable() const;
		std::optional<std::uint32_t> ownRank() const;
		Millis rowLookMs() const;
		void takeUpstreams(const store::Rows& _rows);
		void takeUpstream(const UpstreamRecord& _record);
		/// Takes in what the coordinator before told this daemon.
		void takeKnownTables();
		/// The list of upstreams names an incarnation no longer.
		void unlist(const std::string& _incarnation);
		void takeConfiguration(const store::Rows& _rows);
		void passCrashes(const store::Rows& _rows);
		/// @param[in] _seenAt Not after the engine said so.
		void hear(Rank& _rank, const EngineReport& _report, Millis _seenAt);
		void notePace(const Rank& _rank, const EngineReport& _engine) const;
		void notePass(const EngineReport& _engine);
		void askRanks();
		/// The ranks as members of the tree, in the order of their addresses.
		std::vector<TreeMember> treeMembers() const;
		/// Looks at a branch, unless it has a question to answer.
		void askBranch(const std::vector<TreeMember>& _members, const TreeBranch& _branch, std::size_t _counted);
		aio::Task<void> lookAt(std::string _relay, BranchQuestion _question);
		void takeSight(const BranchSight& _sight, Millis _askedAt);
		void takeChildren(const std::vector<ChildSight>& _children, Millis _answeredAt);
		/// Makes the news of the group.
		void publish();
		GatewayTally gatewayTally() const;
		Branch& branchAt(const std::string& _relay);
		/// Asks other upstreams of the service while not all ranks of the group are known.
		void searchGroup();
		aio::Task<void> lookAtStrangers(BranchQuestion _question);
		/// Closes the links to those that are in other groups: of all upstreams of a service they are the most.
		void leaveStrangers();
		/// Asks the engine itself when its daemon is silent and it is time.
		void askDirectly(const std::string& _engine, Rank& _rank, Millis _everyMs);
		bool daemonIsSilent(const Rank& _rank) const;
		Rank& rankAt(const std::string& _engine);
		Rank* findRank(const std::string& _engine);
		/// @returns The ranks by their numbers; null for one that was never seen.
		std::vector<Rank*> ranksByNumber();
		/// Prepares to ask an engine and its daemon for the first time.
		void meet(const std::string& _engine, Rank& _rank);
		/// Puts a rank among those of this group, or among the others.
		void sortIn(const Rank& _rank);
		/// @returns How many ranks were heard lately, of how many.
		SearchProgress progress() const;
		Millis sampleMs() const;
		Millis orderTimeoutMs(RankOrderKind _kind) const;
		std::size_t sampledRanks() const;
		/// @returns The map that is prepared under a version: of the open switch, or the one in force when
		/// it voids the switch; none when the version is another one's.
		std::optional<ExpertHosts> mapOf(std::uint64_t _version, std::uint32_t _ranks) const;
		/// @returns What makes the map of a version, made once a version; null when no map is prepared under it.
		/// @param[in] _dealt Of the map that groups form with; else of the one in force.
		const MapDifference* differenceFrom(bool _dealt, std::uint64_t _version, std::uint32_t _ranks);
		std::optional<SwitchIntent> plan();
		/// @returns Choices to plan from, if there are newer ones than were planned from before.
		std::optional<ExpertLoad> newLoad(std::uint64_t _epoch);
		/// @returns How the group does, from its passes on the map in use; none before there are enough.
		std::optional<GroupLoad> pressure() const;
		/// @returns Mean time of the passes on the map in use, ms; none before there are enough.
		std::optional<double> passOnThisMap() const;
		static double meanPassMs(const PassSample& _first, const PassSample& _last);
		/// Takes in how long the last switch took, once it is in force.
		void noteLastSwitch();
		/// A pass was seen to begin: tells whether the group stood at a boundary before it.
		void noteStand(const PassSample& _before, const PassSample& _now);
		/// @param[in] _passMs What was decided by.
		void notePlan(const SwitchChoice& _choice, const RankView& _first, double _passMs);
		nlohmann::json describeMaps() const;
		/// @returns Why no map can be planned now; empty when one can.
		std::string_view obstacle(const std::vector<RankView>& _ranks) const;
		/// The same, with a log line when it lasts.
		bool mayPlan(const std::vector<RankView>& _ranks);
		ExpertHosts currentHosts(const std::vector<RankView>& _ranks) const;
		std::vector<double> paces(std::size_t _ranks) const;
		std::vector<RankView> views(Millis _maxAgeMs) const;
		std::uint64_t marginSteps() const;
		bool switchIsOpen() const;
		Millis lookMs() const;
		double switchingLookMs() const;
		/// @returns Daemons that one look asks from here.
		double messagesPerLook() const;

		CoordinatorParts parts;
		std::string group;
		SwitchIntent intent;   ///< As the row says, but for what is only in memory.
		SwitchHistory history; ///< Of the switches in this term.
		std::uint64_t rowVersion;
		Millis rowReadAt;
		Millis phaseSince;
		bool storeLost = false;
		bool operatorsAnswered = true; ///< Whether the last call for what operators ask for was answered.
		std::optional<CoordinatorEnd> ended;
		std::map<std::string, Rank> ranks;     ///< Of this group, by engine address.
		std::map<std::string, Rank> strangers; ///< Other upstreams of the service; nodes move between the two and keep their places in memory.
		std::optional<EngineModel> model;
		std::map<RankOrderPlan, SentOrder> sent;
		std::map<std::string, Branch> branches;      ///< By the relay's engine; "" is the coordinator's own.
		std::map<std::string, std::string> branchOf; ///< Of each rank's engine, by the last look.
		ChoiceWindow window;
		Millis countsAt = 0; ///< When ranks were last asked for counts.
		Millis askedAt = 0;  ///< When ranks were last asked.
		Millis publishedAt = 0;
		Millis planHeldUpSince = 0; ///< 0: a map can be planned.
		Millis plannedTo = 0;       ///< End of the newest counts that were planned from.
		KnownDifference fromDealt;
		KnownDifference fromInForce;
		double passMs = 0.0;
		double writeMs = 15.0;         ///< Mean time of a write of the row; begins with a usual one.
		std::deque<PassSample> passes; ///< Of one epoch; each step once.
		std::uint64_t passEpoch = 0;
		Millis gapObjectiveMs = 0;
		double lastSkew = 0.0;
		SwitchDurationStats switchRecord;
		SavingStats savings;
		SwitchChoice lastChoice; ///< The last one that was weighed.
		PlannedSwitch lastPlanned;
		MapStart mapStart;
		Millis notWorthToldAt = 0; ///< When a switch that doesn't pay was last logged.
		MapCounters mapCounters;
		std::uint64_t switches = 0;
		kj::Own<kj::TaskSet::ErrorHandler> errors;
		kj::TaskSet tasks;
		kj::Promise<void> watching = nullptr;
		kj::Promise<void> deciding = nullptr;
		kj::Vector<kj::Promise<void>> following; ///< Of each table.
		kj::Promise<void> checking = nullptr;
	};

	/// Where the row of a group stands.
	store::RowKey groupRowKey(const std::string& _service, const std::string& _group);
} // namespace archdyke::group
