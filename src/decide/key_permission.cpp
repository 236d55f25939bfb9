#include "archdyke/key_permission.h"

namespace archdyke
{
	KeyPermission judgeKey(const KeyCheck& _check)
	{
		const bool isProved = _check.proofAgeMs && *_check.proofAgeMs < _check.maxProofAgeMs;
		if (_check.isPublic)
		{
			return _check.isKnown && isProved ? KeyPermission::Named : KeyPermission::Anonymous;
		}
		if (_check.proofRequired && !isProved)
		{
			return KeyPermission::StaleProof;
		}
		return _check.isKnown ? KeyPermission::Named : KeyPermission::UnknownKey;
	}
} // namespace archdyke
