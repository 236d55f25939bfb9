#include "base/log.h"

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <chrono>
#include <fmt/chrono.h>
#include <optional>
#include <poll.h>
#include <unistd.h>

#include "base/process.h"

namespace archdyke
{
	namespace
	{
		std::string& logName()
		{
			static std::string name = "-";
			return name;
		}

		bool needsQuotes(const std::string& _value)
		{
			return _value.empty() || std::string::npos != _value.find_first_of(" =\"\n\t");
		}

		void appendValue(std::string& _line, const std::string& _value)
		{
			if (!needsQuotes(_value))
			{
				_line += _value;
				return;
			}
			_line += '"';
			for (const char c : _value)
			{
				if ('"' == c || '\\' == c)
				{
					_line += '\\';
				}
				_line += '\n' == c ? ' ' : c;
			}
			_line += '"';
		}

		/// Rate limit of each event: maximum burst in lines, and lines per second. Above the request rate of a gateway
		/// on a usual day (10 per second); limits the output of an event to about 10 KB per second.
		constexpr double kMaxBurstLines = 100.0;
		constexpr double kLinesPerSecond = 40.0;

		/// Remaining rate budget of one event.
		struct EventBudget
		{
			double lines = kMaxBurstLines;
			Millis refilledAt = 0;
			std::uint64_t omitted = 0;
		};

		/// Rate-limited output of the process.
		class Output
		{
		public:
			/// @returns Number of the event's lines omitted since its last line; none if this line must be omitted too.
			std::optional<std::uint64_t> admit(std::string_view _event)
			{
				absl::MutexLock lock(&this->mutex);
				EventBudget& budget = this->budgets[std::string(_event)];
				const Millis now = nowMs();
				budget.lines = std::min(kMaxBurstLines, budget.lines + double(now - budget.refilledAt) * kLinesPerSecond / 1000.0);
				budget.refilledAt = now;
				if (budget.lines < 1.0)
				{
					budget.omitted += 1;
					return std::nullopt;
				}
				budget.lines -= 1.0;
				return std::exchange(budget.omitted, 0);
			}

			/// Writes a line unless the reader is behind: a pipe that polls as writable accepts up to PIPE_BUF bytes
			/// without blocking.
			void put(std::string_view _event, const std::string& _line)
			{
				absl::MutexLock lock(&this->mutex);
				pollfd ready{STDOUT_FILENO, POLLOUT, 0};
				const bool written = 1 == poll(&ready, 1, 0) && 0 != (ready.revents & POLLOUT) && 0 < ::write(STDOUT_FILENO, _line.data(), _line.size());
				if (!written)
				{
					this->budgets[std::string(_event)].omitted += 1;
				}
			}

		private:
			absl::Mutex mutex;
			absl::flat_hash_map<std::string, EventBudget> budgets ABSL_GUARDED_BY(mutex);
		};

		Output& output()
		{
			static Output shared;
			return shared;
		}

		void write(std::string_view _level, std::string_view _event, std::initializer_list<LogField> _fields)
		{
			const std::optional<std::uint64_t> omitted = output().admit(_event);
			if (!omitted)
			{
				return;
			}
			const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
			std::string line = fmt::format("time={:%FT%T}Z level={} process={} event={}", now, _level, logName(), _event);
			for (const LogField& field : _fields)
			{
				line += ' ';
				line += field.key;
				line += '=';
				appendValue(line, field.value);
			}
			line += 0 < *omitted ? fmt::format(" left_out={}\n", *omitted) : "\n";
			constexpr std::size_t kMaxLineBytes = 4'000; // below PIPE_BUF
			if (line.size() > kMaxLineBytes)
			{
				line.resize(kMaxLineBytes);
				line += " cut=true\n";
			}
			output().put(_event, line);
		}
	} // namespace

	void setLogName(const std::string& _name)
	{
		logName() = _name;
	}

	void logInfo(std::string_view _event, std::initializer_list<LogField> _fields)
	{
		write("info", _event, _fields);
	}

	void logWarning(std::string_view _event, std::initializer_list<LogField> _fields)
	{
		write("warning", _event, _fields);
	}

	void logError(std::string_view _event, std::initializer_list<LogField> _fields)
	{
		write("error", _event, _fields);
	}
} // namespace archdyke
