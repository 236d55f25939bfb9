#include "archdyke/freshness.h"

#include <algorithm>

namespace archdyke
{
	void recordStoreClock(Freshness& _freshness, Millis _sentAt, Millis _storeTime)
	{
		const Millis minOffset = _sentAt - _storeTime;
		_freshness.offset = std::max(_freshness.offset.value_or(minOffset), minOffset);
	}

	void recordProof(Freshness& _freshness, Millis _sentAt, std::optional<Millis> _storeTime)
	{
		Millis madeAt = _sentAt;
		if (_storeTime)
		{
			recordStoreClock(_freshness, _sentAt, *_storeTime);
			madeAt = *_storeTime + *_freshness.offset;
		}
		_freshness.provenAt = std::max(_freshness.provenAt.value_or(madeAt), madeAt);
	}

	std::optional<Millis> toLocalTime(const Freshness& _freshness, Millis _storeTime)
	{
		return _freshness.offset ? std::optional(_storeTime + *_freshness.offset) : std::nullopt;
	}

	void recordRelayedProof(Freshness& _freshness, Millis _storeTime)
	{
		const std::optional<Millis> madeAt = toLocalTime(_freshness, _storeTime);
		if (madeAt)
		{
			_freshness.provenAt = std::max(_freshness.provenAt.value_or(*madeAt), *madeAt);
		}
	}

	std::optional<Millis> proofAge(const Freshness& _freshness, Millis _now)
	{
		return _freshness.provenAt ? std::optional(_now - *_freshness.provenAt) : std::nullopt;
	}
} // namespace archdyke
