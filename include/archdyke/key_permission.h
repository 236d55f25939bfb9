/// Whether a caller's key permits a request, and whether its organisation may be named to an upstream.
///
/// A key is as good as the proof that the configuration which has it is the newest: on an older proof the key may have been
/// withdrawn, or moved to another organisation.
#pragma once

#include <optional>

#include "archdyke/types.h"

namespace archdyke
{
	/// What is known about a key at one moment.
	struct KeyCheck
	{
		bool isPublic = false;            ///< The route needs no key.
		bool isKnown = false;             ///< The configuration held here has the key.
		bool proofRequired = true;        ///< Routes that need a key are refused without a young proof.
		std::optional<Millis> proofAgeMs; ///< Of the configuration held here; none before the first proof.
		Millis maxProofAgeMs = 0;

		bool operator==(const KeyCheck&) const = default;
	};

	enum class KeyPermission
	{
		Named,      ///< The request may run in the name of the key's organisation.
		Anonymous,  ///< It may run, but in nobody's name.
		StaleProof, ///< It needs a key, and no key can be verified now.
		UnknownKey, ///< It needs a key, and the configuration doesn't have this one.
		Count
	};

	/// @returns What a key permits. On a public route nothing depends on the key but the name, which therefore always needs a
	/// young proof.
	KeyPermission judgeKey(const KeyCheck& _check);
} // namespace archdyke
