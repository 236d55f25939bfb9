/// Bench of placement under drift: skew and number of moved experts, on seeded traces like those of both offices.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <fmt/format.h>
#include <functional>

#include "archdyke/placement.h"
#include "archdyke/random.h"
#include "bench.h"
#include "load.h"

namespace archdyke::bench
{
	namespace
	{
		constexpr std::uint32_t kExperts = 64;
		constexpr std::uint32_t kLayers = 8;
		constexpr std::size_t kWindows = 240;
		constexpr Millis kWindowMs = 5'000;
		constexpr double kTokensPerWindow = 200'000.0;

		enum class Season
		{
			Menu,   ///< Sharp bursts on a few experts; lunch at a fixed hour.
			Cycling ///< A long, steady rise of a few experts.
		};

		using Trace = std::vector<ExpertLoad>;

		std::vector<std::vector<double>> basePopularity(Random& _random)
		{
			std::vector<std::vector<double>> base(kLayers, std::vector<double>(kExperts));
			for (std::vector<double>& layer : base)
			{
				for (std::uint32_t expert = 0; expert < kExperts; ++expert)
				{
					layer[expert] = 1.0 / std::pow(double(expert) + 3.0, 0.5);
				}
				std::shuffle(layer.begin(), layer.end(), _random);
			}
			return base;
		}

		/// @returns Factor by which the season raises the load of a popular expert in a window.
		double seasonFactor(Season _season, std::size_t _window, std::size_t _burst)
		{
			if (Season::Cycling == _season)
			{
				const double rise = std::min(1.0, double(_window) / 80.0);
				return 1.0 + 4.0 * rise;
			}
			const bool lunch = 100 <= _window && _window < 150;
			const bool burst = _window % 60 >= 10 && _window % 60 < 30 && 0 == (_window / 60 + _burst) % 2;
			return lunch ? 6.0 : burst ? 4.0
			                           : 1.0;
		}

		Trace makeTrace(Season _season, std::uint64_t _seed)
		{
			Random random(_seed);
			const std::vector<std::vector<double>> base = basePopularity(random);
			std::vector<std::vector<std::uint32_t>> popular(kLayers);
			for (std::vector<std::uint32_t>& layer : popular)
			{
				for (int index = 0; index < 5; ++index)
				{
					layer.push_back(std::uint32_t(randomBelow(random, kExperts)));
				}
			}
			std::normal_distribution<double> noise(0.0, 1.0);
			Trace trace;
			for (std::size_t window = 0; window < kWindows; ++window)
			{
				ExpertLoad load = base;
				for (std::uint32_t layer = 0; layer < kLayers; ++layer)
				{
					for (std::size_t index = 0; index < popular[layer].size(); ++index)
					{
						load[layer][popular[layer][index]] *= seasonFactor(_season, window, index);
					}
					double sum = 0.0;
					for (const double weight : load[layer])
					{
						sum += weight;
					}
					for (double& weight : load[layer])
					{
						const double tokens = kTokensPerWindow * weight / sum;
						weight = std::max(0.0, tokens + std::sqrt(tokens) * noise(random));
					}
				}
				trace.push_back(std::move(load));
			}
			return trace;
		}

		struct TraceResult
		{
			double meanSkew = 0.0;
			double p99Skew = 0.0;
			double staged = 0.0;
			double switches = 0.0;
		};

		/// Plans at the end of a window; the plan applies to the next one.
		using Decide = std::function<PlacementPlan(const PlacementInput&, std::size_t)>;

		PlacementInput startInput(std::uint32_t _ranks)
		{
			PlacementInput input;
			input.ranks = _ranks;
			input.slots = std::max(2u, (kExperts + _ranks - 1) / _ranks + 1);
			input.hosts.assign(kLayers, std::vector<std::vector<std::uint32_t>>(kExperts));
			for (auto& layer : input.hosts)
			{
				for (std::uint32_t expert = 0; expert < kExperts; ++expert)
				{
					layer[expert] = {expert * _ranks / kExperts};
				}
			}
			return input;
		}

		TraceResult runTrace(const Trace& _trace, std::uint32_t _ranks, const Decide& _decide)
		{
			PlacementInput input = startInput(_ranks);
			// All versions start from a good map for the first window, at no cost.
			input.load = _trace.front();
			input.hosts = planFromScratch(input).hosts;
			std::vector<double> skews;
			TraceResult result;
			for (std::size_t window = 1; window < _trace.size(); ++window)
			{
				skews.push_back(skewOf(input.hosts, _trace[window], _ranks));
				input.load = _trace[window];
				const PlacementPlan plan = _decide(input, window);
				result.staged += plan.staged;
				result.switches += 0 < plan.staged ? 1.0 : 0.0;
				input.hosts = plan.hosts;
			}
			for (const double skew : skews)
			{
				result.meanSkew += skew / double(skews.size());
			}
			result.p99Skew = lab::quantile(skews, 0.99);
			return result;
		}

		Decide neverMove()
		{
			return [](const PlacementInput& _input, std::size_t) {
				return PlacementPlan{_input.hosts, 0, 0.0, 0.0};
			};
		}

		Decide replanEveryWindow()
		{
			return [](const PlacementInput& _input, std::size_t) {
				return planFromScratch(_input);
			};
		}

		Decide oracle(const Trace& _trace)
		{
			return [&_trace](const PlacementInput& _input, std::size_t _window) {
				PlacementInput next = _input;
				next.load = _trace[std::min(_window + 1, _trace.size() - 1)];
				return planFromScratch(next);
			};
		}

		Decide archdykePolicy(PlacementPolicy _policy)
		{
			return [_policy, state = PlacementState{}](const PlacementInput& _input, std::size_t _window) mutable {
				return decidePlacement(state, _input, _policy, Millis(_window) * kWindowMs);
			};
		}

		struct Version
		{
			std::string name;
			std::function<Decide(const Trace&)> make;
		};

		Table compare(Season _season, std::uint32_t _ranks)
		{
			// Settings of examples/, scaled by layers and ranks so that they are equivalent at both sizes.
			const double scale = double(kLayers * _ranks) / 48.0;
			const std::vector<Version> versions{
			    {"never move", [](const Trace&) {
				     return neverMove();
			     }},
			    {"replan every window", [](const Trace&) {
				     return replanEveryWindow();
			     }},
			    {"archdyke, menu settings", [=](const Trace&) {
				     return archdykePolicy({0.01, 480.0 * scale});
			     }},
			    {"archdyke, hallavegir settings", [=](const Trace&) {
				     return archdykePolicy({0.08, 20.0 * scale});
			     }},
			    {"oracle, next window", [](const Trace& _trace) {
				     return oracle(_trace);
			     }}};
			Table table;
			table.title = fmt::format("placement, {} season, {} ranks, {} experts, {} layers, {} windows of {} s, {} seeds", Season::Menu == _season ? "menu" : "cycling", _ranks, kExperts, kLayers, kWindows, kWindowMs / 1000, kSeeds);
			table.columns = {"version", "mean skew %", "p99 skew %", "experts staged", "switches"};
			for (const Version& version : versions)
			{
				std::vector<double> mean;
				std::vector<double> p99;
				std::vector<double> staged;
				std::vector<double> switches;
				for (int seed = 1; seed <= kSeeds; ++seed)
				{
					const Trace trace = makeTrace(_season, std::uint64_t(seed));
					const TraceResult result = runTrace(trace, _ranks, version.make(trace));
					mean.push_back(100.0 * result.meanSkew);
					p99.push_back(100.0 * result.p99Skew);
					staged.push_back(result.staged);
					switches.push_back(result.switches);
				}
				table.rows.push_back({version.name, formatSpread(spreadOf(mean), 1), formatSpread(spreadOf(p99), 1), formatSpread(spreadOf(staged), 0), formatSpread(spreadOf(switches), 0)});
			}
			return table;
		}

		/// Measures the time of one plan on one core by the number of layers.
		Table planTime()
		{
			Table table;
			table.title = "placement, time of one plan, 128 ranks, 64 experts, no limit on moves";
			table.columns = {"layers", "ms"};
			std::vector<double> layers;
			std::vector<double> times;
			for (const std::uint32_t count : {15u, 30u, 45u, 60u})
			{
				std::vector<double> ms;
				for (int seed = 1; seed <= kSeeds; ++seed)
				{
					const Trace trace = makeTrace(Season::Menu, std::uint64_t(seed));
					PlacementInput input = startInput(128);
					input.load = trace.front();
					input.hosts = planFromScratch(input).hosts;
					input.load.clear();
					const ExpertHosts hosts = input.hosts;
					input.hosts.clear();
					for (std::uint32_t layer = 0; layer < count; ++layer)
					{
						input.hosts.push_back(hosts[layer % kLayers]);
						input.load.push_back(trace[120][layer % kLayers]);
					}
					input.budget = 1e9;
					const auto start = std::chrono::steady_clock::now();
					planMoves(input, 0.05);
					ms.push_back(std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count());
				}
				table.rows.push_back({std::to_string(count), formatSpread(spreadOf(ms), 1)});
				layers.push_back(count);
				times.push_back(spreadOf(ms).median);
			}
			const Fit fit = fitLine(layers, times);
			table.rows.push_back({"fit", fmt::format("{:.2f} + {:.3f} per layer, error {:.0f}%", fit.intercept, fit.slope, 100.0 * fit.relativeError)});
			return table;
		}
	} // namespace

	std::vector<Table> benchPlacement()
	{
		return {compare(Season::Menu, 12), compare(Season::Cycling, 12), compare(Season::Menu, 128), compare(Season::Cycling, 128), planTime()};
	}
} // namespace archdyke::bench
