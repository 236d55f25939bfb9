#include "gateway/crashes.h"

#include <absl/hash/hash.h>

#include "base/log.h"
#include "base/process.h"
#include "gateway/request.h"

namespace archdyke::gateway
{
	namespace
	{
		/// Hex digits of a fingerprint: 128 bits.
		constexpr std::size_t kFingerprintDigits = 32;
		/// An upstream that is gone so soon after a break ended then, ms: its row lapses or its successor's comes. Something
		/// that stands before it may go on taking connections.
		constexpr Millis kDoubtMs = 5'000;
		/// Crashes that wait to be told, at most: beyond that the store is away, and they are told by none.
		constexpr std::size_t kMostUntold = 1'000;
		/// Broken tries whose upstreams are looked at, at most: a break of that many is the network's.
		constexpr std::size_t kMostBroken = 1'000;

		std::string callerOf(const RequestContext& _context)
		{
			return nullptr == _context.organisation ? "" : _context.organisation->name;
		}

		/// @returns What a request has in common with its caller's repeats, through whichever gateway: target,
		/// organisation and body.
		const std::string& fingerprintOf(RequestContext& _context)
		{
			if (_context.fingerprint.empty())
			{
				_context.fingerprint = sha256Hex(_context.received.head.target + "\n" + callerOf(_context) + "\n" + _context.received.body).substr(0, kFingerprintDigits);
			}
			return _context.fingerprint;
		}

		/// @returns The same for this process alone, at a fraction of the cost.
		std::size_t hashOf(const RequestContext& _context)
		{
			return absl::HashOf(_context.received.head.target, callerOf(_context), _context.received.body);
		}

		void logIfRefused(const CrashTable& _table, const std::string& _request, Millis _now)
		{
			if (kCrashesToRefuse == crashesOf(_table, _request, _now))
			{
				logError("request_refused_for_crashes", {{"fingerprint", _request}, {"crashes", kCrashesToRefuse}, {"for_ms", refusedForMs(_table, _request, _now).value_or(0)}, {"remedy", "look at the upstreams' logs; remove its rows from the store to let it run again"}});
			}
		}

		/// An upstream has ended under a request.
		void holdAgainst(GatewayState& _state, const Crash& _crash, const Upstream& _upstream)
		{
			CrashRecord& record = _state.crashes;
			const Millis now = nowMs();
			if (!noteCrash(record.table, _crash, now))
			{
				return;
			}
			const std::size_t crashes = crashesOf(record.table, _crash.request, now);
			if (record.untold.size() < kMostUntold)
			{
				record.untold.push_back({_crash, now, 1 < crashes});
			}
			_state.counters.upstreamCrashes.Increment();
			logWarning("upstream_crashed", {{"fingerprint", _crash.request}, {"upstream", _crash.incarnation}, {"service", _upstream.record.service}, {"address", _upstream.record.address}, {"crashes_of_request", crashes}});
			logIfRefused(record.table, _crash.request, now);
		}
	} // namespace

	aio::Task<void> noteBrokenTry(RequestContext& _context, UpstreamRef _upstream)
	{
		GatewayState& state = _context.state;
		const Millis now = nowMs();
		const std::size_t runHash = hashOf(_context);
		if (ranLately(state.crashes.runs, runHash, now))
		{
			co_return; // if the upstream has ended, it was under another request
		}
		const std::string& fingerprint = fingerprintOf(_context);
		if (state.crashes.broken.size() < kMostBroken)
		{
			state.crashes.broken.push_back({{fingerprint, _upstream->record.incarnation}, runHash, _upstream, now});
		}
		kj::Promise<void> looked = checkOf(state, _upstream->record).looking.addBranch();
		if (kCrashesToRefuse <= 1 + crashesOf(state.crashes.table, fingerprint, now))
		{
			co_await kj::mv(looked);
			settleBrokenTries(state, nowMs());
		}
	}

	void settleBrokenTries(GatewayState& _state, Millis _now)
	{
		CrashRecord& record = _state.crashes;
		std::erase_if(record.broken, [&](const BrokenTry& _broken) {
			const auto check = record.checks.find(_broken.crash.incarnation);
			const bool ended = record.checks.end() != check && check->second.ended.value_or(false);
			const bool gone = _broken.upstream->superseded || !_state.board.isListed(_broken.crash.incarnation);
			const bool crashed = ended || (gone && !_broken.upstream->leavingSince);
			// A request that ran well meanwhile was a bystander.
			if (crashed && !ranLately(record.runs, _broken.runHash, _now))
			{
				holdAgainst(_state, _broken.crash, *_broken.upstream);
			}
			return crashed || kDoubtMs < _now - _broken.at;
		});
	}

	void noteWholeRun(RequestContext& _context)
	{
		CrashRecord& record = _context.state.crashes;
		noteRun(record.runs, hashOf(_context), nowMs());
		if (record.table.byRequest.empty())
		{
			return;
		}
		removeFromStore(record, clearRequest(record.table, fingerprintOf(_context)), nowMs());
	}

	void removeFromStore(CrashRecord& _record, std::vector<Crash> _crashes, Millis _now)
	{
		std::erase_if(_crashes, [&](const Crash& _crash) {
			return 0 < std::erase_if(_record.untold, [&](const UntoldCrash& _untold) {
				       return _untold.crash == _crash;
			       });
		});
		_record.clearedSince = _record.cleared.empty() ? _now : _record.clearedSince;
		_record.cleared.insert(_record.cleared.end(), _crashes.begin(), _crashes.end());
	}

	std::optional<Millis> crashRefusalMs(RequestContext& _context)
	{
		const CrashTable& table = _context.state.crashes.table;
		return table.byRequest.empty() ? std::nullopt : refusedForMs(table, fingerprintOf(_context), nowMs());
	}

	void forgetTold(CrashRecord& _record)
	{
		_record.table = {};
		for (const std::vector<UntoldCrash>* kept : {&_record.untold, &_record.telling})
		{
			for (const UntoldCrash& untold : *kept)
			{
				noteCrash(_record.table, untold.crash, untold.seenAt);
			}
		}
	}

	void takeCrash(CrashRecord& _record, const Crash& _crash, Millis _at)
	{
		if (noteCrash(_record.table, _crash, _at))
		{
			logIfRefused(_record.table, _crash.request, nowMs());
		}
	}
} // namespace archdyke::gateway
