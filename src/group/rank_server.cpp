#include "group/rank_server.h"

#include "archdyke/placement.h"
#include "base/log.h"
#include "group/news_rpc.h"

namespace archdyke::group
{
	namespace
	{
		/// Maps that a sidecar remembers: the one in force and some that were abandoned since.
		constexpr std::size_t kMapsKept = 4;
		/// Told by a daemon that never heard a coordinator, ms.
		constexpr std::uint32_t kNeverMs = 3'600'000;
	} // namespace

	void takeReport(SidecarState& _state, EngineReport _report)
	{
		if (_state.newest.group != _report.group)
		{
			logInfo("group_joined", {{"group", _report.group.empty() ? "-" : _report.group}, {"before", _state.newest.group.empty() ? "-" : _state.newest.group}, {"rank", _report.rank}, {"ranks", _report.ranks}, {"epoch", _report.view.epoch}});
			_state.newest = {};
			_state.newest.group = _report.group;
			_state.heardAt = nowMs();
			// The store's tables are those of all groups.
			_state.knowledge.news = {};
			_state.knowledge.roster = {};
		}
		_state.lastReport = std::move(_report);
	}

	RankServer::RankServer(SidecarState& _state, Engine& _engine, FanOut& _fanOut, std::string _service)
	    : state(_state)
	    , engine(_engine)
	    , fanOut(_fanOut)
	    , service(std::move(_service))
	{
	}

	kj::Promise<void> RankServer::observe(ObserveContext _context)
	{
		this->hearCoordinator(readCoordination(_context.getParams().getCoordination()));
		return this->answerObserve(_context).take();
	}

	kj::Promise<void> RankServer::order(OrderContext _context)
	{
		return this->answerOrder(_context).take();
	}

	kj::Promise<void> RankServer::relay(RelayContext _context)
	{
		return this->answerRelay(_context).take();
	}

	kj::Promise<void> RankServer::relayOrders(RelayOrdersContext _context)
	{
		return this->answerRelayOrders(_context).take();
	}

	kj::Promise<void> RankServer::news(NewsContext _context)
	{
		const auto params = _context.getParams();
		const std::string gateway = params.getName().cStr();
		const Millis now = nowMs();
		noteGateway(this->state.knowledge, gateway, readProof(params.getProof()), now);
		auto results = _context.getResults();
		writeCoordination(results.initNewest(), this->state.newest); // the group's name also while nobody was heard
		writeBundle(results.initBundle(), this->fanOut.newsWithin(readHeld(params.getHeld())));
		return kj::READY_NOW;
	}

	kj::Promise<void> RankServer::join(JoinContext _context)
	{
		const auto params = _context.getParams();
		const bool coordinates = nullptr != this->state.coordinator && params.getGroup() == this->state.newest.group.c_str();
		const Coordination newest = coordinates ? this->state.coordinator->coordination() : this->state.newest;
		if (coordinates)
		{
			this->state.coordinator->invite(readEndpoint(params.getEngine()));
		}
		auto results = _context.getResults();
		writeCoordination(results.initNewest(), newest);
		results.setCoordinates(coordinates && !newest.storeLost);
		const bool heard = params.getGroup() == newest.group.c_str() && 0 != newest.term;
		results.setHeardMsAgo(heard ? std::uint32_t(nowMs() - this->state.heardAt) : kNeverMs);
		return kj::READY_NOW;
	}

	void RankServer::hearCoordinator(const Coordination& _coordination)
	{
		if (_coordination.group != this->state.newest.group || _coordination.term < this->state.newest.term)
		{
			return;
		}
		if (_coordination.term > this->state.newest.term)
		{
			logInfo("coordinator_heard", {{"group", _coordination.group}, {"term", _coordination.term}, {"address", _coordination.address}, {"before", this->state.newest.term}});
		}
		// One that can't reach the store is followed, but another may take over.
		this->state.heardAt = _coordination.storeLost ? this->state.heardAt : nowMs();
		this->state.newest = _coordination;
	}

	bool RankServer::follows(const Coordination& _coordination) const
	{
		return _coordination.group == this->state.newest.group && _coordination.term == this->state.newest.term;
	}

	void RankServer::hearNews(const NewsBundle& _bundle)
	{
		if (_bundle.news.coordination.group == this->state.newest.group)
		{
			mergeNews(this->state.knowledge, _bundle, nowMs());
		}
	}

	aio::Task<void> RankServer::learnGroup(std::string _group)
	{
		if (this->state.newest.group != _group)
		{
			takeReport(this->state, co_await this->engine.report());
		}
	}

	aio::Task<void> RankServer::answerRelay(RelayContext _context)
	{
		const BranchQuestion question = readBranchQuestion(_context.getParams());
		std::string group = question.coordination.group;
		co_await this->learnGroup(std::move(group)); // a daemon that just started doesn't know its group
		this->hearCoordinator(question.coordination);
		BranchSight sight;
		if (this->follows(question.coordination))
		{
			this->hearNews(readBundle(_context.getParams().getBundle()));
			BranchQuestion copy = question;
			sight = co_await this->fanOut.look(std::move(copy));
		}
		else if (this->state.newest.term <= question.coordination.term)
		{
			// An empty answer would leave the ranks unseen with nobody to blame: another daemon is asked.
			kj::throwFatalException(KJ_EXCEPTION(FAILED, "this daemon's engine is in another group"));
		}
		sight.newest = sight.newest.term < this->state.newest.term ? this->state.newest : sight.newest;
		writeBranchSight(_context.getResults(), sight, question.engines);
	}

	aio::Task<void> RankServer::answerRelayOrders(RelayOrdersContext _context)
	{
		const BranchOrder order = readBranchOrder(_context.getParams());
		if (!this->follows(order.coordination))
		{
			logWarning("orders_not_relayed", {{"group", order.coordination.group}, {"own", this->state.newest.group}, {"term", order.coordination.term}, {"newest", this->state.newest.term}});
			co_return;
		}
		BranchOrder copy = order;
		const BranchOutcome outcome = co_await this->fanOut.give(std::move(copy));
		writeBranchOutcome(_context.getResults(), outcome, order.engines);
	}

	aio::Task<void> RankServer::answerObserve(ObserveContext _context)
	{
		RankReport report;
		report.service = this->service;
		report.engine = co_await this->engine.report();
		if (_context.getParams().getCounts())
		{
			EngineCounts counts = co_await this->engine.counts();
			report.choices = this->takeSample(std::move(counts), _context.getParams().getSample());
		}
		takeReport(this->state, report.engine);
		// Before its first report the daemon didn't know which group's coordinator to hear.
		this->hearCoordinator(readCoordination(_context.getParams().getCoordination()));
		this->hearNews(readBundle(_context.getParams().getBundle()));
		auto results = _context.getResults();
		writeCoordination(results.initNewest(), this->state.newest);
		writeReport(results.initReport(), report);
		writeTally(results.initGateways(), tallyOf(this->state.knowledge, nowMs()));
		writeHeld(results.initHeld(), heldOf(this->state.knowledge));
	}

	ChoiceSample RankServer::takeSample(EngineCounts _counts, std::uint64_t _held)
	{
		ChoiceSample sample;
		sample.epoch = _counts.epoch;
		sample.sample = this->lastSample + 1;
		const bool follows = 0 != _held && _held == this->lastSample && _counts.epoch == this->lastCounts.epoch;
		std::optional<std::vector<std::uint32_t>> choices = follows ? choicesBetween(this->lastCounts.counts, _counts.counts) : std::nullopt;
		if (choices)
		{
			sample.since = _held;
			sample.choices = std::move(*choices);
		}
		this->lastSample = sample.sample;
		this->lastCounts = std::move(_counts);
		return sample;
	}

	bool RankServer::buildMap(EngineOrder& _order, const MapDifference& _difference)
	{
		RankExperts base;
		if (0 == _difference.base)
		{
			base = expertsByRank(roundRobinMap(_difference.sets, _difference.experts, _difference.ranks), _difference.ranks);
		}
		else if (this->maps.contains(_difference.base))
		{
			base = this->maps.at(_difference.base);
		}
		else
		{
			return false;
		}
		_order.expertsByRank = applyDifference(std::move(base), _difference);
		this->maps[_order.version] = _order.expertsByRank;
		while (kMapsKept < this->maps.size())
		{
			this->maps.erase(this->maps.begin());
		}
		return true;
	}

	aio::Task<void> RankServer::answerOrder(OrderContext _context)
	{
		const std::uint64_t term = _context.getParams().getTerm();
		const std::string group = _context.getParams().getGroup().cStr();
		if (group != this->state.newest.group)
		{
			logWarning("order_for_another_group", {{"group", group}, {"own", this->state.newest.group}, {"term", term}});
			co_return;
		}
		if (term < this->state.newest.term)
		{
			logWarning("order_of_an_old_term", {{"group", group}, {"term", term}, {"newest", this->state.newest.term}});
			co_return;
		}
		EngineOrder order = readOrder(_context.getParams().getOrder());
		if (RankOrderKind::Prepare == order.kind && !this->buildMap(order, readDifference(_context.getParams().getOrder().getMap())))
		{
			logWarning("map_base_unknown", {{"version", order.version}, {"base", _context.getParams().getOrder().getMap().getBase()}});
			_context.getResults().setBaseUnknown(true);
			co_return;
		}
		const OrderOutcome outcome = co_await this->engine.order(std::move(order));
		_context.getResults().setAccepted(outcome.accepted);
		_context.getResults().setStatus(std::uint16_t(outcome.status));
		co_await this->reportAfterOrder(_context);
	}

	aio::Task<void> RankServer::reportAfterOrder(OrderContext _context)
	{
		try
		{
			RankReport report;
			report.service = this->service;
			report.engine = co_await this->engine.report();
			takeReport(this->state, report.engine);
			writeReport(_context.getResults().initReport(), report);
		}
		catch (const kj::Exception& error)
		{
			logWarning("no_report_after_an_order", {{"engine", this->engine.address()}, {"reason", error.getDescription().cStr()}});
		}
	}
} // namespace archdyke::group
