#include "lab_process.h"

#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace archdyke::lab
{
	namespace
	{
		constexpr Millis kStartTimeoutMs = 20'000;

		std::string readAll(const std::string& _path)
		{
			std::ifstream file(_path, std::ios::binary);
			std::ostringstream text;
			text << file.rdbuf();
			return text.str();
		}

		/// Replaces the forked child by the program. Makes only async-signal-safe calls.
		[[noreturn]] void execProgram(const char* _program, char* const* _arguments, const char* _log, const char* _output)
		{
			prctl(PR_SET_PDEATHSIG, SIGKILL);
			sigset_t none;
			sigemptyset(&none);
			sigprocmask(SIG_SETMASK, &none, nullptr);
			dup2(open(_log, O_WRONLY | O_CREAT | O_APPEND, 0644), STDERR_FILENO);
			dup2(open(_output, O_WRONLY | O_CREAT | O_TRUNC, 0644), STDOUT_FILENO);
			execv(_program, _arguments);
			_exit(127);
		}
	} // namespace

	void pauseMs(Millis _ms)
	{
		absl::Notification never;
		never.WaitForNotificationWithTimeout(absl::Milliseconds(_ms));
	}

	std::string fieldOf(const std::string& _line, const std::string& _key)
	{
		const std::string prefix = " " + _key + "=";
		const std::size_t at = _line.find(prefix);
		if (std::string::npos == at)
		{
			return "";
		}
		const std::size_t begin = at + prefix.size();
		return _line.substr(begin, _line.find_first_of(" \n", begin) - begin);
	}

	ChildProcess::ChildProcess(const std::string& _program, std::vector<std::string> _arguments, std::string _logPath)
	    : logPath(std::move(_logPath))
	{
		_arguments.insert(_arguments.begin(), _program);
		std::vector<char*> pointers;
		for (std::string& argument : _arguments)
		{
			pointers.push_back(argument.data());
		}
		pointers.push_back(nullptr);
		const std::string outputPath = this->logPath + ".out";
		// Removes the output of an earlier process with the same log path, so that it is not read as this one's.
		std::error_code ignored; // usually there is no such file
		std::filesystem::remove(outputPath, ignored);
		this->pid = fork();
		if (0 == this->pid)
		{
			execProgram(_program.c_str(), pointers.data(), this->logPath.c_str(), outputPath.c_str());
		}
	}

	ChildProcess::~ChildProcess()
	{
		this->kill();
	}

	std::string ChildProcess::listening(const std::string& _field)
	{
		std::string line;
		const bool ready = waitUntil(kStartTimeoutMs, [&] {
			const std::string text = this->log();
			const std::size_t at = text.rfind("event=listening");
			const bool complete = std::string::npos != at && std::string::npos != text.find('\n', at);
			line = complete ? text.substr(at, text.find('\n', at) - at) : "";
			return complete || !this->running();
		});
		if (!ready || line.empty())
		{
			throw std::runtime_error("a process did not report event=listening; its log " + this->logPath + ":\n" + this->log());
		}
		return fieldOf(line, _field);
	}

	void ChildProcess::signal(int _signal)
	{
		if (this->running())
		{
			::kill(this->pid, _signal);
		}
	}

	void ChildProcess::kill()
	{
		this->signal(SIGKILL);
		this->reap(0);
	}

	void ChildProcess::reap(int _options)
	{
		int waitStatus = 0;
		if (!this->status && this->pid == waitpid(this->pid, &waitStatus, _options))
		{
			this->status = WIFEXITED(waitStatus) ? WEXITSTATUS(waitStatus) : -WTERMSIG(waitStatus);
		}
	}

	bool ChildProcess::running()
	{
		this->reap(WNOHANG);
		return !this->status;
	}

	std::optional<int> ChildProcess::waitForExit(Millis _timeoutMs)
	{
		waitUntil(_timeoutMs, [this] {
			return !this->running();
		});
		return this->status;
	}

	pid_t ChildProcess::id() const
	{
		return this->pid;
	}

	std::string ChildProcess::log() const
	{
		return readAll(this->logPath) + readAll(this->logPath + ".out");
	}

	std::string ChildProcess::output() const
	{
		return readAll(this->logPath + ".out");
	}
} // namespace archdyke::lab
