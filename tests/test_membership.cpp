/// A report from any source that an incarnation is leaving is permanent.
#include "archdyke/membership.h"
#include "check.h"

using namespace archdyke;

Test(membership, leaving_from_any_source_wins)
{
	Member member;
	applyLinkState(member, true);
	applyAgentState(member, 5, false);
	cr_assert(mayReceiveWork(member));
	applyListState(member, ListState::Leaving);
	cr_assert(!mayReceiveWork(member));
	applyListState(member, ListState::Live);
	cr_assert(!mayReceiveWork(member), "a list that lags took the leaving back");
	applyAgentState(member, 6, false);
	cr_assert(mayReceiveWork(member));
}

/// Reference model: remembers all reports.
Test(membership, matches_a_model_that_remembers_all_reports)
{
	tests::checkProperty("member against full memory", [] {
		Member member;
		std::uint64_t current = 0;
		std::vector<std::uint64_t> left;
		ListState list = ListState::Live;
		bool up = false;
		const int steps = *rc::gen::inRange(1, 30);
		for (int index = 0; index < steps; ++index)
		{
			switch (*rc::gen::inRange(0, 3))
			{
			case 0:
				list = ListState(*rc::gen::inRange(0, int(ListState::Count)));
				applyListState(member, list);
				if (ListState::Live != list)
				{
					left.push_back(current);
				}
				break;
			case 1:
			{
				// Incarnations only increase here: no report of an old one follows one of a new one.
				current += *rc::gen::inRange<std::uint64_t>(0, 2);
				current = 0 == current ? 1 : current;
				const bool leaving = *rc::gen::arbitrary<bool>();
				applyAgentState(member, current, leaving);
				if (leaving)
				{
					left.push_back(current);
				}
				break;
			}
			default:
				up = *rc::gen::arbitrary<bool>();
				applyLinkState(member, up);
			}
			const bool gone = left.end() != std::find(left.begin(), left.end(), current);
			RC_ASSERT(mayReceiveWork(member) == (up && ListState::Live == list && 0 != current && !gone));
		}
	});
}
