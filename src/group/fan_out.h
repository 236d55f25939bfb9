/// Polls the daemons of several engines and sends them orders, all in parallel. This is one branch of
/// the tree; it runs in a relay, or in the coordinator itself if the group is small.
///
/// It makes no decisions and its state is a cache: for each child the last report, with its age. If a
/// relay is replaced, the counts of one interval are lost.
#pragma once

#include <map>
#include <memory>

#include "group/rank_link.h"

namespace archdyke::group
{
	class FanOut
	{
	public:
		/// @param[in] _peerPort Port at which daemons listen.
		/// @param[in] _linkMbps Link rate of the VM, Mbit/s.
		/// @param[in] _groupState State of the group that is distributed to the children.
		FanOut(http::LoopContext _loop, int _peerPort, double _linkMbps, const GroupState& _groupState);

		/// @returns News for a receiver that has some of it: always the state of the group, and rosters and
		/// tables within a share of the link's rate. What doesn't fit is sent with a later poll.
		/// @param[in] _held Versions that the receiver has; none: not known yet, so it gets no lists.
		NewsBundle newsWithinBudget(const std::optional<HeldVersions>& _held);

		/// Polls each daemon that has no poll in flight, and waits for the responses.
		aio::Task<BranchSnapshot> poll(BranchQuery _query);

		/// Closes the connection to an engine's daemon unless a poll is in flight.
		void disconnect(const std::string& _engine);

		/// @returns Engines to whose daemons a connection is open.
		std::vector<std::string> connectedEngines() const;

		/// @returns Recent reports of engines, including those that arrived after a poll had ended.
		std::vector<ChildSnapshot> snapshots(const std::vector<std::string>& _engines) const;

		/// Sends the order to all its engines and waits for the outcomes.
		aio::Task<BranchOutcome> broadcast(BranchOrder _order);

	private:
		struct Child
		{
			std::unique_ptr<RankLink> link;
			bool pollInFlight = false;
			Millis lastUsedAt = 0; ///< When a query or an order last named it.
			Millis askedAt = 0;    ///< When the request was sent that the report answers.
			Millis heardAt = 0;    ///< When the report arrived; 0: never.
			EngineReport report;
			Coordination newest; ///< The newest coordinator that its daemon knows.
			GatewayTally gateways;
			std::pair<std::uint64_t, std::uint64_t> lastNewsSent; ///< Term and number of the last news sent to it.
			std::optional<HeldVersions> held;
			std::uint64_t sample = 0; ///< Last sample of counts; 0: none.
			std::uint64_t sampleEpoch = 0;
			Millis sampledAt = 0;
			ChoiceSum choices;       ///< Not returned yet.
			std::string lastFailure; ///< Empty while it responds.
			Millis failingSince = 0;
		};

		/// Responses that a query or an order waits for.
		struct PendingResponses
		{
			std::size_t remaining = 0;
			kj::Own<kj::PromiseFulfiller<void>> done;
		};

		/// Deducts a list's size from the budget for lists.
		/// @returns false if the budget is used up for now.
		bool consumeListBudget(std::size_t _bytes);
		Child& childAt(const std::string& _engine);
		void removeUnused();
		aio::Task<void> observe(std::string _engine, Coordination _coordination, bool _counts, std::shared_ptr<PendingResponses> _pendingResponses);
		aio::Task<void> sendOrder(std::string _engine, std::size_t _position, std::shared_ptr<const BranchOrder> _order, std::shared_ptr<BranchOutcome> _outcome, std::shared_ptr<PendingResponses> _pendingResponses);
		/// Records a report unless the response to a later request has already arrived.
		static void recordReport(Child& _child, const EngineReport& _report, Millis _askedAt);
		void recordObservation(Child& _child, Millis _askedAt, const Observation& _observation);
		void recordFailure(const std::string& _engine, Child& _child, const std::string& _failure);
		static void completeOne(PendingResponses& _pendingResponses);
		/// Waits until all responses have arrived, but no longer than the maximum wait.
		kj::Promise<void> wait(const std::shared_ptr<PendingResponses>& _pendingResponses, kj::Promise<void> _done, Millis _maxWaitMs);
		GatewayTally tally(const std::vector<std::string>& _engines) const;
		/// @returns The coordinator with the highest term among the querying one and those known to children.
		Coordination newestOf(const BranchQuery& _query) const;
		ChoiceSum takeChoices(const std::vector<std::string>& _engines);

		http::LoopContext loop;
		const int peerPort;
		const double listBytesPerMs;
		double listBudgetBytes = 0.0; ///< Bytes that lists may use now; negative after a list larger than the budget.
		Millis listBytesAt = 0;
		const GroupState& groupState;
		std::map<std::string, Child> children; ///< By engine; never erased while a poll is in flight.
		kj::Own<kj::TaskSet::ErrorHandler> errors;
		kj::TaskSet tasks;
	};

	/// @returns Address of the daemon beside an engine.
	std::string daemonAddress(const std::string& _engine, int _peerPort);
} // namespace archdyke::group
