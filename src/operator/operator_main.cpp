/// archdyke: command-line tool for operators.
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "archdyke/document.h"
#include "base/http_call.h"
#include "base/process.h"
#include "base/version.h"
#include "operator/apply.h"

namespace archdyke
{
	namespace
	{
		using Json = nlohmann::json;

		constexpr Millis kCallTimeoutMs = 2'000;
		/// Maximum sizes of a daemon's response, bytes.
		constexpr std::size_t kMaxHeadBytes = 16'384;
		constexpr std::size_t kMaxDumpBytes = std::size_t(16) << 20;

		enum ExitCode
		{
			kExitOk = 0,
			kExitFailed = 1,
			kExitInvalid = 2,
			kExitConflict = 3,
			kExitPlatform = 4,
			kExitNotAccepted = 5,
			kExitInDoubt = 6
		};

		constexpr const char* kUsage = R"(archdyke: checks, applies and shows the configuration of an office

  archdyke check FILE                       check a file
  archdyke diff FILE --platform ADDRESS     show what applying it would change
  archdyke apply FILE --platform ADDRESS    apply it atomically
  archdyke status --platform ADDRESS        show the versions in force and the state of all VMs
  archdyke dump ADDRESS                     show the state of one process (its admin address)
  archdyke drain ADDRESS                    make one process refuse new work
  archdyke version                          show the version

Exit codes: 0 done, 1 failed, 2 invalid input, 3 another apply came first,
4 the platform doesn't respond, 5 not accepted and nothing changed,
6 unknown whether accepted.
)";

		/// Parsed command line.
		struct Command
		{
			std::string verb;
			std::string argument;
			std::string platform;
			std::uint64_t fromVersion = 0;
			Millis waitMs = 0;
			bool json = false;
		};

		InvalidInputError usageError(const std::string& _where, const std::string& _found, const std::string& _remedy)
		{
			return InvalidInputError("command line", {{_where, _found, _remedy}});
		}

		void print(const Command& _command, const Json& _json, const std::string& _text)
		{
			std::cout << (_command.json ? _json.dump(1, '\t') + "\n" : _text);
		}

		std::string requirePlatform(const Command& _command)
		{
			if (_command.platform.empty())
			{
				throw usageError("--platform", "nothing", "specify the platform's address, or set ARCHDYKE_PLATFORM");
			}
			return _command.platform;
		}

		int runCheck(const Command& _command)
		{
			const Document document = parseDocument(_command.argument, readFile(_command.argument));
			print(_command, {{"valid", true}, {"services", document.services.size()}, {"organisations", document.organisations.size()}, {"zones", document.zones.size()}, {"upstreams", document.upstreams.size()}}, _command.argument + ": valid, " + std::to_string(document.services.size()) + " services, " + std::to_string(document.organisations.size()) + " organisations, " + std::to_string(document.zones.size()) + " zones, " + std::to_string(document.upstreams.size()) + " upstreams\n");
			return kExitOk;
		}

		int runDiff(const Command& _command)
		{
			const Document next = parseDocument(_command.argument, readFile(_command.argument));
			PlatformClient client(requirePlatform(_command), "", kCallTimeoutMs);
			const PublishedConfig published = readPublished(client);
			const Document current = published.head ? parseDocument("version in force", published.bytes) : Document{};
			const std::vector<std::string> lines = diffDocuments(current, next);
			const std::uint64_t version = published.head ? published.head->mark.version : 0;
			std::string text = "against version " + std::to_string(version) + ": " + (lines.empty() ? "no change\n" : std::to_string(lines.size()) + " changes\n");
			for (const std::string& line : lines)
			{
				text += "  " + line + "\n";
			}
			print(_command, {{"version", version}, {"changes", lines}}, text);
			return kExitOk;
		}

		int runApply(const Command& _command)
		{
			const std::string bytes = readFile(_command.argument);
			parseDocument(_command.argument, bytes);
			const ApplyResult result = applyDocument({requirePlatform(_command), _command.argument, _command.fromVersion, _command.waitMs}, bytes);
			Json zones = Json::array();
			std::string text = result.changed ? "version " + std::to_string(result.mark.version) + " accepted after " + std::to_string(result.acceptedAfterMs) + " ms\n" : "version " + std::to_string(result.mark.version) + " is in force already, nothing to change\n";
			for (const ZoneInForce& zone : result.zones)
			{
				zones.push_back({{"zone", zone.zone}, {"inForceAfterMs", zone.afterMs}});
				text += "  " + zone.zone + ": " + (zone.afterMs < 0 ? "not yet in every entry; run \"archdyke status\"" : "in force " + std::to_string(zone.afterMs) + " ms after acceptance") + "\n";
			}
			print(_command, {{"version", result.mark.version}, {"digest", result.mark.digest}, {"changed", result.changed}, {"acceptedAfterMs", result.acceptedAfterMs}, {"zones", zones}}, text);
			return kExitOk;
		}

		std::optional<HttpResponse> callDaemon(const std::string& _address, const HttpRequest& _request)
		{
			return fetchHttp(parseAddress(_address), _request, {kCallTimeoutMs, kCallTimeoutMs, {kMaxHeadBytes, kMaxDumpBytes}});
		}

		Json readDump(const std::string& _address)
		{
			const std::optional<HttpResponse> response = callDaemon(_address, {"GET", "/dump", {}, ""});
			const Json dump = response ? Json::parse(response->body, nullptr, false) : Json();
			return dump.is_object() ? dump : Json{{"reachable", false}};
		}

		int runStatus(const Command& _command)
		{
			PlatformClient client(requirePlatform(_command), "", kCallTimeoutMs);
			const PublishedConfig published = readPublished(client);
			Json json{{"version", published.head ? published.head->mark.version : 0}, {"staged", published.stage ? published.stage->mark.version : 0}, {"entries", Json::array()}, {"agents", Json::array()}};
			std::string text = "accepted version " + json["version"].dump() + "\n";
			for (const Vm& vm : client.vmsSince(0).vms)
			{
				const Json dump = readDump(vm.admin);
				Json item{{"name", vm.name}, {"zone", vm.zone}, {"list", std::string(toString(vm.state))}, {"reachable", dump.value("reachable", true)}};
				std::string line = "  " + vm.zone + " " + vm.name + " " + std::string(toString(vm.state));
				if (!item["reachable"].get<bool>())
				{
					line += " unreachable";
				}
				else if (VmRole::Entry == vm.role)
				{
					item["version"] = dump["config"]["version"];
					item["ready"] = dump["ready"];
					item["inDoubtMs"] = dump["config"]["inDoubtMs"];
					line += " version " + item["version"].dump() + (dump["ready"].get<bool>() ? " ready" : " not ready") + (0 < dump["config"]["inDoubtMs"].get<Millis>() ? " holds a staged version that may or may not have been accepted" : "");
				}
				else
				{
					item["running"] = dump["running"];
					item["leaving"] = dump["leaving"];
					line += " running " + item["running"].dump() + (dump["leaving"].get<bool>() ? " leaving" : "");
				}
				json[VmRole::Entry == vm.role ? "entries" : "agents"].push_back(item);
				text += line + "\n";
			}
			print(_command, json, text);
			return kExitOk;
		}

		int runDump(const Command& _command)
		{
			const Json dump = readDump(_command.argument);
			if (!dump.value("reachable", true))
			{
				throw ArchdykeError("no response from " + _command.argument + ": check that it is the admin address of a running process");
			}
			std::cout << dump.dump(1, '\t') << "\n";
			return kExitOk;
		}

		int runDrain(const Command& _command)
		{
			const std::optional<HttpResponse> response = callDaemon(_command.argument, {"POST", "/drain", {{"Content-Type", "application/json"}}, ""});
			if (!response || 200 != response->head.status)
			{
				throw ArchdykeError("no response from " + _command.argument + ": check that it is the admin address of a running process");
			}
			print(_command, {{"draining", true}}, _command.argument + " refuses new work and finishes its runs\n");
			return kExitOk;
		}

		Command readCommand(int _argc, char** _argv)
		{
			cxxopts::Options options("archdyke", "");
			options.add_options()("verb", "", cxxopts::value<std::string>()->default_value("help"))("argument", "", cxxopts::value<std::string>()->default_value(""))("platform", "", cxxopts::value<std::string>()->default_value(""))("from", "", cxxopts::value<std::uint64_t>()->default_value("0"))("wait-ms", "", cxxopts::value<Millis>()->default_value("5000"))("output", "", cxxopts::value<std::string>()->default_value("text"))("h,help", "");
			options.parse_positional({"verb", "argument"});
			const cxxopts::ParseResult parsed = options.parse(_argc, _argv);
			Command command;
			command.verb = 0 < parsed.count("help") ? "help" : parsed["verb"].as<std::string>();
			command.argument = parsed["argument"].as<std::string>();
			command.platform = parsed["platform"].as<std::string>();
			if (const char* fromEnvironment = std::getenv("ARCHDYKE_PLATFORM"); nullptr != fromEnvironment && command.platform.empty())
			{
				command.platform = fromEnvironment;
			}
			command.fromVersion = parsed["from"].as<std::uint64_t>();
			command.waitMs = parsed["wait-ms"].as<Millis>();
			const std::string output = parsed["output"].as<std::string>();
			if ("json" != output && "text" != output)
			{
				throw usageError("--output", "\"" + output + "\"", "write text or json");
			}
			command.json = "json" == output;
			return command;
		}

		int runCommand(const Command& _command)
		{
			if ("help" == _command.verb || "version" == _command.verb)
			{
				std::cout << ("help" == _command.verb ? kUsage : std::string("archdyke ") + kVersion + "\n");
				return kExitOk;
			}
			static const std::map<std::string, int (*)(const Command&)> kVerbs{{"check", runCheck}, {"diff", runDiff}, {"apply", runApply}, {"status", runStatus}, {"dump", runDump}, {"drain", runDrain}};
			const auto verb = kVerbs.find(_command.verb);
			if (kVerbs.end() == verb)
			{
				throw usageError("command", "\"" + _command.verb + "\"", "see archdyke --help");
			}
			if ("status" != _command.verb && _command.argument.empty())
			{
				throw usageError(_command.verb, "no argument", "see archdyke --help");
			}
			return verb->second(_command);
		}

		template <typename Run>
		int withExitCode(Run _run)
		{
			const auto reportError = [](const std::exception& _error, ExitCode _code) {
				std::cerr << "archdyke: " << _error.what() << "\n";
				return int(_code);
			};
			try
			{
				return _run();
			}
			catch (const InvalidInputError& error)
			{
				return reportError(error, kExitInvalid);
			}
			catch (const ConflictError& error)
			{
				return reportError(error, kExitConflict);
			}
			catch (const PlatformError& error)
			{
				return reportError(error, kExitPlatform);
			}
			catch (const NotAcceptedError& error)
			{
				return reportError(error, kExitNotAccepted);
			}
			catch (const InDoubtError& error)
			{
				return reportError(error, kExitInDoubt);
			}
			catch (const std::exception& error)
			{
				return reportError(error, kExitFailed);
			}
		}
	} // namespace
} // namespace archdyke

int main(int _argc, char** _argv)
{
	return archdyke::withExitCode([&] {
		return archdyke::runCommand(archdyke::readCommand(_argc, _argv));
	});
}
