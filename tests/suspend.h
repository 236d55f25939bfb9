/// Processes that a test can suspend like a machine: they are stopped, and their steady clock doesn't count that time.
#pragma once

#include <criterion/criterion.h>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>

#include "lab_process.h"

namespace archdyke::tests
{
	/// Controls the steady clock of the processes that it starts.
	class SuspendableClock
	{
	public:
		explicit SuspendableClock(const std::string& _directory)
		    : path(_directory + "/suspended-")
		{
		}

		/// Calls _start; the processes that it starts can be suspended.
		void start(const std::function<void()>& _start) const
		{
			setenv("LD_PRELOAD", ARCHDYKE_SUSPEND_CLOCK, 1); // NOLINT(concurrency-mt-unsafe): no other thread yet
			setenv("ARCHDYKE_TEST_SUSPENDED", this->path.c_str(), 1);
			_start();
			unsetenv("LD_PRELOAD");
			unsetenv("ARCHDYKE_TEST_SUSPENDED");
		}

		/// Suspends a process for at least _ms and calls _meanwhile during the suspension.
		void suspend(lab::ChildProcess& _process, Millis _ms, const std::function<void()>& _meanwhile)
		{
			constexpr Millis kRoundingMs = 2; // a steady clock never goes back
			_process.signal(SIGSTOP);
			cr_assert(lab::waitUntil(kStopTimeoutMs, [&] {
				return isStopped(_process.id());
			}));
			const Millis since = nowMs();
			_meanwhile();
			lab::pauseMs(std::max<Millis>(0, since + _ms - nowMs()));
			Millis& suspendedMs = this->suspendedMsByProcess[_process.id()];
			suspendedMs += nowMs() - since - kRoundingMs;
			std::ofstream(this->path + std::to_string(_process.id())) << suspendedMs << std::flush;
			_process.signal(SIGCONT);
		}

	private:
		static constexpr Millis kStopTimeoutMs = 5'000;

		/// @returns Whether a process is stopped, as SIGSTOP takes effect with a delay.
		static bool isStopped(pid_t _process)
		{
			std::ifstream file("/proc/" + std::to_string(_process) + "/stat");
			std::string text;
			std::getline(file, text);
			const std::size_t name = text.rfind(") ");
			return std::string::npos != name && 'T' == text[name + 2];
		}

		const std::string path;
		std::map<pid_t, Millis> suspendedMsByProcess; ///< Total suspended time by process, ms.
	};
} // namespace archdyke::tests
