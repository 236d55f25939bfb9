/// archdyke-demo: starts an office with stand-ins, sends a load, applies a configuration change
/// meanwhile, prints the results, and stops all daemons cleanly.
#include <csignal>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <thread>

#include "lab.h"
#include "load.h"

namespace archdyke::lab
{
	namespace
	{
		constexpr Millis kStopTimeoutMs = 20'000;
		constexpr double kRequestsPerSecond = 80.0;
		constexpr std::uint32_t kRequests = 640;

		void printLine(const std::string& _line)
		{
			std::cout << _line << std::endl;
		}

		void printUpstreams(const LoadResult& _result)
		{
			std::map<std::string, int> byUpstream;
			for (const CallRecord& call : _result.calls)
			{
				byUpstream[call.upstream.empty() ? "(no upstream)" : call.upstream] += 1;
			}
			std::string line = "  ran on:";
			for (const auto& [name, count] : byUpstream)
			{
				line += fmt::format(" {}={}", name, count);
			}
			printLine(line);
		}

		void printFigures(const LoadResult& _result)
		{
			const LoadSummary figures = summarizeLoad(_result);
			printLine(fmt::format("  outcomes: {} calls, {} whole, {} not run, {} unknown, {} broken off", figures.calls, figures.whole, figures.notRun, figures.unknown, figures.broken));
			printLine(fmt::format("  first byte of streams: p50 {:.1f} ms, p95 {:.1f} ms, p99 {:.1f} ms", figures.firstP50, figures.firstP95, figures.firstP99));
			printLine(fmt::format("  whole answers: p50 {:.1f} ms, p99 {:.1f} ms", figures.totalP50, figures.totalP99));
			for (const auto& [reason, count] : figures.reasons)
			{
				printLine(fmt::format("  refused: {} ({})", count, reason));
			}
		}

		void printApply(const CommandResult& _applied)
		{
			const nlohmann::json json = nlohmann::json::parse(_applied.output, nullptr, false);
			if (0 != _applied.exitCode || !json.is_object())
			{
				printLine("  apply failed: " + _applied.error);
				return;
			}
			printLine(fmt::format("  version {} accepted after {} ms", json["version"].get<int>(), json["acceptedAfterMs"].get<int>()));
			for (const nlohmann::json& zone : json["zones"])
			{
				printLine(fmt::format("    in force in {} {} ms later", zone["zone"].get<std::string>(), zone["inForceAfterMs"].get<int>()));
			}
		}

		bool printSteps(Office& _office, const std::string& _when)
		{
			bool clean = true;
			for (const nlohmann::json& record : _office.engineRecords())
			{
				printLine(fmt::format("  {}: {} busy steps {}, mean skew {:.0f}%, map epochs {}, steps on different maps {}", record["group"].get<std::string>(), record["busySteps"].get<int>(), _when, 100.0 * record["meanSkew"].get<double>(), record["epochs"].dump(), record["mapViolations"].get<int>()));
				clean = clean && 0 == record["mapViolations"].get<int>();
			}
			return clean;
		}

		/// Shifts the load to a few popular experts, as a seasonal change of demand does.
		void shiftPopularity(Office& _office)
		{
			const Service* model = nullptr;
			for (const Service& service : _office.document().services)
			{
				model = ServiceKind::Model == service.kind ? &service : model;
			}
			std::vector<double> popularity(model->experts, 1.0);
			popularity[1] = 8.0;
			popularity[2] = 6.0;
			_office.controlEngines({{"popularity", popularity}});
		}

		bool stopAll(Office& _office)
		{
			bool clean = true;
			const auto stop = [&](std::vector<std::unique_ptr<Daemon>>& _daemons) {
				for (const std::unique_ptr<Daemon>& daemon : _daemons)
				{
					daemon->process->signal(SIGTERM);
				}
				for (const std::unique_ptr<Daemon>& daemon : _daemons)
				{
					clean = 0 == daemon->process->waitForExit(kStopTimeoutMs) && clean;
				}
			};
			stop(_office.entries());
			stop(_office.agents());
			return clean;
		}

		int run(const std::string& _file)
		{
			OfficeOptions officeOptions;
			officeOptions.file = _file;
			Office office(officeOptions);
			printLine(fmt::format("office {}: {} entries in {} zones, {} agents before their upstreams", office.document().office, office.entries().size(), office.document().zones.size(), office.agents().size()));
			printLine("apply " + _file);
			printApply(office.apply());
			if (!office.waitReady())
			{
				printLine("the office did not get ready");
				return 1;
			}
			LoadOptions options = office.loadOptions();
			options.perSecond = kRequestsPerSecond;
			options.requests = kRequests;
			printLine(fmt::format("load: {} requests at {}/s; one organisation's limit changes and is applied meanwhile", options.requests, options.perSecond));
			LoadResult result;
			std::thread load([&] {
				result = runLoad(options);
			});
			waitUntil(3'000, [] {
				return false;
			});
			const bool before = printSteps(office, "before the drift");
			shiftPopularity(office);
			const std::string changed = office.changedFile("changed.json", [](nlohmann::json& _json) {
				_json["organisations"][2]["requestsPerSecond"] = 60;
			});
			const CommandResult applied = office.apply(changed);
			printApply(applied);
			load.join();
			printUpstreams(result);
			printFigures(result);
			const bool after = printSteps(office, "after it");
			const Violations violations = judge(result, office.runs());
			printLine(fmt::format("judged by the stand-ins' records: foreign answers {}, cut answers that looked whole {}, ran though told not run {}, ran twice {}, left without an answer {}", violations.foreign, violations.cleanlyTruncated, violations.ranDespiteNotRun, violations.doubled, violations.silent));
			const bool stopped = stopAll(office);
			printLine(stopped ? "all daemons stopped in order" : "a daemon did not stop in order");
			const LoadSummary figures = summarizeLoad(result);
			const bool good = 0 == violations.total() && figures.calls == figures.whole && 0 == applied.exitCode && before && after && stopped;
			printLine(good ? "nothing was lost, doubled, mixed up or cut" : "SOMETHING WENT WRONG, see above");
			return good ? 0 : 1;
		}
	} // namespace
} // namespace archdyke::lab

int main(int _argc, char** _argv)
{
	try
	{
		const std::string office = 1 < _argc ? _argv[1] : "menu";
		return archdyke::lab::run(std::string(ARCHDYKE_SOURCE_DIR) + "/examples/" + office + ".json");
	}
	catch (const std::exception& error)
	{
		std::cerr << "archdyke-demo: " << error.what() << "\n";
		return 2;
	}
}
