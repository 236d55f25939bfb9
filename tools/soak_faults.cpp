#include "soak_faults.h"

#include <algorithm>
#include <csignal>
#include <iterator>

namespace archdyke::lab
{
	namespace
	{
		constexpr Millis kKilledRowExpiryMs = 1'500; ///< Expiry of a killed upstream's row: three heartbeats of 0.5 s.
		constexpr Millis kLinkDelayMs = 150;         ///< Delay of each chunk on a delayed link.
		constexpr Millis kSlowStoreDelayMs = 250;    ///< Delay of each response of a slow store.
		constexpr double kLateOrderShare = 0.35;     ///< Share of the orders that ranks carry out late.
		constexpr Millis kControlTimeoutMs = 200;    ///< Short because a frozen stand-in does not respond.

		std::size_t injectPartFault(SoakDeployment& _deployment, SoakPart& _part, FaultKind _kind)
		{
			const std::size_t span = _deployment.beginSpan(_part.name, _kind);
			if (FaultKind::KillGateway == _kind || FaultKind::KillSidecar == _kind)
			{
				_part.wasKilled = true;
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

		/// Sends a control message to the stand-in of an upstream. Has no effect when the stand-in was killed.
		void controlWorker(const SoakWorker& _worker, const Json& _control)
		{
			httplib::Client client = clientOf(_worker.process->listening("http"));
			client.set_read_timeout(std::chrono::milliseconds(kControlTimeoutMs));
			client.Post("/control", _control.dump(), "application/json");
		}

		/// Makes an upstream ask for back-off; with an even random value all upstreams, as in an overloaded service.
		void askBackOff(SoakDeployment& _deployment, const SoakWorker& _worker, const PlannedFault& _fault)
		{
			const Json control{{"restS", double(_fault.durationMs) / 1'000.0}};
			const bool all = 0 == _fault.randomValue % 2;
			for (const SoakWorker& worker : _deployment.workers)
			{
				const bool isActive = !worker.isLeaving && 0 == worker.removeAt;
				if (worker.id == _worker.id || (all && isActive))
				{
					controlWorker(worker, control);
				}
			}
		}

		/// @returns The limit that an upstream names now; null for none.
		SoakLimit* findLimit(SoakDeployment& _deployment, const std::string& _upstream)
		{
			std::vector<SoakLimit>& limits = _deployment.record.limits;
			const auto found = std::find_if(limits.begin(), limits.end(), [&](const SoakLimit& _limit) {
				return _limit.upstream == _upstream && nowMs() < _limit.until;
			});
			return limits.end() == found ? nullptr : &*found;
		}

		/// Makes an upstream name a limit of requests per second.
		void nameLimit(SoakDeployment& _deployment, const SoakWorker& _worker, const PlannedFault& _fault)
		{
			if (nullptr != findLimit(_deployment, _worker.id))
			{
				return; // one at a time, so that the end of one does not end another
			}
			constexpr double kLimitsPerS[] = {1.0, 4.0, 16.0};
			const double perSecond = kLimitsPerS[_fault.randomValue % std::size(kLimitsPerS)];
			_deployment.record.limits.push_back({_worker.id, perSecond, nowMs(), nowMs() + _fault.durationMs});
			controlWorker(_worker, {{"limitPerS", perSecond}});
		}

		/// Makes an upstream stutter; with an even random value all upstreams.
		void stutter(SoakDeployment& _deployment, const SoakWorker& _worker, const PlannedFault& _fault)
		{
			constexpr std::uint64_t kSeedStride = 7'919;
			const bool all = 0 == _fault.randomValue % 2;
			std::uint64_t seed = _fault.randomValue;
			for (const SoakWorker& worker : _deployment.workers)
			{
				const bool isActive = !worker.isLeaving && 0 == worker.removeAt;
				seed += kSeedStride;
				if (worker.id == _worker.id || (all && isActive))
				{
					const Millis until = nowMs() + _fault.durationMs;
					_deployment.record.spans[_deployment.beginSpan(worker.id, FaultKind::Stutter)].until = until;
					controlWorker(worker, {{"stutter", {{"until", until}, {"seed", seed}, {"withinLength", _deployment.withinLength}}}});
				}
			}
		}

		std::size_t injectWorkerFault(SoakDeployment& _deployment, SoakWorker& _worker, const PlannedFault& _fault)
		{
			const FaultKind kind = _fault.kind;
			const std::size_t span = _deployment.beginSpan(_worker.id, kind);
			if (FaultKind::NameLimit == kind)
			{
				nameLimit(_deployment, _worker, _fault);
			}
			else if (FaultKind::AskBackOff == kind)
			{
				askBackOff(_deployment, _worker, _fault);
			}
			else if (FaultKind::Stutter == kind)
			{
				stutter(_deployment, _worker, _fault);
			}
			else if (FaultKind::SayLeaving == kind)
			{
				_worker.isLeaving = true; // a new upstream replaces it
				controlWorker(_worker, {{"leaving", true}});
			}
			else if (FaultKind::KillWorker == kind)
			{
				_worker.process->kill();
				_worker.removeAt = nowMs() + kKilledRowExpiryMs;
			}
			else if (FaultKind::FreezeWorker == kind)
			{
				_worker.process->signal(SIGSTOP);
			}
			else if (!_worker.isLeaving)
			{
				_deployment.drainWorker(_worker);
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

		/// @param[in] _cut Whether responses of the store are kept from reaching the gateway.
		void cutStore(SoakDeployment& _deployment, const SoakPart& _gateway, bool _cut)
		{
			_deployment.proxy.faults("store<" + _gateway.name, {{"cutToClient", _cut}});
		}

		std::size_t injectStoreLinkFault(SoakDeployment& _deployment, const SoakPart& _gateway, FaultKind _kind)
		{
			const std::size_t span = _deployment.beginSpan(_gateway.name, _kind);
			cutStore(_deployment, _gateway, true);
			return span;
		}

		/// @returns The control message that starts a fault of the store.
		Json storeControl(FaultKind _kind)
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
				return {{"delayMs", kSlowStoreDelayMs}};
			case FaultKind::RestoreStore:
				return {{"mode", "busy"}};
			default:
				return {{"forget", true}};
			}
		}

		/// @returns The part recorded for a fault that affects shared parts.
		std::string sharedPart(FaultKind _kind)
		{
			switch (_kind)
			{
			case FaultKind::DelayLinks:
			case FaultKind::ResetWorkerLinks:
				return "links";
			case FaultKind::RevokeKey:
			case FaultKind::ChangeConfiguration:
			case FaultKind::OddRow:
				return "-"; // changes by the operator excuse no violation
			case FaultKind::LateOrders:
			case FaultKind::FormAnew:
				return "ranks";
			default:
				return "store";
			}
		}

		/// Starts a fault that affects shared parts; some affect one group of ranks.
		/// @returns Index of its span, which starts before the first part is affected.
		std::size_t injectSharedFault(SoakDeployment& _deployment, FaultKind _kind, std::size_t _target)
		{
			const std::size_t span = _deployment.beginSpan(sharedPart(_kind), _kind);
			switch (_kind)
			{
			case FaultKind::OddRow:
				_deployment.putOddRow(_target);
				break;
			case FaultKind::DelayLinks:
				faultWorkerLinks(_deployment, {{"delayMs", kLinkDelayMs}});
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
				_deployment.controlRanks({{"lateShare", kLateOrderShare}});
				break;
			case FaultKind::FormAnew:
				_deployment.controlGroup(_target % _deployment.groups.size(), {{"formAnew", true}});
				break;
			default:
				_deployment.store.control(storeControl(_kind));
			}
			return span;
		}

		/// Starts a fault.
		/// @param[in,out] _target A random value; then the index of the affected part.
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
				return injectPartFault(_deployment, _deployment.gateways[_target], kind);
			case FaultKind::KillSidecar:
			case FaultKind::FreezeSidecar:
				_target %= _deployment.sidecars.size();
				return injectPartFault(_deployment, _deployment.sidecars[_target], kind);
			case FaultKind::KillWorker:
			case FaultKind::FreezeWorker:
			case FaultKind::DrainWorker:
				_target %= _deployment.workers.size();
				return injectWorkerFault(_deployment, _deployment.workers[_target], _fault);
			case FaultKind::AskBackOff:
			case FaultKind::SayLeaving:
			case FaultKind::NameLimit:
			case FaultKind::Stutter:
				// Chooses one of the most recent upstreams, as earlier ones may have been killed.
				_target = _deployment.workers.size() - 1 - _target % std::min(_deployment.workers.size(), _deployment.size.workers);
				return injectWorkerFault(_deployment, _deployment.workers[_target], _fault);
			case FaultKind::CutStoreOneWay:
				_target %= _deployment.gateways.size();
				return injectStoreLinkFault(_deployment, _deployment.gateways[_target], kind);
			default:
				return injectSharedFault(_deployment, kind, _target);
			}
		}

		/// Brings the store back from a copy, and has the operator and the upstreams write again what it lacks.
		void restoreStore(SoakDeployment& _deployment, const PlannedFault& _fault)
		{
			constexpr std::uint64_t kMaxCopyAgeMs = 2'000;
			constexpr std::uint64_t kMaxRewriteDelayMs = 400;
			_deployment.store.restore(nowMs() - Millis(_fault.randomValue % kMaxCopyAgeMs));
			_deployment.store.control({{"mode", "up"}, {"delayMs", 0}});
			pauseMs(Millis(_fault.randomValue / kMaxCopyAgeMs % kMaxRewriteDelayMs));
			_deployment.store.rewriteLost();
		}

		/// Removes every other odd row; the others stay until the end of the run.
		void removeOddRow(SoakDeployment& _deployment, std::uint64_t _randomValue)
		{
			constexpr std::uint64_t kChoices = 1'000;
			if (0 == _randomValue / kChoices % 2)
			{
				_deployment.store.remove("servers", SoakDeployment::oddRowKey(_randomValue));
			}
		}

		void endFault(SoakDeployment& _deployment, const PlannedFault& _fault, std::size_t _target)
		{
			switch (_fault.kind)
			{
			case FaultKind::RestoreStore:
				restoreStore(_deployment, _fault);
				break;
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
			case FaultKind::NameLimit:
				if (nullptr == findLimit(_deployment, _deployment.workers[_target].id))
				{
					controlWorker(_deployment.workers[_target], {{"limitPerS", 0.0}});
				}
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
			case FaultKind::OddRow:
				removeOddRow(_deployment, _fault.randomValue);
				break;
			default:
				break;
			}
			_deployment.restartExitedParts();
		}
	} // namespace

	SoakFaults::SoakFaults(const ChaosOptions& _options, SoakDeployment& _deployment)
	    : deployment(_deployment)
	    , plan(planFaults(_options))
	    , begunAt(nowMs())
	{
		this->deployment.withinLength = _options.withinLength;
		for (const std::vector<PlannedFault>& more : {planSeries(_options), planLimits(_options), planRestores(_options), planStutters(_options), planOddRows(_options)})
		{
			this->plan.insert(this->plan.end(), more.begin(), more.end());
		}
		std::stable_sort(this->plan.begin(), this->plan.end(), [](const PlannedFault& _a, const PlannedFault& _b) {
			return _a.startMs < _b.startMs;
		});
	}

	void SoakFaults::begin(const PlannedFault& _fault)
	{
		this->counts[std::string(toString(_fault.kind))] += 1;
		ActiveFault item{_fault, std::size_t(_fault.randomValue), 0};
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
			const bool ended = it->fault.startMs + it->fault.durationMs <= since;
			if (ended)
			{
				endFault(this->deployment, it->fault, it->target);
				this->deployment.record.spans[it->span].until = nowMs();
			}
			it = ended ? this->active.erase(it) : it + 1;
		}
	}

	bool SoakFaults::isFinished() const
	{
		return this->plan.empty() && this->active.empty();
	}

	const std::map<std::string, int>& SoakFaults::startedCounts() const
	{
		return this->counts;
	}
} // namespace archdyke::lab
