/// archdyke-chaos: runs an office, or the programs for the users' platform, under seeded faults and
/// prints the violations.
#include <algorithm>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>

#include "chaos.h"
#include "soak.h"

namespace archdyke::lab
{
	namespace
	{
		void print(std::uint64_t _seed, const ChaosResult& _result)
		{
			std::string faults;
			for (const auto& [kind, count] : _result.faults)
			{
				faults += fmt::format(" {}={}", kind, count);
			}
			const LoadSummary& load = _result.load;
			std::cout << fmt::format("seed {}: {} calls ({} whole, {} not run, {} unknown, {} broken off), faults:{}, applies accepted {}\n", _seed, load.calls, load.whole, load.notRun, load.unknown, load.broken, faults, _result.applies);
			std::cout << fmt::format("  violations {}: foreign {}, cut but clean {}, ran though told not run {}, doubled {}, silent {}, map {}, config reverts {}, config late {} (in doubt {}), work after leaving {}, dirty stops {}, settled {}\n", _result.violations(), _result.calls.foreign, _result.calls.cleanlyTruncated, _result.calls.ranDespiteNotRun, _result.calls.doubled, _result.calls.silent, _result.mapViolations, _result.configReverts, _result.configLate, _result.configInDoubt, _result.workAfterLeaving, _result.dirtyStops, _result.settled);
			for (const std::string& note : _result.notes)
			{
				std::cout << "  note: " << note << "\n";
			}
			std::cout << std::flush;
		}

		void print(std::uint64_t _seed, const SoakResult& _result)
		{
			std::string faults;
			for (const auto& [kind, count] : _result.faults)
			{
				faults += fmt::format(" {}={}", kind, count);
			}
			std::string statuses;
			for (const auto& [status, count] : _result.statuses)
			{
				statuses += fmt::format(" {}={}", 0 == status ? "broken" : std::to_string(status), count);
			}
			std::cout << fmt::format("seed {}: violations {}; calls:{}; faults:{}\n", _seed, _result.violations.total(), statuses, faults);
			constexpr std::size_t kMaxViolationLines = 12;
			for (std::size_t index = 0; index < std::min(kMaxViolationLines, _result.violations.lines.size()); ++index)
			{
				std::cout << "  " << _result.violations.lines[index] << "\n";
			}
			std::cout << std::flush;
		}

		int run(int _argc, char** _argv)
		{
			cxxopts::Options options("archdyke-chaos", "Runs an office under load and seeded faults and prints the violations.");
			options.add_options()("file", "The operators' file", cxxopts::value<std::string>()->default_value(std::string(ARCHDYKE_SOURCE_DIR) + "/examples/small.json"))("seed", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"))("seeds", "Number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"))("faults", "Number of faults of each run", cxxopts::value<std::uint32_t>()->default_value("20"))("rate", "Calls per second", cxxopts::value<double>()->default_value("80"))("series", "Number of series of signals, restarts, configuration changes and self-reports of upstreams in addition to the faults; with --platform", cxxopts::value<std::uint32_t>()->default_value("0"))("limits", "Number of limits on requests per second that upstreams name in addition to the faults; with --platform", cxxopts::value<std::uint32_t>()->default_value("0"))("restores", "Number of times that the store comes back from a copy some seconds old, in addition to the faults; with --platform", cxxopts::value<std::uint32_t>()->default_value("0"))("stutters", "Number of times that upstreams send bytes that belong to no exchange, in addition to the faults; with --platform", cxxopts::value<std::uint32_t>()->default_value("0"))("within-length", "Upstreams that stutter also send bytes within bodies that have a length; with --platform")("odd-rows", "Number of odd entries among the rows of the upstreams, in addition to the faults; with --platform", cxxopts::value<std::uint32_t>()->default_value("0"))("crowd", "Number of clients that don't behave; with --platform", cxxopts::value<std::uint32_t>()->default_value("0"))("late-bodies", "Number of callers whose bodies end late; with --platform", cxxopts::value<std::uint32_t>()->default_value("0"))("uploads", "Number of callers whose long requests are answered early; with --platform", cxxopts::value<std::uint32_t>()->default_value("0"))("large", "About a hundred processes; with --platform")("platform", "Run the programs for the users' platform instead of an office")("h,help", "Print this help");
			const cxxopts::ParseResult parsed = options.parse(_argc, _argv);
			if (0 < parsed.count("help"))
			{
				std::cout << options.help();
				return 0;
			}
			int violations = 0;
			const std::uint64_t first = parsed["seed"].as<std::uint64_t>();
			for (std::uint64_t seed = first; seed < first + parsed["seeds"].as<std::uint64_t>(); ++seed)
			{
				ChaosOptions chaos;
				chaos.file = parsed["file"].as<std::string>();
				chaos.seed = seed;
				chaos.faults = parsed["faults"].as<std::uint32_t>();
				chaos.series = parsed["series"].as<std::uint32_t>();
				chaos.limits = parsed["limits"].as<std::uint32_t>();
				chaos.restores = parsed["restores"].as<std::uint32_t>();
				chaos.stutters = parsed["stutters"].as<std::uint32_t>();
				chaos.withinLength = 0 < parsed.count("within-length");
				chaos.oddRows = parsed["odd-rows"].as<std::uint32_t>();
				chaos.crowd = parsed["crowd"].as<std::uint32_t>();
				chaos.lateBodies = parsed["late-bodies"].as<std::uint32_t>();
				chaos.uploads = parsed["uploads"].as<std::uint32_t>();
				chaos.large = 0 < parsed.count("large");
				chaos.perSecond = parsed["rate"].as<double>();
				if (0 < parsed.count("platform"))
				{
					chaos.target = ChaosTarget::Platform;
					const SoakResult soak = runSoak(chaos);
					print(seed, soak);
					violations += soak.violations.total();
					continue;
				}
				const ChaosResult result = runChaos(chaos);
				print(seed, result);
				violations += result.violations();
			}
			return 0 == violations ? 0 : 1;
		}
	} // namespace
} // namespace archdyke::lab

int main(int _argc, char** _argv)
{
	try
	{
		return archdyke::lab::run(_argc, _argv);
	}
	catch (const std::exception& error)
	{
		std::cerr << "archdyke-chaos: " << error.what() << "\n";
		return 2;
	}
}
