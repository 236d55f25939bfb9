/// The soak of the programs for the users' platform: its judge notices each broken promise, and short
/// seeded runs keep them all.
#include <criterion/criterion.h>

#include "soak.h"

using namespace archdyke;
using namespace archdyke::lab;

namespace
{
	constexpr Millis kSentAt = 100'000;

	/// A deployment in which one request was answered whole.
	SoakRecord calm(SoakKind _kind)
	{
		SoakRecord record;
		record.heldKeys = {"key"};
		record.calls = {{"r1", _kind, "key", "gateway-0", kSentAt, kSentAt + 50, 200, true}};
		record.runs = {{"r1", "w0", kSentAt + 5}};
		return record;
	}

	int violationsOf(const SoakRecord& _record, const std::string& _kind)
	{
		const SoakViolations violations = judgeSoak(_record, SoakBounds());
		const auto found = violations.byKind.find(_kind);
		return violations.byKind.end() == found ? 0 : found->second;
	}

	void playSeed(std::uint64_t _seed, std::uint32_t _faults, std::uint32_t _series = 0)
	{
		ChaosOptions options;
		options.scene = Scene::Platform;
		options.seed = _seed;
		options.faults = _faults;
		options.series = _series;
		const SoakResult result = runSoak(options);
		std::string lines;
		for (const std::string& line : result.violations.lines)
		{
			lines += line + "\n";
		}
		cr_assert(lines.empty(), "seed %llu:\n%s", static_cast<unsigned long long>(_seed), lines.c_str());
		cr_assert(0 < result.statuses.at(200));
	}
} // namespace

Test(soakjudge, a_whole_answer_is_no_violation)
{
	cr_assert(0 == judgeSoak(calm(SoakKind::Once), SoakBounds()).total());
}

Test(soakjudge, an_answer_of_another_request_is_noticed)
{
	SoakRecord record = calm(SoakKind::Safe);
	record.calls[0].whole = false;
	cr_assert(1 == violationsOf(record, "answer_not_its_own"));
}

Test(soakjudge, a_second_run_and_a_false_promise_are_noticed)
{
	SoakRecord record = calm(SoakKind::Once);
	record.runs.push_back({"r1", "w1", kSentAt + 9});
	cr_assert(1 == violationsOf(record, "ran_twice"));
	record.calls[0].status = 503;
	cr_assert(1 == violationsOf(record, "ran_though_told_not_run"));
	record.calls[0].kind = SoakKind::Safe;
	cr_assert(0 == judgeSoak(record, SoakBounds()).total());
}

Test(soakjudge, keys_count_by_when_they_were_withdrawn)
{
	SoakRecord record = calm(SoakKind::Safe);
	record.withdrawnAt["key"] = kSentAt - 4'000;
	cr_assert(0 == violationsOf(record, "key_not_held"));
	record.withdrawnAt["key"] = kSentAt - 4'001;
	cr_assert(1 == violationsOf(record, "key_not_held"));
	record.withdrawnAt.clear();
	record.heldKeys.clear();
	cr_assert(1 == violationsOf(record, "key_not_held"));
}

Test(soakjudge, work_after_leaving_counts_while_the_gateway_is_in_touch)
{
	SoakRecord record = calm(SoakKind::Safe);
	record.leavingAt["w0"] = kSentAt + 5 - 2'000;
	cr_assert(0 == violationsOf(record, "work_after_leaving"));
	record.leavingAt["w0"] = kSentAt + 5 - 2'001;
	cr_assert(1 == violationsOf(record, "work_after_leaving"));
	record.spans = {{"sidecar-0", FaultKind::FreezeSidecar, kSentAt - 3'000, kSentAt + 100}};
	cr_assert(1 == violationsOf(record, "work_after_leaving"), "trouble of a sidecar excuses nothing");
	record.spans = {{"store", FaultKind::StoreBusy, kSentAt - 3'000, kSentAt - 1'500}};
	cr_assert(0 == violationsOf(record, "work_after_leaving"));
}

Test(soakjudge, a_cut_by_a_planned_stop_is_noticed)
{
	SoakRecord record = calm(SoakKind::Safe);
	record.calls[0].status = 0;
	record.spans = {{"gateway-0", FaultKind::StopGateway, kSentAt - 100, kSentAt + 3'000}};
	cr_assert(1 == violationsOf(record, "cut_by_a_planned_stop_or_nothing"));
	record.spans.push_back({"w0", FaultKind::KillWorker, kSentAt, kSentAt + 1'000});
	cr_assert(0 == violationsOf(record, "cut_by_a_planned_stop_or_nothing"));
}

Test(soakjudge, a_run_that_nobody_asked_for_is_noticed)
{
	SoakRecord record = calm(SoakKind::Safe);
	record.runs.push_back({"r2", "w0", kSentAt});
	cr_assert(1 == violationsOf(record, "ran_unasked"));
}

Test(soakjudge, more_than_what_is_under_way_in_a_time_that_was_asked_for_is_noticed)
{
	SoakRecord record = calm(SoakKind::Safe);
	record.refusals = {{"r1", "w0", kSentAt, 3'000}};
	record.calls.push_back({"r2", SoakKind::Safe, "key", "gateway-0", kSentAt + 600, kSentAt + 650, 200, true});
	record.runs.push_back({"r2", "w0", kSentAt + 620});
	cr_assert(1 == violationsOf(record, "work_in_back_off"));
	record.spans = {{"gateway-0", FaultKind::KillGateway, kSentAt + 100, kSentAt + 200}};
	cr_assert(0 == violationsOf(record, "work_in_back_off"), "another process, which was told nothing");
	record.spans = {{"gateway-1", FaultKind::KillGateway, kSentAt + 100, kSentAt + 200}};
	cr_assert(1 == violationsOf(record, "work_in_back_off"));
	record.spans = {{"gateway-0", FaultKind::HangUpGateway, kSentAt + 100, kSentAt + 200}};
	cr_assert(1 == violationsOf(record, "work_in_back_off"), "it goes on with what it was told");
	record.runs.back().at = kSentAt + 400;
	cr_assert(0 == violationsOf(record, "work_in_back_off"), "it was under way");
	record.runs.back().at = kSentAt + 620;
	record.calls.back().gateway = "gateway-1";
	cr_assert(0 == violationsOf(record, "work_in_back_off"), "it asked one gateway");
}

Test(soakjudge, work_after_an_upstreams_own_word_that_it_leaves_is_noticed)
{
	SoakRecord record = calm(SoakKind::Safe);
	record.runs.front().saidLeaving = true; // told at kSentAt + 50
	record.calls.push_back({"r2", SoakKind::Safe, "key", "gateway-0", kSentAt + 2'050, kSentAt + 2'100, 200, true});
	record.runs.push_back({"r2", "w0", kSentAt + 2'060});
	cr_assert(0 == violationsOf(record, "work_after_self_report"));
	record.calls.back().sentAt = kSentAt + 2'051;
	cr_assert(1 == violationsOf(record, "work_after_self_report"));
	record.spans = {{"store", FaultKind::StoreSilent, kSentAt, kSentAt + 3'000}};
	cr_assert(1 == violationsOf(record, "work_after_self_report"), "nobody needs the store for that");
	record.spans = {{"gateway-0", FaultKind::FreezeGateway, kSentAt + 100, kSentAt + 200}};
	cr_assert(0 == violationsOf(record, "work_after_self_report"));
}

Test(soakjudge, upstreams_that_end_after_three_are_noticed)
{
	SoakRecord record;
	record.heldKeys = {"key"};
	for (int call = 0; call < 7; ++call)
	{
		const std::string id = "x" + std::to_string(call);
		const Millis at = kSentAt + (call < 3 ? 0 : 3'001);
		record.calls.push_back({id, SoakKind::Crash, "key", "gateway-0", at, at + 50, 502, false, "/open/0?do=crash"});
		record.runs.push_back({id, "w" + std::to_string(call), at});
	}
	cr_assert(1 == violationsOf(record, "work_after_crashes"));
	record.spans = {{"gateway-0", FaultKind::FreezeGateway, kSentAt + 100, kSentAt + 200}};
	cr_assert(0 == violationsOf(record, "work_after_crashes"));
	record.spans.clear();
	record.runs.back().at -= 1;
	cr_assert(0 == violationsOf(record, "work_after_crashes"), "three are few");
}

Test(soak, a_short_seed_keeps_all_promises)
{
	playSeed(5, 10);
}

/// Seeds that failed once: 111, 114 and 218 reset all ways to upstreams; the judge's span of that began
/// after the resets, so that streams which broke in between seemed to break in calm.
Test(soak, a_seed_with_resets_keeps_all_promises)
{
	playSeed(218, 14);
}

/// Upstreams ask for time and say that they leave, gateways are hung up on, stopped and killed in series, the
/// configuration changes meanwhile.
Test(soak, series_of_words_signals_restarts_and_changes_keep_all_promises)
{
	playSeed(7, 8, 6);
}
