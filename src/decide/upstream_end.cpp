#include "archdyke/upstream_end.h"

#include <absl/hash/hash.h>
#include <algorithm>

namespace archdyke
{
	std::vector<Crash> recordUpstreamEnd(UpstreamEnds& _ends, const std::vector<std::string>& _suspects, std::uint64_t _process, Millis _now)
	{
		if (_process == _ends.process)
		{
			_ends.process += 1; // further runs are sent to its successor
		}
		std::vector<Crash> crashes;
		for (const std::string& suspect : _suspects)
		{
			if (suspect.empty() || completedRecently(_ends.completions, absl::HashOf(suspect), _now))
			{
				continue;
			}
			const Crash crash{suspect, _ends.agent + "." + std::to_string(_process)};
			const bool known = std::any_of(_ends.reported.begin(), _ends.reported.end(), [&](const ReportedCrash& _reported) {
				return crash == _reported.crash;
			});
			if (!known)
			{
				_ends.reported.push_back({crash, _now});
			}
			crashes.push_back(crash);
		}
		while (kMaxCrashReports < _ends.reported.size())
		{
			_ends.reported.pop_front();
		}
		return crashes;
	}

	void recordCompletedRun(UpstreamEnds& _ends, const std::vector<std::string>& _suspects, Millis _now)
	{
		for (const std::string& suspect : _suspects)
		{
			recordCompletion(_ends.completions, absl::HashOf(suspect), _now);
		}
		std::erase_if(_ends.reported, [&](const ReportedCrash& _reported) {
			return _suspects.end() != std::find(_suspects.begin(), _suspects.end(), _reported.crash.suspect);
		});
	}

	std::vector<Crash> crashesToReport(UpstreamEnds& _ends, Millis _now)
	{
		std::erase_if(_ends.reported, [&](const ReportedCrash& _reported) {
			return _reported.at + kCrashReportMs <= _now;
		});
		std::vector<Crash> crashes;
		for (const ReportedCrash& reported : _ends.reported)
		{
			crashes.push_back(reported.crash);
		}
		return crashes;
	}

	void recordRefusedRequests(UpstreamEnds& _ends, const std::vector<RefusedRequest>& _refused, Millis _now)
	{
		absl::erase_if(_ends.refusedUntil, [&](const auto& _entry) {
			return _entry.second <= _now;
		});
		for (const RefusedRequest& refused : _refused)
		{
			if (_ends.refusedUntil.size() < kMaxCrashReports || _ends.refusedUntil.contains(refused.request))
			{
				_ends.refusedUntil[refused.request] = _now + std::min(kRefusalNoticeMs, refused.remainingMs);
			}
		}
	}

	std::optional<Millis> remainingRefusalMs(const UpstreamEnds& _ends, const std::vector<std::string>& _suspects, Millis _now)
	{
		std::optional<Millis> longest;
		for (const std::string& suspect : _suspects)
		{
			const auto found = _ends.refusedUntil.find(suspect);
			if (_ends.refusedUntil.end() != found && _now < found->second)
			{
				longest = std::max(longest.value_or(0), found->second - _now);
			}
		}
		return longest;
	}
} // namespace archdyke
