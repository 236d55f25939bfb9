#include "archdyke/crash_blame.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <functional>

namespace archdyke
{
	namespace
	{
		using CrashedRuns = std::map<std::string, CrashedRun>;

		bool isCurrent(const CrashedRun& _run, Millis _now)
		{
			return _now < _run.at + kCrashLifetimeMs;
		}

		/// @returns Whether one event may have ended both runs: they were under way together, and ended at nearly the same time.
		bool mayHaveOneCause(const CrashedRun& _earlier, const CrashedRun& _later)
		{
			return _later.startedAt < _earlier.at && _later.at - _earlier.at < kTogetherMs;
		}

		/// @returns The runs that ended one after the other, the latest first.
		std::vector<CrashedRun> independentRuns(const CrashedRuns& _runs, Millis _now)
		{
			std::vector<CrashedRun> runs;
			for (const auto& [incarnation, run] : _runs)
			{
				if (isCurrent(run, _now))
				{
					runs.push_back(run);
				}
			}
			std::sort(runs.begin(), runs.end(), [](const CrashedRun& _a, const CrashedRun& _b) {
				return _a.at != _b.at ? _b.at < _a.at : _b.startedAt < _a.startedAt;
			});
			std::vector<CrashedRun> chosen;
			for (const CrashedRun& run : runs)
			{
				if (chosen.empty() || !mayHaveOneCause(run, chosen.back()))
				{
					chosen.push_back(run);
				}
			}
			return chosen;
		}

		const CrashedRuns* runsOf(const CrashTable& _table, const std::string& _suspect)
		{
			const auto found = _table.bySuspect.find(_suspect);
			return _table.bySuspect.end() == found ? nullptr : &found->second;
		}

		/// Updates whether a suspect is blamed after its crashes changed.
		void updateBlame(CrashTable& _table, const std::string& _suspect)
		{
			const CrashedRuns* runs = runsOf(_table, _suspect);
			if (nullptr != runs && kCrashesToRefuse <= independentRuns(*runs, 0).size())
			{
				_table.blamed.insert(_suspect);
			}
			else
			{
				_table.blamed.erase(_suspect);
			}
		}

		void dropSuspectOf(CrashTable& _table, const std::string& _incarnation)
		{
			const auto found = _table.suspectsOf.find(_incarnation);
			if (_table.suspectsOf.end() != found && 0 == --found->second)
			{
				_table.suspectsOf.erase(found);
			}
		}

		/// @returns How much longer a suspect is blamed, ms; none if it isn't.
		std::optional<Millis> remainingBlameMs(const CrashTable& _table, const std::string& _suspect, Millis _now)
		{
			if (!_table.blamed.contains(_suspect))
			{
				return std::nullopt;
			}
			const std::vector<CrashedRun> runs = independentRuns(*runsOf(_table, _suspect), _now);
			if (runs.size() < kCrashesToRefuse)
			{
				return std::nullopt;
			}
			// The kCrashesToRefuse newest crashes decide: the suspect may run again once one of them expires.
			return runs[kCrashesToRefuse - 1].at + kCrashLifetimeMs - _now;
		}

		/// Removes the crashes of a set that a suspect shares.
		/// @returns How many were removed.
		std::size_t removeShared(absl::flat_hash_set<std::string>& _incarnations, const CrashedRuns& _runs, Millis _now)
		{
			return absl::erase_if(_incarnations, [&](const std::string& _incarnation) {
				const auto found = _runs.find(_incarnation);
				return _runs.end() != found && isCurrent(found->second, _now);
			});
		}

		std::size_t countShared(const absl::flat_hash_set<std::string>& _incarnations, const CrashedRuns& _runs, Millis _now)
		{
			absl::flat_hash_set<std::string> left = _incarnations;
			return removeShared(left, _runs, _now);
		}

		/// @returns Whether a few blamed suspects that a request doesn't contain account for the crashes of one that it contains:
		/// each for several crashes that the others don't account for.
		bool isExplainedByOthers(const CrashTable& _table, const std::string& _suspect, const std::vector<std::string>& _contained, Millis _now)
		{
			absl::flat_hash_set<std::string> unexplained;
			for (const auto& [incarnation, run] : *runsOf(_table, _suspect))
			{
				if (isCurrent(run, _now))
				{
					unexplained.insert(incarnation);
				}
			}
			// With few crashes one other suspect suffices that shares all but the stray ones.
			std::size_t minShared = std::min(kCrashesToRefuse, unexplained.size() - kStrayCrashes);
			while (kStrayCrashes < unexplained.size())
			{
				const CrashedRuns* best = nullptr;
				std::size_t bestShared = minShared - 1;
				for (const std::string& other : _table.blamed)
				{
					const bool contained = _contained.end() != std::find(_contained.begin(), _contained.end(), other);
					const std::size_t shared = contained || !remainingBlameMs(_table, other, _now) ? 0 : countShared(unexplained, *runsOf(_table, other), _now);
					if (bestShared < shared)
					{
						best = runsOf(_table, other);
						bestShared = shared;
					}
				}
				if (nullptr == best)
				{
					return false;
				}
				removeShared(unexplained, *best, _now);
				minShared = kCrashesToRefuse;
			}
			return true;
		}
	} // namespace

	std::string partSuspect(std::uint64_t _part)
	{
		return absl::StrCat("part-", absl::Hex(_part));
	}

	bool recordCrash(CrashTable& _table, const Crash& _crash, const CrashedRun& _run)
	{
		const CrashedRuns* known = runsOf(_table, _crash.suspect);
		const auto suspects = _table.suspectsOf.find(_crash.incarnation);
		const bool full = _table.suspectsOf.end() != suspects && kMaxSuspectsPerCrash <= suspects->second;
		if (nullptr == known && full)
		{
			return false;
		}
		const auto [found, isNew] = _table.bySuspect[_crash.suspect].emplace(_crash.incarnation, _run);
		if (isNew)
		{
			_table.suspectsOf[_crash.incarnation] += 1;
		}
		else
		{
			// Of several runs that ended there, the one that began last.
			found->second.startedAt = std::max(found->second.startedAt, std::min(_run.startedAt, found->second.at));
		}
		updateBlame(_table, _crash.suspect);
		return isNew;
	}

	void removeCrash(CrashTable& _table, const Crash& _crash)
	{
		const auto found = _table.bySuspect.find(_crash.suspect);
		if (_table.bySuspect.end() == found || 0 == found->second.erase(_crash.incarnation))
		{
			return;
		}
		if (found->second.empty())
		{
			_table.bySuspect.erase(found);
		}
		dropSuspectOf(_table, _crash.incarnation);
		updateBlame(_table, _crash.suspect);
	}

	bool isHeld(const CrashTable& _table, const Crash& _crash)
	{
		const CrashedRuns* runs = runsOf(_table, _crash.suspect);
		return nullptr != runs && runs->contains(_crash.incarnation);
	}

	std::vector<Crash> clearSuspect(CrashTable& _table, const std::string& _suspect)
	{
		std::vector<Crash> cleared;
		const CrashedRuns* runs = runsOf(_table, _suspect);
		if (nullptr == runs)
		{
			return cleared;
		}
		for (const auto& [incarnation, run] : *runs)
		{
			cleared.push_back({_suspect, incarnation});
			dropSuspectOf(_table, incarnation);
		}
		_table.bySuspect.erase(_suspect);
		_table.blamed.erase(_suspect);
		return cleared;
	}

	std::size_t countCrashes(const CrashTable& _table, const std::string& _suspect, Millis _now)
	{
		const CrashedRuns* runs = runsOf(_table, _suspect);
		return nullptr == runs ? 0 : independentRuns(*runs, _now).size();
	}

	std::optional<Millis> remainingRefusalMs(const CrashTable& _table, const std::vector<std::string>& _suspects, Millis _now)
	{
		std::optional<Millis> longest;
		for (const std::string& suspect : _suspects)
		{
			const std::optional<Millis> remainingMs = remainingBlameMs(_table, suspect, _now);
			if (remainingMs && longest < remainingMs && !isExplainedByOthers(_table, suspect, _suspects, _now))
			{
				longest = remainingMs;
			}
		}
		return longest;
	}

	std::vector<std::string> doubtfulSuspects(const CrashTable& _table, const std::vector<std::string>& _suspects, Millis _now)
	{
		std::vector<std::string> doubtful;
		for (const std::string& suspect : _suspects)
		{
			if (remainingBlameMs(_table, suspect, _now) && isExplainedByOthers(_table, suspect, _suspects, _now))
			{
				doubtful.push_back(suspect);
			}
		}
		return doubtful;
	}

	void beginTrial(TrialTable& _trials, const std::vector<std::string>& _suspects, Millis _now)
	{
		absl::erase_if(_trials.until, [_now](const auto& _trial) {
			return _trial.second <= _now;
		});
		for (const std::string& suspect : _suspects)
		{
			_trials.until[suspect] = _now + kTrialMs;
		}
	}

	void endTrial(TrialTable& _trials, const std::vector<std::string>& _suspects)
	{
		for (const std::string& suspect : _suspects)
		{
			_trials.until.erase(suspect);
		}
	}

	std::optional<Millis> remainingTrialMs(const TrialTable& _trials, const std::vector<std::string>& _suspects, Millis _now)
	{
		std::optional<Millis> longest;
		for (const std::string& suspect : _suspects)
		{
			const auto found = _trials.until.find(suspect);
			if (_trials.until.end() != found && _now < found->second)
			{
				longest = std::max(longest.value_or(0), found->second - _now);
			}
		}
		return longest;
	}

	std::vector<RefusedRequest> refusedRequests(const CrashTable& _table, Millis _now)
	{
		std::vector<RefusedRequest> refused;
		for (const std::string& suspect : _table.blamed)
		{
			const std::optional<Millis> remainingMs = remainingRefusalMs(_table, {suspect}, _now);
			if (remainingMs)
			{
				refused.push_back({suspect, *remainingMs});
			}
		}
		std::sort(refused.begin(), refused.end());
		return refused;
	}

	std::vector<Crash> removeExpiredCrashes(CrashTable& _table, Millis _now)
	{
		std::vector<Crash> expired;
		for (const auto& [suspect, runs] : _table.bySuspect)
		{
			for (const auto& [incarnation, run] : runs)
			{
				if (!isCurrent(run, _now))
				{
					expired.push_back({suspect, incarnation});
				}
			}
		}
		for (const Crash& crash : expired)
		{
			removeCrash(_table, crash);
		}
		return expired;
	}

	void recordCompletion(RecentCompletions& _runs, std::size_t _suspect, Millis _now)
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
			_runs.newer.insert(_suspect);
		}
	}

	bool completedRecently(const RecentCompletions& _runs, std::size_t _suspect, Millis _now)
	{
		const Millis age = _now - _runs.newerSince;
		return (age < 2 * kGenerationMs && _runs.newer.contains(_suspect)) || (age < kGenerationMs && _runs.older.contains(_suspect));
	}
} // namespace archdyke
