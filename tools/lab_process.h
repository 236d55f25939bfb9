/// Child processes of the test tools, with their logs in files.
#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

#include "archdyke/types.h"

namespace archdyke::lab
{
	/// A child process, which is killed when this object is destroyed.
	class ChildProcess
	{
	public:
		/// Starts a program. Its standard error is appended to _logPath, its standard output is
		/// written to _logPath + ".out".
		ChildProcess(const std::string& _program, std::vector<std::string> _arguments, std::string _logPath);
		~ChildProcess();
		ChildProcess(const ChildProcess&) = delete;
		ChildProcess& operator=(const ChildProcess&) = delete;

		/// Waits for the log line event=listening.
		/// @returns The value of one of its fields.
		/// @throws std::runtime_error When the line does not appear within 20 s or the process exits.
		std::string listening(const std::string& _field);

		void signal(int _signal);

		/// Kills the process and waits until it has exited.
		void kill();

		/// @returns Exit code, or the negated number of the signal that ended the process; nothing on a timeout.
		std::optional<int> waitForExit(Millis _timeoutMs);

		bool running();
		pid_t id() const;
		std::string log() const;
		std::string output() const;

	private:
		void reap(int _options);

		const std::string logPath;
		pid_t pid = -1;
		std::optional<int> status;
	};

	/// Waits until a condition holds; checks it every 10 ms.
	/// @returns Whether it held before the timeout.
	template <typename Holds>
	bool waitUntil(Millis _timeoutMs, Holds _holds);

	/// Blocks the calling thread.
	void pauseMs(Millis _ms);

	/// @returns The value of a key in a line of key=value pairs; empty when the key is missing.
	std::string fieldOf(const std::string& _line, const std::string& _key);
} // namespace archdyke::lab

#include "base/process.h"

namespace archdyke::lab
{
	template <typename Holds>
	bool waitUntil(Millis _timeoutMs, Holds _holds)
	{
		const Millis until = nowMs() + _timeoutMs;
		while (!_holds())
		{
			if (until <= nowMs())
			{
				return false;
			}
			pauseMs(10);
		}
		return true;
	}
} // namespace archdyke::lab
