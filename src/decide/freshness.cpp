#include "archdyke/freshness.h"

#include <algorithm>

namespace archdyke
{
	void noteClock(Freshness& _freshness, Millis _sentAt, Millis _storeTime)
	{
		const Millis seen = _sentAt - _storeTime;
		_freshness.offset = std::max(_freshness.offset.value_or(seen), seen);
	}

	void noteProof(Freshness& _freshness, Millis _sentAt, std::optional<Millis> _storeTime)
	{
		Millis made = _sentAt;
		if (_storeTime)
		{
			noteClock(_freshness, _sentAt, *_storeTime);
			made = *_storeTime + *_freshness.offset;
		}
		_freshness.provenAt = std::max(_freshness.provenAt.value_or(made), made);
	}

	std::optional<Millis> ownTimeOf(const Freshness& _freshness, Millis _storeTime)
	{
		return _freshness.offset ? std::optional(_storeTime + *_freshness.offset) : std::nullopt;
	}

	void noteToldProof(Freshness& _freshness, Millis _storeTime)
	{
		const std::optional<Millis> made = ownTimeOf(_freshness, _storeTime);
		if (made)
		{
			_freshness.provenAt = std::max(_freshness.provenAt.value_or(*made), *made);
		}
	}

	std::optional<Millis> proofAge(const Freshness& _freshness, Millis _now)
	{
		return _freshness.provenAt ? std::optional(_now - *_freshness.provenAt) : std::nullopt;
	}
} // namespace archdyke
