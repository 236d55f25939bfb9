#include "group/fan_out.h"

#include <algorithm>

#include "base/log.h"
#include "base/process.h"
#include "group/coordinator_p.h"

namespace archdyke::group
{
	namespace
	{
		/// Time limit of a question to a rank's daemon, ms: some 5 ms across zones, more while the
		/// link is full.
		constexpr Millis kObserveTimeoutMs = 250;
		/// Lists of upstreams and rosters may take this share of the link's rate: a group of 129 has
		/// lists of 40 KB, and all of its daemons lack them when it starts. Sent at once they filled a
		/// link of 6 Mbit/s for seconds, and no question was answered in time.
		constexpr double kListLinkShare = 0.25;
		constexpr double kBytesPerMsOfMegabit = 125.0;
		/// What may be saved up for lists, ms of their rate.
		constexpr Millis kListBurstMs = 100;
		/// A child that wasn't asked for this long is another relay's, ms.
		constexpr Millis kUnwantedMs = 5'000;

		class FanOutErrors final : public kj::TaskSet::ErrorHandler
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

	FanOut::FanOut(http::LoopContext _loop, int _peerPort, double _linkMbps, const GroupKnowledge& _knowledge)
	    : loop(_loop)
	    , peerPort(_peerPort)
	    , listBytesPerMs(kListLinkShare * kBytesPerMsOfMegabit * _linkMbps)
	    , knowledge(_knowledge)
	    , errors(kj::heap<FanOutErrors>())
	    , tasks(*this->errors)
	{
	}

	NewsBundle FanOut::newsWithin(const std::optional<HeldVersions>& _held)
	{
		const Millis now = nowMs();
		const double saved = this->listBytesPerMs * double(std::min(kListBurstMs, now - this->listBytesAt));
		this->listBytesLeft = std::min(this->listBytesPerMs * double(kListBurstMs), this->listBytesLeft + saved);
		this->listBytesAt = now;
		NewsBundle bundle = newsFor(this->knowledge, _held.value_or(HeldVersions()), now);
		// Loads are of no use without the roster, and it is short: all daemons get it before any gets
		// a table. After all of 72 daemons were killed, gateways followed their groups
		// 0.65 s later when the lists went out together.
		const bool rosterFirst = 0 != bundle.roster.version;
		if (!_held || !this->takeListBytes(bytesOf(bundle.roster)))
		{
			bundle.roster = {};
		}
		for (store::TableNews* table : {&bundle.tables.operators, &bundle.tables.crashes, &bundle.tables.upstreams})
		{
			if (!_held || rosterFirst || !this->takeListBytes(bytesOf(*table)))
			{
				*table = {}; // not even up to which version it is: that would be taken for having it
			}
		}
		return bundle;
	}

	bool FanOut::takeListBytes(std::size_t _bytes)
	{
		if (0 < _bytes && this->listBytesLeft <= 0.0)
		{
			return false;
		}
		this->listBytesLeft -= double(_bytes);
		return true;
	}

	FanOut::Child& FanOut::childAt(const std::string& _engine)
	{
		Child& child = this->children[_engine];
		if (nullptr == child.link)
		{
			child.link = std::make_unique<RankLink>(this->loop, daemonAddress(_engine, this->peerPort));
		}
		child.wantedAt = nowMs();
		return child;
	}

	void FanOut::forgetUnwanted()
	{
		const Millis now = nowMs();
		std::erase_if(this->children, [&](const auto& _entry) {
			return !_entry.second.asking && now - _entry.second.wantedAt > kUnwantedMs;
		});
	}

	void FanOut::forget(const std::string& _engine)
	{
		const auto child = this->children.find(_engine);
		if (this->children.end() != child && !child->second.asking)
		{
			this->children.erase(child);
		}
	}

	void FanOut::release(Awaited& _awaited)
	{
		_awaited.left -= 1;
		if (0 == _awaited.left)
		{
			_awaited.done->fulfill();
		}
	}

	kj::Promise<void> FanOut::wait(const std::shared_ptr<Awaited>& _awaited, kj::Promise<void> _done, Millis _patienceMs)
	{
		if (0 == _awaited->left)
		{
			return kj::READY_NOW;
		}
		return _done.exclusiveJoin(this->loop.timer.afterDelay(_patienceMs * kj::MILLISECONDS));
	}

	void FanOut::noteFailure(const std::string& _engine, Child& _child, const std::string& _failure)
	{
		// One line when it begins to fail and one when it ends, not one a look.
		if (_child.lastFailure.empty() != _failure.empty())
		{
			const Millis now = nowMs();
			_child.failingSince = _failure.empty() ? _child.failingSince : now;
			logWarning(_failure.empty() ? "daemon_heard_again" : "daemon_unheard", {{"engine", _engine}, {"daemon", _child.link->address()}, {"silent_ms", now - _child.failingSince}, {"reason", _failure.empty() ? "-" : _failure}});
		}
		_child.lastFailure = _failure;
	}

	void FanOut::takeReport(Child& _child, const EngineReport& _report, Millis _askedAt)
	{
		if (_child.askedAt <= _askedAt) // else an order that was sent later was answered before
		{
			_child.report = _report;
			_child.askedAt = _askedAt;
			_child.heardAt = nowMs();
		}
	}

	void FanOut::hear(Child& _child, Millis _askedAt, const Observation& _observation)
	{
		takeReport(_child, _observation.report.engine, _askedAt);
		_child.newest = _observation.newest;
		_child.gateways = _observation.gateways;
		_child.held = _observation.held;
		const ChoiceSample& sample = _observation.report.choices;
		if (0 == sample.sample)
		{
			return;
		}
		const Millis now = nowMs();
		const bool follows = 0 != sample.since && sample.since == _child.sample && sample.epoch == _child.sampleEpoch;
		if (follows)
		{
			_child.choices = {sample.epoch, now - _child.sampledAt, sample.choices};
		}
		_child.sample = sample.sample;
		_child.sampleEpoch = sample.epoch;
		_child.sampledAt = now;
	}

	aio::Task<void> FanOut::observe(std::string _engine, Coordination _coordination, bool _counts, std::shared_ptr<Awaited> _awaited)
	{
		Child& child = this->children.at(_engine);
		const Millis askedAt = nowMs();
		std::string failure;
		try
		{
			const std::pair<std::uint64_t, std::uint64_t> newest{this->knowledge.news.coordination.term, this->knowledge.news.number};
			NewsBundle bundle = child.told == newest ? NewsBundle() : this->newsWithin(child.held);
			child.told = newest;
			const Observation observation = co_await child.link->observe(std::move(_coordination), _counts, child.sample, std::move(bundle), kObserveTimeoutMs);
			this->hear(child, askedAt, observation);
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
			child.held.reset(); // it may be another process now
		}
		child.asking = false;
		this->noteFailure(_engine, child, failure);
		release(*_awaited);
	}

	std::vector<ChildSight> FanOut::sights(const std::vector<std::string>& _engines) const
	{
		std::vector<ChildSight> result;
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

	Coordination FanOut::newestOf(const BranchQuestion& _question) const
	{
		Coordination newest = _question.coordination;
		for (const std::string& engine : _question.engines)
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

	aio::Task<BranchSight> FanOut::look(BranchQuestion _question)
	{
		const Millis since = nowMs();
		const std::shared_ptr<Awaited> awaited = std::make_shared<Awaited>();
		auto paf = kj::newPromiseAndFulfiller<void>();
		awaited->done = kj::mv(paf.fulfiller);
		std::vector<std::string> asked;
		for (const std::string& engine : _question.engines)
		{
			Child& child = this->childAt(engine);
			if (!child.asking)
			{
				child.asking = true;
				asked.push_back(engine);
			}
		}
		awaited->left = asked.size();
		for (std::size_t index = 0; index < asked.size(); ++index)
		{
			const auto place = std::find(_question.engines.begin(), _question.engines.end(), asked[index]);
			const bool counts = std::size_t(place - _question.engines.begin()) < _question.counted;
			std::string engine = asked[index];
			Coordination coordination = _question.coordination;
			std::shared_ptr<Awaited> waiting = awaited;
			this->tasks.add(this->observe(std::move(engine), std::move(coordination), counts, std::move(waiting)).take());
		}
		co_await this->wait(awaited, kj::mv(paf.promise), _question.patienceMs);
		BranchSight sight;
		sight.children = this->sights(_question.engines);
		sight.choices = this->takeChoices(_question.engines);
		sight.gateways = this->tally(_question.engines);
		sight.newest = this->newestOf(_question);
		sight.held = heldOf(this->knowledge);
		sight.tookMs = nowMs() - since;
		this->forgetUnwanted();
		co_return sight;
	}

	aio::Task<void> FanOut::order(std::string _engine, std::size_t _place, std::shared_ptr<const BranchOrder> _order, std::shared_ptr<BranchOutcome> _outcome, std::shared_ptr<Awaited> _awaited)
	{
		const Millis askedAt = nowMs();
		try
		{
			EngineOrder copy = _order->order;
			MapDifference difference = _order->difference;
			Coordination coordination = _order->coordination;
			const OrderOutcome outcome = co_await this->childAt(_engine).link->order(std::move(coordination), std::move(copy), std::move(difference), _order->patienceMs);
			if (outcome.after)
			{
				takeReport(this->childAt(_engine), *outcome.after, askedAt);
			}
			_outcome->outcomes[_place] = outcome;
		}
		catch (const kj::Exception& error)
		{
			logWarning("order_unanswered", {{"engine", _engine}, {"kind", toString(_order->order.kind)}, {"reason", error.getDescription().cStr()}});
		}
		release(*_awaited);
	}

	aio::Task<BranchOutcome> FanOut::give(BranchOrder _order)
	{
		const Millis since = nowMs();
		const std::shared_ptr<const BranchOrder> order = std::make_shared<const BranchOrder>(std::move(_order));
		const std::shared_ptr<BranchOutcome> outcome = std::make_shared<BranchOutcome>();
		const std::shared_ptr<Awaited> awaited = std::make_shared<Awaited>();
		auto paf = kj::newPromiseAndFulfiller<void>();
		awaited->done = kj::mv(paf.fulfiller);
		awaited->left = order->engines.size();
		outcome->outcomes.resize(order->engines.size());
		for (std::size_t place = 0; place < order->engines.size(); ++place)
		{
			std::string engine = order->engines[place];
			this->childAt(engine); // before any coroutine holds a place in the map
			this->tasks.add(this->order(std::move(engine), place, order, outcome, awaited).take());
		}
		co_await this->wait(awaited, kj::mv(paf.promise), order->patienceMs);
		BranchOutcome result = *outcome;
		result.children = this->sights(order->engines);
		result.tookMs = nowMs() - since;
		co_return result;
	}
} // namespace archdyke::group
