/// Requests that reach a cold upstream when callers flood a gateway process.
#include <atomic>
#include <sstream>
#include <thread>
#include <vector>

#include "gateway_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	/// Announces a cold upstream of a service whose cold upstreams have a limited rate. A gateway that doesn't know the
	/// number of gateways assumes 128 of them, which gives it 4 or 5 sends per window at this rate.
	void announceCold(GatewayRig& _rig, Millis _coldForMs)
	{
		Json configuration = lab::configurationJson(2, {"key-one"}, Json::array());
		configuration["services"] = Json::array({{{"name", "svc"}, {"maxConns", 50}, {"coldS", 3}, {"coldPerS", 560}}});
		_rig.store.put("op", "config", configuration);
		cr_assert(lab::waitUntil(2'000, [&] {
			return 2 == _rig.dump()["catalog"].get<int>();
		}));
		Json row = lab::upstreamJson("svc", _rig.workers.front().address, "ready");
		row["coldLeftMs"] = _coldForMs;
		_rig.store.put("servers", _rig.workers.front().id, row);
		cr_assert(lab::waitUntil(2'000, [&] {
			return 0 < _rig.dump()["upstreams"][0]["warmInMs"].get<int>();
		}));
	}

	/// @returns Maximum number of runs within a second, from the upstream's log.
	std::size_t maxRunsPerSecond(const RigWorker& _worker)
	{
		std::vector<Millis> times;
		std::istringstream lines(_worker.process->log());
		for (std::string line; std::getline(lines, line);)
		{
			const std::size_t at = line.find(" at=");
			if (line.starts_with("run ") && std::string::npos != at)
			{
				times.push_back(std::stoll(line.substr(at + 4)));
			}
		}
		std::size_t most = 0;
		for (std::size_t first = 0, last = 0; last < times.size(); ++last)
		{
			while (times[last] - times[first] >= 1'000)
			{
				++first;
			}
			most = std::max(most, last - first + 1);
		}
		return most;
	}

	/// Outcomes of callers that repeat their requests without waiting.
	struct FloodResult
	{
		std::atomic<int> served{0};
		std::atomic<int> refused{0};
		std::atomic<int> other{0}; ///< Another status or reason, or a late refusal.
	};

	void flood(const GatewayRig& _rig, int _caller, Millis _until, FloodResult& _end)
	{
		constexpr Millis kMaxRefusalMs = 250;
		for (int call = 0; nowMs() < _until; ++call)
		{
			const Millis begun = nowMs();
			const RigResponse answer = _rig.call("/safe/x?do=ok", GatewayRig::headersFor(fmt::format("flood-{}-{}", _caller, call)));
			const bool refusedAtOnce = 503 == answer.status && "cold_upstreams\n" == answer.body && answer.headers.contains("Retry-After") && nowMs() - begun < kMaxRefusalMs;
			(200 == answer.status ? _end.served : refusedAtOnce ? _end.refused
			                                                    : _end.other) += 1;
			lab::pauseMs(5);
		}
	}
} // namespace

Test(gateway, a_cold_upstream_gets_its_share_of_a_flood_and_the_rest_is_refused_at_once)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	announceCold(rig, 60'000);
	FloodResult end;
	std::vector<std::thread> callers;
	for (int caller = 0; caller < 4; ++caller)
	{
		callers.emplace_back([&rig, &end, caller, until = nowMs() + 3'000] {
			flood(rig, caller, until, end);
		});
	}
	for (std::thread& caller : callers)
	{
		caller.join();
	}
	const std::size_t most = maxRunsPerSecond(rig.workers.front());
	cr_assert(4 <= most && most <= 5, "%zu in a second", most);
	cr_assert(8 <= end.served && end.served <= 15, "%d served", end.served.load());
	cr_assert(100 < end.refused && 0 == end.other, "%d refused, %d other", end.refused.load(), end.other.load());
}

Test(gateway, an_upstream_that_is_warm_again_gets_all)
{
	GatewayRig rig({"a"});
	rig.waitReady();
	announceCold(rig, 1'000);
	cr_assert(lab::waitUntil(2'500, [&] {
		return 0 == rig.dump()["upstreams"][0]["warmInMs"].get<int>();
	}));
	for (int call = 0; call < 20; ++call)
	{
		cr_assert(200 == rig.call("/safe/x?do=ok", GatewayRig::headersFor(fmt::format("warm-{}", call))).status);
	}
	cr_assert(lab::waitUntil(1'000, [&] {
		return std::string::npos != rig.gateway.process->log().find("event=upstream_warm");
	}));
}
