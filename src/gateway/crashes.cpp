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
		/// Maximum number of broken attempts under observation. More mean a network failure.
		constexpr std::size_t kMaxBrokenAttempts = 1'000;

		std::string callerOf(const RequestContext& _context)
		{
			return nullptr == _context.organisation ? "" : _context.organisation->name;
		}

		/// @returns Hash of target, organisation and body: the same for all repeats of a request, through any gateway.
		const std::string& fingerprintOf(RequestContext& _context)
		{
			if (_context.fingerprint.empty())
			{
				_context.fingerprint = requestFingerprint(_context.received.head.target, callerOf(_context), _context.received.body);
			}
			return _context.fingerprint;
		}

		/// @returns A cheaper hash of the same fields that is valid in this process only.
		std::size_t hashOf(const RequestContext& _context)
		{
			return absl::HashOf(_context.received.head.target, callerOf(_context), _context.received.body);
		}

		void logIfRefused(const CrashTable& _table, const std::string& _request, Millis _now)
		{
			if (kCrashesToRefuse == countCrashes(_table, _request, _now))
			{
				logError("request_refused_for_crashes", {{"fingerprint", _request}, {"crashes", kCrashesToRefuse}, {"for_ms", remainingRefusalMs(_table, _request, _now).value_or(0)}, {"remedy", "check the upstreams' logs; remove the request's rows from the store to allow it again"}});
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
		void recordUpstreamCrash(GatewayState& _state, const BrokenAttempt& _attempt)
		{
			const Crash& crash = _attempt.crash;
			const Upstream& upstream = *_attempt.upstream;
			CrashRecord& record = _state.crashes;
			const Millis now = nowMs();
			if (!recordCrash(record.table, crash, now))
			{
				return;
			}
			const std::size_t crashes = countCrashes(record.table, crash.request, now);
			if (record.unpublished.size() < kMaxUnpublished)
			{
				record.unpublished.push_back({crash, now, 1 < crashes});
			}
			_state.counters.upstreamCrashes.Increment();
			logWarning("upstream_crashed", {{"fingerprint", crash.request}, {"prompt", _attempt.prompt}, {"upstream", crash.incarnation}, {"service", upstream.record.service}, {"address", upstream.record.address}, {"crashes_of_request", crashes}});
			logIfRefused(record.table, crash.request, now);
		}
	} // namespace

	aio::Task<void> recordBrokenAttempt(RequestContext& _context, UpstreamRef _upstream)
	{
		GatewayState& state = _context.state;
		const Millis now = nowMs();
		const std::size_t runHash = hashOf(_context);
		if (completedRecently(state.crashes.runs, runHash, now))
		{
			co_return; // if the upstream has ended, another request caused it
		}
		const std::string& fingerprint = fingerprintOf(_context);
		if (state.crashes.brokenAttempts.size() < kMaxBrokenAttempts)
		{
			state.crashes.brokenAttempts.push_back({{fingerprint, _upstream->record.incarnation}, runHash, _upstream, now, promptText(_context.caller)});
		}
		kj::Promise<void> checked = crashCheckFor(state, _upstream->record).completion.addBranch();
		if (kCrashesToRefuse <= 1 + countCrashes(state.crashes.table, fingerprint, now))
		{
			co_await kj::mv(checked);
			resolveBrokenAttempts(state, nowMs());
		}
	}

	void resolveBrokenAttempts(GatewayState& _state, Millis _now)
	{
		CrashRecord& record = _state.crashes;
		std::erase_if(record.brokenAttempts, [&](const BrokenAttempt& _attempt) {
			const auto check = record.checks.find(_attempt.crash.incarnation);
			const bool ended = record.checks.end() != check && check->second.ended.value_or(false);
			const bool gone = _attempt.upstream->superseded || !_state.registry.isListed(_attempt.crash.incarnation);
			const bool crashed = ended || (gone && !_attempt.upstream->leavingSince);
			// A request that has completed meanwhile didn't cause the crash.
			if (crashed && !completedRecently(record.runs, _attempt.runHash, _now))
			{
				recordUpstreamCrash(_state, _attempt);
			}
			return crashed || kRemovalWindowMs < _now - _attempt.at;
		});
	}

	void recordCompletedRun(RequestContext& _context)
	{
		CrashRecord& record = _context.state.crashes;
		recordCompletion(record.runs, hashOf(_context), nowMs());
		if (record.table.byRequest.empty())
		{
			return;
		}
		std::vector<Crash> cleared = clearRequest(record.table, fingerprintOf(_context));
		if (!cleared.empty())
		{
			logInfo("crashes_cleared", {{"fingerprint", fingerprintOf(_context)}, {"request", _context.caller.id}, {"status", _context.status}, {"ending", toString(_context.ending)}, {"crashes", cleared.size()}});
		}
		removeFromStore(record, std::move(cleared), nowMs());
	}

	void removeFromStore(CrashRecord& _record, std::vector<Crash> _crashes, Millis _now)
	{
		std::erase_if(_crashes, [&](const Crash& _crash) {
			return 0 < std::erase_if(_record.unpublished, [&](const UnpublishedCrash& _unpublished) {
				       return _unpublished.crash == _crash;
			       });
		});
		_record.clearedSince = _record.cleared.empty() ? _now : _record.clearedSince;
		_record.cleared.insert(_record.cleared.end(), _crashes.begin(), _crashes.end());
	}

	std::optional<Millis> crashRefusalMs(RequestContext& _context)
	{
		const CrashTable& table = _context.state.crashes.table;
		return table.byRequest.empty() ? std::nullopt : remainingRefusalMs(table, fingerprintOf(_context), nowMs());
	}

	void dropPublished(CrashRecord& _record)
	{
		_record.table = {};
		for (const std::vector<UnpublishedCrash>* kept : {&_record.unpublished, &_record.publishing})
		{
			for (const UnpublishedCrash& unpublished : *kept)
			{
				recordCrash(_record.table, unpublished.crash, unpublished.seenAt);
			}
		}
	}

	void recordLostCrashes(CrashRecord& _record, const std::set<Crash>& _read)
	{
		for (const auto& [request, upstreams] : _record.table.byRequest)
		{
			for (const auto& [incarnation, at] : upstreams)
			{
				const Crash crash{request, incarnation};
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
				_record.unpublished.push_back({crash, _record.table.byRequest.at(crash.request).at(crash.incarnation), false});
			}
		}
	}

	void recordRemoteCrash(CrashRecord& _record, const Crash& _crash, Millis _at)
	{
		_record.lost.erase(_crash);
		if (recordCrash(_record.table, _crash, _at))
		{
			logIfRefused(_record.table, _crash.request, nowMs());
		}
	}
} // namespace archdyke::gateway
