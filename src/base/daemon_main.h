/// Main function shared by the daemons.
#pragma once

#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "archdyke/errors.h"
#include "base/log.h"
#include "base/process.h"
#include "base/version.h"

namespace archdyke
{
	/// Reads the command line and the settings, runs a process until a stop signal arrives, then stops it.
	/// @param[in] _load Reads the settings file.
	/// @returns Exit code: 0, or 2 with a message if the process can't start.
	template <typename Process, typename Load>
	int runDaemon(const std::string& _name, const std::string& _purpose, Load _load, int _argc, char** _argv)
	{
		constexpr int kExitStartFailed = 2;
		returnFreedMemory();
		blockStopSignals();
		try
		{
			cxxopts::Options options(_name, _purpose);
			options.add_options()("s,settings", "Settings file, JSON with comments", cxxopts::value<std::string>())("v,version", "Print the version")("h,help", "Print this help");
			const cxxopts::ParseResult arguments = options.parse(_argc, _argv);
			if (0 < arguments.count("help") || 0 < arguments.count("version"))
			{
				std::cout << (0 < arguments.count("help") ? options.help() : _name + " " + kVersion + "\n");
				return 0;
			}
			if (0 == arguments.count("settings"))
			{
				throw InvalidInputError("command line", {{"--settings", "nothing", "name the settings file: " + _name + " --settings FILE"}});
			}
			auto settings = _load(arguments["settings"].template as<std::string>());
			setLogName(settings.name);
			Process process(std::move(settings));
			waitForStopSignal();
			process.stop();
			return 0;
		}
		catch (const std::exception& error)
		{
			std::cerr << _name << ": " << error.what() << "\n";
			return kExitStartFailed;
		}
	}
} // namespace archdyke
