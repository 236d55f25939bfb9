#include "gateway/admit.h"

#include <algorithm>

#include "archdyke/batch_admission.h"
#include "archdyke/group_choice.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Between two looks for room, ms: a fraction of a pass.
		constexpr Millis kLookMs = 10;
		/// After an upstream has said that its group failed, ms; by then the coordinator says
		/// how it is.
		constexpr Millis kFaultMs = 400;
		/// A caller that has less of its patience left than this share was here before.
		constexpr double kFirstTimeShare = 0.97;

		/// The groups of a request's service, and what the choice goes by of each.
		struct GroupOptions
		{
			std::vector<GroupRef> groups;
			std::vector<GroupCandidate> candidates;
		};

		/// @returns null when the request isn't a stream of an engine: others need no admission.
		const EngineModel* batchEngineOf(const RequestContext& _context)
		{
			const CatalogService* service = findService(*_context.catalog, _context.service);
			return nullptr != service && service->engine && _context.route->stream ? &*service->engine : nullptr;
		}

		Millis patienceOf(const RequestContext& _context)
		{
			return _context.caller.patienceMs.value_or(_context.route->timeoutMs);
		}

		bool cameBack(const RequestContext& _context)
		{
			return double(patienceOf(_context)) < kFirstTimeShare * double(_context.route->timeoutMs);
		}

		BatchRequest batchRequest(const RequestContext& _context)
		{
			return {_context.route->gapObjectiveMs, cameBack(_context)};
		}

		BatchView batchView(const UpstreamGroup& _group, Millis _now)
		{
			return {isKnown(_group, _now) ? _group.view.passMs : 0.0, meanLoad(_group, _now)};
		}

		GroupStanding standingOf(const UpstreamGroup& _group, Millis _gapObjectiveMs, Millis _now)
		{
			if (isDown(_group, _now))
			{
				return GroupStanding::Down;
			}
			if (!isKnown(_group, _now))
			{
				return GroupStanding::Unknown;
			}
			const bool late = 0 < _gapObjectiveMs && double(_gapObjectiveMs) < _group.view.passMs;
			return late ? GroupStanding::Late : GroupStanding::InTime;
		}

		GroupCandidate candidateOf(const RequestContext& _context, const EngineModel* _engine, const BatchRequest& _request, const UpstreamGroup& _group, Millis _now)
		{
			GroupCandidate candidate;
			candidate.standing = standingOf(_group, _request.gapObjectiveMs, _now);
			candidate.ownZoneShare = double(_group.workingInZone) / double(std::max<std::uint32_t>(1, _group.working));
			candidate.failedRequest = _context.failedInGroups.contains(_group.name);
			const std::uint32_t members = membersThatMayGet(_group, _now);
			candidate.hasRoom = 0 < members;
			if (nullptr != _engine)
			{
				const BatchView view = batchView(_group, _now);
				const double limit = batchLimit(*_engine, view, _request.gapObjectiveMs);
				candidate.hasRoom = candidate.hasRoom && mayEnter(*_engine, view, _request);
				candidate.fullness = (view.meanLoad + 1.0) / limit;
				candidate.room = (limit - view.meanLoad) * double(members);
			}
			return candidate;
		}

		GroupOptions optionsOf(const RequestContext& _context)
		{
			const EngineModel* engine = batchEngineOf(_context);
			const BatchRequest request = batchRequest(_context);
			const Millis now = nowMs();
			GroupOptions options;
			options.groups = _context.state.board.groupsOf(_context.service);
			for (const GroupRef& group : options.groups)
			{
				options.candidates.push_back(candidateOf(_context, engine, request, *group, now));
			}
			return options;
		}

		GroupRef chosenOf(const GroupOptions& _options, Random& _random)
		{
			const std::optional<std::size_t> chosen = chooseGroup(_options.candidates, _random);
			return chosen ? _options.groups[*chosen] : nullptr;
		}

		bool allAreDown(const GroupOptions& _options)
		{
			return std::all_of(_options.candidates.begin(), _options.candidates.end(), [](const GroupCandidate& _candidate) {
				return GroupStanding::Down == _candidate.standing;
			});
		}

		/// @returns Whether any group is heard of and open. Of a dense engine nothing is heard.
		bool anyServes(const RequestContext& _context, const GroupOptions& _options)
		{
			const CatalogService* service = findService(*_context.catalog, _context.service);
			const bool inGroups = nullptr != service && service->engine && 0 < service->engine->sets;
			return std::any_of(_options.candidates.begin(), _options.candidates.end(), [&](const GroupCandidate& _candidate) {
				const bool heard = GroupStanding::InTime == _candidate.standing || GroupStanding::Late == _candidate.standing;
				return heard || !inGroups;
			});
		}

		/// @returns Whether a caller that came back waits for a group to open.
		bool awaitsOpening(RequestContext& _context, const GroupOptions& _options, Millis _arrivedAt)
		{
			const Millis now = nowMs();
			Outage& outage = _context.state.outages[_context.service];
			const bool serves = anyServes(_context, _options);
			noteOutage(outage, serves, now);
			return !serves && mayAwaitOpening(outage, {cameBack(_context), patienceOf(_context), now - _arrivedAt}, now);
		}

		/// One line for each group: why the request can't go there.
		void logNoRoom(const RequestContext& _context, const GroupOptions& _options)
		{
			const Millis now = nowMs();
			for (std::size_t index = 0; index < _options.groups.size(); ++index)
			{
				const UpstreamGroup& group = *_options.groups[index];
				const GroupCandidate& candidate = _options.candidates[index];
				logInfo("no_room", {{"request", _context.caller.id}, {"service", _context.service}, {"group", group.name.empty() ? "-" : group.name}, {"standing", toString(candidate.standing)}, {"working", group.working}, {"mean_load", meanLoad(group, now)}, {"fullness", candidate.fullness}, {"pass_ms", group.view.passMs}, {"view_age_ms", now - group.view.at}, {"came_back", cameBack(_context)}});
			}
		}
	} // namespace

	void noteGroupFault(UpstreamGroup& _group, Millis _now)
	{
		_group.view.faultUntil = _now + kFaultMs;
	}

	GroupRef chooseGroupAgain(RequestContext& _context)
	{
		GroupOptions options = optionsOf(_context);
		const GroupRef withRoom = chosenOf(options, _context.state.random);
		if (nullptr != withRoom)
		{
			return withRoom;
		}
		// It was let in once: to refuse it for want of room now would lose what was done for it.
		for (std::size_t index = 0; index < options.groups.size(); ++index)
		{
			options.candidates[index].hasRoom = 0 < membersThatMayGet(*options.groups[index], nowMs());
		}
		return chosenOf(options, _context.state.random);
	}

	aio::Task<std::optional<Refusal>> admit(RequestContext& _context)
	{
		GatewayState& state = _context.state;
		const bool needsRoom = nullptr != batchEngineOf(_context);
		const Millis arrivedAt = nowMs();
		const Millis until = arrivedAt + longestWait(_context.route->objectiveMs);
		while (true)
		{
			if (state.board.isEvacuated(_context.service))
			{
				co_return refuseNotRun(_context, RefusalCause::Evacuated); // it lasts longer than callers wait
			}
			const GroupOptions options = optionsOf(_context);
			if (awaitsOpening(_context, options, arrivedAt))
			{
				co_await state.loop.timer.afterDelay(kLookMs * kj::MILLISECONDS);
				continue;
			}
			_context.group = chosenOf(options, state.random);
			if (nullptr != _context.group || options.groups.empty())
			{
				co_return std::nullopt; // without any upstream dispatch says so
			}
			if (allAreDown(options))
			{
				co_return refuseNotRun(_context, RefusalCause::GroupDown);
			}
			const std::optional<RefusalCause> limited = whyNoneMayGet(options.groups, nowMs());
			if (limited)
			{
				co_return refuseNotRun(_context, *limited);
			}
			if (!needsRoom)
			{
				co_return std::nullopt; // all upstreams leave: dispatch says so
			}
			if (until <= nowMs())
			{
				logNoRoom(_context, options);
				co_return refuseNotRun(_context, RefusalCause::Overloaded);
			}
			co_await state.loop.timer.afterDelay(kLookMs * kj::MILLISECONDS);
		}
	}
} // namespace archdyke::gateway
