#include "gateway/daemon.h"
#include "base/process.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "archdyke/errors.h"
#include "base/log.h"
#include "base/version.h"

namespace archdyke::gateway
{
	std::optional<std::string> parseSettingsPath(const std::string& _name, const std::string& _purpose, int _argc, char** _argv)
	{
		cxxopts::Options options(_name, _purpose);
		options.add_options()("s,settings", "Settings file, JSON with comments", cxxopts::value<std::string>())("settings-from", "Environment variable that holds the path of the settings file", cxxopts::value<std::string>())("v,version", "Print the version")("h,help", "Print this help");
		const cxxopts::ParseResult arguments = options.parse(_argc, _argv);
		if (0 < arguments.count("help") || 0 < arguments.count("version"))
		{
			std::cout << (0 < arguments.count("help") ? options.help() : _name + " " + kVersion + "\n");
			return std::nullopt;
		}
		if (0 < arguments.count("settings"))
		{
			return arguments["settings"].as<std::string>();
		}
		if (0 == arguments.count("settings-from"))
		{
			throw InvalidInputError("command line", {{"--settings", "nothing", "name the settings file: " + _name + " --settings FILE"}});
		}
		const std::string variable = arguments["settings-from"].as<std::string>();
		const char* path = std::getenv(variable.c_str()); // NOLINT(concurrency-mt-unsafe): before any thread starts
		if (nullptr == path)
		{
			throw InvalidInputError("environment", {{variable, "nothing", "set it to the path of the settings file"}});
		}
		return std::string(path);
	}

	void captureSignals()
	{
		for (const int number : {SIGTERM, SIGINT, SIGHUP})
		{
			kj::UnixEventPort::captureSignal(number);
		}
	}

	kj::Promise<void> stopSignal(kj::UnixEventPort& _port)
	{
		return _port.onSignal(SIGTERM).exclusiveJoin(_port.onSignal(SIGINT)).then([](siginfo_t&& _info) {
			logInfo("stop_signal", {{"signal", _info.si_signo}});
		});
	}

	int runGuarded(const std::string& _name, const std::function<void()>& _run)
	{
		constexpr int kStartFailed = 2;
		returnFreedMemory();
		try
		{
			_run();
			return 0;
		}
		catch (const kj::Exception& error)
		{
			std::cerr << _name << ": " << error.getDescription().cStr() << "\n";
		}
		catch (const std::exception& error)
		{
			std::cerr << _name << ": " << error.what() << "\n";
		}
		return kStartFailed;
	}
} // namespace archdyke::gateway
