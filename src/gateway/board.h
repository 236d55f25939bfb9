/// The upstreams that one gateway knows: who they are, which group each is in, what load they have,
/// how they fare.
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

namespace archdyke::gateway
{
	/// What a load report says of one upstream.
	struct ReportedLoad
	{
		std::uint32_t requests = 0; ///< Running and waiting there, of all gateways.
		Millis at = 0;              ///< Own clock when it came.
		std::uint32_t ownThen = 0;  ///< Of these, how many were this gateway's then.
		double pace = 1.0;          ///< Time of its steps against the declared one.

		bool operator==(const ReportedLoad&) const = default;
	};

	/// What an upstream said of itself in its answers to this gateway.
	struct SelfReport
	{
		BackOff backOff;
		bool leaving = false; ///< It is about to end.

		bool operator==(const SelfReport&) const = default;
	};

	struct UpstreamGroup;
	using GroupRef = std::shared_ptr<UpstreamGroup>;

	/// One upstream process. Kept while requests are at it, also once it is gone.
	struct Upstream
	{
		UpstreamRecord record;
		std::uint32_t inFlight = 0; ///< Of this gateway.
		Millis quietSince = 0;      ///< When it was last heard, or the first of these was sent.
		std::optional<ReportedLoad> reported;
		UpstreamHealth health;
		std::optional<Millis> leavingSince; ///< Own clock; stays for this incarnation.
		bool superseded = false;            ///< Another incarnation was listed at its address later.
		bool evacuated = false;             ///< Its zone is to get nothing.
		SelfReport selfReport;
		ColdState cold;
		std::optional<std::uint32_t> coldSends; ///< Of this gateway in a window while it is cold; none: as many as to any.
		GroupRef group;                         ///< Never null on a board.
	};

	using UpstreamRef = std::shared_ptr<Upstream>;

	/// What is known of the state of a group of engine ranks.
	struct GroupView
	{
		bool open = true;
		double passMs = 0.0;   ///< Mean time of the last passes; 0 when unknown.
		Millis at = 0;         ///< Own clock when it came; 0: never.
		Millis faultUntil = 0; ///< An upstream said that its group failed.

		bool operator==(const GroupView&) const = default;
	};

	/// Upstreams of a service that serve together. Those that are in no group, or of whom none is
	/// known yet, are together in one without a name.
	struct UpstreamGroup
	{
		std::string service;
		std::string name;
		GroupView view;
		std::vector<UpstreamRef> members;
		std::uint32_t working = 0;       ///< Members that take work.
		std::uint32_t workingInZone = 0; ///< Of these, in the gateway's zone.
		std::uint32_t evacuated = 0;     ///< Members whose zone is to get nothing.
		std::uint32_t inFlight = 0;      ///< Requests of this gateway at its members.
		std::uint32_t reported = 0;      ///< Requests of all gateways there, as last told.
		std::uint32_t ownThen = 0;       ///< Of these, how many were this gateway's then.
		Millis heardAt = 0;              ///< When anything last came from a member.
		Millis coldUntil = 0;            ///< Until then members may be cold.
		Millis backOffUntil = 0;         ///< Until then members may want nothing from this gateway.
	};

	/// What a coordinator tells of its group.
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
		Millis ageMs = 0; ///< Since the coordinator made it.
		std::vector<Rank> ranks;

		bool operator==(const GroupReport&) const = default;
	};

	/// @returns Whether an upstream would take work if its zone were not evacuated.
	bool isServing(const Upstream& _upstream);

	/// @returns Whether an upstream gets requests at all.
	bool takesWork(const Upstream& _upstream);

	/// @returns Whether an upstream is cold, and how much it gets is limited for it.
	bool isLimitedCold(const Upstream& _upstream, Millis _now);

	/// @returns Whether an upstream asked this gateway to be sent nothing now.
	bool isBackedOff(const Upstream& _upstream, Millis _now);

	/// @returns Whether an upstream takes work from this gateway now, as much as it bears.
	bool wantsRequests(const Upstream& _upstream, Millis _now);

	/// @returns Whether this gateway may send to an upstream now.
	bool mayGet(const Upstream& _upstream, Millis _now);

	/// @returns Members of a group that this gateway may send to now.
	std::uint32_t membersThatMayGet(const UpstreamGroup& _group, Millis _now);

	/// @returns Why of some groups those that aren't down have upstreams that take work, but none that this
	/// gateway may send to now: all have what they bear while they are cold, or asked to be sent nothing. None
	/// when it may send to one, or when no upstream takes work at all.
	std::optional<RefusalCause> whyNoneMayGet(const std::vector<GroupRef>& _groups, Millis _now);

	/// @returns Requests at an upstream: as reported, corrected by what this gateway sent and
	/// finished since; without a recent report what this gateway has there.
	double loadOf(const Upstream& _upstream, Millis _now);

	/// @returns Mean load of the members of a group that take work from this gateway, likewise; 0 when there are none.
	double meanLoad(const UpstreamGroup& _group, Millis _now);

	/// @returns Whether a group was heard of lately.
	bool isKnown(const UpstreamGroup& _group, Millis _now);

	/// @returns Whether a group stands still, forms, or failed a request just now.
	bool isDown(const UpstreamGroup& _group, Millis _now);

	/// @returns What was heard of an upstream and of its group.
	Hearing hearingOf(const Upstream& _upstream, Millis _now);

	/// @returns Time of an upstream's steps against the declared one; 1 without a recent report.
	double paceOf(const Upstream& _upstream, Millis _now);

	/// Takes in that something came from an upstream.
	void noteHeard(Upstream& _upstream, Millis _now);

	/// Counts a request of this gateway at an upstream while it lives. One that ends while the
	/// upstream is silent counts as failed there: its caller has left without an answer.
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

	/// All upstreams that the list names, by incarnation, and their groups. What a request costs
	/// here grows with the groups of its service and with the ranks of one group, not with all.
	class Board
	{
	public:
		/// @param[in] _zone Of this gateway.
		/// @param[in] _gateway Its name.
		explicit Board(std::string _zone, std::string _gateway = "");
		~Board();
		Board(const Board&) = delete;
		Board& operator=(const Board&) = delete;

		/// Takes in a row of the list of upstreams; rows come in the order in which they were written.
		/// Leaving stays for an incarnation. Of several at one address the last one gets requests: the
		/// rows of processes that were killed stay for some heartbeats. One that says it started later
		/// than before is another run: nothing that was known of the run before holds for it.
		/// @param[in] _coldIfNewMs How long one counts as cold that is new and doesn't say.
		void learn(const UpstreamRecord& _record, Millis _now, Millis _coldIfNewMs = 0);

		/// An upstream asked in an answer to be sent nothing for some time, or said that it leaves. Both outlast its
		/// row and its entry here: rows go while the store is away and come back.
		void takeBackOff(const UpstreamRef& _upstream, Millis _askedMs, Millis _now);
		void takeLeaving(const UpstreamRef& _upstream, Millis _now);

		/// @returns Time until the first upstream of a service wants requests again; none when none asked for
		/// time, or one that asked for none takes work.
		std::optional<Millis> backOffEndsInMs(const std::string& _service, Millis _now) const;

		/// An upstream is cold from now on.
		void beginCold(const UpstreamRef& _upstream, Millis _forMs, Millis _now);

		/// Notes which upstreams are cold no longer.
		void endCold(Millis _now);

		/// Sets what cold upstreams of a service bear; none: as much as any.
		void limitCold(const std::string& _service, const std::optional<ColdTerms>& _terms);

		/// @returns The services whose cold upstreams bear less than others, in no order.
		std::vector<std::string> servicesLimitedCold() const;

		/// @returns Time until a cold upstream of a service is warm; none when none is cold.
		std::optional<Millis> nextWarmMs(const std::string& _service, Millis _now) const;

		/// The list names the upstream no longer.
		void forget(const std::string& _incarnation, Millis _now);

		/// An upstream's row names none to use for now: it counts as gone, but if it is learnt again before its
		/// row goes, how it fares, when it started and that it leaves hold on.
		void setAside(const std::string& _incarnation);

		/// The upstreams of a zone, those that are learnt later too, take no work until it is taken back.
		void evacuate(const std::string& _zone);
		void takeBack(const std::string& _zone, Millis _now);

		/// @returns Whether nothing but evacuation keeps the upstreams of a service from taking work.
		bool isEvacuated(const std::string& _service) const;

		/// Takes in what a coordinator tells: its group's members, their loads, its state.
		void report(const GroupReport& _report, Millis _now);

		/// @returns The groups of a service that have members, in no order.
		const std::vector<GroupRef>& groupsOf(const std::string& _service) const;

		/// @returns An upstream of a group for a request; null when there is none.
		UpstreamRef choose(const UpstreamGroup& _group, const std::set<std::string>& _triedBefore, Random& _random, Millis _now) const;

		/// @returns A member of a group, drawn at random, as a rule of the own zone; null when there is none.
		UpstreamRef drawMember(const std::string& _service, const std::string& _group, Random& _random) const;

		/// @returns An upstream of the service, drawn likewise, whose group wasn't heard of lately;
		/// null when there is none.
		UpstreamRef drawUnheard(const std::string& _service, Random& _random, Millis _now) const;

		/// @returns The groups of all services, in no order.
		std::vector<GroupRef> allGroups() const;

		/// @returns How many addresses the upstreams have: after a restart the list names those before and after.
		std::size_t addresses() const;

		/// @returns All upstreams, those that leave too, in no order.
		std::vector<UpstreamRef> all() const;

		/// @returns Whether an upstream is on the list, set aside or not.
		bool isListed(const std::string& _incarnation) const;

		/// @returns The incarnations that have a row, those set aside too, in no order.
		std::vector<std::string> incarnations() const;

	private:
		UpstreamRef drawNear(const std::vector<UpstreamRef>& _upstreams, Random& _random) const;
		GroupRef groupNamed(const std::string& _service, const std::string& _name);
		/// @returns What is known under a name, also if it is set aside; null when nothing is.
		UpstreamRef known(const std::string& _incarnation) const;
		/// @returns A record's upstream, listed by now; one that is new or was set aside is in no group yet.
		UpstreamRef listed(const UpstreamRecord& _record, Millis _now);
		/// A listed upstream is what its record says.
		void takeRecord(const UpstreamRef& _upstream, const UpstreamRecord& _record);
		/// Takes an upstream off the board but for the requests at it.
		void unlist(const UpstreamRef& _upstream);
		/// A record is of another run than the one known under its name.
		bool startedAnew(const UpstreamRecord& _record) const;
		/// A record is of a run before the one known under its name.
		bool isOfEarlierRun(const UpstreamRecord& _record) const;
		/// The record's upstream gets the requests for its address.
		void takeAddress(const UpstreamRef& _upstream);
		void setEvacuated(const std::string& _zone, bool _evacuated);
		/// Upstreams of a zone that was taken back may have turned cold meanwhile.
		void noteTakenBack(const std::string& _zone, Millis _now);
		/// An upstream's row names another service or address: it is in no group until it is reported there.
		/// Else it would get requests of the service before, and hold the address that it has left.
		void move(const UpstreamRef& _upstream, const UpstreamRecord& _record);
		/// An upstream is no longer at an address.
		void freeAddress(const UpstreamRef& _upstream, const std::string& _address);
		/// The newest incarnation at an address is gone: one that it had superseded counts again.
		void reinstate(const std::string& _address);
		/// Moves an upstream, with its requests in flight, out of its group into another one.
		void regroup(const UpstreamRef& _upstream, const std::string& _service, const std::string& _name);
		/// Puts an upstream that is in no group into one.
		void put(const UpstreamRef& _upstream, const GroupRef& _group);
		/// Takes an upstream out of its group; a group without members goes.
		void takeOut(const UpstreamRef& _upstream);
		void count(UpstreamGroup& _group) const;
		/// What was said by an upstream that isn't known now.
		struct KeptReport
		{
			SelfReport report;
			Millis startedAt = 0; ///< Of its run; 0: unknown.
			Millis until = 0;
		};
		/// Keeps what an upstream that goes has said, in case its row comes back.
		void keepSelfReport(const Upstream& _upstream, Millis _now);
		/// @returns What the upstream of a record that is new here has said before.
		SelfReport selfReportOf(const UpstreamRecord& _record, Millis _now) const;
		/// Lets what an upstream said count for what is known under its name by now.
		void applySelfReport(const UpstreamRef& _upstream, Millis _now);
		/// What a service's cold upstreams bear.
		struct ColdLimits
		{
			ColdTerms terms;
			ColdShare share;
		};
		void setColdSends(Upstream& _upstream) const;

		std::string zone;
		std::string gateway;
		absl::flat_hash_map<std::string, ColdLimits> coldLimits;    ///< By service.
		absl::flat_hash_map<std::string, KeptReport> reportsOfGone; ///< By incarnation.
		absl::flat_hash_map<std::string, UpstreamRef> byIncarnation;
		absl::flat_hash_map<std::string, UpstreamRef> aside;     ///< By incarnation; in no group, at no address.
		absl::flat_hash_map<std::string, UpstreamRef> byAddress; ///< The last one learnt there.
		absl::flat_hash_map<std::string, std::vector<GroupRef>> byService;
		std::set<std::string> evacuatedZones;
	};
} // namespace archdyke::gateway
