/// The part of the coordinator that polls its ranks through the tree of relays and distributes news
/// through it.
#include <algorithm>

#include "archdyke/map_policy.h"
#include "base/log.h"
#include "base/process.h"
#include "group/coordinator.h"
#include "group/coordinator_p.h"

namespace archdyke::group
{
	namespace
	{
		/// Maximum share of a link's rate for counts of expert choices.
		constexpr double kSampleLinkShare = 0.2;
		constexpr double kBytesPerMegabit = 125'000.0;
		/// Interval between samples of counts per rank of the group, ms. In large groups only some ranks are
		/// sampled, and less often: requests are spread over all ranks, so a sample represents them all.
		constexpr double kSampleMsPerRank = 1.5;
		constexpr std::size_t kMinSampledRanks = 8;
		/// Interval between news of the group, ms: the maximum age of loads when they are sent.
		constexpr Millis kPublishIntervalMs = 50;
		/// Maximum wait of a branch for its slowest daemon, ms: most respond within 3, and for a late one
		/// its last report is returned with its age.
		constexpr Millis kBranchMaxWaitMs = 15;
		/// Timeout of a query to a relay, ms: the relay's wait, 5 ms across zones, and time for a daemon that
		/// is short of CPU. After a timeout the other relay of the zone gets its ranks.
		constexpr Millis kRelayTimeoutMs = 300;
		/// Maximum number of engines polled directly: if more daemons are silent, a zone or this VM's own
		/// link has failed, and direct polls would only fill the link.
		constexpr std::size_t kMaxDirectPolls = 8;
		/// Time for which a daemon that failed as a relay isn't used as one, ms.
		constexpr Millis kRelayExclusionMs = 2'000;
		/// Key of the coordinator's own branch.
		constexpr const char* kOwnBranch = "";
	} // namespace

	Millis Coordinator::sampleMs() const
	{
		return std::max(kIdlePollIntervalMs, Millis(kSampleMsPerRank * double(this->ranks.size())));
	}

	std::size_t Coordinator::sampledRanks() const
	{
		const double bytes = !this->model ? 1.0 : double(this->model->sets) * this->model->experts;
		const double bytesPerSecond = kSampleLinkShare * kBytesPerMegabit * this->dependencies.settings.place.linkMbps;
		const double affordable = bytesPerSecond * double(this->sampleMs()) / 1'000.0 / std::max(1.0, bytes);
		return std::max(kMinSampledRanks, std::size_t(affordable));
	}

	std::vector<TreeMember> Coordinator::treeMembers() const
	{
		std::vector<TreeMember> members;
		const Millis now = nowMs();
		for (const auto& [engine, rank] : this->ranks)
		{
			const bool failed = 0 != rank.relayFailedAt && now - rank.relayFailedAt <= kRelayExclusionMs;
			const bool silent = 0 == rank.daemonHeardAt || this->daemonIsSilent(rank);
			members.push_back({engine, rank.zone, failed ? rank.relayFailedAt : Millis(silent ? 1 : 0)});
		}
		return members;
	}

	Coordinator::Branch& Coordinator::branchAt(const std::string& _relay)
	{
		Branch& branch = this->branches[_relay];
		if (nullptr == branch.link && !_relay.empty())
		{
			branch.link = std::make_shared<RankLink>(this->dependencies.loop, daemonAddress(_relay, this->dependencies.settings.place.peerPort));
		}
		return branch;
	}

	void Coordinator::pollBranch(const std::vector<TreeMember>& _members, const TreeBranch& _branch, std::size_t _enginesWithCounts)
	{
		std::string relay = _branch.relay ? _members[*_branch.relay].engine : kOwnBranch;
		BranchQuery query{this->coordination(), {}, kBranchMaxWaitMs, _enginesWithCounts};
		for (const std::size_t index : _branch.members)
		{
			const std::string& engine = _members[index].engine;
			this->ensureDirectEngine(engine, this->ranks.at(engine));
			this->branchOf[engine] = relay;
			query.engines.push_back(engine);
		}
		Branch& branch = this->branchAt(relay);
		// One poll at a time, so that a saturated link or CPU doesn't get more.
		if (!branch.pollInFlight)
		{
			branch.pollInFlight = true;
			this->tasks.add(this->requestBranchSnapshot(std::move(relay), std::move(query)).take());
		}
	}

	void Coordinator::pollRanks()
	{
		const Millis now = nowMs();
		if (now - this->publishedAt >= kPublishIntervalMs)
		{
			this->publish();
			this->publishedAt = now;
		}
		const bool counts = now - this->countsAt >= this->sampleMs();
		this->countsAt = counts ? now : this->countsAt;
		const std::vector<TreeMember> members = this->treeMembers();
		const std::size_t sampled = this->sampledRanks();
		std::size_t responses = 0; // with counts; a relay sums up its ranks in one response
		std::set<std::string> relays;
		for (const TreeBranch& branch : makeTree(members))
		{
			const bool withCounts = counts && responses < sampled;
			responses += branch.relay ? 1 : branch.members.size();
			relays.insert(branch.relay ? members[*branch.relay].engine : kOwnBranch);
			this->pollBranch(members, branch, withCounts ? sampled : 0);
		}
		std::erase_if(this->branches, [&](const auto& _entry) {
			return !_entry.second.pollInFlight && !relays.contains(_entry.first);
		});
		std::size_t asked = 0;
		for (auto& [engine, rank] : this->ranks)
		{
			if (asked < kMaxDirectPolls && this->daemonIsSilent(rank))
			{
				asked += 1;
				this->pollDirectly(engine, rank, this->switchIsOpen() ? kDirectSwitchingPollIntervalMs : kDirectPollIntervalMs);
			}
		}
		this->searchGroup();
	}

	void Coordinator::applyChildSnapshots(const std::vector<ChildSnapshot>& _children, Millis _answeredAt)
	{
		for (const ChildSnapshot& child : _children)
		{
			Rank* rank = this->findRank(child.engine);
			if (nullptr != rank)
			{
				rank->daemonHeardAt = std::max(rank->daemonHeardAt, _answeredAt - child.ageMs);
				this->recordReport(*rank, child.report, _answeredAt - child.ageMs);
			}
		}
	}

	void Coordinator::applyBranchSnapshot(const BranchSnapshot& _snapshot, Millis _askedAt)
	{
		const bool newer = _snapshot.newest.group == this->group && _snapshot.newest.term > this->intent.term;
		if (newer && !this->ended)
		{
			logWarning("term_lost", {{"group", this->group}, {"term", this->intent.term}, {"newer", _snapshot.newest.term}, {"coordinator", _snapshot.newest.address}});
			this->end(CoordinatorEnd::TermLost);
		}
		// The earliest time at which the branch can have responded, so that a response that was delayed on
		// its way isn't taken for newer than it is.
		this->applyChildSnapshots(_snapshot.children, _askedAt + _snapshot.tookMs);
		if (!_snapshot.choices.choices.empty())
		{
			const Millis now = nowMs();
			addChoiceSample(this->window, {now - _snapshot.choices.spanMs, now, _snapshot.choices.epoch, _snapshot.choices.choices}, kCountWindowMs);
		}
	}

	aio::Task<void> Coordinator::requestBranchSnapshot(std::string _relay, BranchQuery _query)
	{
		Branch& branch = this->branches.at(_relay);
		const Millis askedAt = nowMs();
		std::string failure;
		try
		{
			BranchSnapshot snapshot;
			if (_relay.empty())
			{
				snapshot = co_await this->dependencies.fanOut.poll(std::move(_query));
			}
			else
			{
				const std::uint64_t number = this->dependencies.groupState.news.number;
				NewsBundle bundle = branch.lastNewsSent == number ? NewsBundle() : this->dependencies.fanOut.newsWithinBudget(branch.held);
				branch.lastNewsSent = number;
				const std::shared_ptr<RankLink> link = branch.link;
				snapshot = co_await link->relay(std::move(_query), std::move(bundle), kRelayTimeoutMs);
			}
			branch.held = snapshot.held;
			branch.gateways = snapshot.gateways;
			branch.heardAt = nowMs();
			this->applyBranchSnapshot(snapshot, askedAt);
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		branch.pollInFlight = false;
		if (!failure.empty())
		{
			branch.held.reset(); // the daemon may have restarted
			Rank* relay = this->findRank(_relay);
			if (nullptr != relay)
			{
				relay->relayFailedAt = nowMs();
			}
			logWarning("relay_lost", {{"group", this->group}, {"relay", _relay}, {"reason", failure}, {"no_relay_ms", kRelayExclusionMs}});
		}
	}

	GatewayTally Coordinator::gatewayTally() const
	{
		GatewayTally tally;
		const Millis now = nowMs();
		for (const auto& [relay, branch] : this->branches)
		{
			if (now - branch.heardAt <= kViewMaxAgeMs)
			{
				tally = merged(tally, branch.gateways);
			}
		}
		return tally;
	}

	void Coordinator::publish()
	{
		GroupState& known = this->dependencies.groupState;
		const Millis now = nowMs();
		GroupNews news;
		news.coordination = this->coordination();
		news.number = known.news.coordination.term == this->intent.term ? known.news.number + 1 : 1;
		news.passMs = this->passMs;
		Roster roster{this->intent.term, 1, {}};
		for (const auto& [engine, rank] : this->ranks)
		{
			if (0 == rank.observedAt || rank.report.group != this->group || rank.report.rank >= rank.report.ranks)
			{
				continue;
			}
			const std::size_t size = std::max<std::size_t>(roster.engines.size(), rank.report.ranks);
			roster.engines.resize(size);
			news.loads.resize(size, kLoadUnknown);
			roster.engines[rank.report.rank] = engine;
			if (now - rank.observedAt > kViewMaxAgeMs)
			{
				continue;
			}
			news.open = news.open && rank.report.view.open;
			news.loads[rank.report.rank] = std::uint8_t(std::min<std::uint32_t>(rank.report.queued + rank.report.active, kLoadUnknown - 1));
			if (1.0 != rank.report.pace)
			{
				news.paces.push_back({rank.report.rank, rank.report.pace});
			}
		}
		const bool sameRoster = known.roster.term == this->intent.term && known.roster.engines == roster.engines;
		roster.version = known.roster.term != this->intent.term ? 1 : known.roster.version + (sameRoster ? 0 : 1);
		news.rosterTerm = roster.term;
		news.rosterVersion = roster.version;
		const GatewayTally tally = this->gatewayTally();
		news.gateways = tally.count;
		// Proofs reported by gateways are used while this process can't read the store itself. They aren't merged
		// otherwise: a process that just started reports its first read as a change, and all gateways would
		// read the store for it.
		const store::ConfigurationProof own = store::proofOf(known.tables.operators);
		news.proof = this->operatorsCallSucceeded ? own : std::max(own, tally.proof);
		known.news = std::move(news);
		known.newsAt = now;
		known.roster = std::move(roster);
	}
} // namespace archdyke::group
