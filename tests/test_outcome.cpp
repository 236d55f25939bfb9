/// "Not run" means that it did not run: real processes, the stand-ins' records judge.
#include "archdyke/random.h"
#include "office.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Sends several calls that may not be repeated through one entry.
	std::vector<std::future<lab::CallRecord>> sendSome(lab::Office& _office, const std::string& _prefix, int _count)
	{
		const lab::LoadOptions load = loadOn(_office);
		std::vector<std::future<lab::CallRecord>> calls;
		for (int index = 0; index < _count; ++index)
		{
			calls.push_back(callLater(load, lab::CallKind::NotRepeatable, _prefix + std::to_string(index), load.entries.front()));
		}
		return calls;
	}

	lab::LoadResult gather(std::vector<std::future<lab::CallRecord>>& _calls)
	{
		lab::LoadResult result;
		for (std::future<lab::CallRecord>& call : _calls)
		{
			result.calls.push_back(call.get());
		}
		return result;
	}

	int countTold(const lab::LoadResult& _result, Outcome _outcome)
	{
		return int(std::count_if(_result.calls.begin(), _result.calls.end(), [&](const lab::CallRecord& _call) {
			return !_call.told.empty() && _outcome == _call.told.back();
		}));
	}

	bool linkLost(lab::Office& _office)
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
	faultAgents(office, "north", {{"cutToTarget", true}});
	std::vector<std::future<lab::CallRecord>> calls = sendSome(office, "held", 6);
	cr_assert(linkLost(office));
	// Old and new connections are let loose together: the late copies race the revokes.
	faultAgents(office, "north", {{"cutToTarget", false}});
	const lab::LoadResult result = gather(calls);
	cr_assert(office.waitReady());
	expectNoViolation(lab::judge(result, office.runs()));
}

Test(outcome, a_late_copy_on_an_old_connection_never_runs)
{
	lab::Office office(smallOffice());
	makeReady(office);
	faultAgents(office, "north", {{"holdExisting", true}});
	std::vector<std::future<lab::CallRecord>> calls = sendSome(office, "old", 6);
	const lab::LoadResult result = gather(calls);
	cr_assert(linkLost(office));
	const std::map<std::string, int> before = office.runs();
	// The dispatches on the old connections arrive now, long after their fate was told.
	faultAgents(office, "north", {{"holdExisting", false}});
	cr_assert(office.waitReady());
	lab::pauseMs(500);
	cr_assert(before == office.runs(), "a late copy ran");
	expectNoViolation(lab::judge(result, office.runs()));
	cr_assert(0 == countTold(result, Outcome::Unknown), "%d of 6 told unknown", countTold(result, Outcome::Unknown));
}

Test(outcome, a_lost_verdict_is_never_told_as_not_run)
{
	lab::Office office(smallOffice());
	makeReady(office);
	faultAgents(office, "north", {{"cutToClient", true}});
	std::vector<std::future<lab::CallRecord>> calls = sendSome(office, "lost", 4);
	for (int index = 0; index < 4; ++index)
	{
		cr_assert(waitForRuns(office, "lost" + std::to_string(index), 1));
	}
	const lab::LoadResult result = gather(calls);
	cr_assert(4 == countTold(result, Outcome::Unknown), "%d of 4 told unknown", countTold(result, Outcome::Unknown));
	expectNoViolation(lab::judge(result, office.runs()));
}

Test(outcome, a_queued_run_of_a_cut_entry_is_proved_not_run)
{
	lab::OfficeOptions options = smallOffice();
	options.serviceSlots = 1;
	lab::Office office(options);
	makeReady(office);
	slowServices(office, 1'500);
	std::vector<std::future<lab::CallRecord>> calls = sendSome(office, "queue", 6);
	cr_assert(lab::waitUntil(5'000, [&] {
		return 2 <= office.dump(office.agent("shop-1"))["queued"].get<int>() || 2 <= office.dump(office.agent("shop-2"))["queued"].get<int>();
	}));
	faultAgents(office, "north", {{"reset", true}});
	const lab::LoadResult result = gather(calls);
	cr_assert(lab::waitUntil(10'000, [&] {
		return 0 == office.dump(office.agent("shop-1"))["unfinished"].get<int>() && 0 == office.dump(office.agent("shop-2"))["unfinished"].get<int>();
	}));
	expectNoViolation(lab::judge(result, office.runs()));
}

Test(outcome, frozen_and_killed_agents_are_never_told_as_not_run)
{
	lab::Office office(smallOffice());
	makeReady(office);
	slowServices(office, 300);
	std::vector<std::future<lab::CallRecord>> calls = sendSome(office, "frozen", 6);
	cr_assert(waitForRuns(office, "frozen0", 1));
	office.agent("shop-1").process->signal(SIGSTOP);
	office.agent("shop-2").process->signal(SIGSTOP);
	std::vector<std::future<lab::CallRecord>> late = sendSome(office, "late", 4);
	const lab::LoadResult first = gather(calls);
	const lab::LoadResult second = gather(late);
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
	const lab::LoadOptions load = loadOn(office);
	// The stand-ins of the service die; the agents live.
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

/// Each state of a run meets each fault at a random moment.
Test(outcome, seeded_faults_at_random_moments)
{
	lab::Office office(smallOffice());
	makeReady(office);
	Random random(2026);
	slowServices(office, 60);
	for (int round = 0; round < 8; ++round)
	{
		std::vector<std::future<lab::CallRecord>> calls = sendSome(office, "round" + std::to_string(round) + "-", 8);
		lab::pauseMs(Millis(randomBelow(random, 80)));
		switch (randomBelow(random, 4))
		{
		case 0:
			faultAgents(office, "north", {{"reset", true}});
			break;
		case 1:
			faultAgents(office, "north", {{"cutToTarget", true}});
			break;
		case 2:
			faultAgents(office, "north", {{"cutToClient", true}});
			break;
		default:
			office.agent("shop-1").process->signal(SIGSTOP);
		}
		lab::pauseMs(Millis(randomBelow(random, 1'600)));
		faultAgents(office, "north", {{"cutToTarget", false}, {"cutToClient", false}});
		office.agent("shop-1").process->signal(SIGCONT);
		const lab::LoadResult result = gather(calls);
		cr_assert(office.waitReady());
		expectNoViolation(lab::judge(result, office.runs()));
	}
}
