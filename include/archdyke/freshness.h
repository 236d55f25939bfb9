/// How old the proof is that the configuration held is the newest one.
///
/// The store stamps its answers with a steady clock of its own. An answer can stay on its
/// way for long, so what counts is when the store made it, told conservatively on this
/// process's clock: the store's clock is at least as far ahead as any call shows that was
/// sent before the store handled it.
#pragma once

#include <optional>

#include "archdyke/types.h"

namespace archdyke
{
	/// What is known of the store's clock and of the newest proof.
	struct Freshness
	{
		std::optional<Millis> offset;   ///< Least value of own clock less the store's.
		std::optional<Millis> provenAt; ///< Own clock: the configuration was the newest then.

		bool operator==(const Freshness&) const = default;
	};

	/// Takes in what an answer of the store tells of its clock.
	/// @param[in] _sentAt Own clock when the call was sent.
	void noteClock(Freshness& _freshness, Millis _sentAt, Millis _storeTime);

	/// Takes in an answer that shows the newest configuration.
	/// @param[in] _sentAt Own clock when the call was sent.
	/// @param[in] _storeTime The store's clock when it answered; none when it didn't say.
	void noteProof(Freshness& _freshness, Millis _sentAt, std::optional<Millis> _storeTime);

	/// @returns Own clock, conservatively, at a moment of the store's; none before the first call.
	std::optional<Millis> ownTimeOf(const Freshness& _freshness, Millis _storeTime);

	/// Takes in a proof of the held configuration that another process got from the store.
	/// @param[in] _storeTime The store's clock when it answered that process.
	void noteToldProof(Freshness& _freshness, Millis _storeTime);

	/// @returns Age of the proof, ms; none before the first one.
	std::optional<Millis> proofAge(const Freshness& _freshness, Millis _now);
} // namespace archdyke
