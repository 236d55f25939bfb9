/// A non-repeatable request runs at most once: claims of keys when an entry is killed or
/// paused, and when the platform is down, slow or loses responses.
#include "office.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	lab::CallRecord sendNotRepeatable(lab::Office& _office, const std::string& _token, std::size_t _entry)
	{
		return lab::sendCall(loadOptionsOf(_office), lab::CallKind::NotRepeatable, _token, _office.entries()[_entry]->http, "alpha");
	}

	void expectOutcome(const lab::CallRecord& _record, int _status, Outcome _outcome)
	{
		cr_assert(_status == _record.status, "status %d (%s), not %d", _record.status, _record.reason.c_str(), _status);
		cr_assert(1 == _record.told.size() && _outcome == _record.told.front());
	}
} // namespace

Test(once, the_same_key_through_two_entries_runs_once)
{
	lab::Office office(smallOffice());
	makeReady(office);
	const lab::LoadOptions load = loadOptionsOf(office);
	setShopDelay(office, 50);
	for (int round = 0; round < 10; ++round)
	{
		const std::string token = "twice" + std::to_string(round);
		std::future<lab::CallRecord> first = sendCallAsync(load, lab::CallKind::NotRepeatable, token, load.entries[0]);
		std::future<lab::CallRecord> second = sendCallAsync(load, lab::CallKind::NotRepeatable, token, load.entries[1]);
		const int whole = (first.get().whole ? 1 : 0) + (second.get().whole ? 1 : 0);
		cr_assert(1 == whole, "%d callers got a complete response", whole);
		cr_assert(1 == office.runs()[token]);
	}
}

Test(once, a_key_that_ran_is_told_so)
{
	lab::Office office(smallOffice());
	makeReady(office);
	cr_assert(sendNotRepeatable(office, "done", 0).whole);
	cr_assert(lab::waitUntil(5'000, [&] {
		return 409 == sendNotRepeatable(office, "done", 1).status && Outcome::Ran == sendNotRepeatable(office, "done", 1).told.front();
	}));
	cr_assert(1 == office.runs()["done"]);
}

Test(once, an_entry_killed_after_its_claim_leaves_the_key_in_doubt)
{
	lab::Office office(smallOffice());
	makeReady(office);
	setShopDelay(office, 800);
	const lab::LoadOptions load = loadOptionsOf(office);
	std::future<lab::CallRecord> first = sendCallAsync(load, lab::CallKind::NotRepeatable, "dead", load.entries[0]);
	cr_assert(waitForRuns(office, "dead", 1));
	office.entries()[0]->process->kill();
	first.get();
	expectOutcome(sendNotRepeatable(office, "dead", 1), 409, Outcome::Unknown);
	cr_assert(1 == office.runs()["dead"]);
}

Test(once, a_paused_entry_does_not_run_it_again)
{
	lab::Office office(smallOffice());
	makeReady(office);
	setShopDelay(office, 400);
	const lab::LoadOptions load = loadOptionsOf(office);
	std::future<lab::CallRecord> first = sendCallAsync(load, lab::CallKind::NotRepeatable, "paused", load.entries[0]);
	lab::pauseMs(2);
	office.entries()[0]->process->signal(SIGSTOP);
	const lab::CallRecord second = sendNotRepeatable(office, "paused", 1);
	office.entries()[0]->process->signal(SIGCONT);
	const lab::CallRecord resumed = first.get();
	cr_assert(1 >= office.runs()["paused"]);
	cr_assert(!(second.whole && resumed.whole));
}

Test(once, store_down_is_told_as_not_run_and_the_key_stays_free)
{
	lab::Office office(smallOffice());
	makeReady(office);
	office.platformFaults({{"outage", true}});
	const lab::CallRecord refused = sendNotRepeatable(office, "down", 0);
	expectOutcome(refused, 503, Outcome::NotRun);
	cr_assert(0 == office.runs()["down"]);
	cr_assert(lab::sendCall(loadOptionsOf(office), lab::CallKind::Lookup, "lookup", office.entries()[0]->http, "alpha").whole, "a zone without its platform stopped serving");
	office.platformFaults({{"outage", false}});
	cr_assert(lab::waitUntil(10'000, [&] {
		          return sendNotRepeatable(office, "down", 0).whole;
	          }),
	          "the key was not released");
	cr_assert(1 == office.runs()["down"]);
}

Test(once, a_claim_whose_answer_is_lost_is_settled)
{
	lab::Office office(smallOffice());
	makeReady(office);
	office.platformFaults({{"loseAnswers", 1}});
	const lab::CallRecord record = sendNotRepeatable(office, "lost", 0);
	cr_assert(record.whole, "status %d (%s)", record.status, record.reason.c_str());
	cr_assert(1 == office.runs()["lost"]);
}

Test(once, a_claim_that_lands_after_the_refusal_is_given_back)
{
	lab::Office office(smallOffice());
	makeReady(office);
	// The write takes effect long after the claim has timed out.
	office.platformFaults({{"delayMs", 2'500}});
	expectOutcome(sendNotRepeatable(office, "late", 0), 503, Outcome::NotRun);
	office.platformFaults({{"delayMs", 0}});
	cr_assert(lab::waitUntil(15'000, [&] {
		          return sendNotRepeatable(office, "late", 1).whole;
	          }),
	          "the key was not released");
	cr_assert(1 == office.runs()["late"]);
}

Test(once, a_slow_store_only_slows)
{
	lab::Office office(smallOffice());
	makeReady(office);
	office.platformFaults({{"delayMs", 200}});
	lab::LoadOptions load = loadOptionsOf(office);
	load.perSecond = 60;
	load.requests = 60;
	const lab::LoadResult result = lab::runLoad(load);
	expectNoViolation(lab::judge(result, office.runs()));
	cr_assert(lab::summarizeLoad(result).calls == lab::summarizeLoad(result).whole);
}
