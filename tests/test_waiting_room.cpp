/// The queue before the engines: its order, its floors and its bounds.
#include "archdyke/waiting_room.h"
#include "check.h"

using namespace archdyke;

namespace
{
	constexpr std::uint32_t kGateways = 36;
} // namespace

Test(waiting_room, within_an_urgency_who_came_back_goes_first)
{
	WaitingRoom room;
	joinRoom(room, {1, 1, "a", false, false, 100, 100, 1});
	joinRoom(room, {2, 1, "a", false, true, 900, 900, 1});
	joinRoom(room, {3, 0, "a", false, false, 500, 500, 1});
	joinRoom(room, {4, 1, "a", true, true, 50, 50, 1});
	const HasRoom any = [](const WaitingRequest&, Claim) {
		return true;
	};
	for (const std::uint64_t ticket : {3, 2, 1, 4})
	{
		cr_assert(ticket == takeNext(room, any, 0)->ticket);
	}
	cr_assert(!takeNext(room, any, 0) && 0 == room.number && 0 == room.bytes);
}

Test(waiting_room, one_in_twenty_goes_to_whoever_is_always_passed_over)
{
	WaitingRoom room;
	joinRoom(room, {1, 2, "", false, false, 100, 100, 1});
	int before = 0;
	for (std::uint64_t ticket = 2; ticket < 100; ++ticket)
	{
		joinRoom(room, {ticket, 0, "", false, false, 100, 100, 1});
		const std::optional<WaitingRequest> taken = takeNext(
		    room, [](const WaitingRequest& _request, Claim _claim) {
			    return 0 == _request.urgency || Claim::First == _claim;
		    },
		    0);
		if (1 == taken->ticket)
		{
			break;
		}
		before += 1;
	}
	cr_assert(19 <= before && before <= 21, "after %d", before);
}

Test(waiting_room, a_full_room_loses_the_newest_of_the_largest_of_the_last_rank)
{
	WaitingRoom room;
	std::uint64_t ticket = 0;
	joinRoom(room, {++ticket, 1, "small", false, false, 100, 100, 1});
	for (int index = 0; index < 255; ++index)
	{
		cr_assert(joinRoom(room, {++ticket, 1, "large", false, false, 100, 100, 1}).empty());
	}
	const std::vector<WaitingRequest> displaced = joinRoom(room, {++ticket, 0, "small", false, false, 100, 100, 1});
	cr_assert(1 == displaced.size() && 256 == displaced.front().ticket);
	const std::vector<WaitingRequest> itself = joinRoom(room, {++ticket, 3, "small", false, false, 100, 100, 1});
	cr_assert(1 == itself.size() && ticket == itself.front().ticket);
	const std::vector<WaitingRequest> large = joinRoom(room, {++ticket, 0, "small", false, false, 100, 100, std::size_t(17) << 20});
	cr_assert(1 == large.size() && ticket == large.front().ticket && 256 == room.number, "a body that doesn't fit at all displaces nobody");
}

Test(waiting_room, what_cannot_go_in_time_is_told_at_once)
{
	WaitingRoom room;
	const HasRoom any = [](const WaitingRequest&, Claim) {
		return true;
	};
	for (Millis now = 0; now < 4'000; now += 200)
	{
		joinRoom(room, noteArrival(room, {std::uint64_t(now), 1, "", false, false, now + 200, now + 200, 1}, now));
		takeNext(room, any, now);
	}
	const WaitingRequest next{9'003, 1, "", false, false, 4'000, 4'260, 1};
	joinRoom(room, next);
	cr_assert(canExpectRoom(room, next, 4'000), "five go a second");
	joinRoom(room, {9'001, 1, "", false, false, 4'000, 4'100, 1});
	joinRoom(room, {9'002, 1, "", false, false, 4'000, 4'100, 1});
	cr_assert(!canExpectRoom(room, next, 4'000), "two are before it");
	cr_assert(canExpectRoom(room, {9'004, 2, "", false, false, 4'000, 4'210, 1}, 4'000), "of this rank none has asked");
}

Test(waiting_room, headroom_grows_with_the_age_of_the_loads)
{
	WaitingRoom room;
	for (Millis now = 0; now < 10'000; now += 400)
	{
		joinRoom(room, noteArrival(room, {std::uint64_t(now + 1), 0, "", false, false, now, now, 1}, now));
	}
	const double usual = expectedBefore(room, {2, false}, 150, kGateways, 10'000);
	cr_assert(9.0 < usual && usual < 19.0, "%.1f for 13.5 expected", usual);
	cr_assert(1.5 * usual < expectedBefore(room, {2, false}, 300, kGateways, 10'000));
	cr_assert(0.0 == expectedBefore(room, {0, false}, 150, kGateways, 10'000));
}
