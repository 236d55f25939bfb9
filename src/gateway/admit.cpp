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

		/// @returns Whether of all groups that aren't down only cold upstreams are left, with what they bear.
		bool onlyColdAreLeft(const GroupOptions& _options, Millis _now)
		{
			for (std::size_t index = 0; index < _options.groups.size(); ++index)
			{
				if (GroupStanding::Down != _options.candidates[index].standing && !hasOnlyCold(*_options.groups[index], _now))
				{
					return false;
				}
			}
			return true;
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

		/// @returns Why no group takes anything, however long a request waits.
		std::optional<RefusalCause> closedCause(const RequestContext& _context, const GroupOptions& _options)
		{
			if (_context.state.board.isEvacuated(_context.service))
			{
				return RefusalCause::Evacuated;
			}
			if (_options.groups.empty())
			{
				return std::nullopt; // dispatch says so
			}
			if (allAreDown(_options))
			{
				return RefusalCause::GroupDown;
			}
			return onlyColdAreLeft(_options, nowMs()) ? std::optional(RefusalCause::ColdUpstreams) : std::nullopt;
		}

		/// A request that needs no room of engines: any group that isn't down will do.
		aio::Task<std::optional<Refusal>> admitAnywhere(RequestContext& _context)
		{
			const Millis arrivedAt = nowMs();
			GroupOptions options = optionsOf(_context, anyRoom);
			while (!_context.state.board.isEvacuated(_context.service) && awaitsOpening(_context, options, arrivedAt))
			{
				co_await _context.state.loop.timer.afterDelay(kLookMs * kj::MILLISECONDS);
				options = optionsOf(_context, anyRoom);
			}
			const std::optional<RefusalCause> closed = closedCause(_context, options);
			_context.group = closed ? nullptr : chosenOf(options, _context.state.random);
			if (closed)
			{
				co_return refuseNotRun(_context, *closed);
			}
			co_return std::nullopt; // without any upstream dispatch says so
		}

		/// Waits in the queue of its service until there is room, or it is to be told to come back.
		aio::Task<std::optional<Refusal>> admitInOrder(RequestContext& _context)
		{
			const Millis arrivedAt = nowMs();
			std::optional<Ticket> ticket;
			while (!ticket || !ticket->admitted())
			{
				const GroupOptions options = optionsOf(_context, anyRoom);
				const bool evacuated = _context.state.board.isEvacuated(_context.service);
				if (!evacuated && awaitsOpening(_context, options, arrivedAt))
				{
					ticket.reset(); // nothing of it is to go to a group that nobody has heard of
					co_await _context.state.loop.timer.afterDelay(kLookMs * kj::MILLISECONDS);
					continue;
				}
				const std::optional<RefusalCause> closed = closedCause(_context, options);
				if (closed)
				{
					co_return refuseNotRun(_context, *closed);
				}
				if (options.groups.empty())
				{
					co_return std::nullopt; // dispatch says so
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
		for (std::size_t index = 0; index < options.groups.size(); ++index)
		{
			options.candidates[index].hasRoom = 0 < membersThatMayGet(*options.groups[index], nowMs());
		}
		return chosenOf(options, _context.state.random);
	}

	aio::Task<std::optional<Refusal>> admit(RequestContext& _context)
	{
		return nullptr == batchEngineOf(_context) ? admitAnywhere(_context) : admitInOrder(_context);
	}
} // namespace archdyke::gateway
