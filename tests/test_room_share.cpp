/// Room that many gateways see at the same time.
#include "archdyke/room_share.h"
#include "check.h"

using namespace archdyke;

/// Room for 25 is seen by 36 gateways with 93 requests, again with each news until it shows who went.
Test(room_share, all_gateways_together_take_the_room_once)
{
	Random random(5);
	double went = 0.0;
	for (int round = 0; round < 200; ++round)
	{
		for (int gateway = 0; gateway < 36; ++gateway)
		{
			RoomShare share;
			share.chance = chanceOfRoom({25.0, 150, 100, 0.29, 220});
			countContenders(share, std::size_t(gateway % 3 + (gateway < 21 ? 2 : 1)), random);
			went += share.left;
		}
	}
	// 10 of them until the next news, of 93 contenders: the rest when it shows that these went.
	cr_assert(9.0 < went / 200.0 && went / 200.0 < 11.0, "%.1f", went / 200.0);
}

Test(room_share, where_there_is_room_for_all_everybody_goes)
{
	Random random(5);
	RoomShare share;
	share.chance = chanceOfRoom({30.0, 150, 100, 0.12, 0});
	countContenders(share, 3, random);
	cr_assert(3 == share.left);
	takeOfShare(share);
	countContenders(share, 2, random);
	cr_assert(2 == share.left, "the two that stay have had their chance");
	countContenders(share, 4, random);
	cr_assert(4 == share.left);
}

Test(room_share, without_room_nobody_goes)
{
	Random random(5);
	RoomShare share;
	share.chance = chanceOfRoom({-20.0, 150, 100, 0.12, 0});
	countContenders(share, 50, random);
	cr_assert(0 == share.left);
}
