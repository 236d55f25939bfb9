/// Several gateway processes share an upstream that names a limit of requests per second in its responses.
#include <map>
#include <sstream>
#include <thread>
#include <vector>

#include "gateway_rig.h"

using namespace archdyke;
using namespace archdyke::tests;

namespace
{
	constexpr Millis kWindowMs = 4'000;
	constexpr double kOvershoot = 1.5;
	constexpr double kAllowance = 5.0;
	constexpr Millis kContactMs = 3'000; ///< The limit applies from this time after it was first named.
	constexpr Millis kHeardMs = 500;     ///< It applies to a gateway from this time after a response that names it.

	/// A rig with several gateways.
	struct Fleet
	{
		explicit Fleet(std::size_t _gateways, const std::vector<std::string>& _workers)
		    : rig(_workers)
		{
			for (std::size_t index = 0; index < _gateways; ++index)
			{
				this->gateways.push_back(this->rig.startGatewayNamed(fmt::format("gateway-{}", index)));
			}
			for (const RigGateway& gateway : this->gateways)
			{
				gateway.waitReady(_workers.size());
			}
		}

		void nameLimit(const std::string& _worker, double _perSecond) const
		{
			for (const RigWorker& worker : this->rig.workers)
			{
				if (worker.id == _worker)
				{
					clientOf(worker.address).Post("/control", Json{{"limitPerS", _perSecond}}.dump(), "application/json");
				}
			}
		}

		GatewayRig rig;
		std::vector<RigGateway> gateways;
	};

	/// Requests through one gateway.
	struct CallerLog
	{
		Millis limitHeardAt = 0; ///< When a response first named a limit; 0: never.
		int calls = 0;
		int unanswered = 0;
	};

	/// Sends requests through each gateway from a thread of its own.
	std::vector<CallerLog> callAll(const Fleet& _fleet, const std::string& _prefix, Millis _pauseMs, Millis _until)
	{
		std::vector<CallerLog> logs(_fleet.gateways.size());
		std::vector<std::thread> callers;
		for (std::size_t index = 0; index < logs.size(); ++index)
		{
			callers.emplace_back([&, index] {
				CallerLog& log = logs[index];
				while (nowMs() < _until)
				{
					const std::string request = fmt::format("{}.{}.{}", _prefix, index, log.calls++);
					const RigResponse response = _fleet.gateways[index].call("/safe/x", GatewayRig::headersFor(request));
					log.unanswered += 200 == response.status ? 0 : 1;
					const bool named = 200 == response.status && response.headers.contains("Server-Limit");
					log.limitHeardAt = 0 == log.limitHeardAt && named ? nowMs() : log.limitHeardAt;
					lab::pauseMs(_pauseMs);
				}
			});
		}
		for (std::thread& caller : callers)
		{
			caller.join();
		}
		return logs;
	}

	/// @returns Times at which the requests of callAll() with a prefix ran at an upstream, by gateway.
	std::map<std::size_t, std::vector<Millis>> runsByGateway(const RigWorker& _worker, const std::string& _prefix)
	{
		std::map<std::size_t, std::vector<Millis>> runs;
		std::istringstream lines(_worker.process->log());
		const std::string start = "run request=" + _prefix + ".";
		for (std::string line; std::getline(lines, line);)
		{
			const std::size_t at = line.find(" at=");
			if (line.starts_with(start) && std::string::npos != at)
			{
				runs[std::stoul(line.substr(start.size()))].push_back(std::stoll(line.substr(at + 4)));
			}
		}
		return runs;
	}

	/// @returns Maximum number of runs in a window, of gateways that had received the limit before.
	std::size_t maxRunsInWindow(const std::map<std::size_t, std::vector<Millis>>& _runs, const std::vector<CallerLog>& _logs, Millis _namedAt)
	{
		std::vector<Millis> times;
		for (const auto& [gateway, runs] : _runs)
		{
			const Millis heardAt = _logs[gateway].limitHeardAt;
			std::copy_if(runs.begin(), runs.end(), std::back_inserter(times), [&](Millis _at) {
				return 0 != heardAt && heardAt + kHeardMs <= _at && _namedAt + kContactMs <= _at;
			});
		}
		std::sort(times.begin(), times.end());
		std::size_t most = 0;
		for (std::size_t first = 0, last = 0; last < times.size(); ++last)
		{
			while (times[last] - times[first] >= kWindowMs)
			{
				++first;
			}
			most = std::max(most, last - first + 1);
		}
		return most;
	}
} // namespace

/// Guards against gateways that ignore the limit an upstream names, or each take it for themselves.
Test(gateway, an_upstream_that_names_a_limit_gets_no_more_from_all_gateways_together)
{
	constexpr double kPerSecond = 1.0;
	const Fleet fleet(6, {"a", "b", "c"});
	fleet.nameLimit("a", kPerSecond);
	const Millis namedAt = nowMs();
	const std::vector<CallerLog> logs = callAll(fleet, "call", 40, namedAt + 11'000);
	int calls = 0;
	int unanswered = 0;
	std::size_t heard = 0;
	for (const CallerLog& log : logs)
	{
		calls += log.calls;
		unanswered += log.unanswered;
		heard += 0 != log.limitHeardAt ? 1 : 0;
	}
	cr_assert(logs.size() == heard, "%zu of %zu gateways received the limit", heard, logs.size());
	const std::size_t most = maxRunsInWindow(runsByGateway(fleet.rig.workers[0], "call"), logs, namedAt);
	const std::size_t allowed = std::size_t(kOvershoot * kPerSecond * double(kWindowMs) / 1'000.0 + kAllowance);
	cr_assert(most <= allowed, "%zu requests in %lld ms, allowed %zu, of %d calls", most, static_cast<long long>(kWindowMs), allowed, calls);
	cr_assert(0 == unanswered, "%d of %d calls not served though two upstreams name no limit", unanswered, calls);
}

/// A limit that is reached at all upstreams refuses callers at once; one that isn't named any more is forgotten.
Test(gateway, callers_beyond_the_limits_of_all_upstreams_are_refused_at_once_until_the_limits_end)
{
	constexpr Millis kMaxRefusalMs = 250;
	constexpr double kPerSecond = 60.0; // a gateway that knows no others counts on 128: two requests in 4.4 s
	GatewayRig rig({"a"});
	rig.waitReady();
	clientOf(rig.workers.front().address).Post("/control", Json{{"limitPerS", kPerSecond}}.dump(), "application/json");
	int refused = 0;
	const auto call = [&](int _number) {
		const Millis sentAt = nowMs();
		const RigResponse response = rig.call("/safe/x", GatewayRig::headersFor(fmt::format("call-{}", _number)));
		if (200 != response.status)
		{
			refused += 1;
			cr_assert(503 == response.status && "upstream_limits\n" == response.body && response.headers.contains("Retry-After"), "status %d", response.status);
			cr_assert(nowMs() - sentAt < kMaxRefusalMs, "refused after %lld ms", static_cast<long long>(nowMs() - sentAt));
		}
		return response.status;
	};
	for (int number = 0; number < 100; ++number)
	{
		call(number);
		lab::pauseMs(10);
	}
	cr_assert(50 < refused, "%d of 100 refused", refused);
	cr_assert(kPerSecond == rig.dump()["upstreams"][0]["limitPerS"].get<double>());
	clientOf(rig.workers.front().address).Post("/control", Json{{"limitPerS", 0.0}}.dump(), "application/json");
	int number = 100;
	cr_assert(lab::waitUntil(10'000, [&] {
		return 200 == call(number++) && rig.dump()["upstreams"][0]["limitPerS"].get<double>() < 0.0;
	}));
	for (int repeat = 0; repeat < 20; ++repeat)
	{
		cr_assert(200 == call(number++));
	}
}
