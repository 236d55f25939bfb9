/// Child processes of a lab: started with their log in a file, stopped with it.
#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

#include "archdyke/types.h"

namespace archdyke::lab
{
	class ChildProcess
	{
	public:
		/// Starts a program. Its standard error and output go to files beside _logPath.
		ChildProcess(const std::string& _program, std::vector<std::string> _arguments, std::string _logPath);
		~ChildProcess();
		ChildProcess(const ChildProcess&) = delete;
		ChildProcess& operator=(const ChildProcess&) = delete;

		/// Waits for the log line event=listening.
		/// @returns The value of one of its fields.
		/// @throws std::runtime_error When it doesn't come within 20 s or the process ends.
		std::string listening(const std::string& _field);

		void signal(int _signal);

		/// Kills it and waits for its end.
		void kill();

		/// @returns Exit code, -signal for a death by signal; none when the time has come.
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

	/// Waits until a condition holds; looks every 10 ms.
	/// @returns Whether it held in time.
	template <typename Holds>
	bool waitUntil(Millis _timeoutMs, Holds _holds);

	/// Lets time pass: between two looks at a condition, or while a fault lasts.
	void pauseMs(Millis _ms);

	/// @returns The value of a key in a key=value line; empty when it isn't there.
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
