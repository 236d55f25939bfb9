/// The part of the coordinator that sends ranks the orders of an open switch.
#include <algorithm>
#include <tuple>

#include "base/log.h"
#include "base/process.h"
#include "group/coordinator.h"
#include "group/coordinator_p.h"

namespace archdyke::group
{
	namespace
	{
		/// Timeout of an order through a rank's daemon, ms; of this the engine has 60 ms.
		constexpr Millis kOrderTimeoutMs = 150;
		/// Timeout of a prepare order, ms: it carries a map, which the daemon builds for its engine.
		constexpr Millis kPrepareTimeoutMs = 400;
		/// Minimum timeout per daemon that one process sends to, ms: all of them share its link.
		constexpr double kOrderTimeoutMsPerMessage = 6.0;
		/// Time for the round trip to a relay, in addition to the relay's own wait, ms.
		constexpr Millis kRelayRoundTripMs = 50;
		/// Time after which an order without a response is sent again, and the longer time after which an
		/// accepted order without a visible effect is, ms.
		constexpr Millis kResendMs = 60;
		constexpr Millis kResendAcceptedMs = 400;

		EngineOrder orderOf(const RankOrderPlan& _plan)
		{
			return {_plan.kind, _plan.epoch, _plan.version, _plan.step, {}};
		}
	} // namespace

	Millis Coordinator::orderTimeoutMs(RankOrderKind _kind) const
	{
		const Millis usual = RankOrderKind::Prepare == _kind ? kPrepareTimeoutMs : kOrderTimeoutMs;
		const double messages = std::min(double(this->ranks.size()), double(kTreeFanOut));
		return std::max(usual, Millis(kOrderTimeoutMsPerMessage * messages));
	}

	std::optional<ExpertHosts> Coordinator::mapForVersion(std::uint64_t _version, std::uint32_t _ranks) const
	{
		const bool ofSwitch = SwitchPhase::Preparing == this->intent.phase && _version == this->intent.version;
		if (ofSwitch)
		{
			return this->intent.map;
		}
		const bool voids = SwitchPhase::Switching == this->intent.phase && _version == voidingVersion(this->intent) && !this->intent.map.empty();
		if (!voids)
		{
			return std::nullopt;
		}
		const bool initial = 0 == this->intent.inForceVersion;
		return initial ? roundRobinMap(std::uint32_t(this->intent.map.size()), std::uint32_t(this->intent.map.front().size()), _ranks) : this->intent.inForce;
	}

	const MapDifference* Coordinator::differenceFrom(bool _fromRoundRobin, std::uint64_t _version, std::uint32_t _ranks)
	{
		CachedDifference& known = _fromRoundRobin ? this->fromRoundRobin : this->fromInForce;
		const std::optional<ExpertHosts> map = this->mapForVersion(_version, _ranks);
		if (!map || map->empty())
		{
			return nullptr;
		}
		if (known.version != _version)
		{
			const std::uint32_t sets = std::uint32_t(map->size());
			const std::uint32_t experts = std::uint32_t(map->front().size());
			const ExpertHosts base = _fromRoundRobin ? roundRobinMap(sets, experts, _ranks) : this->intent.inForce;
			known.version = _version;
			known.difference = differenceOf(_fromRoundRobin ? 0 : this->intent.inForceVersion, expertsByRank(base, _ranks), expertsByRank(*map, _ranks), experts);
		}
		return &known.difference;
	}

	std::vector<Coordinator::Rank*> Coordinator::ranksByNumber()
	{
		std::vector<Rank*> result;
		for (auto& [engine, rank] : this->ranks)
		{
			if (0 != rank.observedAt && rank.report.group == this->group && rank.report.rank < rank.report.ranks)
			{
				result.resize(std::max<std::size_t>(result.size(), rank.report.ranks), nullptr);
				result[rank.report.rank] = &rank;
			}
		}
		return result;
	}

	aio::Task<void> Coordinator::sendDirectly(RankOrderPlan _plan)
	{
		const std::vector<Rank*> known = this->ranksByNumber();
		Rank* target = _plan.rank < known.size() ? known[_plan.rank] : nullptr;
		const std::optional<ExpertHosts> map = this->mapForVersion(_plan.version, std::uint32_t(known.size()));
		// A version must never be sent with the map of another version.
		const bool mapIsGone = RankOrderKind::Prepare == _plan.kind && !map;
		if (nullptr == target || nullptr == target->direct || mapIsGone)
		{
			this->sentOrders.erase(_plan);
			co_return;
		}
		EngineOrder order = orderOf(_plan);
		if (RankOrderKind::Prepare == _plan.kind)
		{
			order.expertsByRank = expertsByRank(*map, target->report.ranks);
		}
		const OrderOutcome outcome = co_await target->direct->order(std::move(order));
		this->recordOutcome(_plan, outcome);
		if (outcome.accepted && RankOrderKind::Hold == _plan.kind && !target->directPollInFlight)
		{
			// Polling at once shortens the stall by one poll interval: 20 ms of each switch at 129 ranks.
			std::string engine = target->engineAddress;
			co_await this->requestDirectReport(std::move(engine));
		}
	}

	void Coordinator::recordOutcome(const RankOrderPlan& _plan, const OrderOutcome& _outcome)
	{
		SentOrder& sentOrder = this->sentOrders[_plan];
		sentOrder.pending = false;
		sentOrder.accepted = _outcome.accepted;
		sentOrder.refused = !_outcome.accepted && 0 != _outcome.status;
	}

	aio::Task<void> Coordinator::sendViaBranch(std::string _relay, std::vector<RankOrderPlan> _plans)
	{
		const std::vector<Rank*> known = this->ranksByNumber();
		const RankOrderPlan& first = _plans.front();
		BranchOrder order{this->coordination(), orderOf(first), {}, {}, this->orderTimeoutMs(first.kind)};
		if (RankOrderKind::Prepare == first.kind)
		{
			const Rank& target = *known[first.rank];
			const MapDifference* difference = this->differenceFrom(target.lacksBase || 0 == this->intent.inForceVersion, first.version, target.report.ranks);
			if (nullptr == difference)
			{
				for (const RankOrderPlan& plan : _plans)
				{
					this->sentOrders.erase(plan); // a version must never be sent with the map of another version
				}
				co_return;
			}
			order.difference = *difference;
		}
		for (const RankOrderPlan& plan : _plans)
		{
			order.engines.push_back(known[plan.rank]->engineAddress);
		}
		const std::vector<std::string> engines = order.engines;
		const Millis askedAt = nowMs();
		BranchOutcome outcome;
		std::string failure;
		try
		{
			if (_relay.empty())
			{
				outcome = co_await this->dependencies.fanOut.broadcast(std::move(order));
			}
			else
			{
				const Millis timeoutMs = order.maxWaitMs + kRelayRoundTripMs;
				const std::shared_ptr<RankLink> link = this->branchAt(_relay).link; // the tree may change meanwhile
				outcome = co_await link->relayOrders(std::move(order), timeoutMs);
			}
		}
		catch (const kj::Exception& error)
		{
			failure = error.getDescription().cStr();
			logWarning("orders_unanswered", {{"group", this->group}, {"relay", _relay}, {"kind", toString(first.kind)}, {"ranks", engines.size()}, {"reason", failure}});
		}
		outcome.outcomes.resize(engines.size());
		for (std::size_t index = 0; index < engines.size(); ++index)
		{
			// An order without a response is sent again, through the relay of that time.
			const OrderOutcome result = outcome.outcomes[index].value_or(OrderOutcome());
			this->recordOutcome(_plans[index], result);
			Rank* rank = this->findRank(engines[index]);
			if (nullptr != rank && outcome.outcomes[index])
			{
				rank->lacksBase = result.baseUnknown;
			}
		}
		this->applyChildSnapshots(outcome.children, askedAt + outcome.tookMs);
	}

	void Coordinator::sendOrders(const std::vector<RankOrderPlan>& _orders)
	{
		const Millis now = nowMs();
		const std::vector<Rank*> known = this->ranksByNumber();
		/// Groups orders that one message can carry: of one branch, kind, epoch, version, step and base map.
		/// Orders of the own branch are sent one by one, keyed by rank, since each response may allow the next
		/// step: in batches, the slowest of 24 daemons stalled the groups for 50 ms per switch instead of 10.
		using Batch = std::tuple<std::string, RankOrderKind, std::uint64_t, std::uint64_t, std::uint64_t, bool, std::uint32_t>;
		std::map<Batch, std::vector<RankOrderPlan>> batches;
		for (const RankOrderPlan& order : _orders)
		{
			SentOrder& last = this->sentOrders[order];
			const Millis wait = last.accepted ? kResendAcceptedMs : kResendMs;
			const bool due = !last.pending && (0 == last.at || now - last.at >= wait);
			if (!due || order.rank >= known.size() || nullptr == known[order.rank])
			{
				continue;
			}
			last.at = now;
			last.pending = true;
			const Rank& target = *known[order.rank];
			// Holds are sent directly: if a rank's VM froze right after passing on a hold, the group would
			// stall until the VM is back, while the engine that holds can still be reached from here.
			if (RankOrderKind::Hold == order.kind || this->daemonIsSilent(target))
			{
				this->tasks.add(this->sendDirectly(order).take());
				continue;
			}
			const std::string& relay = this->branchOf[target.engineAddress];
			batches[{relay, order.kind, order.epoch, order.version, order.step, target.lacksBase, relay.empty() ? order.rank : 0}].push_back(order);
		}
		for (auto& [batch, plans] : batches)
		{
			std::string relay = std::get<0>(batch);
			this->tasks.add(this->sendViaBranch(std::move(relay), std::move(plans)).take());
		}
	}
} // namespace archdyke::group
