/// A leaving upstream gets no new requests, and a planned stop interrupts no request.
#include <algorithm>
#include <thread>

#include "office.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Sends _calls requests.
	/// @returns Number of requests by the upstream that ran them.
	std::map<std::string, int> countRunsByUpstream(lab::Office& _office, std::uint32_t _calls)
	{
		lab::LoadOptions load = loadOptionsOf(_office);
		load.requests = _calls;
		load.perSecond = 200;
		std::map<std::string, int> count;
		for (const lab::CallRecord& call : lab::runLoad(load).calls)
		{
			count[call.upstream] += 1;
		}
		return count;
	}

	lab::LoadResult loadWhile(lab::Office& _office, const std::function<void()>& _do)
	{
		lab::LoadOptions load = loadOptionsOf(_office);
		load.requests = 500;
		load.perSecond = 150;
		load.tokens = 60;
		lab::LoadResult result;
		std::thread thread([&] {
			result = lab::runLoad(load);
		});
		const bool busy = lab::waitUntil(10'000, [&] {
			return 80 <= _office.runs().size();
		});
		cr_assert(busy, "the load did not reach 80 runs");
		_do();
		thread.join();
		return result;
	}

	void expectCleanExit(lab::Daemon& _daemon)
	{
		cr_assert(0 == _daemon.process->waitForExit(20'000), "%s did not exit with code 0", _daemon.name.c_str());
	}
} // namespace

Test(leaving, an_agent_listed_as_leaving_gets_no_work)
{
	lab::Office office(smallOffice());
	makeReady(office);
	office.announce(office.agent("shop-1"), "leaving");
	cr_assert(lab::waitUntil(3'000, [&] {
		for (const std::unique_ptr<lab::Daemon>& entry : office.entries())
		{
			const nlohmann::json dump = office.dump(*entry);
			for (const nlohmann::json& agent : dump["agents"])
			{
				if ("shop-1" == agent["name"] && agent["takesWork"].get<bool>())
				{
					return false;
				}
			}
		}
		return true;
	}));
	cr_assert(0 == countRunsByUpstream(office, 100)["shop-1"]);
}

Test(leaving, a_draining_agent_refuses_whatever_the_entries_know)
{
	lab::Office office(smallOffice());
	makeReady(office);
	office.platformFaults({{"outage", true}});
	cr_assert(0 == office.command({"drain", office.agent("shop-2").admin}).exitCode);
	// During the outage no entry learns of it from the VM list: only the agent's own refusals keep requests away.
	const std::map<std::string, int> after = countRunsByUpstream(office, 100);
	cr_assert(!after.contains("shop-2"), "a draining agent got %d calls", after.at("shop-2"));
}

Test(leaving, a_list_that_says_live_again_changes_nothing)
{
	lab::Office office(smallOffice());
	makeReady(office);
	office.announce(office.agent("shop-1"), "leaving");
	cr_assert(lab::waitUntil(3'000, [&] {
		return 0 == countRunsByUpstream(office, 20)["shop-1"];
	}));
	office.announce(office.agent("shop-1"), "live");
	cr_assert(lab::waitUntil(5'000, [&] {
		const nlohmann::json agents = office.dump(*office.entries().front())["agents"];
		return std::any_of(agents.begin(), agents.end(), [](const nlohmann::json& _agent) {
			return "shop-1" == _agent["name"] && "live" == _agent["list"];
		});
	}));
	cr_assert(0 == countRunsByUpstream(office, 60)["shop-1"]);
	office.agent("shop-1").process->kill();
	office.restart(office.agent("shop-1"));
	cr_assert(lab::waitUntil(10'000, [&] {
		          return 0 < countRunsByUpstream(office, 20)["shop-1"];
	          }),
	          "a new incarnation gets no work");
}

Test(stopping, agents_stop_without_cutting_anything)
{
	lab::Office office(smallOffice());
	makeReady(office);
	const lab::LoadResult result = loadWhile(office, [&] {
		office.agent("chat-1").process->signal(SIGTERM);
		office.agent("shop-1").process->signal(SIGTERM);
	});
	expectCleanExit(office.agent("chat-1"));
	expectCleanExit(office.agent("shop-1"));
	expectNoViolation(lab::judge(result, office.runs()));
	cr_assert(lab::summarizeLoad(result).broken == 0 && lab::summarizeLoad(result).unknown == 0);
	cr_assert(lab::summarizeLoad(result).whole == lab::summarizeLoad(result).calls, "%u of %u whole", lab::summarizeLoad(result).whole, lab::summarizeLoad(result).calls);
}

Test(stopping, an_entry_stops_without_cutting_anything)
{
	lab::Office office(smallOffice());
	makeReady(office);
	lab::Daemon& entry = *office.entries()[0];
	const lab::LoadResult result = loadWhile(office, [&] {
		entry.process->signal(SIGTERM);
	});
	expectCleanExit(entry);
	const lab::LoadSummary figures = lab::summarizeLoad(result);
	expectNoViolation(lab::judge(result, office.runs()));
	cr_assert(0 == figures.broken && 0 == figures.unknown);
	cr_assert(figures.whole + figures.notRun == figures.calls, "%u whole and %u not run of %u", figures.whole, figures.notRun, figures.calls);
}

Test(stopping, several_at_once_in_a_burst_with_an_apply)
{
	lab::Office office(smallOffice(2));
	makeReady(office);
	const lab::LoadResult result = loadWhile(office, [&] {
		office.entries()[0]->process->signal(SIGTERM);
		office.announce(*office.entries()[0], "gone");
		office.agent("chat-3").process->signal(SIGTERM);
		office.agent("shop-2").process->signal(SIGTERM);
		const std::string file = office.changedFile("burst.json", [](nlohmann::json& _json) {
			_json["organisations"][1]["weight"] = 5;
		});
		cr_assert(0 == office.apply(file, {"--wait-ms", "10000"}).exitCode);
	});
	expectCleanExit(*office.entries()[0]);
	expectCleanExit(office.agent("chat-3"));
	expectCleanExit(office.agent("shop-2"));
	const lab::LoadSummary figures = lab::summarizeLoad(result);
	expectNoViolation(lab::judge(result, office.runs()));
	cr_assert(0 == figures.broken && 0 == figures.unknown, "%u broken, %u unknown", figures.broken, figures.unknown);
}
