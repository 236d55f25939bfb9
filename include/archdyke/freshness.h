/// Age of the proof that the configuration held by this process is the newest one.
///
/// The store adds the time of its own steady clock to its responses. A response can be delayed, so
/// its age counts from when the store made it, converted to the local clock conservatively: a call
/// is sent before the store handles it, so each call gives a lower bound of the clock offset.
#pragma once

#include <optional>

#include "archdyke/types.h"

namespace archdyke
{
	/// Offset of the store's clock and time of the newest proof.
	struct Freshness
	{
		std::optional<Millis> offset;   ///< Lower bound of the local clock minus the store's clock, ms.
		std::optional<Millis> provenAt; ///< Local clock: when the configuration was the newest.

		bool operator==(const Freshness&) const = default;
	};

	/// Updates the clock offset from a response of the store.
	/// @param[in] _sentAt Local clock when the call was sent.
	void recordStoreClock(Freshness& _freshness, Millis _sentAt, Millis _storeTime);

	/// Records a response of the store that shows the newest configuration.
	/// @param[in] _sentAt Local clock when the call was sent.
	/// @param[in] _storeTime The store's clock when it responded; none if it didn't report it.
	void recordProof(Freshness& _freshness, Millis _sentAt, std::optional<Millis> _storeTime);

	/// @returns The store's time converted to the local clock, conservatively; none before the first call.
	std::optional<Millis> toLocalTime(const Freshness& _freshness, Millis _storeTime);

	/// Records a proof of the held configuration that another process got from the store and relayed.
	/// @param[in] _storeTime The store's clock when it responded to that process.
	void recordRelayedProof(Freshness& _freshness, Millis _storeTime);

	/// @returns Age of the proof, ms; none before the first one.
	std::optional<Millis> proofAge(const Freshness& _freshness, Millis _now);
} // namespace archdyke
