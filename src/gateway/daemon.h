/// Shared parts of the main functions of event-loop daemons.
#pragma once

#include <functional>
#include <kj/async-unix.h>
#include <optional>
#include <string>

namespace archdyke::gateway
{
	/// Parses --settings FILE, or --settings-from VARIABLE, where the environment variable holds the path.
	/// @returns The path; none when help or the version was printed.
	/// @throws InvalidInputError When neither is given, or the variable isn't set.
	std::optional<std::string> parseSettingsPath(const std::string& _name, const std::string& _purpose, int _argc, char** _argv);

	/// Makes the event loop receive SIGTERM, SIGINT and SIGHUP. Must be called before the loop is created.
	void captureSignals();

	/// @returns A promise that is fulfilled by the first SIGTERM or SIGINT.
	kj::Promise<void> stopSignal(kj::UnixEventPort& _port);

	/// Runs a daemon's main function and prints errors, with their remedies, to standard error.
	/// @returns Exit code: 0, or 2 after an error.
	int runGuarded(const std::string& _name, const std::function<void()>& _run);
} // namespace archdyke::gateway
