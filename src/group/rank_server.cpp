#include "group/rank_server.h"

#include "archdyke/placement.h"
#include "base/log.h"
#include "group/news_rpc.h"

namespace archdyke::group
{
	namespace
	{
		/// Maximum number of maps that a sidecar keeps: the one in force and some that were abandoned since.
		constexpr std::size_t kMaxCachedMaps = 4;
		/// Reported by a daemon that has never heard a coordinator, ms.
		constexpr std::uint32_t kNeverHeardMs = 3'600'000;
	} // namespace

	void recordEngineReport(SidecarState& _state, EngineReport _report)
	{
		if (_state.newest.group != _report.group)
		{
			logInfo("group_joined", {{"group", _report.group.empty() ? "-" : _report.group}, {"before", _state.newest.group.empty() ? "-" : _state.newest.group}, {"rank", _report.rank}, {"ranks", _report.ranks}, {"epoch", _report.view.epoch}});
			_state.newest = {};
			_state.newest.group = _report.group;
			_state.heardAt = nowMs();
			// The store's tables stay: they are the same for all groups.
			_state.groupState.news = {};
			_state.groupState.roster = {};
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
		this->recordCoordinator(readCoordination(_context.getParams().getCoordination()));
		return this->handleObserve(_context).take();
	}

	kj::Promise<void> RankServer::order(OrderContext _context)
	{
		return this->handleOrder(_context).take();
	}

	kj::Promise<void> RankServer::relay(RelayContext _context)
	{
		return this->handleRelay(_context).take();
	}

	kj::Promise<void> RankServer::relayOrders(RelayOrdersContext _context)
	{
		return this->handleRelayOrders(_context).take();
	}

	kj::Promise<void> RankServer::news(NewsContext _context)
	{
		const auto params = _context.getParams();
		const std::string gateway = params.getName().cStr();
		const Millis now = nowMs();
		recordGateway(this->state.groupState, gateway, readProof(params.getProof()), now);
		auto results = _context.getResults();
		writeCoordination(results.initNewest(), this->state.newest); // names the group even if no coordinator was heard
		writeBundle(results.initBundle(), this->fanOut.newsWithinBudget(readHeld(params.getHeld())));
		return kj::READY_NOW;
	}

	kj::Promise<void> RankServer::join(JoinContext _context)
	{
		const auto params = _context.getParams();
		const bool coordinates = nullptr != this->state.coordinator && params.getGroup() == this->state.newest.group.c_str();
		const Coordination newest = coordinates ? this->state.coordinator->coordination() : this->state.newest;
		if (coordinates)
		{
			this->state.coordinator->addCandidate(readEndpoint(params.getEngine()));
		}
		auto results = _context.getResults();
		writeCoordination(results.initNewest(), newest);
		results.setCoordinates(coordinates && !newest.storeLost);
		const bool heard = params.getGroup() == newest.group.c_str() && 0 != newest.term;
		results.setHeardMsAgo(heard ? std::uint32_t(nowMs() - this->state.heardAt) : kNeverHeardMs);
		return kj::READY_NOW;
	}

	void RankServer::recordCoordinator(const Coordination& _coordination)
	{
		if (_coordination.group != this->state.newest.group || _coordination.term < this->state.newest.term)
		{
			return;
		}
		if (_coordination.term > this->state.newest.term)
		{
			logInfo("coordinator_heard", {{"group", _coordination.group}, {"term", _coordination.term}, {"address", _coordination.address}, {"before", this->state.newest.term}});
		}
		// A coordinator that can't reach the store is followed, but another daemon may take over.
		this->state.heardAt = _coordination.storeLost ? this->state.heardAt : nowMs();
		this->state.newest = _coordination;
	}

	bool RankServer::isCurrentCoordinator(const Coordination& _coordination) const
	{
		return _coordination.group == this->state.newest.group && _coordination.term == this->state.newest.term;
	}

	void RankServer::applyGroupNews(const NewsBundle& _bundle)
	{
		if (_bundle.news.coordination.group == this->state.newest.group)
		{
			applyNews(this->state.groupState, _bundle, nowMs());
		}
	}

	aio::Task<void> RankServer::refreshGroup(std::string _group)
	{
		if (this->state.newest.group != _group)
		{
			recordEngineReport(this->state, co_await this->engine.report());
		}
	}

	aio::Task<void> RankServer::handleRelay(RelayContext _context)
	{
		const BranchQuery query = readBranchQuery(_context.getParams());
		std::string group = query.coordination.group;
		co_await this->refreshGroup(std::move(group)); // a daemon that has just started doesn't know its group
		this->recordCoordinator(query.coordination);
		BranchSnapshot snapshot;
		if (this->isCurrentCoordinator(query.coordination))
		{
			this->applyGroupNews(readBundle(_context.getParams().getBundle()));
			BranchQuery copy = query;
			snapshot = co_await this->fanOut.poll(std::move(copy));
		}
		else if (this->state.newest.term <= query.coordination.term)
		{
			// An empty response would leave the ranks unseen without a failed relay; after an error the
			// coordinator uses another daemon as the relay.
			kj::throwFatalException(KJ_EXCEPTION(FAILED, "this daemon's engine is in another group"));
		}
		snapshot.newest = snapshot.newest.term < this->state.newest.term ? this->state.newest : snapshot.newest;
		writeBranchSnapshot(_context.getResults(), snapshot, query.engines);
	}

	aio::Task<void> RankServer::handleRelayOrders(RelayOrdersContext _context)
	{
		const BranchOrder order = readBranchOrder(_context.getParams());
		if (!this->isCurrentCoordinator(order.coordination))
		{
			logWarning("orders_not_relayed", {{"group", order.coordination.group}, {"own", this->state.newest.group}, {"term", order.coordination.term}, {"newest", this->state.newest.term}});
			co_return;
		}
		BranchOrder copy = order;
		const BranchOutcome outcome = co_await this->fanOut.broadcast(std::move(copy));
		writeBranchOutcome(_context.getResults(), outcome, order.engines);
	}

	aio::Task<void> RankServer::handleObserve(ObserveContext _context)
	{
		RankReport report;
		report.service = this->service;
		report.engine = co_await this->engine.report();
		if (_context.getParams().getCounts())
		{
			EngineCounts counts = co_await this->engine.counts();
			report.choices = this->recordSample(std::move(counts), _context.getParams().getSample());
		}
		recordEngineReport(this->state, report.engine);
		// Only after the first report does the daemon know which group's coordinator to follow.
		this->recordCoordinator(readCoordination(_context.getParams().getCoordination()));
		this->applyGroupNews(readBundle(_context.getParams().getBundle()));
		auto results = _context.getResults();
		writeCoordination(results.initNewest(), this->state.newest);
		writeReport(results.initReport(), report);
		writeTally(results.initGateways(), tallyOf(this->state.groupState, nowMs()));
		writeHeld(results.initHeld(), heldVersions(this->state.groupState));
	}

	ChoiceSample RankServer::recordSample(EngineCounts _counts, std::uint64_t _held)
	{
		ChoiceSample sample;
		sample.epoch = _counts.epoch;
		sample.sample = this->lastSample + 1;
		const bool continuesLastSample = 0 != _held && _held == this->lastSample && _counts.epoch == this->lastCounts.epoch;
		std::optional<std::vector<std::uint32_t>> choices = continuesLastSample ? choicesBetween(this->lastCounts.counts, _counts.counts) : std::nullopt;
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
		else if (this->state.groupState.maps.contains(_difference.base))
		{
			base = this->state.groupState.maps.at(_difference.base);
		}
		else
		{
			return false;
		}
		_order.expertsByRank = applyDifference(std::move(base), _difference);
		this->state.groupState.maps[_order.version] = _order.expertsByRank;
		while (kMaxCachedMaps < this->state.groupState.maps.size())
		{
			this->state.groupState.maps.erase(this->state.groupState.maps.begin());
		}
		return true;
	}

	aio::Task<void> RankServer::handleOrder(OrderContext _context)
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
			recordEngineReport(this->state, report.engine);
			writeReport(_context.getResults().initReport(), report);
		}
		catch (const kj::Exception& error)
		{
			logWarning("no_report_after_an_order", {{"engine", this->engine.address()}, {"reason", error.getDescription().cStr()}});
		}
	}
} // namespace archdyke::group
