/// Random number generator that is passed to decisions; seeded, so that runs are reproducible.
#pragma once

#include <cstdint>
#include <random>

namespace archdyke
{
	using Random = std::mt19937_64;

	/// @returns A random number in [0, _bound); 0 when _bound is 0. The bias is below _bound / 2^64.
	inline std::uint64_t randomBelow(Random& _random, std::uint64_t _bound)
	{
		return 0 == _bound ? 0 : _random() % _bound;
	}
} // namespace archdyke
