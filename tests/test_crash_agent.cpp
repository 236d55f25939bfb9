/// Processes: entries and agents in front of services that a call crashes.
#include <httplib.h>
#include <sstream>

#include "base/address.h"
#include "office.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr std::size_t kCrashes = 3;
	constexpr Millis kRecoveryMs = 2'500; ///< Time until agents have detected that their services are reachable again.

	/// Sends a call that crashes services through the entries in turn.
	/// @returns Number of services that crashed.
	std::size_t sendCrashingCalls(lab::Office& _office, int _calls)
	{
		const lab::LoadOptions load = loadOptionsOf(_office);
		std::size_t crashed = 0;
		for (int call = 0; call < _calls; ++call)
		{
			lab::sendCall(load, lab::CallKind::Lookup, "crash-it", load.entries[std::size_t(call) % load.entries.size()], "alpha");
			lab::pauseMs(300);
			crashed += _office.restartStoppedStubs();
			lab::pauseMs(kRecoveryMs);
		}
		return crashed;
	}

	/// Restarts the services that crashed, and waits until entries and agents know of both.
	/// @returns Number of services that crashed.
	std::size_t recover(lab::Office& _office)
	{
		lab::pauseMs(300);
		const std::size_t crashed = _office.restartStoppedStubs();
		lab::pauseMs(kRecoveryMs);
		return crashed;
	}

	/// Sends a lookup through one entry.
	lab::CallRecord sendLookup(lab::Office& _office, const std::string& _token, std::size_t _entry)
	{
		return lab::sendCall(loadOptionsOf(_office), lab::CallKind::Lookup, _token, _office.entries()[_entry]->http, "alpha");
	}

	/// Sends a call through one entry until it has crashed several services.
	/// @returns Number of services that crashed.
	std::size_t crashThrough(lab::Office& _office, const std::string& _token, std::size_t _entry)
	{
		std::size_t crashed = 0;
		for (int call = 0; call < 3 && crashed < kCrashes; ++call)
		{
			sendLookup(_office, _token, _entry);
			crashed += recover(_office);
		}
		cr_assert(kCrashes <= crashed, "%zu crashed", crashed);
		return crashed;
	}

	/// @returns Sum of a daemon's metric over all labels.
	double metricOf(const lab::Daemon& _daemon, const std::string& _name)
	{
		const Address address = parseAddress(_daemon.admin);
		const httplib::Result result = httplib::Client(address.host, address.port).Get("/metrics");
		std::istringstream lines(result ? result->body : "");
		double sum = 0.0;
		for (std::string line; std::getline(lines, line);)
		{
			const bool matches = line.starts_with(_name + "{") || line.starts_with(_name + " ");
			sum += matches ? std::stod(line.substr(line.rfind(' '))) : 0.0;
		}
		return sum;
	}

	/// @returns Number of runs that entries have sent to agents.
	double dispatches(lab::Office& _office)
	{
		double sum = 0.0;
		for (const std::unique_ptr<lab::Daemon>& agent : _office.agents())
		{
			sum += metricOf(*agent, "archdyke_agent_runs_started_total") + metricOf(*agent, "archdyke_agent_runs_refused_total");
		}
		return sum;
	}

	/// Sends a call through each entry, and expects that it is refused at once, without asking an agent.
	void expectRefusedEverywhere(lab::Office& _office, const std::string& _token)
	{
		constexpr double kAtOnceS = 0.2; // in the entry: far less than a run of a service and its resend take
		constexpr const char* kSeconds = "archdyke_entry_request_seconds_sum";
		const int before = _office.runs()[_token];
		const double dispatchesBefore = dispatches(_office);
		for (std::size_t entry = 0; entry < _office.entries().size(); ++entry)
		{
			const double secondsBefore = metricOf(*_office.entries()[entry], kSeconds);
			const lab::CallRecord record = sendLookup(_office, _token, entry);
			const double seconds = metricOf(*_office.entries()[entry], kSeconds) - secondsBefore;
			cr_assert(503 == record.status && "crashes_upstreams" == record.reason, "entry %zu: status %d (%s)", entry, record.status, record.reason.c_str());
			cr_assert(1 == record.told.size() && Outcome::NotRun == record.told.front());
			cr_assert(seconds <= kAtOnceS, "refused after %f s", seconds);
		}
		cr_assert(dispatchesBefore == dispatches(_office), "an agent was asked");
		cr_assert(0 == _office.restartStoppedStubs(), "a service crashed");
		cr_assert(before == _office.runs()[_token]);
	}
} // namespace

/// Guards against a call that crashes one service after another. The call crashes each service that runs it, and its
/// caller retries it through both entries; each entry resends a repeatable call to the next agent, however many services
/// it crashed before.
Test(crashagent, a_call_that_ended_three_services_reaches_no_more)
{
	lab::Office office(smallOffice());
	makeReady(office);
	const std::size_t first = sendCrashingCalls(office, 3);
	cr_assert(kCrashes <= first, "%zu crashed", first);
	const std::size_t more = sendCrashingCalls(office, 4);
	cr_assert(0 == more, "%zu more services crashed after the first %zu", more, first);
}

/// Guards against entries that count crashes only for themselves.
Test(crashagent, a_call_that_crashed_services_through_one_entry_is_refused_by_all)
{
	lab::Office office(smallOffice(2));
	makeReady(office);
	crashThrough(office, "crash-one", 0);
	expectRefusedEverywhere(office, "crash-one");
}

/// Guards against an entry that forgets crashes when it restarts.
Test(crashagent, restarted_entries_refuse_a_call_that_crashed_services)
{
	lab::Office office(smallOffice());
	makeReady(office);
	crashThrough(office, "crash-again", 0);
	for (const std::unique_ptr<lab::Daemon>& entry : office.entries())
	{
		entry->process->kill();
		office.restart(*entry);
		cr_assert(office.waitReady());
	}
	expectRefusedEverywhere(office, "crash-again");
}

/// Guards against knowledge of crashes that spreads only from entry to entry.
Test(crashagent, entries_cut_off_from_each_other_refuse_a_call_that_crashed_services)
{
	lab::Office office(smallOffice(2));
	makeReady(office);
	office.cutZones("north", "south", true);
	for (int call = 0; call < 3; ++call) // each zone has one service
	{
		sendLookup(office, "crash-cut", 0);
		recover(office);
	}
	expectRefusedEverywhere(office, "crash-cut");
	office.cutZones("north", "south", false);
}

/// Guards against knowledge of crashes that spreads only through the platform: agents report them to all their entries.
Test(crashagent, entries_without_the_platform_refuse_a_call_that_crashed_services)
{
	lab::Office office(smallOffice(2));
	makeReady(office);
	office.platformFaults({{"outage", true}});
	crashThrough(office, "crash-out", 0);
	expectRefusedEverywhere(office, "crash-out");
	office.platformFaults({{"outage", false}});
}

/// Guards against entries that resend at the same time without knowing of each other's crashes.
Test(crashagent, calls_through_several_entries_at_once_crash_no_more_after_three)
{
	lab::Office office(smallOffice(2));
	makeReady(office);
	const lab::LoadOptions load = loadOptionsOf(office);
	std::size_t crashed = 0;
	for (int round = 0; round < 3 && crashed < kCrashes; ++round)
	{
		std::vector<std::future<lab::CallRecord>> calls;
		for (const std::string& entry : load.entries)
		{
			calls.push_back(sendCallAsync(load, lab::CallKind::Lookup, "crash-many", entry));
		}
		for (std::future<lab::CallRecord>& call : calls)
		{
			call.get();
		}
		crashed += recover(office);
	}
	cr_assert(kCrashes <= crashed, "%zu crashed", crashed);
	expectRefusedEverywhere(office, "crash-many");
}

/// Guards against refusing calls that only ran beside those that crashed the services.
Test(crashagent, a_call_that_ran_beside_crashing_ones_is_served)
{
	constexpr Millis kRunMs = 400;
	lab::Office office(smallOffice());
	makeReady(office);
	const lab::LoadOptions load = loadOptionsOf(office);
	for (std::size_t round = 0; round < kCrashes; ++round)
	{
		setShopDelay(office, kRunMs);
		std::future<lab::CallRecord> beside = sendCallAsync(load, lab::CallKind::Lookup, "beside", load.entries[0]);
		lab::pauseMs(kRunMs / 2);
		sendLookup(office, "crash-beside-" + std::to_string(round), 0);
		beside.get();
		cr_assert(0 < recover(office));
		const lab::CallRecord again = sendLookup(office, "beside", round % office.entries().size());
		cr_assert(again.whole, "round %zu: status %d (%s)", round, again.status, again.reason.c_str());
	}
}

/// Guards against taking a lost link for a crash: the service goes on.
Test(crashagent, a_call_whose_links_are_lost_is_not_held_for_a_crash)
{
	constexpr Millis kRunMs = 400;
	lab::Office office(smallOffice());
	makeReady(office);
	const lab::LoadOptions load = loadOptionsOf(office);
	setShopDelay(office, kRunMs);
	for (std::size_t round = 0; round <= kCrashes; ++round)
	{
		std::future<lab::CallRecord> call = sendCallAsync(load, lab::CallKind::Lookup, "linkless", load.entries[0]);
		cr_assert(waitForRuns(office, "linkless", 1));
		lab::pauseMs(kRunMs / 2);
		if (0 == round % 2)
		{
			setAgentLinkFaults(office, "north", {{"reset", true}});
		}
		else
		{
			for (const std::string name : {"shop-1", "shop-2"})
			{
				office.agent(name).process->kill();
				office.restart(office.agent(name));
			}
		}
		call.get();
		cr_assert(office.waitReady());
	}
	const lab::CallRecord last = sendLookup(office, "linkless", 0);
	cr_assert(last.whole, "status %d (%s)", last.status, last.reason.c_str());
	for (const std::unique_ptr<lab::Daemon>& entry : office.entries())
	{
		cr_assert(office.dump(*entry)["crashes"].empty());
	}
}

/// Guards against a refusal that hides that the call may have run.
Test(crashagent, a_refused_call_tells_whether_it_ran)
{
	lab::Office office(smallOffice());
	makeReady(office);
	sendLookup(office, "crash-told", 0);
	cr_assert(2 == recover(office), "each zone has one service");
	const lab::CallRecord ran = sendLookup(office, "crash-told", 0);
	cr_assert(502 == ran.status && "crashes_upstreams" == ran.reason, "status %d (%s)", ran.status, ran.reason.c_str());
	cr_assert(1 == ran.told.size() && Outcome::Ran == ran.told.front());
	cr_assert(1 == recover(office), "it was resent after the third service crashed");
	expectRefusedEverywhere(office, "crash-told");
}
