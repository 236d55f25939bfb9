/// A leaving upstream gets no new requests, and a planned stop interrupts no request.
#include <algorithm>
#include <thread>

#include "office.h"
#include "raw_caller.h"

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

namespace
{
	/// Time for a stop while nothing runs, ms: the notices to others and the last writes to the platform.
	constexpr Millis kIdleStopMs = 5'000;

	/// A caller that goes on sending a part of a body now and then, until it gets an answer or the connection ends.
	std::string sendSlowly(const std::string& _address, const std::string& _start)
	{
		constexpr Millis kPieceIntervalMs = 300;
		constexpr Millis kMaxMs = 20'000;
		lab::RawCaller caller(_address);
		std::string answer;
		const Millis until = nowMs() + kMaxMs;
		for (bool open = caller.send(_start); open && 0 == lab::RawCaller::statusOf(answer) && nowMs() < until; open = caller.send("x"))
		{
			answer += caller.receive(kPieceIntervalMs);
		}
		return answer + caller.receive(kPieceIntervalMs);
	}
} // namespace

/// Guards against a stop that lasts as long as a caller of the stopping entry goes on sending its body.
Test(stopping, an_entry_refuses_bodies_that_end_late)
{
	lab::OfficeOptions options = smallOffice();
	options.viaProxy = false;
	lab::Office office(options);
	makeReady(office);
	lab::Daemon& entry = *office.entries()[0];
	std::future<std::string> slow = std::async(std::launch::async, [&] {
		return sendSlowly(entry.http, "POST /shop/x HTTP/1.1\r\nHost: office.example\r\nAuthorization: Bearer key-alpha\r\nContent-Length: 1000\r\n\r\nx");
	});
	lab::pauseMs(500);
	entry.process->signal(SIGTERM);
	cr_expect(0 == entry.process->waitForExit(kIdleStopMs), "the entry still waits for the body");
	const std::string answer = slow.get();
	cr_expect(503 == lab::RawCaller::statusOf(answer) && std::string::npos != answer.find("Retry-After: ") && std::string::npos != answer.find("X-Archdyke-Outcome: not-run"), "%s", answer.c_str());
}

/// Guards against a stop that lasts as long as a client of an agent's admin port goes on sending.
Test(stopping, an_agent_does_not_wait_for_clients_of_its_admin_port)
{
	lab::OfficeOptions options = smallOffice();
	options.viaProxy = false;
	lab::Office office(options);
	makeReady(office);
	lab::Daemon& agent = office.agent("shop-1");
	std::future<std::string> slow = std::async(std::launch::async, [&] {
		return sendSlowly(agent.admin, "POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nx");
	});
	lab::pauseMs(500);
	agent.process->signal(SIGTERM);
	cr_expect(0 == agent.process->waitForExit(kIdleStopMs), "the agent still waits for the body");
	slow.get();
}

/// Guards against runs that wait at a stopping agent and are cut, or are told as not run and run all the same.
Test(stopping, runs_that_wait_at_an_agent_are_finished)
{
	constexpr int kCalls = 6;
	constexpr Millis kRunMs = 400;
	lab::OfficeOptions options = smallOffice();
	options.viaProxy = false;
	options.serviceSlots = 1;
	lab::Office office(options);
	makeReady(office);
	setShopDelay(office, kRunMs);
	std::vector<std::future<lab::CallRecord>> calls;
	const lab::LoadOptions load = loadOptionsOf(office);
	for (int call = 0; call < kCalls; ++call)
	{
		calls.push_back(sendCallAsync(load, lab::CallKind::NotRepeatable, "waiting-" + std::to_string(call), office.entries().front()->http));
	}
	lab::pauseMs(kRunMs / 2);
	office.agent("shop-1").process->signal(SIGTERM);
	office.agent("shop-2").process->signal(SIGTERM);
	lab::LoadResult result;
	for (std::future<lab::CallRecord>& call : calls)
	{
		result.calls.push_back(call.get());
	}
	expectCleanExit(office.agent("shop-1"));
	expectCleanExit(office.agent("shop-2"));
	expectNoViolation(lab::judge(result, office.runs()));
	const lab::LoadSummary figures = lab::summarizeLoad(result);
	cr_assert(0 == figures.broken && 0 == figures.unknown && kCalls == figures.whole, "%u whole, %u broken, %u unknown", figures.whole, figures.broken, figures.unknown);
}
