/// archdyke-demo: starts an office on the embedded stand-ins, sends a load, applies a
/// change while it runs, shows what happened, and stops everything in order.
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
		constexpr Millis kStopMs = 20'000;
		constexpr double kPerSecond = 80.0;
		constexpr std::uint32_t kRequests = 640;

		void say(const std::string& _line)
		{
			std::cout << _line << std::endl;
		}

		void showWhere(const LoadResult& _result)
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
			say(line);
		}

		void showFigures(const LoadResult& _result)
		{
			const LoadFigures figures = figuresOf(_result);
			say(fmt::format("  outcomes: {} calls, {} whole, {} not run, {} unknown, {} broken off", figures.calls, figures.whole, figures.notRun, figures.unknown, figures.broken));
			say(fmt::format("  first byte of streams: p50 {:.1f} ms, p95 {:.1f} ms, p99 {:.1f} ms", figures.firstP50, figures.firstP95, figures.firstP99));
			say(fmt::format("  whole answers: p50 {:.1f} ms, p99 {:.1f} ms", figures.totalP50, figures.totalP99));
			for (const auto& [reason, count] : figures.reasons)
			{
				say(fmt::format("  refused: {} ({})", count, reason));
			}
		}

		void showApply(const CommandResult& _applied)
		{
			const nlohmann::json json = nlohmann::json::parse(_applied.output, nullptr, false);
			if (0 != _applied.exitCode || !json.is_object())
			{
				say("  apply failed: " + _applied.error);
				return;
			}
			say(fmt::format("  version {} accepted after {} ms", json["version"].get<int>(), json["acceptedAfterMs"].get<int>()));
			for (const nlohmann::json& zone : json["zones"])
			{
				say(fmt::format("    in force in {} {} ms later", zone["zone"].get<std::string>(), zone["inForceAfterMs"].get<int>()));
			}
		}

		bool showSteps(Office& _office, const std::string& _when)
		{
			bool clean = true;
			for (const nlohmann::json& record : _office.engineRecords())
			{
				say(fmt::format("  {}: {} busy steps {}, mean skew {:.0f}%, map epochs {}, steps on different maps {}", record["group"].get<std::string>(), record["busySteps"].get<int>(), _when, 100.0 * record["meanSkew"].get<double>(), record["epochs"].dump(), record["mapViolations"].get<int>()));
				clean = clean && 0 == record["mapViolations"].get<int>();
			}
			return clean;
		}

		/// A few experts get most of the tokens, as in a season.
		void drift(Office& _office)
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
					clean = 0 == daemon->process->waitForExit(kStopMs) && clean;
				}
			};
			stop(_office.entries());
			stop(_office.agents());
			return clean;
		}

		int run(const std::string& _file)
		{
			OfficeOptions setup;
			setup.file = _file;
			Office office(setup);
			say(fmt::format("office {}: {} entries in {} zones, {} agents before their upstreams", office.document().office, office.entries().size(), office.document().zones.size(), office.agents().size()));
			say("apply " + _file);
			showApply(office.apply());
			if (!office.waitReady())
			{
				say("the office did not get ready");
				return 1;
			}
			LoadOptions options = office.loadOptions();
			options.perSecond = kPerSecond;
			options.requests = kRequests;
			say(fmt::format("load: {} requests at {}/s; one organisation's limit changes and is applied meanwhile", options.requests, options.perSecond));
			LoadResult result;
			std::thread load([&] {
				result = runLoad(options);
			});
			waitUntil(3'000, [] {
				return false;
			});
			const bool before = showSteps(office, "before the drift");
			drift(office);
			const std::string changed = office.changedFile("changed.json", [](nlohmann::json& _json) {
				_json["organisations"][2]["requestsPerSecond"] = 60;
			});
			const CommandResult applied = office.apply(changed);
			showApply(applied);
			load.join();
			showWhere(result);
			showFigures(result);
			const bool after = showSteps(office, "after it");
			const Violations violations = judge(result, office.runs());
			say(fmt::format("judged by the stand-ins' records: foreign answers {}, cut answers that looked whole {}, ran though told not run {}, ran twice {}, left without an answer {}", violations.foreign, violations.cutClean, violations.falseNotRun, violations.doubled, violations.silent));
			const bool stopped = stopAll(office);
			say(stopped ? "all daemons stopped in order" : "a daemon did not stop in order");
			const LoadFigures figures = figuresOf(result);
			const bool good = 0 == violations.total() && figures.calls == figures.whole && 0 == applied.exitCode && before && after && stopped;
			say(good ? "nothing was lost, doubled, mixed up or cut" : "SOMETHING WENT WRONG, see above");
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
