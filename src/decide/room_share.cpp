#include "archdyke/room_share.h"

#include <algorithm>

namespace archdyke
{
	double chanceOfRoom(const SeenRoom& _seen)
	{
		const double next = double(std::max<Millis>(1, _seen.nextMs));
		const double asking = _seen.perMs * (double(_seen.ageMs) + next) * (1.0 + double(_seen.waitMs) / next);
		return std::clamp(_seen.room / std::max(1.0, asking), 0.0, 1.0);
	}

	void countContenders(RoomShare& _share, std::size_t _waiting, Random& _random)
	{
		constexpr std::uint64_t kDraws = 1'000'000;
		for (; _share.counted < _share.taken + _waiting; ++_share.counted)
		{
			_share.left += double(randomBelow(_random, kDraws)) < _share.chance * double(kDraws) ? 1 : 0;
		}
	}

	void takeOfShare(RoomShare& _share)
	{
		_share.taken += 1;
		_share.left -= std::min<std::uint32_t>(1, _share.left);
	}
} // namespace archdyke
