/// What one gateway takes of room that all gateways see at the same time, some time later.
///
/// Answers the load of a queue at each of many gateways: when news come that there is room for ten, all
/// of them would send what they have waiting. Here each of their requests has the same chance, so that
/// about ten go, whichever gateways they wait at and however few wait at each.
#pragma once

#include <cstdint>

#include "archdyke/random.h"
#include "archdyke/types.h"

namespace archdyke
{
	/// Room of a group for requests of one rank.
	struct SeenRoom
	{
		double room = 0.0;
		Millis ageMs = 0;   ///< Since it was so.
		Millis nextMs = 0;  ///< Until the next is seen.
		double perMs = 0.0; ///< Requests that come to ask for it, at all gateways.
		Millis waitMs = 0;  ///< How long they wait if they find none; 0 while nearly all find some.

		bool operator==(const SeenRoom&) const = default;
	};

	/// What this gateway may still take of it.
	struct RoomShare
	{
		Millis newsAt = 0;         ///< When the room was so, own clock.
		double chance = 0.0;       ///< Of one request.
		std::uint32_t counted = 0; ///< Requests that had their chance.
		std::uint32_t taken = 0;
		std::uint32_t left = 0;

		bool operator==(const RoomShare&) const = default;
	};

	/// @returns Chance of each request with each news. Until it shows that room was taken it is seen again
	/// with each news: all that ask for it in that time share it, those that wait as often as they see it.
	double chanceOfRoom(const SeenRoom& _seen);

	/// Gives their chance to requests that haven't had it.
	/// @param[in] _waiting Requests that wait here now.
	void countContenders(RoomShare& _share, std::size_t _waiting, Random& _random);

	/// One of them was let in.
	void takeOfShare(RoomShare& _share);
} // namespace archdyke
