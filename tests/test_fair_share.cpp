/// Which requests are beyond their organisation's share.
#include <map>
#include <string>

#include "archdyke/fair_share.h"
#include "check.h"

using namespace archdyke;

namespace
{
	/// Organisations that ask at their own pace; of each ten requests some are let in.
	struct Asking
	{
		std::map<std::string, Millis> everyMs;
		int letInOfTen = 10;
	};

	std::map<std::string, double> overShares(const Asking& _asking)
	{
		FairShares shares;
		std::map<std::string, double> asked;
		std::map<std::string, double> over;
		int turn = 0;
		for (Millis now = 1; now < 30'000; ++now)
		{
			for (const auto& [name, every] : _asking.everyMs)
			{
				if (0 == now % every)
				{
					asked[name] += 1.0;
					over[name] += noteAsked(shares, name, now) ? 1.0 : 0.0;
					turn += 1;
					if (turn % 10 < _asking.letInOfTen)
					{
						noteTaken(shares, now);
					}
				}
			}
		}
		for (auto& [name, share] : over)
		{
			share /= asked[name];
		}
		return over;
	}
} // namespace

Test(fair_share, only_the_flood_is_over_its_share)
{
	std::map<std::string, double> over = overShares({{{"flood", 50}, {"a", 500}, {"b", 500}, {"c", 700}}, 6});
	cr_assert(0.4 < over["flood"] && over["flood"] < 0.7, "flood %.2f", over["flood"]);
	cr_assert(0.0 == over["a"] && 0.0 == over["b"] && 0.0 == over["c"]);
}

Test(fair_share, while_all_are_let_in_nobody_is)
{
	cr_assert(0.0 == overShares({{{"flood", 50}, {"a", 500}}, 10})["flood"]);
}

Test(fair_share, organisations_that_ask_alike_are_within)
{
	std::map<std::string, double> over = overShares({{{"a", 100}, {"b", 130}, {"c", 150}}, 5});
	cr_assert(0.0 == over["a"] && 0.0 == over["b"] && 0.0 == over["c"]);
}

Test(fair_share, a_single_caller_has_all_the_room)
{
	cr_assert(0.0 == overShares({{{"", 50}}, 5})[""]);
}
