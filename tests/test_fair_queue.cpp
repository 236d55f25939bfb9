/// Fair order among flows; what the entries' queue adds to it is tested there.
#include <map>

#include "archdyke/fair_queue.h"
#include "check.h"

using namespace archdyke;

Test(fair_queue, flows_are_served_by_weight)
{
	FairQueue<int> queue;
	for (int item = 0; item < 90; ++item)
	{
		pushItem(queue, "heavy", 3, item);
		pushItem(queue, "light", 1, item);
	}
	std::map<std::string, int> taken;
	for (int turn = 0; turn < 80; ++turn)
	{
		const std::string next = nextFlow(queue);
		cr_assert(next == flowsInOrder(queue).front());
		takeFirst(queue, next);
		taken[next] += 1;
	}
	cr_assert(59 <= taken["heavy"] && taken["heavy"] <= 61, "heavy got %d of 80", taken["heavy"]);
	cr_assert(100 == queue.queued);
}

Test(fair_queue, a_flow_that_rested_has_saved_nothing)
{
	FairQueue<int> queue;
	for (int item = 0; item < 20; ++item)
	{
		pushItem(queue, "busy", 1, item);
	}
	for (int turn = 0; turn < 10; ++turn)
	{
		takeFirst(queue, nextFlow(queue));
	}
	for (int item = 0; item < 10; ++item)
	{
		pushItem(queue, "rested", 1, item);
	}
	std::map<std::string, int> taken;
	for (int turn = 0; turn < 10; ++turn)
	{
		const std::string next = nextFlow(queue);
		takeFirst(queue, next);
		taken[next] += 1;
	}
	cr_assert(4 <= taken["busy"] && taken["busy"] <= 6, "busy got %d of 10", taken["busy"]);
}

Test(fair_queue, items_of_a_flow_keep_their_order)
{
	FairQueue<int> queue;
	for (const int item : {5, 1, 4, 2, 3})
	{
		insertItem(queue, "one", 1, item, std::less<int>());
	}
	eraseItems(queue, [](int _item) {
		return 4 == _item;
	});
	for (const int item : {1, 2, 3, 5})
	{
		cr_assert(item == takeFirst(queue, nextFlow(queue)));
	}
	cr_assert(0 == queue.queued && queue.flows.size() <= 1);
}
