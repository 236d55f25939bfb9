#include "archdyke/crash_blame.h"

#include <algorithm>

namespace archdyke
{
	namespace
	{
		bool counts(Millis _at, Millis _now)
		{
			return _now < _at + kBlameMs;
		}
	} // namespace

	bool noteCrash(CrashTable& _table, const Crash& _crash, Millis _at)
	{
		return _table.crashes[_crash.request].emplace(_crash.incarnation, _at).second;
	}

	std::size_t crashesOf(const CrashTable& _table, const std::string& _request, Millis _now)
	{
		const auto found = _table.crashes.find(_request);
		if (_table.crashes.end() == found)
		{
			return 0;
		}
		return std::size_t(std::count_if(found->second.begin(), found->second.end(), [_now](const auto& _crash) {
			return counts(_crash.second, _now);
		}));
	}
} // namespace archdyke
