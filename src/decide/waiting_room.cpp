#include "archdyke/waiting_room.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace archdyke
{
	namespace
	{
		/// Requests that wait at once: a second of a gateway's arrivals in a burst.
		constexpr std::size_t kMostWaiting = 256;
		/// What they may hold, bytes: an eighth of the memory of the smallest gateway VM.
		constexpr std::size_t kMostBytes = std::size_t(16) << 20;
		/// Rates look back about this long, ms: one gateway gets a few requests a second of a kind, and a
		/// burst has to show before it is over.
		constexpr Millis kRateMs = 2'000;
		/// Of the requests taken, the share that every urgency gets while it waits: callers of a kind that
		/// gets nothing for seconds would all be lost, and the more urgent lose one place in twenty.
		constexpr double kFloorShare = 0.05;
		/// Organisations of one line that are asked in turn when the first one's request finds no room: one
		/// that came back, or that failed in another group, may find some. Bounds the work of a look.
		constexpr std::size_t kMostAsked = 4;

		/// Share of a rank's requests that are let in while it has no backlog; some wait just now.
		constexpr double kNearlyAll = 0.9;
		/// Requests that came and may go yet.
		constexpr double kUndecided = 1.0;

		bool goesBefore(const WaitingRequest& _a, const WaitingRequest& _b)
		{
			return std::tuple(!_a.cameBack, _a.refuseAt) < std::tuple(!_b.cameBack, _b.refuseAt);
		}

		void noteOut(WaitingRoom& _room, const WaitingRequest& _request)
		{
			_room.number -= 1;
			_room.bytes -= _request.bytes;
		}

		void noteLetIn(WaitingRoom& _room, const WaitingRequest& _request, Millis _now)
		{
			noteEvent(_room.lines[rankOf(_request)].taken, kRateMs, _now);
			noteTaken(_room.shares[_request.urgency], _now);
		}

		/// @returns Flows of a line in which something waits.
		std::size_t waitingFlows(const WaitingLine& _line)
		{
			return std::size_t(std::count_if(_line.queue.flows.begin(), _line.queue.flows.end(), [](const auto& _flow) {
				return !_flow.second.items.empty();
			}));
		}

		WaitingRequest displaceOne(WaitingRoom& _room)
		{
			auto line = _room.lines.rbegin();
			while (0 == line->second.queue.queued)
			{
				++line;
			}
			FairQueue<WaitingRequest>& queue = line->second.queue;
			std::deque<WaitingRequest>& items = queue.flows[largestFlow(queue)].items;
			WaitingRequest displaced = items.back();
			items.pop_back();
			queue.queued -= 1;
			noteOut(_room, displaced);
			return displaced;
		}

		std::optional<WaitingRequest> takeOfLine(WaitingLine& _line, const HasRoom& _hasRoom, Claim _claim)
		{
			std::vector<std::string> names = flowsInOrder(_line.queue);
			names.resize(std::min(names.size(), kMostAsked));
			for (const std::string& name : names)
			{
				if (_hasRoom(_line.queue.flows[name].items.front(), _claim))
				{
					return takeFirst(_line.queue, name);
				}
			}
			return std::nullopt;
		}

		/// The lines behind the one that was served are owed a part.
		void noteServed(WaitingRoom& _room, const Rank& _rank)
		{
			for (auto& [rank, line] : _room.lines)
			{
				if (_rank < rank && 0 < line.queue.queued)
				{
					line.owed = std::min(1.0, line.owed + kFloorShare);
				}
			}
		}

		std::optional<WaitingRequest> takeOwed(WaitingRoom& _room, const HasRoom& _hasRoom)
		{
			for (auto& [rank, line] : _room.lines)
			{
				if (0 == line.queue.queued || line.owed < 1.0)
				{
					continue;
				}
				std::optional<WaitingRequest> taken = takeOfLine(line, _hasRoom, Claim::First);
				if (taken)
				{
					line.owed = 0.0;
					return taken;
				}
			}
			return std::nullopt;
		}

		std::optional<WaitingRequest> takeMostUrgent(WaitingRoom& _room, const HasRoom& _hasRoom)
		{
			for (auto& [rank, line] : _room.lines)
			{
				std::optional<WaitingRequest> taken = takeOfLine(line, _hasRoom, Claim::Usual);
				if (taken)
				{
					noteServed(_room, rank);
					return taken;
				}
			}
			return std::nullopt;
		}
	} // namespace

	Rank rankOf(const WaitingRequest& _request)
	{
		return {_request.urgency, _request.overShare};
	}

	WaitingRequest noteArrival(WaitingRoom& _room, WaitingRequest _request, Millis _now)
	{
		_request.overShare = noteAsked(_room.shares[_request.urgency], _request.organisation, _now);
		noteEvent(_room.lines[rankOf(_request)].arrivals, kRateMs, _now);
		return _request;
	}

	std::vector<WaitingRequest> joinRoom(WaitingRoom& _room, const WaitingRequest& _request)
	{
		if (kMostBytes < _request.bytes)
		{
			return {_request}; // it would displace all others and still not fit
		}
		insertItem(_room.lines[rankOf(_request)].queue, _request.organisation, 1, _request, goesBefore);
		_room.number += 1;
		_room.bytes += _request.bytes;
		std::vector<WaitingRequest> displaced;
		while (0 < _room.number && (kMostWaiting < _room.number || kMostBytes < _room.bytes))
		{
			displaced.push_back(displaceOne(_room));
		}
		return displaced;
	}

	std::optional<WaitingRequest> takeNext(WaitingRoom& _room, const HasRoom& _hasRoom, Millis _now)
	{
		std::optional<WaitingRequest> taken = takeOwed(_room, _hasRoom);
		if (!taken)
		{
			taken = takeMostUrgent(_room, _hasRoom);
		}
		if (taken)
		{
			noteOut(_room, *taken);
			noteLetIn(_room, *taken, _now);
		}
		return taken;
	}

	void takeAnyway(WaitingRoom& _room, const WaitingRequest& _request, Millis _now)
	{
		leaveRoom(_room, _request);
		noteLetIn(_room, _request, _now);
	}

	void leaveRoom(WaitingRoom& _room, const WaitingRequest& _request)
	{
		WaitingLine& line = _room.lines[rankOf(_request)];
		const std::size_t before = line.queue.queued;
		eraseItems(line.queue, [&](const WaitingRequest& _waiting) {
			return _waiting.ticket == _request.ticket;
		});
		if (line.queue.queued < before)
		{
			noteOut(_room, _request);
		}
	}

	bool canExpectRoom(const WaitingRoom& _room, const WaitingRequest& _request, Millis _now)
	{
		const auto line = _room.lines.find(rankOf(_request));
		if (_room.lines.end() == line)
		{
			return true;
		}
		// An organisation waits for its own, and in turn with the others.
		const auto own = line->second.queue.flows.find(_request.organisation);
		const double ownBefore = line->second.queue.flows.end() == own ? 0.0 : double(std::count_if(own->second.items.begin(), own->second.items.end(), [&](const WaitingRequest& _waiting) {
			return _waiting.ticket < _request.ticket;
		}));
		const double inTurn = (ownBefore + 1.0) * double(std::max<std::size_t>(1, waitingFlows(line->second)));
		const double turn = std::min(inTurn, double(line->second.queue.queued));
		return turn <= eventsOfSpan(line->second.taken, kRateMs, _now) * double(_request.refuseAt - _now) / double(kRateMs);
	}

	double expectedBefore(const WaitingRoom& _room, const Rank& _rank, Millis _blindMs, std::uint32_t _gateways, Millis _now)
	{
		double expected = 0.0;
		for (const auto& [rank, line] : _room.lines)
		{
			expected += rank < _rank ? expectedOf(_room, rank, _blindMs, _gateways, _now) : 0.0;
		}
		// Arrivals of independent callers vary by the root of their number: five times in six it is enough.
		return expected + std::sqrt(expected);
	}

	double expectedOf(const WaitingRoom& _room, const Rank& _rank, Millis _withinMs, std::uint32_t _gateways, Millis _now)
	{
		const auto line = _room.lines.find(_rank);
		const double ofSpan = _room.lines.end() == line ? 0.0 : eventsOfSpan(line->second.arrivals, kRateMs, _now);
		return ofSpan * double(_withinMs) / double(kRateMs) * double(std::max<std::uint32_t>(1, _gateways));
	}

	bool nearlyAllGo(const WaitingRoom& _room, const Rank& _rank, Millis _now)
	{
		const auto line = _room.lines.find(_rank);
		if (_room.lines.end() == line)
		{
			return true;
		}
		return kNearlyAll * eventsOfSpan(line->second.arrivals, kRateMs, _now) <= eventsOfSpan(line->second.taken, kRateMs, _now) + kUndecided;
	}

	bool isHopeless(const WaitingRoom& _room, const WaitingRequest& _request, Millis _now)
	{
		if (_request.refuseAt <= _now)
		{
			return true;
		}
		const Rank rank = rankOf(_request);
		const bool backlog = Rank() < rank && 1 < waitingOf(_room, rank) && !nearlyAllGo(_room, rank, _now);
		const bool mayTell = _request.tellAt <= _now || backlog;
		return !_request.cameBack && mayTell && !canExpectRoom(_room, _request, _now);
	}

	std::size_t waitingOf(const WaitingRoom& _room, const Rank& _rank)
	{
		const auto line = _room.lines.find(_rank);
		return _room.lines.end() == line ? 0 : line->second.queue.queued;
	}
} // namespace archdyke
