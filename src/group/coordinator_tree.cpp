/// The coordinator's part that looks at its ranks through the tree, and sends news down it.
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
		/// Counts of chosen experts may take this share of a link.
		constexpr double kSampleLinkShare = 0.2;
		constexpr double kBytesPerMegabit = 125'000.0;
		/// In large groups only some ranks are asked for counts, and less often: requests are
		/// spread over all ranks, so what some chose tells what all choose.
		constexpr double kSampleMsPerRank = 1.5;
		constexpr std::size_t kLeastSampled = 8;
		/// Between two news of the group, ms: as old as loads may get before they are sent.
		constexpr Millis kPublishMs = 50;
		/// How long a branch waits for its slowest daemon, ms: most answer within 3, and what one
		/// last said is told with its age.
		constexpr Millis kBranchPatienceMs = 15;
		/// Time limit of a question to a relay, ms: its patience, 5 ms across zones, and a daemon that
		/// is short of processor. Then the other relay of the zone gets its ranks.
		constexpr Millis kRelayTimeoutMs = 300;
		/// Engines that are asked past their daemons at most: when more daemons are silent it is a zone, or
		/// this VM's own link, and questions from here to each of them would only fill it.
		constexpr std::size_t kMostDirect = 8;
		/// A daemon that failed as a relay isn't one for this long, ms.
		constexpr Millis kNoRelayMs = 2'000;
		/// Key of the coordinator's own branch.
		constexpr const char* kOwnBranch = "";
	} // namespace

	Millis Coordinator::sampleMs() const
	{
		return std::max(kIdleLookMs, Millis(kSampleMsPerRank * double(this->ranks.size())));
	}

	std::size_t Coordinator::sampledRanks() const
	{
		const double bytes = !this->model ? 1.0 : double(this->model->sets) * this->model->experts;
		const double bytesPerSecond = kSampleLinkShare * kBytesPerMegabit * this->parts.settings.place.linkMbps;
		const double affordable = bytesPerSecond * double(this->sampleMs()) / 1'000.0 / std::max(1.0, bytes);
		return std::max(kLeastSampled, std::size_t(affordable));
	}

	std::vector<TreeMember> Coordinator::treeMembers() const
	{
		std::vector<TreeMember> members;
		const Millis now = nowMs();
		for (const auto& [engine, rank] : this->ranks)
		{
			const bool failed = 0 != rank.relayFailedAt && now - rank.relayFailedAt <= kNoRelayMs;
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
			branch.link = std::make_shared<RankLink>(this->parts.loop, daemonAddress(_relay, this->parts.settings.place.peerPort));
		}
		return branch;
	}

	void Coordinator::askBranch(const std::vector<TreeMember>& _members, const TreeBranch& _branch, std::size_t _counted)
	{
		std::string relay = _branch.relay ? _members[*_branch.relay].engine : kOwnBranch;
		BranchQuestion question{this->coordination(), {}, kBranchPatienceMs, _counted};
		for (const std::size_t index : _branch.members)
		{
			const std::string& engine = _members[index].engine;
			this->meet(engine, this->ranks.at(engine));
			this->branchOf[engine] = relay;
			question.engines.push_back(engine);
		}
		Branch& branch = this->branchAt(relay);
		// One question at a time: a link or a processor that is full isn't given more.
		if (!branch.asking)
		{
			branch.asking = true;
			this->tasks.add(this->lookAt(std::move(relay), std::move(question)).take());
		}
	}

	void Coordinator::askRanks()
	{
		const Millis now = nowMs();
		if (now - this->publishedAt >= kPublishMs)
		{
			this->publish();
			this->publishedAt = now;
		}
		const bool counts = now - this->countsAt >= this->sampleMs();
		this->countsAt = counts ? now : this->countsAt;
		const std::vector<TreeMember> members = this->treeMembers();
		const std::size_t sampled = this->sampledRanks();
		std::size_t answers = 0; // with counts; those of a relay come added up in one
		std::set<std::string> relays;
		for (const TreeBranch& branch : makeTree(members))
		{
			const bool counted = counts && answers < sampled;
			answers += branch.relay ? 1 : branch.members.size();
			relays.insert(branch.relay ? members[*branch.relay].engine : kOwnBranch);
			this->askBranch(members, branch, counted ? sampled : 0);
		}
		std::erase_if(this->branches, [&](const auto& _entry) {
			return !_entry.second.asking && !relays.contains(_entry.first);
		});
		std::size_t asked = 0;
		for (auto& [engine, rank] : this->ranks)
		{
			if (asked < kMostDirect && this->daemonIsSilent(rank))
			{
				asked += 1;
				this->askDirectly(engine, rank, this->switchIsOpen() ? kDirectSwitchingMs : kDirectEveryMs);
			}
		}
		this->searchGroup();
	}

	void Coordinator::takeChildren(const std::vector<ChildSight>& _children, Millis _answeredAt)
	{
		for (const ChildSight& child : _children)
		{
			Rank* rank = this->findRank(child.engine);
			if (nullptr != rank)
			{
				rank->daemonHeardAt = std::max(rank->daemonHeardAt, _answeredAt - child.ageMs);
				this->hear(*rank, child.report, _answeredAt - child.ageMs);
			}
		}
	}

	void Coordinator::takeSight(const BranchSight& _sight, Millis _askedAt)
	{
		const bool newer = _sight.newest.group == this->group && _sight.newest.term > this->intent.term;
		if (newer && !this->ended)
		{
			logWarning("term_lost", {{"group", this->group}, {"term", this->intent.term}, {"newer", _sight.newest.term}, {"coordinator", _sight.newest.address}});
			this->end(CoordinatorEnd::TermLost);
		}
		// The earliest moment at which the branch can have answered: what it saw isn't taken for newer
		// than it is, however long the answer was on its way.
		this->takeChildren(_sight.children, _askedAt + _sight.tookMs);
		if (!_sight.choices.choices.empty())
		{
			const Millis now = nowMs();
			addChoiceSample(this->window, {now - _sight.choices.spanMs, now, _sight.choices.epoch, _sight.choices.choices}, kCountWindowMs);
		}
	}

	aio::Task<void> Coordinator::lookAt(std::string _relay, BranchQuestion _question)
	{
		Branch& branch = this->branches.at(_relay);
		const Millis askedAt = nowMs();
		std::string failure;
		try
		{
			BranchSight sight;
			if (_relay.empty())
			{
				sight = co_await this->parts.fanOut.look(std::move(_question));
			}
			else
			{
				const std::uint64_t number = this->parts.knowledge.news.number;
				NewsBundle bundle = branch.told == number ? NewsBundle() : this->parts.fanOut.newsWithin(branch.held);
				branch.told = number;
				const std::shared_ptr<RankLink> link = branch.link;
				sight = co_await link->relay(std::move(_question), std::move(bundle), kRelayTimeoutMs);
			}
			branch.held = sight.held;
			branch.gateways = sight.gateways;
			branch.heardAt = nowMs();
			this->takeSight(sight, askedAt);
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
		}
		branch.asking = false;
		if (!failure.empty())
		{
			branch.held.reset(); // its daemon may be another process now
			Rank* relay = this->findRank(_relay);
			if (nullptr != relay)
			{
				relay->relayFailedAt = nowMs();
			}
			logWarning("relay_lost", {{"group", this->group}, {"relay", _relay}, {"reason", failure}, {"no_relay_ms", kNoRelayMs}});
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
		GroupKnowledge& known = this->parts.knowledge;
		const Millis now = nowMs();
		GroupNews news;
		news.coordination = this->coordination();
		news.number = known.news.coordination.term == this->intent.term ? known.news.number + 1 : 1;
		news.passMs = this->passMs;
		Roster roster{this->intent.term, 1, {}};
		for (const auto& [engine, rank] : this->ranks)
		{
			if (0 == rank.seenAt || rank.report.group != this->group || rank.report.rank >= rank.report.ranks)
			{
				continue;
			}
			const std::size_t size = std::max<std::size_t>(roster.engines.size(), rank.report.ranks);
			roster.engines.resize(size);
			news.loads.resize(size, kLoadUnknown);
			roster.engines[rank.report.rank] = engine;
			if (now - rank.seenAt > kViewMaxAgeMs)
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
		// Others' proofs count while this process has none of its own: that of one that just started names its first
		// read as a change, and all gateways would look for it.
		const store::ConfigurationProof own = store::proofOf(known.tables.operators);
		news.proof = this->operatorsAnswered ? own : std::max(own, tally.proof);
		known.news = std::move(news);
		known.newsAt = now;
		known.roster = std::move(roster);
	}
} // namespace archdyke::group
