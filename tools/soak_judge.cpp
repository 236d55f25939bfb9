#include <algorithm>
#include <fmt/format.h>

#include "soak.h"

namespace archdyke::lab
{
	namespace
	{
		using Runs = std::map<std::string, std::vector<const SoakRun*>>;

		bool promisesNotRun(int _status)
		{
			return 408 == _status || 421 == _status || 429 == _status || 503 == _status;
		}

		/// Whether a gateway is bound by what has a time bound: no trouble of its own, of its ways or
		/// of the store for a while. What happens to sidecars excuses it of nothing.
		bool isInTouch(const SoakRecord& _record, const std::string& _gateway, Millis _from, Millis _until)
		{
			for (const SoakSpan& span : _record.spans)
			{
				const bool its = (span.part == _gateway && FaultKind::HangUpGateway != span.kind) || "store" == span.part || "links" == span.part;
				if (its && overlaps(span, _from, _until))
				{
					return false;
				}
			}
			return true;
		}

		/// Whether only a planned stop of the gateway touched a request.
		bool onlyStopped(const SoakRecord& _record, const SoakCall& _call, const SoakBounds& _bounds)
		{
			for (const SoakSpan& span : _record.spans)
			{
				const bool itsStop = FaultKind::StopGateway == span.kind && span.part == _call.gateway;
				const bool othersStop = FaultKind::StopGateway == span.kind && span.part != _call.gateway;
				const bool harmless = FaultKind::KillSidecar == span.kind || FaultKind::FreezeSidecar == span.kind || FaultKind::LateOrders == span.kind || FaultKind::FormAnew == span.kind || FaultKind::AskBackOff == span.kind || FaultKind::SayLeaving == span.kind || FaultKind::HangUpGateway == span.kind;
				if (!itsStop && !othersStop && !harmless && overlaps(span, _call.sentAt - _bounds.contactMs, _call.endedAt))
				{
					return false;
				}
			}
			return true;
		}

		void judgeCall(const SoakRecord& _record, const SoakBounds& _bounds, const SoakCall& _call, const std::vector<const SoakRun*>& _runs, SoakViolations& _violations)
		{
			const std::string where = fmt::format("request {} at {} sent at {}, ended at {} with {}, {} runs", _call.id, _call.gateway, _call.sentAt, _call.endedAt, _call.status, _runs.size());
			if (200 == _call.status && !_call.whole)
			{
				_violations.add("answer_not_its_own", where);
			}
			if (SoakKind::Once == _call.kind && 1 < _runs.size())
			{
				_violations.add("ran_twice", where);
			}
			if (SoakKind::Once == _call.kind && promisesNotRun(_call.status) && !_runs.empty())
			{
				_violations.add("ran_though_told_not_run", where);
			}
			const auto withdrawn = _record.withdrawnAt.find(_call.key);
			const bool late = _record.withdrawnAt.end() != withdrawn && _call.sentAt > withdrawn->second + _bounds.revocationMs;
			if (!_runs.empty() && (late || !_record.heldKeys.contains(_call.key)))
			{
				_violations.add("key_not_held", where + fmt::format(", key {}", _call.key));
			}
			const bool passedOn = !_runs.empty() || _call.endedAt - _call.sentAt > _bounds.lossSlackMs;
			if (0 == _call.status && passedOn && onlyStopped(_record, _call, _bounds))
			{
				_violations.add("cut_by_a_planned_stop_or_nothing", where);
			}
		}

		void judgeRun(const SoakRecord& _record, const SoakBounds& _bounds, const SoakCall& _call, const SoakRun& _run, SoakViolations& _violations)
		{
			const auto leaving = _record.leavingAt.find(_run.upstream);
			if (_record.leavingAt.end() == leaving || _run.at <= leaving->second + _bounds.drainMs)
			{
				return;
			}
			if (isInTouch(_record, _call.gateway, _run.at - _bounds.drainMs - _bounds.contactMs, _run.at))
			{
				_violations.add("work_after_leaving", fmt::format("request {} by {} ran at {} of {}, which left at {}", _call.id, _call.gateway, _run.at, _run.upstream, leaving->second));
			}
		}

		using CallsById = std::map<std::string, const SoakCall*>;

		/// Whether a gateway was restarted or frozen, an upstream was frozen and read late what had come, or answers
		/// were lost in resets.
		bool isDisturbed(const SoakRecord& _record, const std::string& _gateway, const std::string& _upstream, Millis _from, Millis _until)
		{
			return std::any_of(_record.spans.begin(), _record.spans.end(), [&](const SoakSpan& _span) {
				const bool harmless = FaultKind::CutStoreOneWay == _span.kind || FaultKind::HangUpGateway == _span.kind;
				const bool its = _span.part == _gateway && !harmless;
				const bool upstreams = _span.part == _upstream && FaultKind::FreezeWorker == _span.kind;
				const bool resets = FaultKind::ResetWorkerLinks == _span.kind;
				return (its || upstreams || resets) && overlaps(_span, _from, _until);
			});
		}

		/// What came to one upstream through one gateway: when, and when its caller had sent it.
		struct Arrival
		{
			Millis at = 0;
			Millis sentAt = 0;
			std::string request;
		};

		/// By upstream and gateway.
		using Arrivals = std::map<std::pair<std::string, std::string>, std::vector<Arrival>>;

		Arrivals arrivalsOf(const SoakRecord& _record, const CallsById& _calls)
		{
			Arrivals arrivals;
			const auto add = [&](const std::string& _request, const std::string& _upstream, Millis _at) {
				const auto call = _calls.find(_request);
				if (_calls.end() != call)
				{
					arrivals[{_upstream, call->second->gateway}].push_back({_at, call->second->sentAt, _request});
				}
			};
			for (const SoakRun& run : _record.runs)
			{
				add(run.request, run.upstream, run.at);
			}
			for (const SoakRefusal& refusal : _record.refusals)
			{
				add(refusal.request, refusal.upstream, refusal.at);
			}
			return arrivals;
		}

		/// An upstream that asks a gateway for some time gets what is under way, and nothing more.
		void judgeBackOffs(const SoakRecord& _record, const SoakBounds& _bounds, const CallsById& _calls, const Arrivals& _arrivals, SoakViolations& _violations)
		{
			for (const SoakRefusal& refusal : _record.refusals)
			{
				const auto call = _calls.find(refusal.request);
				if (0 == refusal.askedMs || _calls.end() == call)
				{
					continue;
				}
				const std::string& gateway = call->second->gateway;
				const Millis until = refusal.at + refusal.askedMs;
				const std::vector<Arrival>& arrivals = _arrivals.at({refusal.upstream, gateway});
				const auto came = std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& _arrival) {
					return refusal.at + _bounds.backOffSlackMs < _arrival.at && _arrival.at < until;
				});
				if (0 < came && !isDisturbed(_record, gateway, refusal.upstream, refusal.at, until))
				{
					_violations.add("work_in_back_off", fmt::format("{} requests by {} came to {} from {} to {}", came, gateway, refusal.upstream, refusal.at, until));
				}
			}
		}

		/// A gateway that has handed on an upstream's answer that it leaves sends it nothing that is sent later.
		void judgeLeaves(const SoakRecord& _record, const SoakBounds& _bounds, const CallsById& _calls, const Arrivals& _arrivals, SoakViolations& _violations)
		{
			std::map<std::pair<std::string, std::string>, Millis> toldAt;
			for (const SoakRun& run : _record.runs)
			{
				const auto call = _calls.find(run.request);
				if (run.saidLeaving && _calls.end() != call && 200 == call->second->status)
				{
					const Millis endedAt = call->second->endedAt;
					Millis& told = toldAt.try_emplace({run.upstream, call->second->gateway}, endedAt).first->second;
					told = std::min(told, endedAt);
				}
			}
			for (const auto& [way, told] : toldAt)
			{
				for (const Arrival& arrival : _arrivals.at(way))
				{
					if (told + _bounds.drainMs < arrival.sentAt && !isDisturbed(_record, way.second, "", told, arrival.at))
					{
						_violations.add("work_after_self_report", fmt::format("request {} sent at {} by {} came at {} to {}, which had told it at {} that it leaves", arrival.request, arrival.sentAt, way.second, arrival.at, way.first, told));
					}
				}
			}
		}
		/// A request under which three upstreams ended reaches others by gateways in touch no more than a few times.
		void judgeCrashes(const SoakRecord& _record, const SoakBounds& _bounds, const CallsById& _calls, SoakViolations& _violations)
		{
			constexpr std::size_t kCrashes = 3;
			constexpr int kFew = 3;
			std::map<std::string, std::vector<Arrival>> runs; // by target; each ended its upstream
			for (const SoakRun& run : _record.runs)
			{
				const auto call = _calls.find(run.request);
				if (_calls.end() != call && SoakKind::Crash == call->second->kind)
				{
					runs[call->second->target].push_back({run.at, call->second->sentAt, run.request});
				}
			}
			for (auto& [target, arrivals] : runs)
			{
				std::sort(arrivals.begin(), arrivals.end(), [](const Arrival& _a, const Arrival& _b) {
					return _a.at < _b.at;
				});
				if (arrivals.size() < kCrashes)
				{
					continue;
				}
				const Millis boundFrom = arrivals[kCrashes - 1].at + _bounds.contactMs;
				const auto more = std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& _arrival) {
					return boundFrom < _arrival.at && isInTouch(_record, _calls.at(_arrival.request)->gateway, _arrival.at - _bounds.contactMs, _arrival.at);
				});
				if (kFew < more)
				{
					_violations.add("work_after_crashes", fmt::format("{} reached {} more upstreams after {}", target, more, boundFrom));
				}
			}
		}
	} // namespace

	bool overlaps(const SoakSpan& _span, Millis _from, Millis _until)
	{
		return _span.from <= _until && _from <= _span.until;
	}

	void SoakViolations::add(const std::string& _kind, const std::string& _line)
	{
		this->byKind[_kind] += 1;
		this->lines.push_back(_kind + ": " + _line);
	}

	int SoakViolations::total() const
	{
		return int(this->lines.size());
	}

	SoakViolations judgeSoak(const SoakRecord& _record, const SoakBounds& _bounds)
	{
		SoakViolations violations;
		Runs runs;
		for (const SoakRun& run : _record.runs)
		{
			runs[run.request].push_back(&run);
		}
		std::set<std::string> sent;
		for (const SoakCall& call : _record.calls)
		{
			sent.insert(call.id);
			judgeCall(_record, _bounds, call, runs[call.id], violations);
			for (const SoakRun* run : runs[call.id])
			{
				judgeRun(_record, _bounds, call, *run, violations);
			}
		}
		CallsById calls;
		for (const SoakCall& call : _record.calls)
		{
			calls[call.id] = &call;
		}
		const Arrivals arrivals = arrivalsOf(_record, calls);
		judgeBackOffs(_record, _bounds, calls, arrivals, violations);
		judgeLeaves(_record, _bounds, calls, arrivals, violations);
		judgeCrashes(_record, _bounds, calls, violations);
		for (const auto& [request, ran] : runs)
		{
			if (!ran.empty() && !sent.contains(request))
			{
				violations.add("ran_unasked", "request " + request);
			}
		}
		return violations;
	}
} // namespace archdyke::lab
