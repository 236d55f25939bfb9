/// archdyke-load: sends a bounded open-loop load to running entries and prints a report.
#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "archdyke/document.h"
#include "base/process.h"
#include "load.h"

namespace archdyke::lab
{
	namespace
	{
		constexpr std::uint32_t kMaxRequests = 1'000'000;

		LoadOptions readOptions(const cxxopts::ParseResult& _parsed)
		{
			const std::string file = _parsed["file"].as<std::string>();
			const Document document = parseDocument(file, readFile(file));
			LoadOptions options = loadOptionsFor(document);
			options.entries = _parsed["entry"].as<std::vector<std::string>>();
			options.perSecond = _parsed["rate"].as<double>();
			options.requests = std::min(kMaxRequests, _parsed["requests"].as<std::uint32_t>());
			options.tokens = _parsed["tokens"].as<std::uint32_t>();
			options.seed = _parsed["seed"].as<std::uint64_t>();
			return options;
		}

		void printReport(const LoadResult& _result, bool _json)
		{
			const LoadSummary figures = summarizeLoad(_result);
			const nlohmann::json json{{"calls", figures.calls}, {"whole", figures.whole}, {"notRun", figures.notRun}, {"unknown", figures.unknown}, {"broken", figures.broken}, {"firstByteMs", {{"p50", figures.firstP50}, {"p95", figures.firstP95}, {"p99", figures.firstP99}}}, {"totalMs", {{"p50", figures.totalP50}, {"p99", figures.totalP99}}}, {"reasons", figures.reasons}};
			if (_json)
			{
				std::cout << json.dump(1, '\t') << "\n";
				return;
			}
			std::cout << "calls " << figures.calls << ", whole " << figures.whole << ", not run " << figures.notRun << ", unknown " << figures.unknown << ", broken off " << figures.broken << "\n"
			          << "first byte ms: p50 " << figures.firstP50 << ", p95 " << figures.firstP95 << ", p99 " << figures.firstP99 << "\n"
			          << "whole answer ms: p50 " << figures.totalP50 << ", p99 " << figures.totalP99 << "\n";
			for (const auto& [reason, count] : figures.reasons)
			{
				std::cout << "  " << reason << ": " << count << "\n";
			}
		}

		int run(int _argc, char** _argv)
		{
			cxxopts::Options options("archdyke-load", "Sends a bounded load to running entries and checks every response.");
			options.add_options()("file", "The operators' file", cxxopts::value<std::string>())("entry", "Address of an entry; may be repeated", cxxopts::value<std::vector<std::string>>())("rate", "Requests per second", cxxopts::value<double>()->default_value("50"))("requests", "Total number of requests", cxxopts::value<std::uint32_t>()->default_value("200"))("tokens", "Tokens of each model response", cxxopts::value<std::uint32_t>()->default_value("24"))("seed", "Seed of the random choice of calls", cxxopts::value<std::uint64_t>()->default_value("1"))("output", "text or json", cxxopts::value<std::string>()->default_value("text"))("h,help", "Print this help");
			const cxxopts::ParseResult parsed = options.parse(_argc, _argv);
			if (0 < parsed.count("help") || 0 == parsed.count("file") || 0 == parsed.count("entry"))
			{
				std::cout << options.help();
				return 0 < parsed.count("help") ? 0 : 2;
			}
			const LoadResult result = runLoad(readOptions(parsed));
			printReport(result, "json" == parsed["output"].as<std::string>());
			return 0;
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
		std::cerr << "archdyke-load: " << error.what() << "\n";
		return 2;
	}
}
