/// Registry of the upstreams that one gateway knows: identity, group, load and health of each.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "archdyke/back_off.h"
#include "archdyke/cold_share.h"
#include "archdyke/come_back.h"
#include "archdyke/silence.h"
#include "archdyke/upstream_choice.h"
#include "archdyke/upstream_limit.h"

namespace archdyke::gateway
{
	/// Load of one upstream in the latest report of its coordinator.
	struct ReportedLoad
	{
		std::uint32_t requests = 0;    ///< Running and queued requests of all gateways.
		Millis at = 0;                 ///< Local clock, when the report was made.
		std::uint32_t ownAtReport = 0; ///< Requests of this gateway there at that time.
		double pace = 1.0;             ///< Step time relative to the declared one.

		bool operator==(const ReportedLoad&) const = default;
	};

	/// What an upstream stated about itself in its responses to this gateway.
	struct SelfReport
	{
		BackOff backOff;
		bool leaving = false;               ///< It is shutting down.
		std::optional<UpstreamLimit> limit; ///< Limit on the requests of all gateways together; none: it names none.

		bool operator==(const SelfReport&) const = default;
	};

	struct UpstreamGroup;
	using GroupRef = std::shared_ptr<UpstreamGroup>;

	/// One upstream process. Stays alive while requests are in flight there, even after its removal.
	struct Upstream
	{
		UpstreamRecord record;
		std::uint32_t inFlight = 0; ///< Requests of this gateway.
		Millis silentSince = 0;     ///< Time of its last response data, or of the first of the requests in flight.
		std::optional<ReportedLoad> reported;
		UpstreamHealth health;
		std::optional<Millis> leavingSince; ///< Local clock; never reset for this incarnation.
		bool superseded = false;            ///< A later row lists another incarnation at its address.
		bool evacuated = false;             ///< Its zone is evacuated and gets no requests.
		SelfReport selfReport;
		ColdState cold;
		std::optional<std::uint32_t> coldSends; ///< Limit for this gateway per window while it is cold; none: unlimited.
		GroupRef group;                         ///< Never null for a registered upstream.
	};

	using UpstreamRef = std::shared_ptr<Upstream>;

	/// Last known state of a group of engine ranks.
	struct GroupView
	{
		bool open = true;
		double passMs = 0.0;   ///< Mean duration of the last forward passes; 0 when unknown.
		Millis at = 0;         ///< Local clock, when the report was made; 0: never reported.
		Millis faultUntil = 0; ///< Treated as down until then, because an upstream reported a failure of its group.

		bool operator==(const GroupView&) const = default;
	};

	/// Upstreams of a service that serve as one group. Upstreams whose group doesn't exist or isn't known yet
	/// share one group with an empty name.
	struct UpstreamGroup
	{
		std::string service;
		std::string name;
		GroupView view;
		std::vector<UpstreamRef> members;
		std::uint32_t availableMembers = 0; ///< Members that accept requests.
		std::uint32_t availableInZone = 0;  ///< Of these, those in the gateway's zone.
		std::uint32_t evacuated = 0;        ///< Members whose zone is evacuated.
		std::uint32_t inFlight = 0;         ///< Requests of this gateway in flight at its members.
		std::uint32_t reported = 0;         ///< Requests of all gateways there, by the last report.
		std::uint32_t ownAtReport = 0;      ///< Requests of this gateway there at that time.
		Millis lastActiveAt = 0;            ///< When data last arrived from any member.
		Millis coldUntil = 0;               ///< No member is cold after this time.
		Millis backOffUntil = 0;            ///< No member asks this gateway to back off after this time.
		std::uint32_t limited = 0;          ///< Members that name a limit.
	};

	/// Report of a coordinator about its group.
	struct GroupReport
	{
		/// Load of one rank.
		struct Rank
		{
			std::string address; ///< IP:port.
			std::uint32_t requests = 0;
			double pace = 1.0;

			bool operator==(const Rank&) const = default;
		};

		std::string service;
		std::string name;
		bool open = true;
		double passMs = 0.0;
		Millis ageMs = 0; ///< Time since the coordinator made the report.
		std::vector<Rank> ranks;

		bool operator==(const GroupReport&) const = default;
	};

	/// @returns Whether an upstream is neither leaving nor superseded. Ignores evacuation of its zone.
	bool isServing(const Upstream& _upstream);

	/// @returns Whether an upstream is serving and its zone isn't evacuated.
	bool acceptsRequests(const Upstream& _upstream);

	/// @returns Whether an upstream is cold and its service limits the requests to cold upstreams.
	bool isColdLimited(const Upstream& _upstream, Millis _now);

	/// @returns Whether an upstream has asked this gateway to back off and that time isn't over.
	bool isBackedOff(const Upstream& _upstream, Millis _now);

	/// @returns Whether an upstream accepts requests and hasn't asked this gateway to back off. Ignores limits that it names
	/// and limits for cold upstreams.
	bool acceptsRequestsNow(const Upstream& _upstream, Millis _now);

	/// @returns Whether an upstream names a limit of which this gateway has used its share.
	bool isAtNamedLimit(const Upstream& _upstream, Millis _now);

	/// @returns Whether this gateway may send a request to an upstream now.
	bool maySendTo(const Upstream& _upstream, Millis _now);

	/// @returns Number of members of a group that this gateway may send to now.
	std::uint32_t countSendableMembers(const UpstreamGroup& _group, Millis _now);

	/// @returns Why this gateway may send to no upstream of the groups that aren't down, although some accept
	/// requests: the limits of cold upstreams or the limits that upstreams name are reached, or all upstreams asked it to
	/// back off. None when it may send to one, or when no upstream accepts requests at all.
	std::optional<RefusalCause> refusalCauseOf(const std::vector<GroupRef>& _groups, Millis _now);

	/// @returns Requests at an upstream: the reported number, corrected by what this gateway has sent and finished
	/// since. Without a recent report, the number that this gateway has in flight there.
	double loadOf(const Upstream& _upstream, Millis _now);

	/// @returns Mean load, estimated likewise, of the members of a group that accept requests from this gateway; 0
	/// when there are none.
	double meanLoad(const UpstreamGroup& _group, Millis _now);

	/// @returns Whether the last report of a group is recent.
	bool hasFreshReport(const UpstreamGroup& _group, Millis _now);

	/// @returns Whether a group is stalled, is forming, or has just failed a request.
	bool isDown(const UpstreamGroup& _group, Millis _now);

	/// @returns When an upstream and its group were last active, for the detection of silent upstreams.
	UpstreamActivity activityOf(const Upstream& _upstream, Millis _now);

	/// @returns Step time of an upstream relative to the declared one, at least 1; 1 without a recent report.
	double paceOf(const Upstream& _upstream, Millis _now);

	/// Records that data arrived from an upstream.
	void recordActivity(Upstream& _upstream, Millis _now);

	/// Scope guard that counts a request of this gateway as in flight at an upstream. A request that ends while the
	/// upstream is silent counts as a failure of the upstream: its caller has left without a response.
	class InFlight
	{
	public:
		InFlight(UpstreamRef _upstream, Millis _now);
		~InFlight();
		InFlight(const InFlight&) = delete;
		InFlight& operator=(const InFlight&) = delete;

	private:
		UpstreamRef upstream;
	};

	/// All listed upstreams by incarnation, and their groups. The cost of a request grows with the number of groups of
	/// its service and the ranks of one group, not with the total number of upstreams.
	class UpstreamRegistry
	{
	public:
		/// @param[in] _zone Zone of this gateway.
		/// @param[in] _gateway Name of this gateway.
		/// @param[in] _startedAt Start of this process, local clock.
		explicit UpstreamRegistry(std::string _zone, std::string _gateway = "", Millis _startedAt = 0);
		~UpstreamRegistry();
		UpstreamRegistry(const UpstreamRegistry&) = delete;
		UpstreamRegistry& operator=(const UpstreamRegistry&) = delete;

		/// Adds or updates an upstream from its row; rows must be passed in the order in which they were written. A leaving
		/// incarnation stays leaving. Of several incarnations at one address only the last one gets requests,
		/// because rows of killed processes remain for some heartbeats. A row with a later start time belongs to a new run:
		/// the state of the previous run is dropped.
		/// @param[in] _defaultColdMs How long a new upstream counts as cold if its row doesn't say.
		void learn(const UpstreamRecord& _record, Millis _now, Millis _defaultColdMs = 0);

		/// Records that an upstream asked in a response to be sent nothing for some time, or said that it leaves. Both
		/// remain valid without its row and its entry here: rows expire while the store is unreachable and come back.
		void applyBackOff(const UpstreamRef& _upstream, Millis _askedMs, Millis _now);
		void recordLeaving(const UpstreamRef& _upstream, Millis _now);

		/// Records the limit that a response of an upstream names. Remains valid without its row, too.
		void recordLimit(const UpstreamRef& _upstream, double _perSecond, Random& _random, Millis _now);

		/// Records a response that names no limit. Ends a limit that was last named before the request was sent.
		void recordNoLimit(const UpstreamRef& _upstream, Millis _sentAt);

		/// Sets how strictly limits that upstreams name must be kept, and the number of gateways that share them.
		void setLimitTerms(const LimitTerms& _terms, Millis _now);

		/// @returns Time until the first back-off of a service's upstreams ends, ms; none when one of them accepts requests
		/// without a back-off, or when none accepts requests.
		std::optional<Millis> backOffEndsInMs(const std::string& _service, Millis _now) const;

		/// Marks an upstream as cold from now on.
		void markCold(const UpstreamRef& _upstream, Millis _durationMs, Millis _now);

		/// Resets upstreams whose cold time is over.
		void expireCold(Millis _now);

		/// Sets the load that cold upstreams of a service can take; none: no limit.
		void setColdTerms(const std::string& _service, const std::optional<ColdCapacity>& _terms);

		/// @returns The services with limits for cold upstreams, in no order.
		std::vector<std::string> servicesWithColdTerms() const;

		/// @returns Time until the first cold upstream of a service is warm, ms; none when none is cold.
		std::optional<Millis> nextWarmMs(const std::string& _service, Millis _now) const;

		/// Removes an upstream that isn't listed any more.
		void forget(const std::string& _incarnation, Millis _now);

		/// Deactivates an upstream whose row is unusable. It gets no requests, but its health, start time and leaving state
		/// are kept in case a usable row follows before the row is removed.
		void deactivate(const std::string& _incarnation);

		/// Keeps requests from all upstreams of a zone, including those learned later, until the evacuation ends.
		void evacuate(const std::string& _zone);
		void endEvacuation(const std::string& _zone, Millis _now);

		/// @returns Whether a service has no available upstream only because of evacuated zones.
		bool isEvacuated(const std::string& _service) const;

		/// Applies a coordinator's report: state of its group, members and their loads.
		void report(const GroupReport& _report, Millis _now);

		/// @returns The groups of a service that have members, in no order.
		const std::vector<GroupRef>& groupsOf(const std::string& _service) const;

		/// @returns The upstream of a group that a request should go to; null when there is none.
		UpstreamRef choose(const UpstreamGroup& _group, const std::set<std::string>& _triedBefore, Random& _random, Millis _now) const;

		/// @returns A random member of a group, preferably in the gateway's zone; null when there is none.
		UpstreamRef pickGroupMember(const std::string& _service, const std::string& _group, Random& _random) const;

		/// @returns A random upstream of the service whose group has no recent report, preferably in the gateway's zone;
		/// null when there is none.
		UpstreamRef pickUnreportedUpstream(const std::string& _service, Random& _random, Millis _now) const;

		/// @returns The groups of all services, in no order.
		std::vector<GroupRef> allGroups() const;

		/// @returns Number of distinct upstream addresses. Counts restarted upstreams once, although the rows of the old and
		/// the new incarnation exist side by side.
		std::size_t addresses() const;

		/// @returns All active upstreams, leaving ones included, in no order.
		std::vector<UpstreamRef> all() const;

		/// @returns Whether an upstream has a row, active or deactivated.
		bool isListed(const std::string& _incarnation) const;

		/// @returns All incarnations that have a row, deactivated ones included, in no order.
		std::vector<std::string> incarnations() const;

	private:
		UpstreamRef pickPreferringOwnZone(const std::vector<UpstreamRef>& _upstreams, Random& _random) const;
		GroupRef groupNamed(const std::string& _service, const std::string& _name);
		/// @returns The upstream of an incarnation, active or deactivated; null when it isn't known.
		UpstreamRef findUpstream(const std::string& _incarnation) const;
		/// @returns The active upstream of a record. Creates or reactivates it where needed, in the group without a name.
		UpstreamRef activate(const UpstreamRecord& _record, Millis _now);
		/// Updates an active upstream from its record.
		void applyRecord(const UpstreamRef& _upstream, const UpstreamRecord& _record);
		/// Removes an upstream from its group, its address and the active upstreams; requests in flight there go on.
		void unlist(const UpstreamRef& _upstream);
		/// @returns Whether a record belongs to a later run than the one known for its incarnation.
		bool isNewerRun(const UpstreamRecord& _record) const;
		/// @returns Whether a record belongs to an earlier run than the one known for its incarnation.
		bool isEarlierRun(const UpstreamRecord& _record) const;
		/// Makes an upstream the one that gets the requests for its address.
		void assignAddress(const UpstreamRef& _upstream);
		void setEvacuated(const std::string& _zone, bool _evacuated);
		/// Marks the upstreams of a zone as cold after its evacuation: they may have become so without requests.
		void markZoneCold(const std::string& _zone, Millis _now);
		/// Handles a row that names another service or address for an upstream: moves it to the group without a name until
		/// a report names it. Else it would get requests of its old service and keep its old address.
		void relocate(const UpstreamRef& _upstream, const UpstreamRecord& _record);
		/// Records that an upstream has left an address.
		void releaseAddress(const UpstreamRef& _upstream, const std::string& _address);
		/// Makes an incarnation that was superseded at an address available again, once its successor is gone.
		void restoreSuperseded(const std::string& _address);
		/// Moves an upstream, with its requests in flight, to another group.
		void moveToGroup(const UpstreamRef& _upstream, const std::string& _service, const std::string& _name);
		/// Adds an upstream that is in no group to one.
		void addToGroup(const UpstreamRef& _upstream, const GroupRef& _group);
		/// Removes an upstream from its group, and the group once it has no members.
		void removeFromGroup(const UpstreamRef& _upstream);
		void updateCounts(UpstreamGroup& _group) const;
		/// Self-report of an upstream that has no row now.
		struct RetainedReport
		{
			SelfReport report;
			Millis startedAt = 0; ///< Start time of its run; 0: unknown.
			Millis until = 0;
		};
		/// Keeps the self-report of an upstream without a row, in case the row comes back.
		void retainSelfReport(const Upstream& _upstream, Millis _now);
		/// @returns The retained self-report for the upstream of a new record; empty when there is none.
		SelfReport retainedSelfReport(const UpstreamRecord& _record, Millis _now) const;
		/// @returns The upstream that its incarnation names now if that is the same run, else the given one.
		UpstreamRef sameRunOf(const UpstreamRef& _upstream) const;
		/// Applies an upstream's self-report to the upstream that its incarnation names now.
		void applySelfReport(const UpstreamRef& _upstream, Millis _now);
		/// Limits for a service's cold upstreams.
		struct ColdLimits
		{
			ColdCapacity terms;
			ColdShare share;
		};
		void updateColdSends(Upstream& _upstream) const;

		std::string zone;
		std::string gateway;
		Millis startedAt = 0;
		LimitTerms limitTerms;
		absl::flat_hash_map<std::string, ColdLimits> coldLimits;          ///< By service.
		absl::flat_hash_map<std::string, RetainedReport> retainedReports; ///< By incarnation.
		absl::flat_hash_map<std::string, UpstreamRef> byIncarnation;
		absl::flat_hash_map<std::string, UpstreamRef> inactive;  ///< Deactivated upstreams by incarnation; in no group, at no address.
		absl::flat_hash_map<std::string, UpstreamRef> byAddress; ///< The last one learned there.
		absl::flat_hash_map<std::string, std::vector<GroupRef>> byService;
		std::set<std::string> evacuatedZones;
	};
} // namespace archdyke::gateway
