/// Times of passes from the steps that are seen.
#include "archdyke/pass_times.h"
#include "check.h"

using namespace archdyke;

namespace
{
	/// Steps of some passes, each seen as it begins.
	PassTimes seenPasses(const std::vector<Millis>& _passes)
	{
		PassTimes times;
		Millis now = 1'000;
		noteStep(times, 1, 0, now);
		for (std::size_t pass = 0; pass < _passes.size(); ++pass)
		{
			now += _passes[pass];
			noteStep(times, 1, pass + 1, now);
		}
		return times;
	}
} // namespace

/// Each fifth pass reads prompts and takes 140 ms of an allowed 120; the mean of 76 ms doesn't show it.
Test(pass_times, what_makes_streams_late_shows)
{
	const PassTimes times = seenPasses({60, 60, 60, 60, 140, 60, 60, 60, 60, 140});
	cr_assert(140.0 == longPassMs(times));
}

Test(pass_times, one_long_pass_in_many_is_an_event_by_itself)
{
	const PassTimes times = seenPasses({50, 50, 50, 50, 50, 50, 400, 50, 50, 50, 50, 50});
	cr_assert(50.0 == longPassMs(times));
}

Test(pass_times, steps_that_nobody_saw_took_their_part)
{
	PassTimes times;
	noteStep(times, 1, 10, 1'000);
	noteStep(times, 1, 14, 1'200);
	noteStep(times, 1, 13, 1'210); // a slower rank tells an older step
	cr_assert(50.0 == longPassMs(times));
}

Test(pass_times, another_epoch_begins_anew)
{
	PassTimes times = seenPasses({60, 60});
	noteStep(times, 2, 3, 1'400);
	cr_assert(0.0 == longPassMs(times));
}

Test(pass_times, long_passes_of_a_second_ago_no_longer_count)
{
	std::vector<Millis> passes(3, 200);
	passes.insert(passes.end(), 30, 50);
	cr_assert(50.0 == longPassMs(seenPasses(passes)));
}
