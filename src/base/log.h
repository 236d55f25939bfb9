/// Structured logs on standard output: one line of key=value fields for each decision on a request and for each
/// change of the process's state.
///
/// The lines of each event are rate-limited; the next line reports how many were omitted. Logging never blocks:
/// while the reader of the output is behind, lines are dropped.
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

	/// Sets the process name that is written in each line.
	void setLogName(const std::string& _name);

	void logInfo(std::string_view _event, std::initializer_list<LogField> _fields = {});
	void logWarning(std::string_view _event, std::initializer_list<LogField> _fields = {});
	void logError(std::string_view _event, std::initializer_list<LogField> _fields = {});
} // namespace archdyke
