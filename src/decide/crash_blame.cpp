#include "archdyke/crash_blame.h"

#include <algorithm>
#include <functional>

namespace archdyke
{
	namespace
	{
		bool isCurrent(Millis _at, Millis _now)
		{
			return _now < _at + kCrashLifetimeMs;
		}
	} // namespace

	bool recordCrash(CrashTable& _table, const Crash& _crash, Millis _at)
	{
		return _table.byRequest[_crash.request].emplace(_crash.incarnation, _at).second;
	}

	void removeCrash(CrashTable& _table, const Crash& _crash)
	{
		const auto found = _table.byRequest.find(_crash.request);
		if (_table.byRequest.end() == found)
		{
			return;
		}
		found->second.erase(_crash.incarnation);
		if (found->second.empty())
		{
			_table.byRequest.erase(found);
		}
	}

	bool isHeld(const CrashTable& _table, const Crash& _crash)
	{
		const auto found = _table.byRequest.find(_crash.request);
		return _table.byRequest.end() != found && found->second.contains(_crash.incarnation);
	}

	std::vector<Crash> clearRequest(CrashTable& _table, const std::string& _request)
	{
		std::vector<Crash> cleared;
		const auto found = _table.byRequest.find(_request);
		if (_table.byRequest.end() == found)
		{
			return cleared;
		}
		for (const auto& [incarnation, at] : found->second)
		{
			cleared.push_back({_request, incarnation});
		}
		_table.byRequest.erase(found);
		return cleared;
	}

	std::size_t countCrashes(const CrashTable& _table, const std::string& _request, Millis _now)
	{
		const auto found = _table.byRequest.find(_request);
		if (_table.byRequest.end() == found)
		{
			return 0;
		}
		return std::size_t(std::count_if(found->second.begin(), found->second.end(), [_now](const auto& _crash) {
			return isCurrent(_crash.second, _now);
		}));
	}

	std::optional<Millis> remainingRefusalMs(const CrashTable& _table, const std::string& _request, Millis _now)
	{
		const auto found = _table.byRequest.find(_request);
		if (_table.byRequest.end() == found || found->second.size() < kCrashesToRefuse)
		{
			return std::nullopt;
		}
		std::vector<Millis> times;
		for (const auto& [incarnation, at] : found->second)
		{
			times.push_back(at);
		}
		// The kCrashesToRefuse newest crashes decide: the request may run again once one of them expires.
		const auto oldestDeciding = times.begin() + (kCrashesToRefuse - 1);
		std::nth_element(times.begin(), oldestDeciding, times.end(), std::greater<>());
		const Millis remainingMs = *oldestDeciding + kCrashLifetimeMs - _now;
		return 0 < remainingMs ? std::optional(remainingMs) : std::nullopt;
	}

	std::vector<RefusedRequest> refusedRequests(const CrashTable& _table, Millis _now)
	{
		std::vector<RefusedRequest> refused;
		for (const auto& [request, crashes] : _table.byRequest)
		{
			const std::optional<Millis> remainingMs = remainingRefusalMs(_table, request, _now);
			if (remainingMs)
			{
				refused.push_back({request, *remainingMs});
			}
		}
		return refused;
	}

	std::vector<Crash> removeExpiredCrashes(CrashTable& _table, Millis _now)
	{
		std::vector<Crash> forgotten;
		for (const auto& [request, crashes] : _table.byRequest)
		{
			for (const auto& [incarnation, at] : crashes)
			{
				if (!isCurrent(at, _now))
				{
					forgotten.push_back({request, incarnation});
				}
			}
		}
		for (const Crash& crash : forgotten)
		{
			removeCrash(_table, crash);
		}
		return forgotten;
	}

	void recordCompletion(RecentCompletions& _runs, std::size_t _request, Millis _now)
	{
		if (kGenerationMs <= _now - _runs.newerSince)
		{
			const bool isNextGeneration = _now - _runs.newerSince < 2 * kGenerationMs;
			_runs.older = isNextGeneration ? std::move(_runs.newer) : absl::flat_hash_set<std::size_t>();
			_runs.newer.clear();
			_runs.newerSince = _now;
		}
		if (_runs.newer.size() < kMaxRunsPerGeneration)
		{
			_runs.newer.insert(_request);
		}
	}

	bool completedRecently(const RecentCompletions& _runs, std::size_t _request, Millis _now)
	{
		const Millis age = _now - _runs.newerSince;
		return (age < 2 * kGenerationMs && _runs.newer.contains(_request)) || (age < kGenerationMs && _runs.older.contains(_request));
	}
} // namespace archdyke
