#include "group/fan_out.h"

#include <algorithm>

#include "base/log.h"
#include "base/process.h"
#include "group/coordinator_p.h"

namespace archdyke::group
{
	namespace
	{
		/// Timeout of a poll of a rank's daemon, ms: a round trip takes about 5 ms across zones, and more
		/// while the link is saturated.
		constexpr Millis kObserveTimeoutMs = 250;
		/// Maximum share of the link's rate for rosters and tables. A group of 129 has lists of 40 KB, which
		/// all of its daemons lack at the start: sent at once, they saturated a link of 6 Mbit/s for
		/// seconds, and all polls timed out.
		constexpr double kListLinkShare = 0.25;
		constexpr double kBytesPerMsOfMegabit = 125.0;
		/// Maximum unused list budget that accumulates, in ms of the list rate.
		constexpr Millis kListBurstMs = 100;
		/// A child that wasn't used for this long now belongs to another relay, ms.
		constexpr Millis kUnusedTimeoutMs = 5'000;

		/// @returns Whether an engine belongs to another group. One that is in no group may join any at any time.
		bool isElsewhere(const EngineReport& _report, const std::string& _group)
		{
			return !_report.group.empty() && _group != _report.group;
		}

		class FanOutErrorHandler final : public kj::TaskSet::ErrorHandler
		{
		public:
			void taskFailed(kj::Exception&& _error) override
			{
				logWarning("fan_out_failed", {{"reason", _error.getDescription().cStr()}});
			}
		};
	} // namespace

	std::string daemonAddress(const std::string& _engine, int _peerPort)
	{
		return _engine.substr(0, _engine.rfind(':') + 1) + std::to_string(_peerPort);
	}

	FanOut::FanOut(http::LoopContext _loop, int _peerPort, double _linkMbps, const GroupState& _groupState)
	    : loop(_loop)
	    , peerPort(_peerPort)
	    , listBytesPerMs(kListLinkShare * kBytesPerMsOfMegabit * _linkMbps)
	    , groupState(_groupState)
	    , errors(kj::heap<FanOutErrorHandler>())
	    , tasks(*this->errors)
	{
	}

	NewsBundle FanOut::newsWithinBudget(const std::optional<HeldVersions>& _held)
	{
		const Millis now = nowMs();
		const double saved = this->listBytesPerMs * double(std::min(kListBurstMs, now - this->listBytesAt));
		this->listBudgetBytes = std::min(this->listBytesPerMs * double(kListBurstMs), this->listBudgetBytes + saved);
		this->listBytesAt = now;
		NewsBundle bundle = newsFor(this->groupState, _held.value_or(HeldVersions()), now);
		// Loads are useless without the roster, and it is short: every daemon gets it before a table. When
		// rosters and tables were sent together after all of 72 daemons had been killed, gateways followed
		// their groups 0.65 s later.
		const bool rosterFirst = 0 != bundle.roster.version;
		if (!_held || !this->consumeListBudget(wireBytes(bundle.roster)))
		{
			bundle.roster = {};
		}
		for (store::TableNews* table : {&bundle.tables.operators, &bundle.tables.crashes, &bundle.tables.upstreams})
		{
			if (!_held || rosterFirst || !this->consumeListBudget(wireBytes(*table)))
			{
				*table = {}; // also clears the version, which the receiver would otherwise take for its own
			}
		}
		return bundle;
	}

	bool FanOut::consumeListBudget(std::size_t _bytes)
	{
		if (0 < _bytes && this->listBudgetBytes <= 0.0)
		{
			return false;
		}
		this->listBudgetBytes -= double(_bytes);
		return true;
	}

	FanOut::Child& FanOut::childAt(const std::string& _engine)
	{
		Child& child = this->children[_engine];
		if (nullptr == child.link)
		{
			child.link = std::make_unique<RankLink>(this->loop, daemonAddress(_engine, this->peerPort));
		}
		child.lastUsedAt = nowMs();
		return child;
	}

	void FanOut::removeUnused()
	{
		const Millis now = nowMs();
		std::erase_if(this->children, [&](const auto& _entry) {
			return !_entry.second.pollInFlight && now - _entry.second.lastUsedAt > kUnusedTimeoutMs;
		});
	}

	void FanOut::disconnect(const std::string& _engine)
	{
		const auto child = this->children.find(_engine);
		if (this->children.end() != child && !child->second.pollInFlight)
		{
			this->children.erase(child);
		}
	}

	std::vector<std::string> FanOut::connectedEngines() const
	{
		std::vector<std::string> engines;
		for (const auto& [engine, child] : this->children)
		{
			if (child.link->isConnected())
			{
				engines.push_back(engine);
			}
		}
		return engines;
	}

	void FanOut::completeOne(PendingResponses& _pendingResponses)
	{
		_pendingResponses.remaining -= 1;
		if (0 == _pendingResponses.remaining)
		{
			_pendingResponses.done->fulfill();
		}
	}

	kj::Promise<void> FanOut::wait(const std::shared_ptr<PendingResponses>& _pendingResponses, kj::Promise<void> _done, Millis _maxWaitMs)
	{
		if (0 == _pendingResponses->remaining)
		{
			return kj::READY_NOW;
		}
		return _done.exclusiveJoin(this->loop.timer.afterDelay(_maxWaitMs * kj::MILLISECONDS));
	}

	void FanOut::recordFailure(const std::string& _engine, Child& _child, const std::string& _failure)
	{
		// Logs only when the failures begin and when they end, not at each poll.
		if (_child.lastFailure.empty() != _failure.empty())
		{
			const Millis now = nowMs();
			_child.failingSince = _failure.empty() ? _child.failingSince : now;
			logWarning(_failure.empty() ? "daemon_heard_again" : "daemon_unheard", {{"engine", _engine}, {"daemon", _child.link->address()}, {"silent_ms", now - _child.failingSince}, {"reason", _failure.empty() ? "-" : _failure}});
		}
		_child.lastFailure = _failure;
	}

	void FanOut::recordReport(Child& _child, const EngineReport& _report, Millis _askedAt)
	{
		if (_child.askedAt <= _askedAt) // otherwise the response to a later order arrived earlier
		{
			_child.report = _report;
			_child.askedAt = _askedAt;
			_child.heardAt = nowMs();
		}
	}

	void FanOut::recordObservation(Child& _child, Millis _askedAt, const Observation& _observation)
	{
		recordReport(_child, _observation.report.engine, _askedAt);
		_child.newest = _observation.newest;
		_child.gateways = _observation.gateways;
		_child.held = _observation.held;
		const ChoiceSample& sample = _observation.report.choices;
		if (0 == sample.sample)
		{
			return;
		}
		const Millis now = nowMs();
		const bool continuesLastSample = 0 != sample.since && sample.since == _child.sample && sample.epoch == _child.sampleEpoch;
		if (continuesLastSample)
		{
			_child.choices = {sample.epoch, now - _child.sampledAt, sample.choices};
		}
		_child.sample = sample.sample;
		_child.sampleEpoch = sample.epoch;
		_child.sampledAt = now;
	}

	aio::Task<void> FanOut::observe(std::string _engine, Coordination _coordination, bool _counts, std::shared_ptr<PendingResponses> _pendingResponses)
	{
		Child& child = this->children.at(_engine);
		const Millis askedAt = nowMs();
		const std::string group = _coordination.group;
		std::string failure;
		try
		{
			const std::pair<std::uint64_t, std::uint64_t> newest{this->groupState.news.coordination.term, this->groupState.news.number};
			NewsBundle bundle = child.lastNewsSent == newest ? NewsBundle() : this->newsWithinBudget(child.held);
			child.lastNewsSent = newest;
			const Observation observation = co_await child.link->observe(std::move(_coordination), _counts, child.sample, std::move(bundle), kObserveTimeoutMs);
			this->recordObservation(child, askedAt, observation);
			if (isElsewhere(observation.report.engine, group))
			{
				child.link->disconnect(); // the response may come after the poll has ended, and nobody looks at it then
			}
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
			child.held.reset(); // the daemon may have restarted
		}
		child.pollInFlight = false;
		this->recordFailure(_engine, child, failure);
		completeOne(*_pendingResponses);
	}

	std::vector<ChildSnapshot> FanOut::snapshots(const std::vector<std::string>& _engines) const
	{
		std::vector<ChildSnapshot> result;
		const Millis now = nowMs();
		for (const std::string& engine : _engines)
		{
			const auto child = this->children.find(engine);
			if (this->children.end() != child && 0 != child->second.heardAt && now - child->second.heardAt <= kViewMaxAgeMs)
			{
				result.push_back({engine, child->second.report, now - child->second.heardAt});
			}
		}
		return result;
	}

	GatewayTally FanOut::tally(const std::vector<std::string>& _engines) const
	{
		GatewayTally result;
		const Millis now = nowMs();
		for (const std::string& engine : _engines)
		{
			const auto child = this->children.find(engine);
			if (this->children.end() != child && now - child->second.heardAt <= kViewMaxAgeMs)
			{
				result = merged(result, child->second.gateways);
			}
		}
		return result;
	}

	Coordination FanOut::newestOf(const BranchQuery& _query) const
	{
		Coordination newest = _query.coordination;
		for (const std::string& engine : _query.engines)
		{
			const auto child = this->children.find(engine);
			const Coordination heard = this->children.end() == child ? Coordination() : child->second.newest;
			newest = heard.group == newest.group && heard.term > newest.term ? heard : newest;
		}
		return newest;
	}

	ChoiceSum FanOut::takeChoices(const std::vector<std::string>& _engines)
	{
		ChoiceSum sum;
		for (const std::string& engine : _engines)
		{
			const auto child = this->children.find(engine);
			ChoiceSum choices = this->children.end() == child ? ChoiceSum() : std::exchange(child->second.choices, {});
			if (choices.choices.empty())
			{
				continue;
			}
			if (sum.choices.empty() || sum.epoch < choices.epoch)
			{
				sum = std::move(choices);
				continue;
			}
			const bool fits = sum.epoch == choices.epoch && sum.choices.size() == choices.choices.size();
			for (std::size_t index = 0; fits && index < sum.choices.size(); ++index)
			{
				sum.choices[index] += choices.choices[index];
			}
			sum.spanMs = fits ? std::max(sum.spanMs, choices.spanMs) : sum.spanMs;
		}
		return sum;
	}

	aio::Task<BranchSnapshot> FanOut::poll(BranchQuery _query)
	{
		const Millis since = nowMs();
		const std::shared_ptr<PendingResponses> pendingResponses = std::make_shared<PendingResponses>();
		auto paf = kj::newPromiseAndFulfiller<void>();
		pendingResponses->done = kj::mv(paf.fulfiller);
		std::vector<std::string> asked;
		for (const std::string& engine : _query.engines)
		{
			Child& child = this->childAt(engine);
			if (!child.pollInFlight)
			{
				child.pollInFlight = true;
				asked.push_back(engine);
			}
		}
		pendingResponses->remaining = asked.size();
		for (std::size_t index = 0; index < asked.size(); ++index)
		{
			const auto position = std::find(_query.engines.begin(), _query.engines.end(), asked[index]);
			const bool counts = std::size_t(position - _query.engines.begin()) < _query.enginesWithCounts;
			std::string engine = asked[index];
			Coordination coordination = _query.coordination;
			std::shared_ptr<PendingResponses> waiting = pendingResponses;
			this->tasks.add(this->observe(std::move(engine), std::move(coordination), counts, std::move(waiting)).take());
		}
		co_await this->wait(pendingResponses, kj::mv(paf.promise), _query.maxWaitMs);
		BranchSnapshot snapshot;
		snapshot.children = this->snapshots(_query.engines);
		snapshot.choices = this->takeChoices(_query.engines);
		snapshot.gateways = this->tally(_query.engines);
		snapshot.newest = this->newestOf(_query);
		snapshot.held = heldVersions(this->groupState);
		snapshot.tookMs = nowMs() - since;
		this->removeUnused();
		co_return snapshot;
	}

	aio::Task<void> FanOut::sendOrder(std::string _engine, std::size_t _position, std::shared_ptr<const BranchOrder> _order, std::shared_ptr<BranchOutcome> _outcome, std::shared_ptr<PendingResponses> _pendingResponses)
	{
		const Millis askedAt = nowMs();
		try
		{
			EngineOrder copy = _order->order;
			MapDifference difference = _order->difference;
			Coordination coordination = _order->coordination;
			const OrderOutcome outcome = co_await this->childAt(_engine).link->order(std::move(coordination), std::move(copy), std::move(difference), _order->maxWaitMs);
			if (outcome.after)
			{
				recordReport(this->childAt(_engine), *outcome.after, askedAt);
			}
			_outcome->outcomes[_position] = outcome;
		}
		catch (const kj::Exception& error)
		{
			logWarning("order_unanswered", {{"engine", _engine}, {"kind", toString(_order->order.kind)}, {"reason", error.getDescription().cStr()}});
		}
		completeOne(*_pendingResponses);
	}

	aio::Task<BranchOutcome> FanOut::broadcast(BranchOrder _order)
	{
		const Millis since = nowMs();
		const std::shared_ptr<const BranchOrder> order = std::make_shared<const BranchOrder>(std::move(_order));
		const std::shared_ptr<BranchOutcome> outcome = std::make_shared<BranchOutcome>();
		const std::shared_ptr<PendingResponses> pendingResponses = std::make_shared<PendingResponses>();
		auto paf = kj::newPromiseAndFulfiller<void>();
		pendingResponses->done = kj::mv(paf.fulfiller);
		pendingResponses->remaining = order->engines.size();
		outcome->outcomes.resize(order->engines.size());
		for (std::size_t position = 0; position < order->engines.size(); ++position)
		{
			std::string engine = order->engines[position];
			this->childAt(engine); // creates the child before any coroutine refers to one
			this->tasks.add(this->sendOrder(std::move(engine), position, order, outcome, pendingResponses).take());
		}
		co_await this->wait(pendingResponses, kj::mv(paf.promise), order->maxWaitMs);
		BranchOutcome result = *outcome;
		result.children = this->snapshots(order->engines);
		result.tookMs = nowMs() - since;
		co_return result;
	}
} // namespace archdyke::group
