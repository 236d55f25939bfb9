/// What the event-loop daemons' main functions have in common.
#pragma once

#include <functional>
#include <kj/async-unix.h>
#include <optional>
#include <string>

namespace archdyke::gateway
{
	/// Reads --settings FILE, or --settings-from VARIABLE that names the variable with its path.
	/// @returns The path; none when help or the version was printed.
	/// @throws InvalidInputError When neither is there.
	std::optional<std::string> settingsPath(const std::string& _name, const std::string& _purpose, int _argc, char** _argv);

	/// Lets an event loop take SIGTERM, SIGINT and SIGHUP. Call it before the loop is made.
	void captureSignals();

	/// @returns A promise that is fulfilled by the first stop signal.
	kj::Promise<void> stopSignal(kj::UnixEventPort& _port);

	/// Runs a daemon's main function; errors go to standard error with their remedy.
	/// @returns Exit code.
	int guardMain(const std::string& _name, const std::function<void()>& _run);
} // namespace archdyke::gateway
