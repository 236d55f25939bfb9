#include "gateway/waiting.h"

#include <algorithm>

#include "archdyke/batch_admission.h"
#include "gateway/group_options.h"
#include "log.h"
#include "process.h"

namespace archdyke::gateway
{
	namespace
	{
		/// A waiting request looks by itself after this long, ms, should nothing have woken it: that a
		/// group's fault is over, or that its news are too old, is told by nobody.
		constexpr Millis kLookAnywayMs = 50;
		/// Between two news of a group, ms; more urgent requests come unseen until the next ones.
		constexpr Millis kNewsMs = 100;
		/// Requests let in during one look: a gateway has a part of a core, and more are woken by the next.
		constexpr int kMostGrants = 32;
		/// Share of the headroom that is left by one that came back: a second refusal loses its caller.
		constexpr double kHeadroomOfReturning = 0.5;

		ServiceQueue& queueOf(RequestContext& _context)
		{
			ServiceQueue& queue = _context.state.queues[_context.service];
			if (queue.scaleSource != _context.catalog)
			{
				const UrgencyScale before = queue.scale;
				queue.scale = urgencyScale(_context.catalog->catalog, _context.service);
				queue.scaleSource = _context.catalog;
				if (before != queue.scale)
				{
					logInfo("urgencies_changed", {{"service", _context.service}, {"organisation_priorities", queue.scale.organisations.size()}, {"route_priorities", queue.scale.routes.size()}, {"ordered", differs(queue.scale)}, {"catalog", _context.catalog->catalog.version}});
				}
			}
			return queue;
		}

		/// @returns The least of the long passes of the groups that are known, ms; 0 when none is.
		double shortestLongPass(const RequestContext& _context, Millis _now)
		{
			std::optional<double> shortest;
			for (const GroupRef& group : _context.state.board.groupsOf(_context.service))
			{
				const BatchView view = batchView(*group, _context.state, _now);
				const double passMs = std::max(view.passMs, view.longPassMs);
				if (isKnown(*group, _now) && !isDown(*group, _now))
				{
					shortest = std::min(shortest.value_or(passMs), passMs);
				}
			}
			return shortest.value_or(0.0);
		}

		/// @returns Members of all groups of a service that take work.
		double enginesOf(const GatewayState& _state, const std::string& _service)
		{
			double engines = 0.0;
			for (const GroupRef& group : _state.board.groupsOf(_service))
			{
				engines += double(group->working);
			}
			return std::max(1.0, engines);
		}

		/// @returns How old what is known of a group's loads is, ms.
		Millis ageOfLoads(const RequestContext& _context, const UpstreamGroup& _group, Millis _now)
		{
			const Millis told = isKnown(_group, _now) ? _now - _group.view.at : 0;
			return told + batchEngineOf(_context)->reportLagMs;
		}

		/// @returns Slots of a group that a request leaves to more urgent ones.
		double headroomIn(const RequestContext& _context, const ServiceQueue& _queue, const WaitingRequest& _request, const UpstreamGroup& _group, Millis _now)
		{
			const GatewayState& state = _context.state;
			const double expected = expectedBefore(_queue.room, rankOf(_request), ageOfLoads(_context, _group, _now) + kNewsMs, gatewaysAlike(state, _now), _now);
			const double part = double(_group.working) / enginesOf(state, _context.service);
			return expected * part * (_request.cameBack ? kHeadroomOfReturning : 1.0);
		}

		/// @returns What this gateway may still take of the room that it last saw in a group.
		RoomShare& shareOf(const RequestContext& _context, ServiceQueue& _queue, const WaitingRequest& _request, const UpstreamGroup& _group, double _headroom, Millis _now)
		{
			const Rank rank = rankOf(_request);
			const CatalogRoute& route = *_context.route;
			RoomShare& share = _queue.shares[{_group.name, rank}];
			if (share.newsAt != _group.view.at)
			{
				const std::uint32_t gateways = gatewaysAlike(_context.state, _now);
				const double part = double(_group.working) / enginesOf(_context.state, _context.service);
				const BatchView view = batchView(_group, _context.state, _now);
				const double room = yieldingRoom(*batchEngineOf(_context), view, {route.gapObjectiveMs, false, true, _headroom});
				const double perMs = expectedOf(_queue.room, rank, 1, gateways, _now) * part;
				const Millis waitMs = nearlyAllGo(_queue.room, rank, _now) ? 0 : orderedWait(route.objectiveMs, 0.0).tellMs;
				share = {_group.view.at, chanceOfRoom({room, ageOfLoads(_context, _group, _now), kNewsMs, perMs, waitMs}), 0, 0, 0};
			}
			countContenders(share, waitingOf(_queue.room, rank), _context.state.random);
			return share;
		}

		void noteWaiting(GatewayState& _state)
		{
			std::size_t waiting = 0;
			for (const auto& [service, queue] : _state.queues)
			{
				waiting += queue.room.number;
			}
			_state.counters.waiting.Set(double(waiting));
		}
	} // namespace

	Ticket::Ticket(RequestContext& _context, Millis _arrivedAt)
	    : context(_context)
	    , queue(queueOf(_context))
	    , inOrder(differs(this->queue.scale))
	{
		const Millis now = nowMs();
		const CatalogRoute& route = *_context.route;
		const bool returned = cameBack(_context);
		const OrderedWait wait = this->inOrder ? orderedWait(route.objectiveMs, shortestLongPass(_context, now)) : OrderedWait{longestWait(route.objectiveMs), longestWait(route.objectiveMs)};
		this->request.ticket = ++this->queue.lastTicket;
		this->request.urgency = urgencyOf(this->queue.scale, _context.organisation, route);
		this->request.organisation = nullptr == _context.organisation ? "" : _context.organisation->name;
		this->request.cameBack = returned;
		// A second refusal loses the caller, so it isn't told early.
		this->request.tellAt = _arrivedAt + (returned ? wait.longestMs : wait.tellMs);
		this->request.refuseAt = _arrivedAt + wait.longestMs;
		this->request.bytes = _context.received.body.size();
		if (this->inOrder)
		{
			_context.urgency = this->request.urgency;
		}
		this->request = noteArrival(this->queue.room, this->request, now);
		this->queue.tickets[this->request.ticket] = this;
		for (const WaitingRequest& displaced : joinRoom(this->queue.room, this->request))
		{
			this->queue.tickets.at(displaced.ticket)->displace();
		}
		noteWaiting(_context.state);
	}

	Ticket::~Ticket()
	{
		leaveRoom(this->queue.room, this->request);
		this->queue.tickets.erase(this->request.ticket);
		noteWaiting(this->context.state);
	}

	bool Ticket::admitted() const
	{
		return this->isAdmitted;
	}

	std::optional<RefusalCause> Ticket::refusal()
	{
		const bool mayWait = !this->displaced && !isHopeless(this->queue.room, this->request, nowMs());
		if (mayWait)
		{
			return std::nullopt;
		}
		const Granted none;
		if (this->hasLastChance() && this->findGroup(Claim::FreeSlots, none))
		{
			takeAnyway(this->queue.room, this->request, nowMs());
			Granted granted;
			this->admit(granted);
			return std::nullopt;
		}
		this->context.state.counters.urgencies[this->request.urgency].refused->Increment();
		return this->causeNow();
	}

	kj::Promise<void> Ticket::change()
	{
		if (this->isAdmitted)
		{
			return kj::READY_NOW;
		}
		auto paf = kj::newPromiseAndFulfiller<void>();
		this->waiting = kj::mv(paf.fulfiller);
		const Millis now = nowMs();
		const Millis next = now < this->request.tellAt ? this->request.tellAt : this->request.refuseAt;
		const Millis left = std::max<Millis>(1, next - now);
		return paf.promise.exclusiveJoin(this->context.state.loop.timer.afterDelay(std::min(left, kLookAnywayMs) * kj::MILLISECONDS));
	}

	bool Ticket::findGroup(Claim _claim, const Granted& _granted)
	{
		const Millis now = nowMs();
		const bool yielding = this->yields() && Claim::First != _claim;
		const GroupOptions options = optionsOf(this->context, [&](const UpstreamGroup& _group) {
			const auto granted = _granted.find(&_group);
			RoomTerms terms{yielding, 0.0, _granted.end() == granted ? 0 : granted->second, false, !this->yields()};
			if (yielding && Claim::Usual == _claim)
			{
				terms.headroom = headroomIn(this->context, this->queue, this->request, _group, now);
				terms.shareSpent = isKnown(_group, now) && 0 == shareOf(this->context, this->queue, this->request, _group, terms.headroom, now).left;
			}
			return terms;
		});
		this->context.group = chosenOf(options, this->context.state.random);
		return nullptr != this->context.group;
	}

	void Ticket::admit(Granted& _granted)
	{
		const UpstreamGroup& group = *this->context.group;
		_granted[&group] += 1;
		const auto share = this->queue.shares.find({group.name, rankOf(this->request)});
		if (this->queue.shares.end() != share)
		{
			takeOfShare(share->second);
		}
		this->isAdmitted = true;
		const UrgencyCounters& counters = this->context.state.counters.urgencies[this->request.urgency];
		counters.admitted->Increment();
		if (nullptr != this->waiting.get())
		{
			counters.waited->Increment();
			this->waiting->fulfill();
		}
	}

	void Ticket::displace()
	{
		this->displaced = true;
		if (nullptr != this->waiting.get())
		{
			this->waiting->fulfill();
		}
	}

	bool Ticket::yields() const
	{
		return 0 < this->request.urgency || this->request.overShare;
	}

	bool Ticket::hasLastChance() const
	{
		// Else an organisation that repeats at once would take what is kept for others.
		return this->yields() && this->request.cameBack && !this->request.overShare && !this->displaced;
	}

	RefusalCause Ticket::causeNow()
	{
		const Granted none;
		const bool roomForOthers = this->yields() && this->findGroup(Claim::First, none);
		this->context.group = nullptr;
		if (!roomForOthers)
		{
			return RefusalCause::Overloaded;
		}
		return this->request.overShare ? RefusalCause::OverShare : RefusalCause::LessUrgent;
	}

	void serveWaiting(GatewayState& _state, const std::string& _service)
	{
		const auto found = _state.queues.find(_service);
		if (_state.queues.end() == found || 0 == found->second.room.number)
		{
			return;
		}
		ServiceQueue& queue = found->second;
		Granted granted;
		const HasRoom hasRoom = [&](const WaitingRequest& _request, Claim _claim) {
			return queue.tickets.at(_request.ticket)->findGroup(_claim, granted);
		};
		for (int grant = 0; grant < kMostGrants; ++grant)
		{
			const std::optional<WaitingRequest> taken = takeNext(queue.room, hasRoom, nowMs());
			if (!taken)
			{
				return;
			}
			queue.tickets.at(taken->ticket)->admit(granted);
		}
	}

	nlohmann::json describeWaiting(const GatewayState& _state)
	{
		nlohmann::json services = nlohmann::json::array();
		for (const auto& [service, queue] : _state.queues)
		{
			nlohmann::json lines = nlohmann::json::array();
			for (const auto& [rank, line] : queue.room.lines)
			{
				lines.push_back({{"urgency", rank.urgency}, {"overShare", rank.overShare}, {"waiting", line.queue.queued}, {"organisations", line.queue.flows.size()}, {"owed", line.owed}});
			}
			services.push_back({{"service", service}, {"waiting", queue.room.number}, {"bytes", queue.room.bytes}, {"lines", lines}});
		}
		return services;
	}
} // namespace archdyke::gateway
