#include "base/crash_rows.h"

namespace archdyke
{
	namespace
	{
		constexpr char kSeparator = '/';
	} // namespace

	std::string crashPrefixOf(std::string_view _request)
	{
		return kCrashPrefix + std::string(_request) + kSeparator;
	}

	std::string crashKey(const Crash& _crash)
	{
		return crashPrefixOf(_crash.suspect) + _crash.incarnation;
	}

	std::optional<Crash> readCrashKey(std::string_view _key)
	{
		const std::string_view prefix = kCrashPrefix;
		const std::string_view rest = _key.starts_with(prefix) ? _key.substr(prefix.size()) : std::string_view();
		const std::size_t at = rest.find(kSeparator);
		if (0 == at || std::string_view::npos == at || rest.size() == at + 1)
		{
			return std::nullopt;
		}
		return Crash{std::string(rest.substr(0, at)), std::string(rest.substr(at + 1))};
	}
} // namespace archdyke
