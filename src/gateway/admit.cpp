#include "gateway/admit.h"

#include <algorithm>

#include "archdyke/batch_admission.h"
#include "archdyke/group_choice.h"
#include "base/log.h"
#include "base/process.h"
#include "gateway/send_permission.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Interval between checks for room, ms: a fraction of a pass of the engine.
		constexpr Millis kPollIntervalMs = 10;
		/// How long a group counts as failed after an upstream reported it, ms; by then the coordinator
		/// has reported the group's state.
		constexpr Millis kGroupFaultHoldMs = 400;
		/// A request whose timeout is below this share of the route's timeout is a retry by its caller.
		constexpr double kFirstAttemptShare = 0.97;

		/// The groups of a request's service, and the candidate data from which one is chosen.
		struct GroupOptions
		{
			std::vector<GroupRef> groups;
			std::vector<GroupCandidate> candidates;
		};

		/// @returns The engine of a stream request; null for all other requests, which need no admission.
		const EngineModel* findBatchEngine(const RequestContext& _context)
		{
			const CatalogService* service = findService(*_context.catalog, _context.service);
			return nullptr != service && service->engine && _context.route->stream ? &*service->engine : nullptr;
		}

		Millis callerTimeoutMs(const RequestContext& _context)
		{
			return _context.caller.patienceMs.value_or(_context.route->timeoutMs);
		}

		bool isReturningCaller(const RequestContext& _context)
		{
			return double(callerTimeoutMs(_context)) < kFirstAttemptShare * double(_context.route->timeoutMs);
		}

		BatchRequest batchRequest(const RequestContext& _context)
		{
			return {_context.route->gapObjectiveMs, isReturningCaller(_context)};
		}

		BatchLoad batchView(const UpstreamGroup& _group, Millis _now)
		{
			return {hasFreshReport(_group, _now) ? _group.view.passMs : 0.0, meanLoad(_group, _now)};
		}

		GroupStatus standingOf(const UpstreamGroup& _group, Millis _gapObjectiveMs, Millis _now)
		{
			if (isDown(_group, _now))
			{
				return GroupStatus::Down;
			}
			if (!hasFreshReport(_group, _now))
			{
				return GroupStatus::Unknown;
			}
			const bool late = 0 < _gapObjectiveMs && double(_gapObjectiveMs) < _group.view.passMs;
			return late ? GroupStatus::Late : GroupStatus::InTime;
		}

		GroupCandidate candidateOf(const RequestContext& _context, const EngineModel* _engine, const BatchRequest& _request, const UpstreamGroup& _group, Millis _now)
		{
			GroupCandidate candidate;
			candidate.standing = standingOf(_group, _request.gapObjectiveMs, _now);
			candidate.ownZoneShare = double(_group.availableInZone) / double(std::max<std::uint32_t>(1, _group.availableMembers));
			candidate.failedRequest = _context.failedInGroups.contains(_group.name);
			const std::uint32_t members = countSendableMembers(_group, _now);
			candidate.hasCapacity = 0 < members;
			if (nullptr != _engine)
			{
				const BatchLoad view = batchView(_group, _now);
				const double limit = batchLimit(*_engine, view, _request.gapObjectiveMs);
				candidate.hasCapacity = candidate.hasCapacity && mayAdmit(*_engine, view, _request);
				candidate.utilization = (view.meanLoad + 1.0) / limit;
				candidate.room = (limit - view.meanLoad) * double(members);
			}
			return candidate;
		}

		GroupOptions collectOptions(const RequestContext& _context)
		{
			const EngineModel* engine = findBatchEngine(_context);
			const BatchRequest request = batchRequest(_context);
			const Millis now = nowMs();
			GroupOptions options;
			options.groups = _context.state.registry.groupsOf(_context.service);
			for (const GroupRef& group : options.groups)
			{
				options.candidates.push_back(candidateOf(_context, engine, request, *group, now));
			}
			return options;
		}

		GroupRef chooseFrom(const GroupOptions& _options, Random& _random)
		{
			const std::optional<std::size_t> chosen = chooseGroup(_options.candidates, _random);
			return chosen ? _options.groups[*chosen] : nullptr;
		}

		bool allGroupsDown(const GroupOptions& _options)
		{
			return std::all_of(_options.candidates.begin(), _options.candidates.end(), [](const GroupCandidate& _candidate) {
				return GroupStatus::Down == _candidate.standing;
			});
		}

		/// @returns Whether any group reports and is open. Dense engines send no reports and count as serving.
		bool anyGroupServes(const RequestContext& _context, const GroupOptions& _options)
		{
			const CatalogService* service = findService(*_context.catalog, _context.service);
			const bool formsGroups = nullptr != service && service->engine && 0 < service->engine->sets;
			return std::any_of(_options.candidates.begin(), _options.candidates.end(), [&](const GroupCandidate& _candidate) {
				const bool hasReported = GroupStatus::InTime == _candidate.standing || GroupStatus::Late == _candidate.standing;
				return hasReported || !formsGroups;
			});
		}

		/// @returns Whether a caller that retries should wait for a group to open.
		bool shouldAwaitOpening(RequestContext& _context, const GroupOptions& _options, Millis _arrivedAt)
		{
			const Millis now = nowMs();
			Outage& outage = _context.state.outages[_context.service];
			const bool serves = anyGroupServes(_context, _options);
			recordOutage(outage, serves, now);
			return !serves && mayWaitForRecovery(outage, {isReturningCaller(_context), callerTimeoutMs(_context), now - _arrivedAt}, now);
		}

		/// Logs one line per group with the reason why it can't take the request.
		void logNoRoom(const RequestContext& _context, const GroupOptions& _options)
		{
			const Millis now = nowMs();
			for (std::size_t index = 0; index < _options.groups.size(); ++index)
			{
				const UpstreamGroup& group = *_options.groups[index];
				const GroupCandidate& candidate = _options.candidates[index];
				logInfo("no_room", {{"request", _context.caller.id}, {"service", _context.service}, {"group", group.name.empty() ? "-" : group.name}, {"standing", toString(candidate.standing)}, {"working", group.availableMembers}, {"mean_load", meanLoad(group, now)}, {"fullness", candidate.utilization}, {"pass_ms", group.view.passMs}, {"view_age_ms", now - group.view.at}, {"came_back", isReturningCaller(_context)}});
			}
		}
	} // namespace

	void recordGroupFault(UpstreamGroup& _group, Millis _now)
	{
		_group.view.faultUntil = _now + kGroupFaultHoldMs;
	}

	GroupRef chooseGroupForRetry(RequestContext& _context)
	{
		GroupOptions options = collectOptions(_context);
		const GroupRef withRoom = chooseFrom(options, _context.state.random);
		if (nullptr != withRoom)
		{
			return withRoom;
		}
		// The request was admitted before; refusing it now for lack of room would waste the work already done.
		for (std::size_t index = 0; index < options.groups.size(); ++index)
		{
			options.candidates[index].hasCapacity = 0 < countSendableMembers(*options.groups[index], nowMs());
		}
		return chooseFrom(options, _context.state.random);
	}

	aio::Task<std::optional<Refusal>> admit(RequestContext& _context)
	{
		GatewayState& state = _context.state;
		const bool needsRoom = nullptr != findBatchEngine(_context);
		const Millis arrivedAt = nowMs();
		const Millis admitBy = arrivedAt + maxCapacityWaitMs(_context.route->objectiveMs);
		while (true)
		{
			if (std::optional<Refusal> refused = refuseSend(_context))
			{
				co_return refused;
			}
			if (state.registry.isEvacuated(_context.service))
			{
				co_return refuseNotRun(_context, RefusalCause::Evacuated); // an evacuation outlasts the callers' timeouts
			}
			const GroupOptions options = collectOptions(_context);
			if (shouldAwaitOpening(_context, options, arrivedAt))
			{
				co_await state.loop.timer.afterDelay(kPollIntervalMs * kj::MILLISECONDS);
				continue;
			}
			_context.group = chooseFrom(options, state.random);
			if (nullptr != _context.group || options.groups.empty())
			{
				co_return std::nullopt; // dispatch refuses a request without any upstream
			}
			if (allGroupsDown(options))
			{
				co_return refuseNotRun(_context, RefusalCause::GroupDown);
			}
			const std::optional<RefusalCause> limitCause = refusalCauseOf(options.groups, nowMs());
			if (limitCause)
			{
				co_return refuseNotRun(_context, *limitCause);
			}
			if (!needsRoom)
			{
				co_return std::nullopt; // all upstreams are leaving: dispatch refuses the request
			}
			if (admitBy <= nowMs())
			{
				logNoRoom(_context, options);
				co_return refuseNotRun(_context, RefusalCause::Overloaded);
			}
			co_await state.loop.timer.afterDelay(kPollIntervalMs * kj::MILLISECONDS);
		}
	}
} // namespace archdyke::gateway
