#include "gateway/admit.h"

#include <algorithm>

#include "gateway/group_options.h"
#include "process.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Between two looks whether a group has opened, ms: a fraction of a pass.
		constexpr Millis kLookMs = 10;
		/// After an upstream has said that its group failed, ms; by then the coordinator says
		/// how it is.
		constexpr Millis kFaultMs = 400;

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

		/// A request that needs no room of engines: any group that isn't down will do.
		aio::Task<std::optional<Refusal>> admitAnywhere(RequestContext& _context)
		{
			const Millis arrivedAt = nowMs();
			while (true)
			{
				const GroupOptions options = optionsOf(_context, anyRoom);
				if (awaitsOpening(_context, options, arrivedAt))
				{
					co_await _context.state.loop.timer.afterDelay(kLookMs * kj::MILLISECONDS);
					continue;
				}
				_context.group = chosenOf(options, _context.state.random);
				if (nullptr == _context.group && !options.groups.empty() && allAreDown(options))
				{
					co_return refuseNotRun(_context, RefusalCause::GroupDown);
				}
				co_return std::nullopt; // without any upstream dispatch says so
			}
		}

		/// Waits in the queue of its service until there is room, or it is to be told to come back.
		aio::Task<std::optional<Refusal>> admitInOrder(RequestContext& _context)
		{
			const Millis arrivedAt = nowMs();
			std::optional<Ticket> ticket;
			while (!ticket || !ticket->admitted())
			{
				const GroupOptions options = optionsOf(_context, anyRoom);
				if (awaitsOpening(_context, options, arrivedAt))
				{
					ticket.reset(); // nothing of it is to go to a group that nobody has heard of
					co_await _context.state.loop.timer.afterDelay(kLookMs * kj::MILLISECONDS);
					continue;
				}
				if (options.groups.empty())
				{
					co_return std::nullopt; // dispatch says so
				}
				if (allAreDown(options))
				{
					co_return refuseNotRun(_context, RefusalCause::GroupDown);
				}
				if (!ticket)
				{
					ticket.emplace(_context, arrivedAt);
				}
				serveWaiting(_context.state, _context.service);
				const std::optional<RefusalCause> refused = ticket->admitted() ? std::nullopt : ticket->refusal();
				if (refused)
				{
					logNoRoom(_context, options);
					co_return refuseNotRun(_context, *refused);
				}
				co_await ticket->change();
			}
			co_return std::nullopt;
		}
	} // namespace

	void noteGroupFault(UpstreamGroup& _group, Millis _now)
	{
		_group.view.faultUntil = _now + kFaultMs;
	}

	GroupRef chooseGroupAgain(RequestContext& _context)
	{
		GroupOptions options = optionsOf(_context, anyRoom);
		const GroupRef withRoom = chosenOf(options, _context.state.random);
		if (nullptr != withRoom)
		{
			return withRoom;
		}
		// It was let in once: to refuse it for want of room now would lose what was done for it.
		for (GroupCandidate& candidate : options.candidates)
		{
			candidate.hasRoom = true;
		}
		return chosenOf(options, _context.state.random);
	}

	aio::Task<std::optional<Refusal>> admit(RequestContext& _context)
	{
		return nullptr == batchEngineOf(_context) ? admitAnywhere(_context) : admitInOrder(_context);
	}
} // namespace archdyke::gateway
