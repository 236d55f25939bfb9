/// Structured logs on standard output: one key=value line for each decision on a request and
/// for each change of what the process believes.
///
/// Lines of one event are bounded in rate; the next line says how many were left out. A
/// reader that doesn't read costs lines, never time.
#pragma once

#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>

namespace archdyke
{
	/// One key and its value.
	struct LogField
	{
		template <typename Value>
		LogField(std::string_view _key, const Value& _value)
		    : key(_key)
		    , value(fmt::format("{}", _value))
		{
		}

		std::string_view key;
		std::string value;
	};

	/// Sets the process name that every line bears.
	void setLogName(const std::string& _name);

	void logInfo(std::string_view _event, std::initializer_list<LogField> _fields = {});
	void logWarning(std::string_view _event, std::initializer_list<LogField> _fields = {});
	void logError(std::string_view _event, std::initializer_list<LogField> _fields = {});
} // namespace archdyke
