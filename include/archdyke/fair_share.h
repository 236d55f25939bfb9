/// Which of an organisation's requests are beyond its share while there isn't room for all.
///
/// Answers the load of one organisation that floods, repeats at once or comes back before it was told
/// to. A queue that is fair among those that wait isn't enough: few wait at one gateway at a time, so
/// whoever sends most finds most of the room. What an organisation asks beyond its share (max-min fair:
/// what the others leave of theirs is shared again) is put behind the others'.
#pragma once

#include <absl/container/btree_map.h>
#include <string>

#include "archdyke/event_rate.h"

namespace archdyke
{
	/// What one organisation asked for lately.
	struct OrganisationUse
	{
		EventRate asked;
		EventRate within; ///< Of these, those that were within its share.

		bool operator==(const OrganisationUse&) const = default;
	};

	/// Requests of one urgency that asked for room at this gateway, by organisation.
	struct FairShares
	{
		absl::btree_map<std::string, OrganisationUse> organisations;
		EventRate taken; ///< Of all.
	};

	/// Takes in a request that asks for room.
	/// @returns Whether it is beyond its organisation's share. Never while nearly all are let in, nor of
	/// an organisation that asks for no more than the others do.
	bool noteAsked(FairShares& _shares, const std::string& _organisation, Millis _now);

	/// A request was let in.
	void noteTaken(FairShares& _shares, Millis _now);
} // namespace archdyke
