#include "group/rank_server.h"

#include "archdyke/placement.h"
#include "log.h"

namespace archdyke::group
{
	namespace
	{
		/// Maps that a sidecar remembers: the one in force and some that were abandoned since.
		constexpr std::size_t kMapsKept = 4;
	} // namespace

	RankServer::RankServer(SidecarState& _state, Engine& _engine, std::string _service)
	    : state(_state)
	    , engine(_engine)
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

	kj::Promise<void> RankServer::loads(LoadsContext _context)
	{
		GroupLoads loads;
		if (nullptr != this->state.coordinator)
		{
			loads = this->state.coordinator->loads(readQuestion(_context.getParams()));
		}
		loads.newest = this->state.newest;
		writeLoads(_context.getResults(), loads);
		return kj::READY_NOW;
	}

	void RankServer::hearCoordinator(const Coordination& _coordination)
	{
		if (_coordination.term < this->state.newest.term)
		{
			return;
		}
		if (_coordination.term > this->state.newest.term)
		{
			logInfo("coordinator_heard", {{"term", _coordination.term}, {"address", _coordination.address}, {"before", this->state.newest.term}});
		}
		// One that can't reach the store is followed, but another may take over.
		this->state.heardAt = _coordination.storeLost ? this->state.heardAt : nowMs();
		this->state.newest = _coordination;
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
		this->state.lastReport = report.engine;
		writeCoordination(_context.getResults().initNewest(), this->state.newest);
		writeReport(_context.getResults().initReport(), report);
	}

	ChoiceSample RankServer::takeSample(EngineCounts _counts, std::uint64_t _held)
	{
		ChoiceSample sample;
		sample.epoch = _counts.epoch;
		sample.sample = this->lastSample + 1;
		const bool follows = 0 != _held && _held == this->lastSample && _counts.epoch == this->lastCounts.epoch && _counts.counts.size() == this->lastCounts.counts.size();
		if (follows)
		{
			sample.since = _held;
			sample.choices.resize(_counts.counts.size());
			for (std::size_t index = 0; index < sample.choices.size(); ++index)
			{
				sample.choices[index] = _counts.counts[index] - this->lastCounts.counts[index];
			}
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
			base = expertsByRank(dealtInTurn(_difference.sets, _difference.experts, _difference.ranks), _difference.ranks);
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
		if (term < this->state.newest.term)
		{
			logWarning("order_of_an_old_term", {{"term", term}, {"newest", this->state.newest.term}});
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
			this->state.lastReport = report.engine;
			writeReport(_context.getResults().initReport(), report);
		}
		catch (const kj::Exception& error)
		{
			logWarning("no_report_after_an_order", {{"engine", this->engine.address()}, {"reason", error.getDescription().cStr()}});
		}
	}
} // namespace archdyke::group
