/// The queue of a gateway before the engines of a service: who goes next when there is room.
///
/// Answers the load of a burst in which one kind of request, or one organisation, brings a multiple of
/// what the engines do in time. What waits in an engine can't be put behind any more, so it waits here:
/// by urgency, within one urgency what is beyond an organisation's share last, fair among organisations,
/// within one organisation those that were refused before first, then by the time at which they would be
/// told to come back.
#pragma once

#include <absl/container/btree_map.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "archdyke/event_rate.h"
#include "archdyke/fair_queue.h"
#include "archdyke/fair_share.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// A request that asks for room.
	struct WaitingRequest
	{
		std::uint64_t ticket = 0;  ///< Unique in its room.
		std::uint32_t urgency = 0; ///< 0 goes first.
		std::string organisation;  ///< Empty: none.
		bool overShare = false;    ///< Beyond its organisation's share: behind others of its urgency.
		bool cameBack = false;     ///< It was refused before: to refuse it again loses its caller.
		Millis tellAt = 0;         ///< When it is told to come back unless it can expect room.
		Millis refuseAt = 0;       ///< When it is told so in any case.
		std::size_t bytes = 0;     ///< That it holds while it waits.

		bool operator==(const WaitingRequest&) const = default;
	};

	/// The place of requests in the order of service; the least goes first.
	struct Rank
	{
		std::uint32_t urgency = 0;
		bool overShare = false;

		auto operator<=>(const Rank&) const = default;
	};

	/// The requests of one rank.
	struct WaitingLine
	{
		FairQueue<WaitingRequest> queue; ///< Flows are organisations.
		EventRate arrivals;
		EventRate taken;
		double owed = 0.0; ///< Requests that may go before other ranks.
	};

	/// All that wait for one service.
	struct WaitingRoom
	{
		absl::btree_map<Rank, WaitingLine> lines;
		absl::btree_map<std::uint32_t, FairShares> shares; ///< By urgency.
		std::size_t number = 0;
		std::size_t bytes = 0;
	};

	/// What a request may take.
	enum class Claim
	{
		Usual,     ///< What its rank leaves to those before it stays free.
		FreeSlots, ///< Any slot that is free: it is to be refused a second time, or late, otherwise.
		First,     ///< What the most urgent may take: its rank was passed over for long.
		Count
	};

	/// Says whether a request may go now.
	using HasRoom = std::function<bool(const WaitingRequest&, Claim)>;

	/// @returns Where a request stands.
	Rank rankOf(const WaitingRequest& _request);

	/// Takes in that a request asks for room.
	/// @returns It, with whether it is over its organisation's share.
	WaitingRequest noteArrival(WaitingRoom& _room, WaitingRequest _request, Millis _now);

	/// Lets a request wait.
	/// @returns Those that have no place then: of the last rank, the newest of the organisation that holds
	/// most. It may be the request itself.
	std::vector<WaitingRequest> joinRoom(WaitingRoom& _room, const WaitingRequest& _request);

	/// Takes out the request that goes next: first one of a rank that was passed over for long, then
	/// the first rank for which there is room.
	std::optional<WaitingRequest> takeNext(WaitingRoom& _room, const HasRoom& _hasRoom, Millis _now);

	/// Takes out a request that goes whether or not there is room for its rank.
	void takeAnyway(WaitingRoom& _room, const WaitingRequest& _request, Millis _now);

	/// Takes a request out, if it is there.
	void leaveRoom(WaitingRoom& _room, const WaitingRequest& _request);

	/// @returns Whether a request that waits can expect to go before it is too late for it, by how many of
	/// its rank went in the last moments and are before it.
	bool canExpectRoom(const WaitingRoom& _room, const WaitingRequest& _request, Millis _now);

	/// @returns Whether a request is to be told to come back now: it is too late for it, or the time to tell
	/// it has come and it can't expect room, or others of its rank wait with it, and some
	/// were told already. One that came back is told only when it is too late.
	bool isHopeless(const WaitingRoom& _room, const WaitingRequest& _request, Millis _now);

	/// @returns Requests of ranks before this one that all gateways together may get while none of them
	/// hears what the others sent; what a less urgent one leaves free (trunk reservation).
	/// @param[in] _blindMs From the moment that the loads are of until the next are heard.
	/// @param[in] _gateways That get alike many requests.
	double expectedBefore(const WaitingRoom& _room, const Rank& _rank, Millis _blindMs, std::uint32_t _gateways, Millis _now);

	/// @returns Requests of this rank that ask for room at all gateways within a time.
	double expectedOf(const WaitingRoom& _room, const Rank& _rank, Millis _withinMs, std::uint32_t _gateways, Millis _now);

	/// @returns Whether nearly all requests of this rank are let in.
	bool nearlyAllGo(const WaitingRoom& _room, const Rank& _rank, Millis _now);

	/// @returns Requests of this rank that wait here.
	std::size_t waitingOf(const WaitingRoom& _room, const Rank& _rank);
} // namespace archdyke
