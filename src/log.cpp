#include "log.h"

#include <chrono>
#include <fmt/chrono.h>

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

		void write(std::string_view _level, std::string_view _event, std::initializer_list<LogField> _fields)
		{
			const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
			std::string line = fmt::format("time={:%FT%T}Z level={} process={} event={}", now, _level, logName(), _event);
			for (const LogField& field : _fields)
			{
				line += ' ';
				line += field.key;
				line += '=';
				appendValue(line, field.value);
			}
			line += '\n';
			fmt::print(stderr, "{}", line);
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
