#include "archdyke/limits.h"

#include <algorithm>
#include <cmath>

namespace archdyke
{
	namespace
	{
		constexpr double kMsPerSecond = 1000.0;
	}

	RateLimit rateLimitPerEntry(const RateLimit& _limit, std::uint32_t _entries)
	{
		const double entries = double(std::max(1u, _entries));
		return {_limit.perSecond / entries, std::max(1.0, _limit.burst / entries)};
	}

	std::optional<Millis> takeToken(TokenBucket& _bucket, const RateLimit& _limit, Millis _now)
	{
		if (!_bucket.used)
		{
			_bucket = {_limit.burst, _now, true};
		}
		const double earned = double(std::max<Millis>(0, _now - _bucket.updatedAt)) * _limit.perSecond / kMsPerSecond;
		_bucket.tokens = std::min(_limit.burst, _bucket.tokens + earned);
		_bucket.updatedAt = std::max(_bucket.updatedAt, _now);
		if (1.0 <= _bucket.tokens)
		{
			_bucket.tokens -= 1.0;
			return std::nullopt;
		}
		return Millis(std::ceil((1.0 - _bucket.tokens) * kMsPerSecond / _limit.perSecond));
	}
} // namespace archdyke
