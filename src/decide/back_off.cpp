#include "archdyke/back_off.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <cmath>

#include "archdyke/text.h"

namespace archdyke
{
	namespace
	{
		/// A year; larger values are clamped so that they don't overflow as ms.
		constexpr double kMaxParsedSeconds = 31'536'000.0;
		/// Longest back-off that is honoured: an upstream that requests more is tried again every ten minutes, so
		/// that a wrong header doesn't exclude it for good.
		constexpr Millis kMaxBackOffMs = 600'000;
	} // namespace

	std::optional<Millis> parseRetryAfter(std::string_view _seconds)
	{
		double seconds = 0.0;
		if (!absl::SimpleAtod(asAbsl(_seconds), &seconds) || !(0.0 <= seconds))
		{
			return std::nullopt;
		}
		return Millis(std::ceil(std::min(seconds, kMaxParsedSeconds) * 1'000.0));
	}

	bool recordBackOff(BackOff& _backOff, Millis _askedMs, Millis _now)
	{
		const bool isNew = _backOff.until <= _now;
		_backOff.until = std::max(_backOff.until, _now + std::clamp<Millis>(_askedMs, 0, kMaxBackOffMs));
		return isNew;
	}

	Millis remainingBackOffMs(const BackOff& _backOff, Millis _now)
	{
		return std::max<Millis>(0, _backOff.until - _now);
	}
} // namespace archdyke
