/// Configuration versions never decrease and are accepted only when all zones have confirmed them.
#include "archdyke/acceptance.h"
#include "check.h"

using namespace archdyke;

Test(acceptance, zone_confirms_only_when_all_its_entries_hold_it)
{
	const ConfigMark staged{4, "d"};
	const HeldConfig held{{3, "c"}, staged};
	cr_assert(mayConfirmStaged(held, {}, staged));
	cr_assert(mayConfirmStaged(held, {{"p", {3, "c"}, staged}}, staged));
	cr_assert(!mayConfirmStaged(held, {{"p", {3, "c"}, {}}}, staged));
	cr_assert(!mayConfirmStaged({{3, "c"}, {}}, {}, staged));
}

Test(acceptance, confirmations_of_another_apply_do_not_count)
{
	const StageRow stage{{4, "d"}, "nonce"};
	const AcceptanceStatus view = checkAcceptance(stage, {"a", "b", "c"}, {{"a", {4, "d"}, "nonce"}, {"b", {4, "d"}, "old"}, {"c", {4, "x"}, "nonce"}});
	cr_assert((std::vector<std::string>{"b", "c"}) == view.missing);
}

Test(acceptance, lost_head_update_is_resolved_by_the_row)
{
	const StageRow stage{{4, "d"}, "mine"};
	cr_assert(!resolveHeadUpdate(stage, std::nullopt));
	cr_assert(ApplyEnd::Accepted == resolveHeadUpdate(stage, "mine"));
	cr_assert(ApplyEnd::Conflict == resolveHeadUpdate(stage, "other"));
}

Test(acceptance, head_is_the_highest_version_received)
{
	tests::checkProperty("held configuration against a maximum", [] {
		HeldConfig held;
		std::uint64_t highest = 0;
		const int steps = *rc::gen::inRange(1, 40);
		for (int index = 0; index < steps; ++index)
		{
			const std::uint64_t version = *rc::gen::inRange<std::uint64_t>(1, 10);
			const ConfigMark mark{version, "d" + std::to_string(version)};
			if (*rc::gen::arbitrary<bool>())
			{
				RC_ASSERT(adoptHead(held, mark) == (version > highest));
				highest = std::max(highest, version);
			}
			else
			{
				recordStaged(held, mark);
			}
			RC_ASSERT(held.head.version == highest);
			RC_ASSERT(0u == held.staged.version || held.staged.version > highest);
		}
	});
}
