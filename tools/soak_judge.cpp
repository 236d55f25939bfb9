#include <absl/strings/escaping.h>
#include <algorithm>
#include <fmt/format.h>

#include "server_stamp.h"
#include "soak.h"

namespace archdyke::lab
{
	namespace
	{
		using Runs = std::map<std::string, std::vector<const SoakRun*>>;

		bool saysNotRun(int _status)
		{
			return 408 == _status || 421 == _status || 429 == _status || 503 == _status;
		}

		/// Whether the time limits apply to a gateway: no fault affected it, its links or the store in the given time.
		/// Faults of sidecars do not suspend the limits, and neither does SIGHUP.
		bool timeLimitsApply(const SoakRecord& _record, const std::string& _gateway, Millis _from, Millis _until)
		{
			for (const FaultSpan& span : _record.spans)
			{
				const bool isRelevant = (span.part == _gateway && FaultKind::HangUpGateway != span.kind) || "store" == span.part || "links" == span.part;
				if (isRelevant && overlaps(span, _from, _until))
				{
					return false;
				}
			}
			return true;
		}

		/// Whether planned stops of gateways are the only faults that may have affected a request.
		bool hasOnlyPlannedStops(const SoakRecord& _record, const SoakCall& _call, const SoakBounds& _bounds)
		{
			for (const FaultSpan& span : _record.spans)
			{
				const bool isOwnStop = FaultKind::StopGateway == span.kind && span.part == _call.gateway;
				const bool isOtherStop = FaultKind::StopGateway == span.kind && span.part != _call.gateway;
				const bool harmless = FaultKind::KillSidecar == span.kind || FaultKind::FreezeSidecar == span.kind || FaultKind::LateOrders == span.kind || FaultKind::FormAnew == span.kind || FaultKind::AskBackOff == span.kind || FaultKind::SayLeaving == span.kind || FaultKind::NameLimit == span.kind || FaultKind::HangUpGateway == span.kind;
				// Bytes that belong to no exchange may break a stream, whose first events the caller has; any other response is withheld.
				const bool isWithheld = FaultKind::OddRow == span.kind || (FaultKind::Stutter == span.kind && SoakKind::Stream != _call.kind);
				if (!isOwnStop && !isOtherStop && !harmless && !isWithheld && overlaps(span, _call.sentAt - _bounds.contactMs, _call.endedAt))
				{
					return false;
				}
			}
			return true;
		}

		/// Whether a gateway may give a status by itself.
		bool isOfGateway(int _status)
		{
			return 0 == _status || 401 == _status || 404 == _status || 502 == _status || 504 == _status || saysNotRun(_status);
		}

		/// Checks that the response is the one that an upstream gave to this request, or one of the gateway's own.
		void checkAnswer(const SoakCall& _call, const std::vector<const SoakRun*>& _runs, const std::string& _details, SoakViolations& _violations)
		{
			constexpr std::size_t kShownBytes = 40;
			const std::string upstream = stub::upstreamOf(_call.stamp);
			const bool isGiven = _call.stamp.empty() ? isOfGateway(_call.status) : _call.stamp == stub::makeStamp(upstream, _call.id, _call.status, _call.body);
			if (!isGiven || (200 == _call.status && !_call.whole))
			{
				_violations.add("answer_not_its_own", fmt::format("{}, stamp {}, body of {} bytes: {}", _details, _call.stamp, _call.body.size(), absl::CHexEscape(_call.body.substr(0, kShownBytes))));
			}
			const bool hasRun = std::any_of(_runs.begin(), _runs.end(), [&](const SoakRun* _run) {
				return _run->upstream == upstream;
			});
			if (!upstream.empty() && !hasRun)
			{
				_violations.add("answer_without_run", fmt::format("{}, stamp {}", _details, _call.stamp));
			}
		}

		void checkCall(const SoakRecord& _record, const SoakBounds& _bounds, const SoakCall& _call, const std::vector<const SoakRun*>& _runs, SoakViolations& _violations)
		{
			const std::string details = fmt::format("request {} at {} sent at {}, ended at {} with {}, {} runs", _call.id, _call.gateway, _call.sentAt, _call.endedAt, _call.status, _runs.size());
			checkAnswer(_call, _runs, details, _violations);
			if (SoakKind::Once == _call.kind && 1 < _runs.size())
			{
				_violations.add("ran_twice", details);
			}
			if (SoakKind::Once == _call.kind && saysNotRun(_call.status) && !_runs.empty())
			{
				_violations.add("ran_though_told_not_run", details);
			}
			const auto revoked = _record.revokedAt.find(_call.key);
			const bool isRevoked = _record.revokedAt.end() != revoked && _call.sentAt > revoked->second + _bounds.revocationMs;
			if (!_runs.empty() && (isRevoked || !_record.knownKeys.contains(_call.key)))
			{
				_violations.add("key_not_held", details + fmt::format(", key {}", _call.key));
			}
			const bool mayHaveBeenRead = !_runs.empty() || _call.endedAt - _call.sentAt > _bounds.lossSlackMs;
			if (0 == _call.status && mayHaveBeenRead && hasOnlyPlannedStops(_record, _call, _bounds))
			{
				_violations.add("cut_by_a_planned_stop_or_nothing", details);
			}
		}

		void checkRun(const SoakRecord& _record, const SoakBounds& _bounds, const SoakCall& _call, const SoakRun& _run, SoakViolations& _violations)
		{
			const auto leaving = _record.leavingAt.find(_run.upstream);
			if (_record.leavingAt.end() == leaving || _run.at <= leaving->second + _bounds.drainMs)
			{
				return;
			}
			if (timeLimitsApply(_record, _call.gateway, _run.at - _bounds.drainMs - _bounds.contactMs, _run.at))
			{
				_violations.add("work_after_leaving", fmt::format("request {} by {} ran at {} of {}, which left at {}", _call.id, _call.gateway, _run.at, _run.upstream, leaving->second));
			}
		}

		using CallsById = std::map<std::string, const SoakCall*>;

		/// Whether a gateway was restarted or frozen, an upstream was frozen and so read its requests late, or responses
		/// were lost because links were reset.
		bool isAffected(const SoakRecord& _record, const std::string& _gateway, const std::string& _upstream, Millis _from, Millis _until)
		{
			return std::any_of(_record.spans.begin(), _record.spans.end(), [&](const FaultSpan& _span) {
				const bool harmless = FaultKind::CutStoreOneWay == _span.kind || FaultKind::HangUpGateway == _span.kind;
				const bool affectsGateway = _span.part == _gateway && !harmless;
				const bool freezesUpstream = _span.part == _upstream && FaultKind::FreezeWorker == _span.kind;
				const bool resetsLinks = FaultKind::ResetWorkerLinks == _span.kind;
				return (affectsGateway || freezesUpstream || resetsLinks) && overlaps(_span, _from, _until);
			});
		}

		/// Whether answers of an upstream may be lost because it stutters.
		bool stutters(const SoakRecord& _record, const SoakBounds& _bounds, const std::string& _upstream, Millis _at)
		{
			return std::any_of(_record.spans.begin(), _record.spans.end(), [&](const FaultSpan& _span) {
				return FaultKind::Stutter == _span.kind && _span.part == _upstream && _span.from <= _at && _at - _bounds.stutterTailMs <= _span.until;
			});
		}

		/// Whether the gateway has read the response of a run, and with it what the upstream says of itself.
		bool wasRead(const SoakRecord& _record, const SoakBounds& _bounds, const SoakCall& _call, const SoakRun& _run)
		{
			const bool isPassedOn = stub::upstreamOf(_call.stamp) == _run.upstream;
			return 200 == _call.status && (isPassedOn || !stutters(_record, _bounds, _run.upstream, _run.at));
		}

		/// Arrival of a request at an upstream through a gateway.
		struct Arrival
		{
			Millis at = 0;
			Millis sentAt = 0; ///< When its caller sent it.
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
			for (const SoakRejection& rejection : _record.rejections)
			{
				add(rejection.request, rejection.upstream, rejection.at);
			}
			return arrivals;
		}

		/// Checks that an upstream that asks a gateway for back-off gets only requests that were already in flight.
		void checkBackOffs(const SoakRecord& _record, const SoakBounds& _bounds, const CallsById& _calls, const Arrivals& _arrivals, SoakViolations& _violations)
		{
			for (const SoakRejection& rejection : _record.rejections)
			{
				const auto call = _calls.find(rejection.request);
				if (0 == rejection.backOffMs || _calls.end() == call || stutters(_record, _bounds, rejection.upstream, rejection.at))
				{
					continue;
				}
				const std::string& gateway = call->second->gateway;
				const Millis until = rejection.at + rejection.backOffMs;
				const std::vector<Arrival>& arrivals = _arrivals.at({rejection.upstream, gateway});
				const auto count = std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& _arrival) {
					return rejection.at + _bounds.backOffSlackMs < _arrival.at && _arrival.at < until;
				});
				if (0 < count && !isAffected(_record, gateway, rejection.upstream, rejection.at, until))
				{
					_violations.add("work_in_back_off", fmt::format("{} requests by {} came to {} from {} to {}", count, gateway, rejection.upstream, rejection.at, until));
				}
			}
		}

		/// Checks that a gateway sends no new requests to an upstream after it has forwarded a response in which the
		/// upstream says that it is leaving.
		void checkLeaving(const SoakRecord& _record, const SoakBounds& _bounds, const CallsById& _calls, const Arrivals& _arrivals, SoakViolations& _violations)
		{
			std::map<std::pair<std::string, std::string>, Millis> reports;
			for (const SoakRun& run : _record.runs)
			{
				const auto call = _calls.find(run.request);
				if (run.saidLeaving && _calls.end() != call && wasRead(_record, _bounds, *call->second, run))
				{
					const Millis endedAt = call->second->endedAt;
					Millis& reportedAt = reports.try_emplace({run.upstream, call->second->gateway}, endedAt).first->second;
					reportedAt = std::min(reportedAt, endedAt);
				}
			}
			for (const auto& [upstreamAndGateway, reportedAt] : reports)
			{
				for (const Arrival& arrival : _arrivals.at(upstreamAndGateway))
				{
					if (reportedAt + _bounds.drainMs < arrival.sentAt && !isAffected(_record, upstreamAndGateway.second, "", reportedAt, arrival.at))
					{
						_violations.add("work_after_self_report", fmt::format("request {} sent at {} by {} came at {} to {}, which had told it at {} that it leaves", arrival.request, arrival.sentAt, upstreamAndGateway.second, arrival.at, upstreamAndGateway.first, reportedAt));
					}
				}
			}
		}

		/// @returns The arrivals at an upstream while a limit applied to the gateway that sent them.
		std::vector<Millis> limitedArrivals(const SoakRecord& _record, const SoakBounds& _bounds, const CallsById& _calls, const Arrivals& _arrivals, const SoakLimit& _limit)
		{
			std::map<std::string, Millis> heardAt; // by gateway
			for (const SoakRun& run : _record.runs)
			{
				const auto call = _calls.find(run.request);
				const bool named = run.upstream == _limit.upstream && run.limitPerS == _limit.perSecond && _limit.from <= run.at && run.at <= _limit.until;
				if (named && _calls.end() != call && wasRead(_record, _bounds, *call->second, run))
				{
					Millis& first = heardAt.try_emplace(call->second->gateway, call->second->endedAt).first->second;
					first = std::min(first, call->second->endedAt);
				}
			}
			std::vector<Millis> times;
			for (const auto& [gateway, heard] : heardAt)
			{
				const auto arrivals = _arrivals.find({_limit.upstream, gateway});
				for (const Arrival& arrival : _arrivals.end() == arrivals ? std::vector<Arrival>() : arrivals->second)
				{
					const Millis from = std::max(heard + _bounds.limitHeardMs, _limit.from + _bounds.contactMs);
					if (from <= arrival.at && arrival.at <= _limit.until && !isAffected(_record, gateway, _limit.upstream, heard, arrival.at))
					{
						times.push_back(arrival.at);
					}
				}
			}
			std::sort(times.begin(), times.end());
			return times;
		}

		/// Checks that an upstream that names a limit gets no more from all gateways that have received it.
		void checkLimits(const SoakRecord& _record, const SoakBounds& _bounds, const CallsById& _calls, const Arrivals& _arrivals, SoakViolations& _violations)
		{
			for (const SoakLimit& limit : _record.limits)
			{
				const std::vector<Millis> times = limitedArrivals(_record, _bounds, _calls, _arrivals, limit);
				const double allowed = _bounds.limitOvershoot * limit.perSecond * double(_bounds.limitWindowMs) / 1'000.0 + _bounds.limitAllowance;
				std::size_t most = 0;
				for (std::size_t first = 0, last = 0; last < times.size(); ++last)
				{
					while (times[last] - times[first] >= _bounds.limitWindowMs)
					{
						++first;
					}
					most = std::max(most, last - first + 1);
				}
				if (allowed < double(most))
				{
					_violations.add("work_beyond_limit", fmt::format("{} requests in {} ms came to {}, which named a limit of {} per second from {} to {}", most, _bounds.limitWindowMs, limit.upstream, limit.perSecond, limit.from, limit.until));
				}
			}
		}

		/// Checks that a request that has crashed three upstreams, or requests with a part that has crashed five, reach at most
		/// three others through gateways to which the time limits apply.
		void checkCrashes(const SoakRecord& _record, const SoakBounds& _bounds, const CallsById& _calls, SoakViolations& _violations)
		{
			constexpr std::size_t kRequestThreshold = 3;
			constexpr std::size_t kPartThreshold = 5;
			constexpr int kMaxFurtherRuns = 3;
			std::map<std::string, std::vector<Arrival>> runs; // by target or part; each run crashed its upstream
			std::map<std::string, std::size_t> thresholds;
			for (const SoakRun& run : _record.runs)
			{
				const auto call = _calls.find(run.request);
				if (_calls.end() != call && SoakKind::Crash == call->second->kind)
				{
					const std::string& part = call->second->badPart;
					const std::string& cause = part.empty() ? call->second->target : part;
					runs[cause].push_back({run.at, call->second->sentAt, run.request});
					thresholds[cause] = part.empty() ? kRequestThreshold : kPartThreshold;
				}
			}
			for (auto& [cause, arrivals] : runs)
			{
				std::sort(arrivals.begin(), arrivals.end(), [](const Arrival& _a, const Arrival& _b) {
					return _a.at < _b.at;
				});
				const std::size_t threshold = thresholds.at(cause);
				if (arrivals.size() < threshold)
				{
					continue;
				}
				const Millis limitFrom = arrivals[threshold - 1].at + _bounds.contactMs;
				const auto further = std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& _arrival) {
					return limitFrom < _arrival.at && timeLimitsApply(_record, _calls.at(_arrival.request)->gateway, _arrival.at - _bounds.contactMs, _arrival.at);
				});
				if (kMaxFurtherRuns < further)
				{
					_violations.add("work_after_crashes", fmt::format("{} reached {} more upstreams after {}", cause, further, limitFrom));
				}
			}
		}
	} // namespace

	bool overlaps(const FaultSpan& _span, Millis _from, Millis _until)
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

	SoakViolations findSoakViolations(const SoakRecord& _record, const SoakBounds& _bounds)
	{
		SoakViolations violations;
		Runs runs;
		for (const SoakRun& run : _record.runs)
		{
			runs[run.request].push_back(&run);
		}
		std::set<std::string> sentIds;
		for (const SoakCall& call : _record.calls)
		{
			sentIds.insert(call.id);
			checkCall(_record, _bounds, call, runs[call.id], violations);
			for (const SoakRun* run : runs[call.id])
			{
				checkRun(_record, _bounds, call, *run, violations);
			}
		}
		CallsById calls;
		for (const SoakCall& call : _record.calls)
		{
			calls[call.id] = &call;
		}
		const Arrivals arrivals = arrivalsOf(_record, calls);
		checkBackOffs(_record, _bounds, calls, arrivals, violations);
		checkLeaving(_record, _bounds, calls, arrivals, violations);
		checkLimits(_record, _bounds, calls, arrivals, violations);
		checkCrashes(_record, _bounds, calls, violations);
		for (const SoakExit& exit : _record.exits)
		{
			violations.add("ended_by_itself", fmt::format("{} with {}, seen at {}", exit.part, exit.status, exit.at));
		}
		for (const auto& [request, itsRuns] : runs)
		{
			if (!itsRuns.empty() && !sentIds.contains(request))
			{
				violations.add("ran_unasked", "request " + request);
			}
		}
		return violations;
	}
} // namespace archdyke::lab
