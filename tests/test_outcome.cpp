/// Tests with real processes that a request reported as not run did not run, by the records of the stubs.
#include "archdyke/random.h"
#include "office.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Sends several non-repeatable calls through one entry.
	std::vector<std::future<lab::CallRecord>> sendNotRepeatable(lab::Office& _office, const std::string& _prefix, int _count)
	{
		const lab::LoadOptions load = loadOptionsOf(_office);
		std::vector<std::future<lab::CallRecord>> calls;
		for (int index = 0; index < _count; ++index)
		{
			calls.push_back(sendCallAsync(load, lab::CallKind::NotRepeatable, _prefix + std::to_string(index), load.entries.front()));
		}
		return calls;
	}

	lab::LoadResult collectResults(std::vector<std::future<lab::CallRecord>>& _calls)
	{
		lab::LoadResult result;
		for (std::future<lab::CallRecord>& call : _calls)
		{
			result.calls.push_back(call.get());
		}
		return result;
	}

	int countOutcome(const lab::LoadResult& _result, Outcome _outcome)
	{
		return int(std::count_if(_result.calls.begin(), _result.calls.end(), [&](const lab::CallRecord& _call) {
			return !_call.told.empty() && _outcome == _call.told.back();
		}));
	}

	bool waitForLostLink(lab::Office& _office)
	{
		return lab::waitUntil(5'000, [&] {
			return std::string::npos != _office.entries().front()->process->log().find("event=agent_link_lost");
		});
	}
} // namespace

Test(outcome, a_dispatch_held_back_is_taken_back_and_never_runs)
{
	lab::Office office(smallOffice());
	makeReady(office);
	setAgentLinkFaults(office, "north", {{"cutToTarget", true}});
	std::vector<std::future<lab::CallRecord>> calls = sendNotRepeatable(office, "held", 6);
	cr_assert(waitForLostLink(office));
	// Old and new connections are released together: the delayed dispatches race the revokes.
	setAgentLinkFaults(office, "north", {{"cutToTarget", false}});
	const lab::LoadResult result = collectResults(calls);
	cr_assert(office.waitReady());
	expectNoViolation(lab::judge(result, office.runs()));
}

Test(outcome, a_late_copy_on_an_old_connection_never_runs)
{
	lab::Office office(smallOffice());
	makeReady(office);
	setAgentLinkFaults(office, "north", {{"holdExisting", true}});
	std::vector<std::future<lab::CallRecord>> calls = sendNotRepeatable(office, "old", 6);
	const lab::LoadResult result = collectResults(calls);
	cr_assert(waitForLostLink(office));
	const std::map<std::string, int> before = office.runs();
	// The dispatches on the old connections arrive now, long after their outcome was reported.
	setAgentLinkFaults(office, "north", {{"holdExisting", false}});
	cr_assert(office.waitReady());
	lab::pauseMs(500);
	cr_assert(before == office.runs(), "a delayed dispatch ran");
	expectNoViolation(lab::judge(result, office.runs()));
	cr_assert(0 == countOutcome(result, Outcome::Unknown), "%d of 6 reported as unknown", countOutcome(result, Outcome::Unknown));
}

Test(outcome, a_lost_verdict_is_never_told_as_not_run)
{
	lab::Office office(smallOffice());
	makeReady(office);
	setAgentLinkFaults(office, "north", {{"cutToClient", true}});
	std::vector<std::future<lab::CallRecord>> calls = sendNotRepeatable(office, "lost", 4);
	for (int index = 0; index < 4; ++index)
	{
		cr_assert(waitForRuns(office, "lost" + std::to_string(index), 1));
	}
	const lab::LoadResult result = collectResults(calls);
	cr_assert(4 == countOutcome(result, Outcome::Unknown), "%d of 4 reported as unknown", countOutcome(result, Outcome::Unknown));
	expectNoViolation(lab::judge(result, office.runs()));
}

Test(outcome, a_queued_run_of_a_cut_entry_is_proved_not_run)
{
	lab::OfficeOptions options = smallOffice();
	options.serviceSlots = 1;
	lab::Office office(options);
	makeReady(office);
	setShopDelay(office, 1'500);
	std::vector<std::future<lab::CallRecord>> calls = sendNotRepeatable(office, "queue", 6);
	cr_assert(lab::waitUntil(5'000, [&] {
		return 2 <= office.dump(office.agent("shop-1"))["queued"].get<int>() || 2 <= office.dump(office.agent("shop-2"))["queued"].get<int>();
	}));
	setAgentLinkFaults(office, "north", {{"reset", true}});
	const lab::LoadResult result = collectResults(calls);
	cr_assert(lab::waitUntil(10'000, [&] {
		return 0 == office.dump(office.agent("shop-1"))["unfinished"].get<int>() && 0 == office.dump(office.agent("shop-2"))["unfinished"].get<int>();
	}));
	expectNoViolation(lab::judge(result, office.runs()));
}

Test(outcome, frozen_and_killed_agents_are_never_told_as_not_run)
{
	lab::Office office(smallOffice());
	makeReady(office);
	setShopDelay(office, 300);
	std::vector<std::future<lab::CallRecord>> calls = sendNotRepeatable(office, "frozen", 6);
	cr_assert(waitForRuns(office, "frozen0", 1));
	office.agent("shop-1").process->signal(SIGSTOP);
	office.agent("shop-2").process->signal(SIGSTOP);
	std::vector<std::future<lab::CallRecord>> late = sendNotRepeatable(office, "late", 4);
	const lab::LoadResult first = collectResults(calls);
	const lab::LoadResult second = collectResults(late);
	office.agent("shop-1").process->signal(SIGCONT);
	office.agent("shop-2").process->kill();
	cr_assert(lab::waitUntil(10'000, [&] {
		return 0 == office.dump(office.agent("shop-1"))["unfinished"].get<int>();
	}));
	expectNoViolation(lab::judge(first, office.runs()));
	expectNoViolation(lab::judge(second, office.runs()));
}

Test(outcome, an_unreachable_upstream_is_told_as_not_run)
{
	lab::Office office(smallOffice());
	makeReady(office);
	const lab::LoadOptions load = loadOptionsOf(office);
	// Only the stubs of the service are killed; the agents keep running.
	for (const lab::UpstreamStub& stub : office.stubs())
	{
		if ("shop" == stub.service)
		{
			office.killStub(stub.name);
		}
	}
	const lab::CallRecord record = lab::sendCall(load, lab::CallKind::NotRepeatable, "nobody", load.entries.front(), "alpha");
	cr_assert(1 == record.told.size() && Outcome::NotRun == record.told.front());
	cr_assert(503 == record.status);
}

/// Injects random faults at random moments, so that they meet runs in different states.
Test(outcome, seeded_faults_at_random_moments)
{
	lab::Office office(smallOffice());
	makeReady(office);
	Random random(2026);
	setShopDelay(office, 60);
	for (int round = 0; round < 8; ++round)
	{
		std::vector<std::future<lab::CallRecord>> calls = sendNotRepeatable(office, "round" + std::to_string(round) + "-", 8);
		lab::pauseMs(Millis(randomBelow(random, 80)));
		switch (randomBelow(random, 4))
		{
		case 0:
			setAgentLinkFaults(office, "north", {{"reset", true}});
			break;
		case 1:
			setAgentLinkFaults(office, "north", {{"cutToTarget", true}});
			break;
		case 2:
			setAgentLinkFaults(office, "north", {{"cutToClient", true}});
			break;
		default:
			office.agent("shop-1").process->signal(SIGSTOP);
		}
		lab::pauseMs(Millis(randomBelow(random, 1'600)));
		setAgentLinkFaults(office, "north", {{"cutToTarget", false}, {"cutToClient", false}});
		office.agent("shop-1").process->signal(SIGCONT);
		const lab::LoadResult result = collectResults(calls);
		cr_assert(office.waitReady());
		expectNoViolation(lab::judge(result, office.runs()));
	}
}
