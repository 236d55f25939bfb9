#include "gateway/crashes.h"

#include <absl/hash/hash.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/process.h"
#include "gateway/request.h"

namespace archdyke::gateway
{
	namespace
	{
		/// An upstream that is removed within this time after its connection broke has ended then, ms: its row expires, or its
		/// successor's row arrives. A proxy before it may go on accepting connections.
		constexpr Millis kRemovalWindowMs = 5'000;
		/// Maximum number of crashes that wait to be published. More mean that the store is unreachable; the excess is
		/// never published.
		constexpr std::size_t kMaxUnpublished = 1'000;
		/// Maximum number of attempts under observation. More mean a network failure.
		constexpr std::size_t kMaxDoubtfulAttempts = 1'000;
		/// Delay before cleared rows are removed, ms; a write for other rows removes them earlier. Many gateways may complete
		/// the same part at once: the larger the fleet, the longer most of them wait to see the removal by one of the others.
		constexpr Millis kRemovalDelayMs = 4'000;
		constexpr Millis kRemovalSpreadMsPerGateway = 50;

		/// @returns Whom crashes of a request are attributed to. On a public route that is the key itself: whose it is depends on the
		/// configuration, of which gateways hold different versions and proofs.
		const std::string& callerOf(const RequestContext& _context)
		{
			return _context.route->isPublic ? _context.caller.key : _context.organisation;
		}

		/// @returns The parts of a prompt that other requests may share. The last one belongs to the request or its session.
		std::vector<std::uint64_t> sharedParts(const CallerRequest& _caller)
		{
			std::vector<std::uint64_t> parts;
			for (std::size_t index = 0; index + 1 < _caller.prompt.size(); ++index)
			{
				parts.push_back(_caller.prompt[index].id);
			}
			return parts;
		}

		/// @returns Hashes of a request and of the shared parts of its prompt, which are valid in this process only.
		std::vector<std::size_t> hashesOf(const RequestContext& _context)
		{
			std::vector<std::size_t> hashes{absl::HashOf(_context.received.head.target, callerOf(_context), _context.received.body)};
			for (const std::uint64_t part : sharedParts(_context.caller))
			{
				hashes.push_back(absl::HashOf(part));
			}
			return hashes;
		}

		/// @returns What may crash upstreams: the hash of target, caller and body, which is the same for all repeats of the
		/// request, and the shared parts of the prompt. The same through any gateway, in the order of hashesOf.
		const std::vector<std::string>& suspectsOf(RequestContext& _context)
		{
			if (_context.suspects.empty())
			{
				_context.suspects.push_back(requestFingerprint(_context.received.head.target, callerOf(_context), _context.received.body));
				for (const std::uint64_t part : sharedParts(_context.caller))
				{
					_context.suspects.push_back(partSuspect(part));
				}
			}
			return _context.suspects;
		}

		void logIfRefused(const CrashTable& _table, const std::string& _suspect, Millis _now)
		{
			if (kCrashesToRefuse == countCrashes(_table, _suspect, _now))
			{
				logError("request_refused_for_crashes", {{"fingerprint", _suspect}, {"crashes", kCrashesToRefuse}, {"for_ms", remainingRefusalMs(_table, {_suspect}, _now).value_or(0)}, {"remedy", "check the upstreams' logs; remove the rows of this request or part from the store to allow it again"}});
			}
		}

		/// @returns The parts of a request's prompt, in hex and in order, as callers name them.
		std::string promptText(const CallerRequest& _caller)
		{
			return absl::StrJoin(_caller.prompt, ",", [](std::string* _text, const PromptPart& _part) {
				absl::StrAppend(_text, absl::Hex(_part.id));
			});
		}

		/// Records that an upstream ended while it ran a request.
		void recordUpstreamCrash(GatewayState& _state, const DoubtfulAttempt& _attempt, Millis _now)
		{
			CrashRecord& record = _state.crashes;
			const Upstream& upstream = *_attempt.upstream;
			for (const Suspect& suspect : _attempt.suspects)
			{
				const Crash crash{suspect.name, _attempt.incarnation};
				// What has completed meanwhile didn't cause the crash.
				if (completedRecently(record.runs, suspect.hash, _now) || !recordCrash(record.table, crash, _attempt.run))
				{
					continue;
				}
				const bool urgent = 1 < record.table.bySuspect.at(suspect.name).size();
				if (record.unpublished.size() < kMaxUnpublished)
				{
					record.unpublished.push_back({crash, _attempt.run, urgent});
				}
				_state.counters.upstreamCrashes.Increment();
				logWarning("upstream_crashed", {{"fingerprint", suspect.name}, {"prompt", _attempt.prompt}, {"upstream", crash.incarnation}, {"service", upstream.record.service}, {"address", upstream.record.address}, {"run_ms", _attempt.run.at - _attempt.run.startedAt}, {"crashes_of_request", countCrashes(record.table, suspect.name, _now)}});
				logIfRefused(record.table, suspect.name, _now);
			}
		}

		/// Puts an attempt under observation until it is known whether its upstream has ended.
		/// @returns Its suspects, if it is under observation.
		std::vector<Suspect> observeAttempt(RequestContext& _context, const UpstreamRef& _upstream, bool _answered)
		{
			CrashRecord& record = _context.state.crashes;
			const Millis now = nowMs();
			const std::vector<std::size_t> hashes = hashesOf(_context);
			std::vector<Suspect> suspects;
			for (std::size_t index = 0; index < hashes.size(); ++index)
			{
				// If the upstream has ended, something else caused it.
				if (!completedRecently(record.runs, hashes[index], now))
				{
					suspects.push_back({suspectsOf(_context)[index], hashes[index]});
				}
			}
			if (suspects.empty() || kMaxDoubtfulAttempts <= record.doubtfulAttempts.size())
			{
				return {};
			}
			record.doubtfulAttempts.push_back({_upstream->record.incarnation, suspects, _upstream, {_context.sentAt, now}, _answered, promptText(_context.caller)});
			return suspects;
		}

		/// Clears the crashes of suspects that an upstream completed a run of.
		void clearSuspects(GatewayState& _state, const std::vector<std::string>& _suspects, Millis _now)
		{
			CrashRecord& record = _state.crashes;
			for (const std::string& suspect : _suspects)
			{
				std::vector<Crash> cleared = clearSuspect(record.table, suspect);
				if (!cleared.empty())
				{
					logInfo("crashes_cleared", {{"fingerprint", suspect}, {"crashes", cleared.size()}});
					removeFromStore(_state, std::move(cleared), _now);
				}
			}
		}
	} // namespace

	aio::Task<void> recordBrokenAttempt(RequestContext& _context, UpstreamRef _upstream)
	{
		GatewayState& state = _context.state;
		const std::vector<Suspect> suspects = observeAttempt(_context, _upstream, false);
		if (suspects.empty())
		{
			co_return;
		}
		kj::Promise<void> checked = crashCheckFor(state, _upstream->record).completion.addBranch();
		const bool decides = std::any_of(suspects.begin(), suspects.end(), [&](const Suspect& _suspect) {
			return kCrashesToRefuse <= 1 + countCrashes(state.crashes.table, _suspect.name, nowMs());
		});
		if (decides)
		{
			co_await kj::mv(checked);
			resolveDoubtfulAttempts(state, nowMs());
		}
	}

	void resolveDoubtfulAttempts(GatewayState& _state, Millis _now)
	{
		CrashRecord& record = _state.crashes;
		std::vector<DoubtfulAttempt> completed;
		std::erase_if(record.doubtfulAttempts, [&](const DoubtfulAttempt& _attempt) {
			const auto check = record.checks.find(_attempt.incarnation);
			const std::optional<bool> ended = record.checks.end() == check ? std::nullopt : check->second.ended;
			const bool gone = _attempt.upstream->superseded || !_state.registry.isListed(_attempt.incarnation);
			const bool crashed = ended.value_or(false) || (gone && !_attempt.answered && !_attempt.upstream->leavingSince);
			const bool outlived = _attempt.answered && ended && !*ended;
			const bool over = outlived || kRemovalWindowMs < _now - _attempt.run.at;
			if (crashed)
			{
				recordUpstreamCrash(_state, _attempt, _now);
			}
			else if (outlived)
			{
				completed.push_back(_attempt);
			}
			return crashed || over;
		});
		for (const DoubtfulAttempt& attempt : completed)
		{
			std::vector<std::string> names;
			for (const Suspect& suspect : attempt.suspects)
			{
				recordCompletion(record.runs, suspect.hash, _now);
				names.push_back(suspect.name);
			}
			clearSuspects(_state, names, _now);
		}
	}

	void recordCompletedRun(RequestContext& _context)
	{
		CrashRecord& record = _context.state.crashes;
		const Millis now = nowMs();
		for (const std::size_t hash : hashesOf(_context))
		{
			recordCompletion(record.runs, hash, now);
		}
		if (!record.table.bySuspect.empty())
		{
			clearSuspects(_context.state, suspectsOf(_context), now);
		}
	}

	void recordUnframedResponse(RequestContext& _context, const UpstreamRef& _upstream)
	{
		if (!observeAttempt(_context, _upstream, true).empty())
		{
			crashCheckFor(_context.state, _upstream->record);
		}
	}

	void removeFromStore(GatewayState& _state, std::vector<Crash> _crashes, Millis _now)
	{
		CrashRecord& record = _state.crashes;
		std::erase_if(_crashes, [&](const Crash& _crash) {
			return 0 < std::erase_if(record.unpublished, [&](const UnpublishedCrash& _unpublished) {
				       return _unpublished.crash == _crash;
			       });
		});
		if (record.cleared.empty())
		{
			const std::uint32_t gateways = reportedGatewayCount(_state.resendShare, _state.settings.bounds.retryWindowMs, 0, _now).value_or(1);
			record.removalDueAt = _now + kRemovalDelayMs + Millis(randomBelow(_state.random, std::uint64_t(kRemovalSpreadMsPerGateway) * gateways));
		}
		record.cleared.insert(record.cleared.end(), _crashes.begin(), _crashes.end());
	}

	std::optional<Millis> crashRefusalMs(RequestContext& _context)
	{
		const CrashRecord& record = _context.state.crashes;
		if (record.table.blamed.empty())
		{
			return std::nullopt;
		}
		const Millis now = nowMs();
		const std::vector<std::string>& suspects = suspectsOf(_context);
		const std::optional<Millis> refusedMs = remainingRefusalMs(record.table, suspects, now);
		return refusedMs ? refusedMs : remainingTrialMs(record.trials, doubtfulSuspects(record.table, suspects, now), now);
	}

	void beginTrial(RequestContext& _context)
	{
		CrashRecord& record = _context.state.crashes;
		if (!record.table.blamed.empty())
		{
			_context.trial = doubtfulSuspects(record.table, suspectsOf(_context), nowMs());
			archdyke::beginTrial(record.trials, _context.trial, nowMs());
		}
	}

	void endTrial(RequestContext& _context)
	{
		archdyke::endTrial(_context.state.crashes.trials, _context.trial);
		_context.trial.clear();
	}

	void dropPublished(CrashRecord& _record)
	{
		_record.table = {};
		for (const std::vector<UnpublishedCrash>* kept : {&_record.unpublished, &_record.publishing})
		{
			for (const UnpublishedCrash& unpublished : *kept)
			{
				recordCrash(_record.table, unpublished.crash, unpublished.run);
			}
		}
	}

	void recordLostCrashes(CrashRecord& _record, const std::set<Crash>& _read)
	{
		for (const auto& [suspect, runs] : _record.table.bySuspect)
		{
			for (const auto& [incarnation, run] : runs)
			{
				const Crash crash{suspect, incarnation};
				if (!_read.contains(crash))
				{
					_record.lost.insert(crash);
				}
			}
		}
	}

	void publishLostCrashes(CrashRecord& _record)
	{
		for (const Crash& crash : std::exchange(_record.lost, {}))
		{
			const bool queued = std::any_of(_record.unpublished.begin(), _record.unpublished.end(), [&](const UnpublishedCrash& _unpublished) {
				return _unpublished.crash == crash;
			});
			if (!queued && isHeld(_record.table, crash) && _record.unpublished.size() < kMaxUnpublished)
			{
				_record.unpublished.push_back({crash, _record.table.bySuspect.at(crash.suspect).at(crash.incarnation), false});
			}
		}
	}

	void recordRemoteCrash(CrashRecord& _record, const Crash& _crash, const CrashedRun& _run)
	{
		_record.lost.erase(_crash);
		if (recordCrash(_record.table, _crash, _run))
		{
			logIfRefused(_record.table, _crash.suspect, nowMs());
		}
	}

	void recordRemovedCrash(CrashRecord& _record, const Crash& _crash)
	{
		removeCrash(_record.table, _crash);
		std::erase(_record.cleared, _crash);
	}
} // namespace archdyke::gateway
