#include "gateway/group_options.h"

#include <algorithm>

#include "log.h"
#include "process.h"

namespace archdyke::gateway
{
	namespace
	{
		/// A caller that has less of its patience left than this share was here before.
		constexpr double kFirstTimeShare = 0.97;

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

		BatchView withGranted(BatchView _view, std::uint32_t _granted)
		{
			_view.meanLoad += double(_granted) / std::max(1.0, _view.engines);
			_view.freeSlots -= double(_granted);
			return _view;
		}

		GroupCandidate candidateOf(const RequestContext& _context, const EngineModel* _engine, const UpstreamGroup& _group, const RoomTerms& _terms, Millis _now)
		{
			const BatchRequest request{_context.route->gapObjectiveMs, cameBack(_context) && _terms.first, _terms.yields, _terms.headroom};
			GroupCandidate candidate;
			candidate.standing = standingOf(_group, request.gapObjectiveMs, _now);
			candidate.ownZoneShare = double(_group.workingInZone) / double(std::max<std::uint32_t>(1, _group.working));
			candidate.failedRequest = _context.failedInGroups.contains(_group.name);
			const std::uint32_t members = membersThatMayGet(_group, _now);
			candidate.hasRoom = 0 < members;
			if (nullptr != _engine)
			{
				const BatchView view = withGranted(batchView(_group, _context.state, _now), _terms.granted);
				const double limit = batchLimit(*_engine, view, request.gapObjectiveMs);
				candidate.hasRoom = candidate.hasRoom && mayEnter(*_engine, view, request) && !_terms.shareSpent;
				candidate.fullness = (view.meanLoad + 1.0) / limit;
				candidate.room = _terms.yields ? yieldingRoom(*_engine, view, request) : (limit - view.meanLoad) * double(members);
			}
			return candidate;
		}
	} // namespace

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

	std::uint32_t gatewaysAlike(const GatewayState& _state, Millis _now)
	{
		return gatewaysTold(_state.resendShare, _state.settings.bounds.retryWindowMs, 0, _now).value_or(1);
	}

	BatchView batchView(const UpstreamGroup& _group, const GatewayState& _state, Millis _now)
	{
		const bool known = isKnown(_group, _now);
		const double freeNow = freeSlots(_group, gatewaysAlike(_state, _now), _now);
		return {known ? _group.view.passMs : 0.0, meanLoad(_group, _now), known ? _group.view.longPassMs : 0.0, double(_group.working), freeNow};
	}

	GroupOptions optionsOf(const RequestContext& _context, const TermsOf& _termsOf)
	{
		const EngineModel* engine = batchEngineOf(_context);
		const Millis now = nowMs();
		GroupOptions options;
		options.groups = _context.state.board.groupsOf(_context.service);
		for (const GroupRef& group : options.groups)
		{
			options.candidates.push_back(candidateOf(_context, engine, *group, _termsOf(*group), now));
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

	void logNoRoom(const RequestContext& _context, const GroupOptions& _options)
	{
		const Millis now = nowMs();
		for (std::size_t index = 0; index < _options.groups.size(); ++index)
		{
			const UpstreamGroup& group = *_options.groups[index];
			const GroupCandidate& candidate = _options.candidates[index];
			logInfo("no_room", {{"request", _context.caller.id}, {"service", _context.service}, {"group", group.name.empty() ? "-" : group.name}, {"standing", toString(candidate.standing)}, {"mean_load", meanLoad(group, now)}, {"fullness", candidate.fullness}, {"pass_ms", group.view.passMs}, {"view_age_ms", now - group.view.at}, {"came_back", cameBack(_context)}});
		}
	}

	RoomTerms anyRoom(const UpstreamGroup&)
	{
		return {};
	}
} // namespace archdyke::gateway
