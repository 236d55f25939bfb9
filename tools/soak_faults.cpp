#include "soak_faults.h"

#include <algorithm>
#include <csignal>

namespace archdyke::lab
{
	namespace
	{
		constexpr Millis kRowLapsesMs = 1'500; ///< After a kill; three heartbeats of half a second.
		constexpr Millis kDelayMs = 150;       ///< Of each piece on a delayed link.
		constexpr Millis kSlowStoreMs = 250;   ///< Of each answer of a slow store.
		constexpr double kLateShare = 0.35;    ///< Of orders that ranks carry out late.
		constexpr Millis kOrderWaitMs = 200;   ///< A frozen stand-in takes no order.

		std::size_t strikePart(SoakDeployment& _deployment, SoakPart& _part, FaultKind _kind)
		{
			const std::size_t span = _deployment.beginSpan(_part.name, _kind);
			if (FaultKind::KillGateway == _kind || FaultKind::KillSidecar == _kind)
			{
				_part.process->kill();
			}
			else if (FaultKind::StopGateway == _kind)
			{
				_part.process->signal(SIGTERM);
				_part.stoppedAt = nowMs();
			}
			else if (FaultKind::HangUpGateway == _kind)
			{
				_part.process->signal(SIGHUP);
			}
			else
			{
				_part.process->signal(SIGSTOP);
			}
			return span;
		}

		/// Tells an upstream's stand-in what to say of itself; one that was killed says nothing.
		void controlWorker(const SoakWorker& _worker, const Json& _order)
		{
			httplib::Client client = clientOf(_worker.process->listening("http"));
			client.set_read_timeout(std::chrono::milliseconds(kOrderWaitMs));
			client.Post("/control", _order.dump(), "application/json");
		}

		/// Upstreams ask to be sent nothing: every second time all of them, as those of a service that is overloaded do.
		void askBackOff(SoakDeployment& _deployment, const SoakWorker& _worker, const PlannedFault& _fault)
		{
			const Json order{{"restS", double(_fault.lastMs) / 1'000.0}};
			const bool all = 0 == _fault.dice % 2;
			for (const SoakWorker& worker : _deployment.workers)
			{
				const bool living = !worker.leaves && 0 == worker.removeAt;
				if (worker.id == _worker.id || (all && living))
				{
					controlWorker(worker, order);
				}
			}
		}

		std::size_t strikeWorker(SoakDeployment& _deployment, SoakWorker& _worker, const PlannedFault& _fault)
		{
			const FaultKind kind = _fault.kind;
			const std::size_t span = _deployment.beginSpan(_worker.id, kind);
			if (FaultKind::AskBackOff == kind)
			{
				askBackOff(_deployment, _worker, _fault);
			}
			else if (FaultKind::SayLeaving == kind)
			{
				_worker.leaves = true; // another one comes for it
				controlWorker(_worker, {{"leaving", true}});
			}
			else if (FaultKind::KillWorker == kind)
			{
				_worker.process->kill();
				_worker.removeAt = nowMs() + kRowLapsesMs;
			}
			else if (FaultKind::FreezeWorker == kind)
			{
				_worker.process->signal(SIGSTOP);
			}
			else if (!_worker.leaves)
			{
				_worker.leaves = true;
				_deployment.store.put("servers", _worker.id, upstreamJson("svc", _worker.address, "draining"));
				_deployment.record.leavingAt[_worker.id] = nowMs();
			}
			return span;
		}

		void faultWorkerLinks(SoakDeployment& _deployment, const Json& _faults)
		{
			for (const SoakWorker& worker : _deployment.workers)
			{
				_deployment.proxy.faults(worker.link, _faults);
			}
		}

		/// @param[in] _cut Answers of the store don't reach the gateway.
		void cutStore(SoakDeployment& _deployment, const SoakPart& _gateway, bool _cut)
		{
			_deployment.proxy.faults("store<" + _gateway.name, {{"cutToClient", _cut}});
		}

		std::size_t strikeWayToStore(SoakDeployment& _deployment, const SoakPart& _gateway, FaultKind _kind)
		{
			const std::size_t span = _deployment.beginSpan(_gateway.name, _kind);
			cutStore(_deployment, _gateway, true);
			return span;
		}

		/// @returns The order to the store's stand-in that begins a fault.
		Json storeOrder(FaultKind _kind)
		{
			switch (_kind)
			{
			case FaultKind::StoreSilent:
				return {{"mode", "silent"}};
			case FaultKind::StoreBusy:
				return {{"mode", "busy"}};
			case FaultKind::StoreLose:
				return {{"mode", "lose"}};
			case FaultKind::StoreSlow:
				return {{"delayMs", kSlowStoreMs}};
			default:
				return {{"forget", true}};
			}
		}

		/// @returns The part that a fault without a target of its own is about.
		std::string sharedPart(FaultKind _kind)
		{
			switch (_kind)
			{
			case FaultKind::DelayLinks:
			case FaultKind::ResetWorkerLinks:
				return "links";
			case FaultKind::RevokeKey:
			case FaultKind::ChangeConfiguration:
				return "-"; // the operator's work excuses nobody
			case FaultKind::LateOrders:
			case FaultKind::FormAnew:
				return "ranks";
			default:
				return "store";
			}
		}

		/// Begins a fault of what all parts share; a group of ranks is the target of some.
		/// @returns Index of its span, which begins before the first part is struck.
		std::size_t strikeShared(SoakDeployment& _deployment, FaultKind _kind, std::size_t _target)
		{
			const std::size_t span = _deployment.beginSpan(sharedPart(_kind), _kind);
			switch (_kind)
			{
			case FaultKind::DelayLinks:
				faultWorkerLinks(_deployment, {{"delayMs", kDelayMs}});
				break;
			case FaultKind::ResetWorkerLinks:
				faultWorkerLinks(_deployment, {{"reset", true}});
				break;
			case FaultKind::RevokeKey:
				_deployment.revokeKey();
				break;
			case FaultKind::ChangeConfiguration:
				_deployment.configure();
				break;
			case FaultKind::LateOrders:
				_deployment.controlRanks({{"lateShare", kLateShare}});
				break;
			case FaultKind::FormAnew:
				_deployment.controlGroup(_target % _deployment.groups.size(), {{"formAnew", true}});
				break;
			default:
				_deployment.store.control(storeOrder(_kind));
			}
			return span;
		}

		/// @param[in,out] _target A draw; then the index of what was struck.
		/// @returns Index of its span.
		std::size_t beginFault(SoakDeployment& _deployment, const PlannedFault& _fault, std::size_t& _target)
		{
			const FaultKind kind = _fault.kind;
			switch (kind)
			{
			case FaultKind::KillGateway:
			case FaultKind::FreezeGateway:
			case FaultKind::StopGateway:
			case FaultKind::HangUpGateway:
				_target %= _deployment.gateways.size();
				return strikePart(_deployment, _deployment.gateways[_target], kind);
			case FaultKind::KillSidecar:
			case FaultKind::FreezeSidecar:
				_target %= _deployment.sidecars.size();
				return strikePart(_deployment, _deployment.sidecars[_target], kind);
			case FaultKind::KillWorker:
			case FaultKind::FreezeWorker:
			case FaultKind::DrainWorker:
				_target %= _deployment.workers.size();
				return strikeWorker(_deployment, _deployment.workers[_target], _fault);
			case FaultKind::AskBackOff:
			case FaultKind::SayLeaving:
				// One that came lately: those before may have been killed.
				_target = _deployment.workers.size() - 1 - _target % std::min(_deployment.workers.size(), _deployment.size.workers);
				return strikeWorker(_deployment, _deployment.workers[_target], _fault);
			case FaultKind::CutStoreOneWay:
				_target %= _deployment.gateways.size();
				return strikeWayToStore(_deployment, _deployment.gateways[_target], kind);
			default:
				return strikeShared(_deployment, kind, _target);
			}
		}

		void endFault(SoakDeployment& _deployment, FaultKind _kind, std::size_t _target)
		{
			switch (_kind)
			{
			case FaultKind::FreezeGateway:
				_deployment.gateways[_target].process->signal(SIGCONT);
				break;
			case FaultKind::FreezeSidecar:
				_deployment.sidecars[_target].process->signal(SIGCONT);
				break;
			case FaultKind::FreezeWorker:
				_deployment.workers[_target].process->signal(SIGCONT);
				break;
			case FaultKind::CutStoreOneWay:
				cutStore(_deployment, _deployment.gateways[_target], false);
				break;
			case FaultKind::DelayLinks:
				faultWorkerLinks(_deployment, {{"delayMs", 0}});
				break;
			case FaultKind::StoreSilent:
			case FaultKind::StoreBusy:
			case FaultKind::StoreLose:
			case FaultKind::StoreSlow:
				_deployment.store.control({{"mode", "up"}, {"delayMs", 0}});
				break;
			case FaultKind::LateOrders:
				_deployment.controlRanks({{"lateShare", 0.0}});
				break;
			default:
				break;
			}
			_deployment.revive();
		}
	} // namespace

	SoakFaults::SoakFaults(const ChaosOptions& _options, SoakDeployment& _deployment)
	    : deployment(_deployment)
	    , plan(planFaults(_options))
	    , begunAt(nowMs())
	{
		const std::vector<PlannedFault> series = planSeries(_options);
		this->plan.insert(this->plan.end(), series.begin(), series.end());
		std::stable_sort(this->plan.begin(), this->plan.end(), [](const PlannedFault& _a, const PlannedFault& _b) {
			return _a.startMs < _b.startMs;
		});
	}

	void SoakFaults::begin(const PlannedFault& _fault)
	{
		this->counts[std::string(toString(_fault.kind))] += 1;
		ActiveFault item{_fault, std::size_t(_fault.dice), 0};
		item.span = beginFault(this->deployment, _fault, item.target);
		this->active.push_back(item);
	}

	void SoakFaults::step()
	{
		const Millis since = nowMs() - this->begunAt;
		if (!this->plan.empty() && this->plan.front().startMs <= since)
		{
			this->begin(this->plan.front());
			this->plan.erase(this->plan.begin());
		}
		for (auto it = this->active.begin(); this->active.end() != it;)
		{
			const bool ended = it->fault.startMs + it->fault.lastMs <= since;
			if (ended)
			{
				endFault(this->deployment, it->fault.kind, it->target);
				this->deployment.record.spans[it->span].until = nowMs();
			}
			it = ended ? this->active.erase(it) : it + 1;
		}
	}

	bool SoakFaults::areOver() const
	{
		return this->plan.empty() && this->active.empty();
	}

	const std::map<std::string, int>& SoakFaults::begun() const
	{
		return this->counts;
	}
} // namespace archdyke::lab
