/// The crashes that an entry knows: from its own runs, from agents and from the platform's table.
// Included before Criterion, whose macros break the hash headers.
#include "base/crash_rows.h"
#include "base/process.h"
#include "entry/crash_record.h"

#include <criterion/criterion.h>

using namespace archdyke;

namespace
{
	struct Entry
	{
		Metrics metrics;
		CrashRecord record{this->metrics};
	};

	const Crash kFirst{"r", "a.0"};
	const Crash kSecond{"r", "b.0"};
	const Crash kThird{"r", "c.0"};
} // namespace

Test(crashrecord, three_crashes_from_three_sources_refuse_the_request)
{
	Entry entry;
	entry.record.recordOwn(kFirst);
	entry.record.recordReported({kSecond, kSecond, kFirst});
	cr_assert(!entry.record.refusalMs({"r"}) && entry.record.refused().empty());
	entry.record.applyRows({kThird}, 1, nowMs());
	cr_assert(entry.record.refusalMs({"r"}).has_value() && !entry.record.refusalMs({"s"}));
	cr_assert(1 == entry.record.refused().size() && "r" == entry.record.refused().front().request);
}

Test(crashrecord, own_crashes_are_published_before_a_resend)
{
	Entry entry;
	entry.record.recordOwn(kFirst);
	cr_assert(!entry.record.waitUntilPublished({"r"}, nowMs() + 10), "nobody has written it");
	cr_assert(entry.record.waitUntilPublished({"s"}, nowMs() + 10));
	const CrashChanges changes = entry.record.takeChanges();
	cr_assert(std::vector<Crash>{kFirst} == changes.put && changes.remove.empty());
	entry.record.returnChanges(changes);
	cr_assert(std::vector<Crash>{kFirst} == entry.record.takeChanges().put, "a failed write is repeated");
	entry.record.recordWritten(changes, {kFirst, kSecond, kThird});
	cr_assert(entry.record.waitUntilPublished({"r"}, nowMs() + 10));
	cr_assert(entry.record.refusalMs({"r"}).has_value(), "the write shows what other entries have written");
	cr_assert(entry.record.takeChanges().put.empty());
}

Test(crashrecord, a_completed_run_clears_the_request_for_all_entries)
{
	Entry entry;
	entry.record.applyRows({kFirst, kSecond}, 1, nowMs());
	entry.record.recordCompletion({"r"});
	cr_assert(entry.record.views().empty());
	cr_assert((std::vector<Crash>{kFirst, kSecond} == entry.record.takeChanges().remove));
	entry.record.recordReported({kFirst});
	entry.record.applyRows({kFirst, kSecond}, 2, nowMs());
	cr_assert(entry.record.views().empty(), "a report and rows from before the removal count again");
	entry.record.recordOwn(kThird);
	cr_assert(entry.record.views().empty(), "a request that completed recently is blamed");
}

Test(crashrecord, rows_that_are_gone_no_longer_count)
{
	Entry entry;
	entry.record.applyRows({kFirst, kSecond, kThird}, 1, nowMs());
	entry.record.recordReported({{"s", "a.0"}});
	cr_assert(entry.record.needsRows(2, nowMs()) && !entry.record.needsRows(1, nowMs()));
	entry.record.applyRows({kFirst}, 2, nowMs() + 1);
	cr_assert(!entry.record.refusalMs({"r"}));
	cr_assert(2 == entry.record.views().size(), "what an agent reports may not be in the table yet");
}

Test(crashrecord, a_row_that_was_written_after_the_read_began_stays_known)
{
	Entry entry;
	const Millis readAt = nowMs() - 1'000;
	entry.record.recordOwn(kFirst);
	entry.record.recordWritten(entry.record.takeChanges(), {kFirst});
	entry.record.applyRows({}, 1, readAt);
	cr_assert(1 == entry.record.views().size());
}

Test(crashrecord, rows_are_read_again_in_time_to_notice_expired_ones)
{
	Entry entry;
	entry.record.applyRows({kFirst}, 1, nowMs());
	cr_assert(!entry.record.needsRows(1, nowMs()) && entry.record.needsRows(1, nowMs() + 60'000));
	Entry empty;
	empty.record.applyRows({}, 1, nowMs());
	cr_assert(!empty.record.needsRows(1, nowMs() + 60'000), "without crashes only a changed mark needs a read");
}

Test(crashrecord, keys_of_rows_can_be_read)
{
	cr_assert(readCrashKey(crashKey(kFirst)) == kFirst);
	for (const char* key : {"crash/", "crash/r", "crash/r/", "crash//a", "claim/r/a", ""})
	{
		cr_assert(!readCrashKey(key), "%s", key);
	}
}

/// Guards against a message that crashes upstreams in calls of which no two are alike.
Test(crashrecord, calls_that_share_a_message_under_which_upstreams_ended_are_refused)
{
	Entry entry;
	for (int call = 0; call < 3; ++call)
	{
		entry.record.recordOwn({"call" + std::to_string(call), "a." + std::to_string(call)});
		entry.record.recordOwn({"bad", "a." + std::to_string(call)});
	}
	cr_assert(entry.record.refusalMs({"another", "bad"}).has_value() && !entry.record.refusalMs({"another", "good"}));
	cr_assert((std::vector<RefusedRequest>{{"bad", entry.record.refused().front().remainingMs}} == entry.record.refused()));
	entry.record.recordCompletion({"another", "bad"});
	cr_assert(!entry.record.refusalMs({"another", "bad"}));
}
