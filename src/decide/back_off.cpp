#include "archdyke/back_off.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <cmath>

#include "archdyke/text.h"

namespace archdyke
{
	namespace
	{
		/// Longest time that is told apart, s: a year, so that it stays a number of ms.
		constexpr double kMostSeconds = 31'536'000.0;
		/// Longest time that is kept to, ms: one that asks for more is asked again each ten minutes, so that a
		/// slip in a header doesn't take an upstream away for good.
		constexpr Millis kLongestMs = 600'000;
	} // namespace

	std::optional<Millis> parseBackOff(std::string_view _seconds)
	{
		double seconds = 0.0;
		if (!absl::SimpleAtod(asAbsl(_seconds), &seconds) || !(0.0 <= seconds))
		{
			return std::nullopt;
		}
		return Millis(std::ceil(std::min(seconds, kMostSeconds) * 1'000.0));
	}

	bool noteBackOff(BackOff& _backOff, Millis _askedMs, Millis _now)
	{
		const bool begins = _backOff.until <= _now;
		_backOff.until = std::max(_backOff.until, _now + std::clamp<Millis>(_askedMs, 0, kLongestMs));
		return begins;
	}

	Millis backOffLeftMs(const BackOff& _backOff, Millis _now)
	{
		return std::max<Millis>(0, _backOff.until - _now);
	}
} // namespace archdyke
