/// The queue before the engines under bursts and floods: many gateways, each with its own queue and a
/// view of the loads that is 150 ms old, before engines whose room is a number that drains.
#include <cmath>
#include <deque>
#include <map>

#include "archdyke/batch_admission.h"
#include "archdyke/room_share.h"
#include "archdyke/waiting_room.h"
#include "check.h"

using namespace archdyke;

namespace
{
	constexpr std::uint32_t kGateways = 36;
	constexpr double kEngines = 72.0;
	constexpr double kSlots = 720.0;
	constexpr Millis kNewsMs = 100;
	constexpr Millis kTickMs = 10;
	constexpr Millis kStreamMs = 2'000; ///< Mean; a quarter to seven quarters of it.
	constexpr double kPassMs = 70.0;

	/// Requests of one kind and organisation.
	struct Source
	{
		std::string organisation;
		std::uint32_t urgency = 0;
		Millis objectiveMs = 500;
		double perS = 0.0;
		double burstPerS = 0.0; ///< From second 10 to 17.
	};

	/// What became of a source's requests.
	struct Served
	{
		double asked = 0.0;
		double inTime = 0.0;
		double served = 0.0;

		double share() const
		{
			return this->inTime / std::max(1.0, this->asked);
		}
	};

	struct Caller
	{
		std::size_t source = 0;
		Millis arrivedAt = 0;
		WaitingRequest request;
		bool inTimeCounts = true;
	};

	struct Gateway
	{
		WaitingRoom room;
		std::map<std::uint64_t, Caller> callers;
		Millis newsAt = 0;
		std::map<Rank, RoomShare> shares;
		double sentSinceNews = 0.0;
	};

	EngineModel engine()
	{
		EngineModel model;
		model.slots = 10;
		model.stepMs = 6.0;
		model.perSequenceMs = 0.4;
		model.stride = 6;
		return model;
	}

	/// The load of some seconds, with or without the order of the waiting room.
	class Replay
	{
	public:
		Replay(std::vector<Source> _sources, bool _ordered, Millis _viewAgeMs = 150)
		    : sources(std::move(_sources))
		    , ordered(_ordered)
		    , viewAgeMs(_viewAgeMs)
		    , gateways(kGateways)
		    , result(this->sources.size())
		    , ends(std::size_t(kEndMs + kStreamMs * 8))
		{
		}

		std::vector<Served> run(Millis _blindFrom = kEndMs)
		{
			for (Millis now = 0; now < kEndMs; now += kTickMs)
			{
				this->running -= this->ends[std::size_t(now)];
				this->history.push_back(this->running);
				const Millis sight = std::min(now, _blindFrom) - this->viewAgeMs;
				this->seen = this->history[std::size_t(std::max<Millis>(0, sight / kTickMs))];
				this->arrive(now);
				for (Gateway& gateway : this->gateways)
				{
					this->look(gateway, now);
				}
			}
			return this->result;
		}

	private:
		static constexpr Millis kEndMs = 22'000;

		void arrive(Millis _now)
		{
			for (std::size_t index = 0; index < this->sources.size(); ++index)
			{
				const bool bursts = 10'000 <= _now && _now < 17'000;
				const double perTick = (bursts ? this->sources[index].burstPerS : this->sources[index].perS) * double(kTickMs) / 1'000.0;
				this->due[index] += perTick * (0.5 + double(randomBelow(this->random, 1'000)) / 1'000.0);
				for (; 1.0 <= this->due[index]; this->due[index] -= 1.0)
				{
					this->result[index].asked += 1.0;
					this->ask({index, _now, {}, true}, false, _now);
				}
			}
			while (!this->returning.empty() && this->returning.begin()->first <= _now)
			{
				Caller caller = this->returning.begin()->second;
				this->returning.erase(this->returning.begin());
				caller.arrivedAt = _now;
				this->ask(caller, true, _now);
			}
		}

		void ask(Caller _caller, bool _cameBack, Millis _now)
		{
			Gateway& gateway = this->gateways[randomBelow(this->random, kGateways)];
			const Source& source = this->sources[_caller.source];
			const Millis alike = longestWait(source.objectiveMs);
			const OrderedWait wait = this->ordered ? orderedWait(source.objectiveMs, kPassMs) : OrderedWait{alike, alike};
			_caller.request = {++this->tickets, source.urgency, source.organisation, false, _cameBack, _now + (_cameBack ? wait.longestMs : wait.tellMs), _now + wait.longestMs, 100};
			if (this->ordered)
			{
				_caller.request = noteArrival(gateway.room, _caller.request, _now);
			}
			else
			{
				_caller.request.urgency = 0;
				_caller.request.organisation = "";
			}
			gateway.callers[_caller.request.ticket] = _caller;
			cr_assert(joinRoom(gateway.room, _caller.request).empty());
		}

		bool hasRoom(Gateway& _gateway, const WaitingRequest& _request, Claim _claim, Millis _now)
		{
			const double load = std::max(0.0, this->seen + _gateway.sentSinceNews);
			const BatchView view{kPassMs, load / kEngines, kPassMs, kEngines, std::max(0.0, kSlots - load)};
			BatchRequest request{120, _request.cameBack && !(this->ordered && Rank() < rankOf(_request)), this->ordered && Claim::First != _claim && Rank() < rankOf(_request), 0.0};
			if (!request.yields || Claim::FreeSlots == _claim)
			{
				return mayEnter(engine(), view, request);
			}
			request.headroom = expectedBefore(_gateway.room, rankOf(_request), this->viewAgeMs + kNewsMs, kGateways, _now) * (_request.cameBack ? 0.5 : 1.0);
			const Rank rank = rankOf(_request);
			const Millis wait = orderedWait(this->objectiveOf(_gateway, _request), kPassMs).tellMs;
			RoomShare& share = _gateway.shares[rank];
			share.chance = chanceOfRoom({yieldingRoom(engine(), view, request), this->viewAgeMs, kNewsMs, expectedOf(_gateway.room, rank, 1, kGateways, _now), nearlyAllGo(_gateway.room, rank, _now) ? 0 : wait});
			countContenders(share, waitingOf(_gateway.room, rank), this->random);
			if (0 == share.left || !mayEnter(engine(), view, request))
			{
				return false;
			}
			takeOfShare(share);
			return true;
		}

		Millis objectiveOf(const Gateway& _gateway, const WaitingRequest& _request) const
		{
			return this->sources[_gateway.callers.at(_request.ticket).source].objectiveMs;
		}

		void look(Gateway& _gateway, Millis _now)
		{
			if (_gateway.newsAt + kNewsMs <= _now)
			{
				_gateway.newsAt = _now;
				_gateway.shares.clear();
				_gateway.sentSinceNews = 0.0;
			}
			const HasRoom test = [&](const WaitingRequest& _request, Claim _claim) {
				return this->hasRoom(_gateway, _request, _claim, _now);
			};
			for (std::optional<WaitingRequest> next = takeNext(_gateway.room, test, _now); next; next = takeNext(_gateway.room, test, _now))
			{
				this->send(_gateway, *next, _now);
			}
			this->expire(_gateway, _now);
		}

		void send(Gateway& _gateway, const WaitingRequest& _request, Millis _now)
		{
			const Caller caller = _gateway.callers.at(_request.ticket);
			_gateway.callers.erase(_request.ticket);
			_gateway.sentSinceNews += 1.0;
			// Beyond the slots it waits at its engine for a stream to end.
			const double queued = std::max(0.0, this->running + 1.0 - kSlots);
			const Millis engineWait = Millis(queued * double(kStreamMs) / kSlots);
			this->running += 1.0;
			const Millis lasts = kStreamMs / 4 + Millis(randomBelow(this->random, std::uint64_t(kStreamMs) * 3 / 2));
			this->ends[std::size_t(_now + engineWait + lasts) / kTickMs * kTickMs] += 1.0;
			const Millis first = _now - caller.arrivedAt + engineWait + Millis(2.0 * kPassMs);
			const double worth = caller.inTimeCounts ? 1.0 : 0.5;
			this->result[caller.source].inTime += first <= this->sources[caller.source].objectiveMs ? worth : 0.0;
			this->result[caller.source].served += 1.0;
		}

		void expire(Gateway& _gateway, Millis _now)
		{
			std::vector<WaitingRequest> over;
			for (const auto& [ticket, caller] : _gateway.callers)
			{
				if (isHopeless(_gateway.room, caller.request, _now))
				{
					over.push_back(caller.request);
				}
			}
			for (const WaitingRequest& request : over)
			{
				Caller caller = _gateway.callers.at(request.ticket);
				if (request.cameBack && this->ordered && !request.overShare && this->hasRoom(_gateway, request, Claim::FreeSlots, _now))
				{
					takeAnyway(_gateway.room, request, _now);
					this->send(_gateway, request, _now);
					continue;
				}
				leaveRoom(_gateway.room, request);
				_gateway.callers.erase(request.ticket);
				if (!request.cameBack)
				{
					caller.inTimeCounts = false;
					this->returning.emplace(_now + 1'000 + Millis(randomBelow(this->random, 1'600)), caller);
				}
			}
		}

		std::vector<Source> sources;
		bool ordered;
		Millis viewAgeMs;
		std::vector<Gateway> gateways;
		std::vector<Served> result;
		std::vector<double> ends; ///< Streams that end, by ms.
		std::vector<double> history;
		std::multimap<Millis, Caller> returning;
		std::map<std::size_t, double> due;
		double running = 0.0;
		double seen = 0.0;
		std::uint64_t tickets = 0;
		Random random{11};
	};

	std::vector<Source> threeKinds(double _liveBurst, double _batchBurst)
	{
		return {{"", 0, 400, 92.0, 92.0 * _liveBurst}, {"", 1, 400, 40.0, 40.0}, {"", 2, 1'000, 121.0, 121.0 * _batchBurst}};
	}
} // namespace

/// 2.4 times the least urgent kind for 7 s: 844 streams for 720 slots.
Test(waiting_replay, a_burst_of_the_least_urgent_leaves_the_urgent_alone)
{
	const std::vector<Served> calm = Replay(threeKinds(1.0, 1.0), true).run();
	const std::vector<Served> burst = Replay(threeKinds(1.0, 2.4), true).run();
	const std::vector<Served> unordered = Replay(threeKinds(1.0, 2.4), false).run();
	cr_assert(calm[0].share() - 0.05 <= burst[0].share(), "urgent in time: %.3f of %.3f", burst[0].share(), calm[0].share());
	cr_assert(calm[1].share() - 0.05 <= burst[1].share(), "less urgent in time: %.3f of %.3f", burst[1].share(), calm[1].share());
	cr_assert(unordered[0].share() < calm[0].share() - 0.05, "the load is none: %.3f", unordered[0].share());
	// The urgent leave slots for 0.79 of the least urgent while the burst lasts.
	cr_assert(0.7 < burst[2].share(), "least urgent in time: %.3f", burst[2].share());
	cr_assert(0.9 < burst[2].served / burst[2].asked, "least urgent served: %.3f", burst[2].served / burst[2].asked);
}

/// The same where engines tell loads of 200 ms before: the headroom grows with the age of the loads, so the
/// urgent keep theirs, and nobody behind them starves.
Test(waiting_replay, older_loads_cost_the_least_urgent)
{
	const std::vector<Served> calm = Replay(threeKinds(1.0, 1.0), true, 350).run();
	const std::vector<Served> burst = Replay(threeKinds(1.0, 2.4), true, 350).run();
	cr_assert(calm[0].share() - 0.05 <= burst[0].share(), "urgent in time: %.3f of %.3f", burst[0].share(), calm[0].share());
	cr_assert(0.85 < burst[1].share() && 0.85 < burst[2].served / burst[2].asked, "%.3f, %.3f", burst[1].share(), burst[2].served / burst[2].asked);
}

/// A burst of the urgent kind itself: it goes first, and nobody behind it starves.
Test(waiting_replay, a_burst_of_the_urgent_starves_nobody)
{
	const std::vector<Served> burst = Replay(threeKinds(4.0, 1.0), true).run();
	for (const Served& served : burst)
	{
		cr_assert(0.25 < served.served / served.asked, "served %.3f", served.served / served.asked);
	}
	cr_assert(burst[2].share() < burst[0].share() + 0.05 && burst[1].share() < burst[0].share() + 0.05);
}

/// One of twelve organisations sends 10 times its share for 7 s: the others keep theirs.
Test(waiting_replay, a_flood_of_one_organisation_costs_itself)
{
	std::vector<Source> sources;
	for (int index = 0; index < 12; ++index)
	{
		sources.push_back({"o" + std::to_string(index), 0, 500, 21.0, 0 == index ? 210.0 : 21.0});
	}
	const auto othersOf = [](const std::vector<Served>& _served) {
		double share = 0.0;
		for (std::size_t index = 1; index < _served.size(); ++index)
		{
			share += _served[index].share() / double(_served.size() - 1);
		}
		return share;
	};
	std::vector<Source> calm = sources;
	calm[0].burstPerS = 21.0;
	const std::vector<Served> ordered = Replay(sources, true).run();
	const double before = othersOf(Replay(calm, true).run());
	const double unordered = othersOf(Replay(sources, false).run());
	cr_assert(before - 0.05 <= othersOf(ordered), "others in time: %.3f of %.3f", othersOf(ordered), before);
	cr_assert(unordered < before - 0.05, "the load is none: %.3f", unordered);
	cr_assert(0.25 < ordered[0].served / ordered[0].asked, "the flood starves: %.3f", ordered[0].served / ordered[0].asked);
}

/// The loads aren't heard any more, 2 s into the burst: what was known stays in use, nobody stops.
Test(waiting_replay, without_sight_of_loads_the_order_stays)
{
	const std::vector<Served> blind = Replay(threeKinds(1.0, 2.4), true).run(12'000);
	cr_assert(blind[2].served / blind[2].asked <= blind[0].served / blind[0].asked + 0.05);
	cr_assert(blind[0].served / blind[0].asked > 0.9);
}
