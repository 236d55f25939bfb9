/// Bench of routing with stale load reports: compares versions of the choice on a model of agents with
/// slots, a step time and a prefix cache.
#include <algorithm>
#include <chrono>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <list>

#include "archdyke/route.h"
#include "bench.h"
#include "load.h"

namespace archdyke::bench
{
	namespace
	{
		constexpr std::uint32_t kAgentsPerZone = 12;
		constexpr std::uint32_t kZones = 2;
		constexpr std::uint32_t kSlots = 16;
		constexpr double kStepMs = 4.5;
		constexpr double kReportIntervalMs = 400.0;
		constexpr std::uint32_t kTokensPerJob = 60;
		constexpr std::uint32_t kPrefillStepsOnMiss = 10;
		constexpr std::size_t kCachedPrefixes = 16;
		constexpr std::uint32_t kDistinctPrefixes = 200;
		constexpr std::size_t kMaxWaiting = 64;
		constexpr int kSteps = 4'000;

		struct Job
		{
			double arrivedMs = 0.0;
			std::uint64_t prefix = 0;
			std::uint32_t stepsLeft = 0;
			std::uint32_t prefill = 0;
			bool awaitsFirstToken = true;
		};

		struct Server
		{
			std::deque<Job> waiting;
			std::vector<Job> running;
			std::list<std::uint64_t> cache;
			std::uint32_t reported = 0;
			std::uint32_t sentSinceReport = 0;
			bool stalled = false;
		};

		struct Conditions
		{
			double utilization = 0.5;
			bool oneAgentStalls = false;
			bool zonesDisconnected = false;
		};

		struct Result
		{
			std::vector<double> firstTokenMs;
			double hits = 0.0;
			double started = 0.0;
			double refused = 0.0;
			double arrived = 0.0;
		};

		using Choose = std::function<std::optional<std::size_t>(const std::vector<AgentCandidate>&, std::uint64_t, Random&)>;

		std::vector<AgentCandidate> candidatesOf(const std::vector<Server>& _servers, std::uint32_t _zone, const Conditions& _conditions)
		{
			std::vector<AgentCandidate> candidates;
			for (std::size_t index = 0; index < _servers.size(); ++index)
			{
				const bool isLocal = _zone == index / kAgentsPerZone;
				candidates.push_back({stableHash(std::to_string(index)), isLocal || !_conditions.zonesDisconnected, isLocal, isLocal ? 0.0 : 1.5, kSlots, _servers[index].reported, _servers[index].sentSinceReport, kStepMs * kTokensPerJob});
			}
			return candidates;
		}

		void stepServer(Server& _server, double _nowMs, Result& _result)
		{
			if (_server.stalled)
			{
				return;
			}
			while (!_server.waiting.empty() && _server.running.size() < kSlots)
			{
				Job job = _server.waiting.front();
				_server.waiting.pop_front();
				const auto cached = std::find(_server.cache.begin(), _server.cache.end(), job.prefix);
				const bool isHit = _server.cache.end() != cached;
				_result.hits += isHit ? 1.0 : 0.0;
				_result.started += 1.0;
				if (isHit)
				{
					_server.cache.erase(cached);
				}
				_server.cache.push_front(job.prefix);
				_server.cache.resize(std::min(_server.cache.size(), kCachedPrefixes));
				job.prefill = isHit ? 1 : kPrefillStepsOnMiss;
				_server.running.push_back(job);
			}
			for (Job& job : _server.running)
			{
				if (1 < job.prefill)
				{
					job.prefill -= 1;
					continue;
				}
				if (job.awaitsFirstToken)
				{
					_result.firstTokenMs.push_back(_nowMs + kStepMs - job.arrivedMs);
					job.awaitsFirstToken = false;
				}
				job.stepsLeft -= 1;
			}
			std::erase_if(_server.running, [](const Job& _job) {
				return 0 == _job.stepsLeft;
			});
		}

		Result simulate(const Choose& _choose, const Conditions& _conditions, std::uint64_t _seed)
		{
			Random random(_seed);
			std::vector<Server> servers(std::size_t(kAgentsPerZone) * kZones);
			Result result;
			// Capacity is slots divided by steps per job; assumes that half of the prefixes miss the cache.
			const double stepsPerJob = double(kTokensPerJob) + 0.5 * kPrefillStepsOnMiss;
			const double perStep = _conditions.utilization * double(servers.size() * kSlots) / stepsPerJob;
			std::poisson_distribution<int> arrivals(perStep);
			for (int step = 0; step < kSteps; ++step)
			{
				const double nowMs = step * kStepMs;
				servers.front().stalled = _conditions.oneAgentStalls && step % 1'000 >= 500;
				if (0 == step % int(kReportIntervalMs / kStepMs))
				{
					for (Server& server : servers)
					{
						server.reported = std::uint32_t(server.waiting.size() + server.running.size());
						server.sentSinceReport = 0;
					}
				}
				for (int arrival = arrivals(random); 0 < arrival; --arrival)
				{
					const std::uint64_t prefix = std::min(randomBelow(random, kDistinctPrefixes), randomBelow(random, kDistinctPrefixes));
					const auto zone = std::uint32_t(randomBelow(random, kZones));
					const std::optional<std::size_t> chosen = _choose(candidatesOf(servers, zone, _conditions), prefix, random);
					result.arrived += 1.0;
					if (!chosen || kMaxWaiting <= servers[*chosen].waiting.size())
					{
						result.refused += 1.0;
						continue;
					}
					servers[*chosen].waiting.push_back({nowMs, prefix, kTokensPerJob, 0, true});
					servers[*chosen].sentSinceReport += 1;
				}
				for (Server& server : servers)
				{
					stepServer(server, nowMs, result);
				}
			}
			return result;
		}

		struct Version
		{
			std::string name;
			std::function<Choose()> make;
		};

		std::vector<Version> versions()
		{
			return {
			    {"random", [] {
				     return [](const std::vector<AgentCandidate>& _c, std::uint64_t, Random& _r) {
					     return chooseAtRandom(_c, _r);
				     };
			     }},
			    {"round robin", [] {
				     return [next = std::uint64_t(0)](const std::vector<AgentCandidate>& _c, std::uint64_t, Random&) mutable {
					     return chooseRoundRobin(_c, next);
				     };
			     }},
			    {"least reported", [] {
				     return [](const std::vector<AgentCandidate>& _c, std::uint64_t, Random&) {
					     return chooseLeastReported(_c);
				     };
			     }},
			    {"archdyke, no prefix", [] {
				     return [](const std::vector<AgentCandidate>& _c, std::uint64_t, Random& _r) {
					     return chooseAgent(_c, std::nullopt, _r);
				     };
			     }},
			    {"archdyke", [] {
				     return [](const std::vector<AgentCandidate>& _c, std::uint64_t _p, Random& _r) {
					     return chooseAgent(_c, stableHash(std::to_string(_p)), _r);
				     };
			     }}};
		}

		Table compare(const std::string& _title, const Conditions& _conditions)
		{
			Table table;
			table.title = fmt::format("routing, {}, {} agents of {} slots in {} zones, reports every {:.0f} ms, {} seeds", _title, kAgentsPerZone * kZones, kSlots, kZones, kReportIntervalMs, kSeeds);
			table.columns = {"version", "first token p50 ms", "p95 ms", "p99 ms", "prefix hits %", "refused %"};
			for (const Version& version : versions())
			{
				std::vector<double> p50;
				std::vector<double> p95;
				std::vector<double> p99;
				std::vector<double> hits;
				std::vector<double> refused;
				for (int seed = 1; seed <= kSeeds; ++seed)
				{
					const Result result = simulate(version.make(), _conditions, std::uint64_t(seed));
					p50.push_back(lab::quantile(result.firstTokenMs, 0.5));
					p95.push_back(lab::quantile(result.firstTokenMs, 0.95));
					p99.push_back(lab::quantile(result.firstTokenMs, 0.99));
					hits.push_back(100.0 * result.hits / result.started);
					refused.push_back(100.0 * result.refused / result.arrived);
				}
				table.rows.push_back({version.name, formatSpread(spreadOf(p50), 1), formatSpread(spreadOf(p95), 1), formatSpread(spreadOf(p99), 1), formatSpread(spreadOf(hits), 1), formatSpread(spreadOf(refused), 1)});
			}
			return table;
		}

		Table choiceCost()
		{
			Table table;
			table.title = "routing, time of one choice on one core";
			table.columns = {"candidates", "us"};
			std::vector<double> counts;
			std::vector<double> times;
			for (const std::size_t count : {16u, 32u, 64u, 128u})
			{
				std::vector<AgentCandidate> candidates;
				for (std::size_t index = 0; index < count; ++index)
				{
					candidates.push_back({stableHash(std::to_string(index)), true, index % 4 != 0, 1.5, 16, std::uint32_t(index % 13), 0, 100.0});
				}
				Random random(1);
				constexpr int kChoices = 200'000;
				std::size_t sum = 0;
				const auto start = std::chrono::steady_clock::now();
				for (int index = 0; index < kChoices; ++index)
				{
					sum += *chooseAgent(candidates, std::uint64_t(index), random);
				}
				const double us = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / kChoices;
				table.rows.push_back({std::to_string(count), fmt::format("{:.2f}", us + (0 == sum ? 1e-9 : 0.0))});
				counts.push_back(double(count));
				times.push_back(us);
			}
			const Fit fit = fitLine(counts, times);
			table.rows.push_back({"fit", fmt::format("{:.2f} + {:.4f} per candidate, error {:.0f}%", fit.intercept, fit.slope, 100.0 * fit.relativeError)});
			return table;
		}
	} // namespace

	std::vector<Table> benchRouting()
	{
		return {compare("50% of capacity", {0.5, false, false}), compare("90% of capacity", {0.9, false, false}), compare("120% of capacity", {1.2, false, false}), compare("70%, one agent stalls half the time", {0.7, true, false}), compare("90%, zones cut from each other", {0.9, false, true}), choiceCost()};
	}
} // namespace archdyke::bench
