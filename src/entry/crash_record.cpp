#include "entry/crash_record.h"

#include <absl/hash/hash.h>
#include <absl/time/time.h>
#include <algorithm>
#include <utility>

#include "archdyke/upstream_end.h"
#include "base/log.h"
#include "base/process.h"

namespace archdyke
{
	namespace
	{
		/// Time after which a reported crash that isn't in the table is published by whoever knows it, ms: the entry that ran
		/// the request publishes it at once unless it has ended or can't reach the platform.
		constexpr Millis kReportedPublishMs = 5'000;
		/// Maximum interval between reads of the table's rows while crashes are known, ms: expired rows change no mark.
		constexpr Millis kRowsReadIntervalMs = 30'000;
		/// Interval between checks for reported crashes that are due, ms.
		constexpr Millis kDueCheckMs = 500;
		/// Maximum number of changes in one transaction.
		constexpr std::size_t kMaxChanges = 50;
		/// Maximum number of crashes that are kept. More mean that upstreams fail for other reasons.
		constexpr std::size_t kMaxKnown = 10'000;
	} // namespace

	CrashRecord::CrashRecord(Metrics& _metrics)
	    : crashes(_metrics.counter("archdyke_entry_upstream_crashes_total", "Crashes of upstreams during runs of this entry that are attributed to the request."))
	    , refusals(_metrics.counter("archdyke_entry_crash_refusals_total", "Requests refused because several upstreams crashed under them."))
	{
	}

	CrashRecord::Shard& CrashRecord::shardOf(std::size_t _hash)
	{
		return this->shards[_hash % this->shards.size()];
	}

	bool CrashRecord::completedRecently(const std::string& _suspect, Millis _now)
	{
		const std::size_t hash = absl::HashOf(_suspect);
		Shard& shard = this->shardOf(hash);
		absl::MutexLock lock(&shard.mutex);
		return archdyke::completedRecently(shard.completions, hash, _now);
	}

	bool CrashRecord::add(const Crash& _crash, Publication _publication, Millis _now)
	{
		if (this->known.contains(_crash) || kMaxKnown <= this->known.size())
		{
			return false;
		}
		this->known[_crash] = {_publication, _now};
		recordCrash(this->table, _crash, {_now, _now});
		this->requests = this->table.bySuspect.size();
		if (kCrashesToRefuse == countCrashes(this->table, _crash.suspect, _now))
		{
			logError("request_refused_for_crashes", {{"fingerprint", _crash.suspect}, {"crashes", kCrashesToRefuse}, {"for_ms", remainingRefusalMs(this->table, {_crash.suspect}, _now).value_or(0)}, {"remedy", "check the upstreams' logs; remove the request's rows from the table to allow it again"}});
		}
		return true;
	}

	void CrashRecord::remove(const Crash& _crash)
	{
		removeCrash(this->table, _crash);
		this->known.erase(_crash);
		this->requests = this->table.bySuspect.size();
	}

	void CrashRecord::removeExpired(Millis _now)
	{
		for (const Crash& crash : removeExpiredCrashes(this->table, _now))
		{
			this->known.erase(crash);
		}
		this->requests = this->table.bySuspect.size();
		std::erase_if(this->cleared, [&](const auto& _entry) {
			return _entry.second + kCrashReportMs <= _now;
		});
	}

	std::optional<Millis> CrashRecord::refusalMs(const std::vector<std::string>& _suspects)
	{
		if (0 == this->requests)
		{
			return std::nullopt;
		}
		absl::MutexLock lock(&this->mutex);
		return remainingRefusalMs(this->table, _suspects, nowMs());
	}

	void CrashRecord::countRefusal()
	{
		this->refusals.Increment();
	}

	void CrashRecord::recordCompletion(const std::vector<std::string>& _suspects)
	{
		const Millis now = nowMs();
		for (const std::string& suspect : _suspects)
		{
			const std::size_t hash = absl::HashOf(suspect);
			Shard& shard = this->shardOf(hash);
			absl::MutexLock lock(&shard.mutex);
			archdyke::recordCompletion(shard.completions, hash, now);
		}
		if (0 == this->requests)
		{
			return;
		}
		absl::MutexLock lock(&this->mutex);
		for (const std::string& suspect : _suspects)
		{
			for (const Crash& crash : clearSuspect(this->table, suspect))
			{
				this->known.erase(crash);
				this->cleared[crash] = now;
				this->toRemove.push_back(crash);
			}
		}
		this->requests = this->table.bySuspect.size();
	}

	void CrashRecord::recordOwn(const Crash& _crash)
	{
		const Millis now = nowMs();
		if (this->completedRecently(_crash.suspect, now))
		{
			return; // another request caused the crash
		}
		absl::MutexLock lock(&this->mutex);
		const auto found = this->known.find(_crash);
		if (this->known.end() != found)
		{
			found->second.publication = Publication::Stored == found->second.publication ? Publication::Stored : Publication::Due;
			return;
		}
		if (this->add(_crash, Publication::Due, now))
		{
			this->crashes.Increment();
			logWarning("upstream_crashed", {{"fingerprint", _crash.suspect}, {"upstream", _crash.incarnation}, {"crashes_of_request", countCrashes(this->table, _crash.suspect, now)}});
		}
	}

	void CrashRecord::recordReported(const std::vector<Crash>& _crashes)
	{
		const Millis now = nowMs();
		for (const Crash& crash : _crashes)
		{
			const bool cleared = this->completedRecently(crash.suspect, now);
			absl::MutexLock lock(&this->mutex);
			if (!cleared && !this->cleared.contains(crash))
			{
				this->add(crash, Publication::Reported, now);
			}
		}
	}

	bool CrashRecord::waitUntilPublished(const std::vector<std::string>& _suspects, Millis _until)
	{
		const auto isPublished = [&]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
			return std::none_of(this->known.begin(), this->known.end(), [&](const auto& _entry) {
				return Publication::Due == _entry.second.publication && _suspects.end() != std::find(_suspects.begin(), _suspects.end(), _entry.first.suspect);
			});
		};
		absl::MutexLock lock(&this->mutex);
		return this->mutex.AwaitWithTimeout(absl::Condition(&isPublished), absl::Milliseconds(std::max<Millis>(0, _until - nowMs())));
	}

	std::vector<RefusedRequest> CrashRecord::refused()
	{
		if (0 == this->requests)
		{
			return {};
		}
		absl::MutexLock lock(&this->mutex);
		return refusedRequests(this->table, nowMs());
	}

	bool CrashRecord::needsRows(std::uint64_t _mark, Millis _now)
	{
		absl::MutexLock lock(&this->mutex);
		this->removeExpired(_now);
		return _mark != this->appliedMark || (!this->known.empty() && kRowsReadIntervalMs <= _now - this->appliedAt);
	}

	void CrashRecord::applyRows(const std::vector<Crash>& _rows, std::uint64_t _mark, Millis _readAt)
	{
		absl::MutexLock lock(&this->mutex);
		for (const Crash& crash : _rows)
		{
			if (!this->cleared.contains(crash) && !this->add(crash, Publication::Stored, _readAt) && this->known.contains(crash))
			{
				this->known[crash] = {Publication::Stored, _readAt};
			}
		}
		std::vector<Crash> gone;
		for (const auto& [crash, state] : this->known)
		{
			if (Publication::Stored == state.publication && state.since < _readAt)
			{
				gone.push_back(crash); // cleared by another entry, or expired
			}
		}
		for (const Crash& crash : gone)
		{
			this->remove(crash);
		}
		this->appliedMark = _mark;
		this->appliedAt = _readAt;
	}

	CrashChanges CrashRecord::dueChanges(Millis _now) const
	{
		CrashChanges changes;
		for (const auto& [crash, state] : this->known)
		{
			const bool late = Publication::Reported == state.publication && state.since + kReportedPublishMs <= _now;
			if ((late || Publication::Due == state.publication) && changes.put.size() < kMaxChanges)
			{
				changes.put.push_back(crash);
			}
		}
		const std::size_t count = std::min(kMaxChanges, this->toRemove.size());
		changes.remove.assign(this->toRemove.begin(), this->toRemove.begin() + std::ptrdiff_t(count));
		return changes;
	}

	CrashChanges CrashRecord::takeChanges()
	{
		absl::MutexLock lock(&this->mutex);
		const auto isDue = [&]() ABSL_SHARED_LOCKS_REQUIRED(this->mutex) {
			const bool due = !this->toRemove.empty() || std::any_of(this->known.begin(), this->known.end(), [](const auto& _entry) {
				return Publication::Due == _entry.second.publication;
			});
			return due || this->woken;
		};
		this->mutex.AwaitWithTimeout(absl::Condition(&isDue), absl::Milliseconds(kDueCheckMs));
		this->woken = false;
		CrashChanges changes = this->dueChanges(nowMs());
		this->toRemove.erase(this->toRemove.begin(), this->toRemove.begin() + std::ptrdiff_t(changes.remove.size()));
		return changes;
	}

	void CrashRecord::recordWritten(const CrashChanges& _changes, const std::vector<Crash>& _known)
	{
		const Millis now = nowMs();
		absl::MutexLock lock(&this->mutex);
		for (const Crash& crash : _changes.put)
		{
			const auto found = this->known.find(crash);
			if (this->known.end() != found)
			{
				found->second = {Publication::Stored, now};
			}
			else if (this->cleared.contains(crash))
			{
				this->toRemove.push_back(crash); // cleared while it was being written
			}
		}
		for (const Crash& crash : _known)
		{
			if (!this->cleared.contains(crash))
			{
				this->add(crash, Publication::Stored, now);
			}
		}
	}

	void CrashRecord::returnChanges(const CrashChanges& _changes)
	{
		absl::MutexLock lock(&this->mutex);
		this->toRemove.insert(this->toRemove.begin(), _changes.remove.begin(), _changes.remove.end());
	}

	void CrashRecord::wake()
	{
		absl::MutexLock lock(&this->mutex);
		this->woken = true;
	}

	std::vector<CrashView> CrashRecord::views()
	{
		absl::MutexLock lock(&this->mutex);
		const Millis now = nowMs();
		std::vector<CrashView> result;
		for (const auto& [request, crashesOf] : this->table.bySuspect)
		{
			result.push_back({request, countCrashes(this->table, request, now), remainingRefusalMs(this->table, {request}, now).value_or(0)});
		}
		return result;
	}
} // namespace archdyke
