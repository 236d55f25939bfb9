/// Looks at the daemons of some engines and orders them, all at once: one branch of the tree, played
/// by a relay, or by the coordinator itself when its group is small.
///
/// It decides nothing and holds no truth: what it knows of a child is what the child last said, with
/// its age. A relay that is replaced loses counts of one interval.
#pragma once

#include <map>
#include <memory>

#include "group/rank_link.h"

namespace archdyke::group
{
	class FanOut
	{
	public:
		/// @param[in] _peerPort Where daemons listen.
		/// @param[in] _linkMbps Of the VM.
		/// @param[in] _knowledge What the children are told of the group.
		FanOut(http::LoopContext _loop, int _peerPort, double _linkMbps, const GroupKnowledge& _knowledge);

		/// @returns News for one who holds some of it: lists come within a share of the link's rate,
		/// the state of the group always. Whoever gets none this time is told with the next question.
		/// @param[in] _held What he holds; none: he hasn't said so yet, and gets no list.
		NewsBundle newsWithin(const std::optional<HeldVersions>& _held);

		/// Asks each daemon that has no question to answer, and waits for them.
		aio::Task<BranchSight> look(BranchQuestion _question);

		/// Closes the link to an engine's daemon, unless it has a question to answer.
		void forget(const std::string& _engine);

		/// @returns What was heard of engines lately, also by answers that came after a look had ended.
		std::vector<ChildSight> sights(const std::vector<std::string>& _engines) const;

		/// Gives all the order, and waits for what becomes of it.
		aio::Task<BranchOutcome> give(BranchOrder _order);

	private:
		struct Child
		{
			std::unique_ptr<RankLink> link;
			bool asking = false;
			Millis wantedAt = 0; ///< When it was last asked for.
			Millis askedAt = 0;  ///< When the question was sent that the report answers.
			Millis heardAt = 0;  ///< When the report came; 0: never.
			EngineReport report;
			Coordination newest; ///< That its daemon heard of.
			GatewayTally gateways;
			std::pair<std::uint64_t, std::uint64_t> told; ///< Term and number of the last news that it was sent.
			std::optional<HeldVersions> held;
			std::uint64_t sample = 0; ///< Last sample of counts; 0: none.
			std::uint64_t sampleEpoch = 0;
			Millis sampledAt = 0;
			ChoiceSum choices;       ///< Not told yet.
			std::string lastFailure; ///< Empty while it answers.
			Millis failingSince = 0;
		};

		/// Children that somebody waits for.
		struct Awaited
		{
			std::size_t left = 0;
			kj::Own<kj::PromiseFulfiller<void>> done;
		};

		/// Takes a list's bytes out of what lists may take of the link.
		/// @returns false when they have taken it all for now.
		bool takeListBytes(std::size_t _bytes);
		Child& childAt(const std::string& _engine);
		void forgetUnwanted();
		aio::Task<void> observe(std::string _engine, Coordination _coordination, bool _counts, std::shared_ptr<Awaited> _awaited);
		aio::Task<void> order(std::string _engine, std::size_t _place, std::shared_ptr<const BranchOrder> _order, std::shared_ptr<BranchOutcome> _outcome, std::shared_ptr<Awaited> _awaited);
		/// Keeps a report, unless a later question was answered before.
		static void takeReport(Child& _child, const EngineReport& _report, Millis _askedAt);
		void hear(Child& _child, Millis _askedAt, const Observation& _observation);
		void noteFailure(const std::string& _engine, Child& _child, const std::string& _failure);
		static void release(Awaited& _awaited);
		/// Waits for the awaited, or for as long as patience lasts.
		kj::Promise<void> wait(const std::shared_ptr<Awaited>& _awaited, kj::Promise<void> _done, Millis _patienceMs);
		GatewayTally tally(const std::vector<std::string>& _engines) const;
		/// @returns The coordinator with the highest term that a child heard of, or that asks.
		Coordination newestOf(const BranchQuestion& _question) const;
		ChoiceSum takeChoices(const std::vector<std::string>& _engines);

		http::LoopContext loop;
		const int peerPort;
		const double listBytesPerMs;
		double listBytesLeft = 0.0; ///< That lists may take now; below 0 after one that was longer.
		Millis listBytesAt = 0;
		const GroupKnowledge& knowledge;
		std::map<std::string, Child> children; ///< By engine; never erased while its daemon has a question to answer.
		kj::Own<kj::TaskSet::ErrorHandler> errors;
		kj::TaskSet tasks;
	};

	/// @returns Address of the daemon beside an engine.
	std::string daemonAddress(const std::string& _engine, int _peerPort);
} // namespace archdyke::group
